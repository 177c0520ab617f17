//! The batch slots that this instance was granted, and the streams that use them.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};

use amaranth_kernel::batch_slot_allocator::GRANT_TTL_MS;
use amaranth_net::clock::steady_ms;
use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::batch_slots::SlotGrant;
use amaranth_wire::id::UpstreamId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Granted slots and running streams at one upstream.
#[derive(Default)]
struct UpstreamSlots {
    granted: u32,
    expires_ms: u64,
    next_stream: u64,
    /// Running streams by number, the newest last.
    streams: BTreeMap<u64, CancellationToken>,
}

impl UpstreamSlots {
    fn free(&self, now_ms: u64) -> u32 {
        let granted = if now_ms < self.expires_ms {
            self.granted
        } else {
            0
        };
        granted.saturating_sub(self.streams.len() as u32)
    }
}

#[derive(Default)]
struct GroupSlots {
    by_upstream: HashMap<UpstreamId, UpstreamSlots>,
    waiting: u32,
}

/// Counts an item as waiting for a slot until dropped.
struct WaitingItem<'a> {
    slots: &'a BatchSlots,
    group: &'a str,
}

impl<'a> WaitingItem<'a> {
    fn new(slots: &'a BatchSlots, group: &'a str) -> Self {
        if let Some(mut group) = slots.group(group) {
            group.waiting += 1;
        }
        Self { slots, group }
    }
}

impl Drop for WaitingItem<'_> {
    fn drop(&mut self) {
        if let Some(mut group) = self.slots.group(self.group) {
            group.waiting -= 1;
        }
    }
}

/// The batch slots of this instance at all upstreams, by group.
pub struct BatchSlots {
    groups: HashMap<String, Mutex<GroupSlots>>,
    /// Notified when a grant arrives or a slot is released.
    slots_changed: Notify,
}

/// A slot acquired for one stream. Dropping it releases the slot.
pub struct SlotLease {
    slots: Arc<BatchSlots>,
    group: String,
    upstream: UpstreamId,
    stream: u64,
    /// Cancelled when the stream is preempted.
    pub preempt: CancellationToken,
}

impl SlotLease {
    /// The upstream that the slot belongs to.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(mut group) = self.slots.group(&self.group) {
            let slots = group.by_upstream.entry(self.upstream.clone()).or_default();
            slots.streams.remove(&self.stream);
        }
        self.slots.slots_changed.notify_waiters();
    }
}

impl BatchSlots {
    /// Creates the groups of the settings, without any granted slots.
    pub fn new(fleet: &FleetSettings) -> Self {
        let names = fleet.upstreams.iter().map(|group| group.name.clone());
        Self {
            groups: names.map(|name| (name, Mutex::default())).collect(),
            slots_changed: Notify::new(),
        }
    }

    fn group(&self, group: &str) -> Option<MutexGuard<'_, GroupSlots>> {
        let group = self.groups.get(group)?;
        Some(group.lock().expect("not poisoned"))
    }

    /// Waits for a free slot at an upstream of the group and acquires it. Upstreams in `avoid` are
    /// used only if no other has a free slot.
    pub async fn acquire(self: &Arc<Self>, group: &str, avoid: &[UpstreamId]) -> SlotLease {
        let _waiting = WaitingItem::new(self, group);
        loop {
            let changed = self.slots_changed.notified();
            if let Some(lease) = self.try_acquire(group, avoid) {
                return lease;
            }
            changed.await;
        }
    }

    fn try_acquire(self: &Arc<Self>, name: &str, avoid: &[UpstreamId]) -> Option<SlotLease> {
        let now_ms = steady_ms();
        let mut group = self.group(name)?;
        let available = group.by_upstream.iter_mut();
        let available = available.filter(|(_, slots)| slots.free(now_ms) > 0);
        let rank = |upstream: &UpstreamId, slots: &UpstreamSlots| {
            (!avoid.contains(upstream), slots.free(now_ms))
        };
        let (upstream, slots) = available.max_by_key(|(upstream, slots)| rank(upstream, slots))?;
        let preempt = CancellationToken::new();
        let stream = slots.next_stream;
        slots.next_stream += 1;
        slots.streams.insert(stream, preempt.clone());
        Some(SlotLease {
            slots: self.clone(),
            group: name.to_owned(),
            upstream: upstream.clone(),
            stream,
            preempt,
        })
    }

    /// Slots in use, over all groups.
    pub fn in_use(&self) -> usize {
        let groups = self.groups.values();
        let counts = groups.map(|group| {
            let group = group.lock().expect("not poisoned");
            let streams = group.by_upstream.values().map(|slots| slots.streams.len());
            streams.sum::<usize>()
        });
        counts.sum()
    }

    /// The number of slots that the instance could use at an upstream, and of streams that it runs
    /// there. Every item of the group that waits for a slot counts as demand.
    pub fn demand(&self, group: &str, upstream: &UpstreamId) -> (u32, u32) {
        let Some(group) = self.group(group) else {
            return (0, 0);
        };
        let used = group.by_upstream.get(upstream);
        let running = used.map_or(0, |slots| slots.streams.len() as u32);
        (running + group.waiting, running)
    }

    /// Stores a grant and preempts the newest streams above its `keep`. The grant's time to live
    /// counts from `requested_ms`, when it was requested.
    pub fn apply_grant(
        &self,
        group: &str,
        upstream: &UpstreamId,
        grant: SlotGrant,
        requested_ms: u64,
    ) {
        let Some(mut group) = self.group(group) else {
            return;
        };
        let slots = group.by_upstream.entry(upstream.clone()).or_default();
        slots.granted = grant.granted;
        slots.expires_ms = requested_ms + GRANT_TTL_MS;
        let excess = slots.streams.len().saturating_sub(grant.keep as usize);
        let newest: Vec<u64> = slots.streams.keys().rev().take(excess).copied().collect();
        for stream in newest {
            if let Some(preempt) = slots.streams.get(&stream) {
                preempt.cancel();
            }
        }
        drop(group);
        self.slots_changed.notify_waiters();
    }
}
