//! Allocates the batch slots of one upstream among the instances.

use std::collections::BTreeMap;

use amaranth_wire::batch_slots::SlotGrant;
use amaranth_wire::id::InstanceId;

use crate::batch_capacity::{BurstWindow, CapacityPolicy, CapacityView, split_capacity};

/// Lifetime of an instance's last report, in milliseconds.
pub const REPORT_EXPIRY_MS: u64 = 3_000;
/// Lifetime of an unrenewed grant at its holder, in milliseconds. Shorter than `REPORT_EXPIRY_MS`,
/// so the holder stops using it before the allocator forgets it.
pub const GRANT_TTL_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy)]
struct OwnerReport {
    want: u32,
    /// Streams that it runs or has been granted.
    committed: u32,
    received_ms: u64,
}

/// An instance's online load on the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnlineReport {
    /// Requests in flight.
    pub online: u32,
    /// When it was sent, by the sender's clock in milliseconds.
    pub sent_ms: u64,
    /// When it was received, by the allocator's clock in milliseconds.
    pub received_ms: u64,
}

/// Properties of the upstream that limit its batch slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotParameters {
    /// Streams that the upstream runs concurrently.
    pub slots: u32,
    /// Longest step time that batch may cause, in thousandths of the step time without it.
    pub slowdown_permille: u32,
    /// Increase of the step time per further stream, in thousandths of that of a single stream.
    pub growth_permille: u32,
}

/// Batch demand and online load of each instance on one upstream.
#[derive(Debug, Clone, Default)]
pub struct BatchSlotAllocator {
    owners: BTreeMap<InstanceId, OwnerReport>,
    online: BTreeMap<InstanceId, OnlineReport>,
    bursts: BurstWindow,
}

impl BatchSlotAllocator {
    /// Records how many batch slots an instance wants, and how many it uses or has been granted.
    pub fn record_demand(&mut self, instance: &InstanceId, want: u32, committed: u32, now_ms: u64) {
        let report = OwnerReport {
            want,
            committed,
            received_ms: now_ms,
        };
        self.owners.insert(instance.clone(), report);
    }

    /// Records the online load of an instance, unless a newer report is known.
    pub fn record_online(&mut self, instance: &InstanceId, report: OnlineReport) {
        let known = self.online.get(instance);
        if known.is_some_and(|known| known.sent_ms > report.sent_ms) {
            return;
        }
        self.online.insert(instance.clone(), report);
        let total = self.online_total();
        self.bursts.record(report.received_ms, total);
    }

    /// Drops reports older than `REPORT_EXPIRY_MS`.
    pub fn expire_silent(&mut self, now_ms: u64) {
        self.owners
            .retain(|_, report| now_ms < report.received_ms + REPORT_EXPIRY_MS);
        self.online
            .retain(|_, report| now_ms < report.received_ms + REPORT_EXPIRY_MS);
    }

    /// Online streams of all instances.
    pub fn online_total(&self) -> u32 {
        self.online.values().map(|report| report.online).sum()
    }

    /// Allocates slots to the instances and commits them. Running streams are cancelled only above
    /// the capacity; an instance above its share frees slots for the others as its streams end.
    pub fn grants(
        &mut self,
        parameters: SlotParameters,
        policy: &CapacityPolicy,
    ) -> BTreeMap<InstanceId, SlotGrant> {
        let view = CapacityView {
            slots: parameters.slots,
            online: self.online_total(),
            recently_online: self.bursts.has_online(),
            reserve: self.bursts.largest_growth(),
            slowdown_permille: parameters.slowdown_permille,
            growth_permille: parameters.growth_permille,
        };
        let capacity = (policy.capacity)(&view);
        let wants: Vec<u32> = self.owners.values().map(|report| report.want).collect();
        let committed: Vec<u32> = self
            .owners
            .values()
            .map(|report| report.committed)
            .collect();
        let shares = split_capacity(capacity.start, &wants);
        let kept = split_capacity(capacity.keep, &committed);
        let mut left = capacity.start.saturating_sub(kept.iter().sum());
        let mut grants = BTreeMap::new();
        for (index, (instance, report)) in self.owners.iter_mut().enumerate() {
            let keep = kept[index];
            let more = shares[index].saturating_sub(keep).min(left);
            left -= more;
            let granted = match more {
                0 => shares[index].min(keep),
                more => keep + more,
            };
            report.committed = keep.max(granted);
            grants.insert(instance.clone(), SlotGrant { granted, keep });
        }
        grants
    }
}
