//! Leases on shards, arbitrated by the log: its offsets order the claims, its clock expires them.

use std::collections::HashMap;

use amaranth_wire::id::{InstanceId, LeaseEpoch, LogOffset, ShardId, WriterId};
use amaranth_wire::record::{LeaseName, LogRecord};
use serde::{Deserialize, Serialize};

/// How long a lease lasts after its last renewal, in milliseconds of the log's clock.
pub const LEASE_TTL_MS: u64 = 6_000;

/// How much earlier than the log a holder lets its lease end, in milliseconds.
pub const HOLDER_MARGIN_MS: u64 = 1_500;
/// Age at which a holder renews, in milliseconds.
pub const RENEW_AFTER_MS: u64 = 2_000;
/// How long another instance must come first for a shard before its holder gives it up, in
/// milliseconds. Longer than a restart keeps an instance off the list.
pub const HAND_OVER_AFTER_MS: u64 = 10_000;

/// A lease as its holder counts it, on a clock that advances in suspension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The claim that opened it.
    pub epoch: LeaseEpoch,
    /// The holder's clock before the last renewal that is known to stand on the log was sent.
    pub sent_ms: u64,
}

impl HeldLease {
    /// Whether the holder may act under it.
    pub fn is_valid(&self, steady_ms: u64) -> bool {
        steady_ms < self.sent_ms + LEASE_TTL_MS - HOLDER_MARGIN_MS
    }

    /// Whether to renew it.
    pub fn is_renewal_due(&self, steady_ms: u64) -> bool {
        steady_ms >= self.sent_ms + RENEW_AFTER_MS
    }
}

/// What an instance knows about one shard when it looks at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardView {
    /// The lease that this instance holds and that is still valid.
    pub held: Option<LeaseEpoch>,
    /// The last lease on the log, whoever holds it.
    pub last: Option<LeaseEpoch>,
    /// Whether the log lets another instance claim the shard now.
    pub claimable: bool,
    /// Whether this instance comes first for the shard.
    pub preferred: bool,
    /// For how long another instance has come first without a break, in milliseconds.
    pub displaced_ms: u64,
    /// Whether this instance is leaving.
    pub leaving: bool,
    /// Whether items of the shard still run here.
    pub busy: bool,
}

/// What an instance does about one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardStep {
    /// It holds the shard: start items.
    Run(LeaseEpoch),
    /// It holds the shard and gives it up soon: start no items.
    Finish,
    /// It holds the shard, nothing runs and it gives it up: release the lease.
    Release(LeaseEpoch),
    /// The shard is free and this instance should have it.
    Claim(Option<LeaseEpoch>),
    /// Another instance has it or should take it.
    Leave,
}

/// Decides about one shard.
pub fn decide_shard(view: ShardView) -> ShardStep {
    let displaced = view.displaced_ms >= HAND_OVER_AFTER_MS;
    match view.held {
        Some(epoch) if !view.leaving && !displaced => ShardStep::Run(epoch),
        Some(_) if view.busy => ShardStep::Finish,
        Some(epoch) => ShardStep::Release(epoch),
        None if view.claimable && view.preferred && !view.leaving => ShardStep::Claim(view.last),
        None => ShardStep::Leave,
    }
}

/// The current lease of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// Who holds it.
    pub holder: InstanceId,
    /// The run of the holder's process.
    pub writer: WriterId,
    /// Offset of the claim.
    pub epoch: LeaseEpoch,
    /// When it was last claimed or renewed, Unix milliseconds by the log's clock.
    pub renewed_ms: u64,
    /// Whether the holder gave it back.
    pub released: bool,
}

impl ShardLease {
    /// Whether another instance may claim the shard at this time of the log's clock.
    pub fn is_claimable(&self, log_now_ms: u64) -> bool {
        self.released || log_now_ms >= self.renewed_ms + LEASE_TTL_MS
    }
}

/// The leases of all shards, folded from the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    leases: HashMap<ShardId, ShardLease>,
}

impl LeaseTable {
    /// Applies one record; records of other kinds are ignored.
    pub fn apply(&mut self, offset: LogOffset, time_ms: u64, record: &LogRecord) {
        match record {
            LogRecord::LeaseClaimed {
                shard,
                holder,
                writer,
                after,
            } => self.claim(offset, time_ms, *shard, holder, *writer, *after),
            LogRecord::LeasesRenewed { leases } => self.renew(time_ms, leases),
            LogRecord::LeasesReleased { leases } => self.release(leases),
            _ => {}
        }
    }

    /// The last lease of a shard, which may have expired.
    pub fn get(&self, shard: ShardId) -> Option<&ShardLease> {
        self.leases.get(&shard)
    }

    /// Whether this run of a process holds the shard under this epoch, as far as the log tells.
    pub fn is_current(&self, shard: ShardId, epoch: LeaseEpoch) -> bool {
        let lease = self.leases.get(&shard);
        lease.is_some_and(|lease| lease.epoch == epoch && !lease.released)
    }

    fn claim(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        shard: ShardId,
        holder: &InstanceId,
        writer: WriterId,
        after: Option<LeaseEpoch>,
    ) {
        let current = self.leases.get(&shard);
        if current.map(|lease| lease.epoch) != after {
            return;
        }
        if current.is_some_and(|lease| !lease.is_claimable(time_ms)) {
            return;
        }
        let lease = ShardLease {
            holder: holder.clone(),
            writer,
            epoch: LeaseEpoch(offset.0),
            renewed_ms: time_ms,
            released: false,
        };
        self.leases.insert(shard, lease);
    }

    fn renew(&mut self, time_ms: u64, names: &[LeaseName]) {
        for name in names {
            if let Some(lease) = self.leases.get_mut(&name.shard)
                && lease.epoch == name.epoch
                && !lease.released
            {
                lease.renewed_ms = lease.renewed_ms.max(time_ms);
            }
        }
    }

    fn release(&mut self, names: &[LeaseName]) {
        for name in names {
            if let Some(lease) = self.leases.get_mut(&name.shard)
                && lease.epoch == name.epoch
            {
                lease.released = true;
            }
        }
    }
}
