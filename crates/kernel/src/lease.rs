//! Leases on shards. The log arbitrates them: claims are ordered by log offset, and expire by the
//! log's clock.

use std::collections::HashMap;

use amaranth_wire::id::{InstanceId, LeaseEpoch, LogOffset, ShardId, WriterId};
use amaranth_wire::record::{LeaseName, LogRecord};
use serde::{Deserialize, Serialize};

/// Time from its claim or last renewal until a lease expires, in milliseconds of the log's clock.
pub const LEASE_TTL_MS: u64 = 6_000;

/// Safety margin by which a holder stops using its lease before it expires, in milliseconds.
pub const HOLDER_MARGIN_MS: u64 = 1_500;
/// Lease age at which the holder renews it, in milliseconds.
pub const RENEW_AFTER_MS: u64 = 2_000;
/// How long another instance must be preferred for a shard before the holder hands it over, in
/// milliseconds. Longer than a restarting instance is missing from the instance list, so that a
/// restart moves no shards.
pub const HAND_OVER_AFTER_MS: u64 = 10_000;

/// A lease from its holder's point of view, timed by a monotonic clock that keeps running while the
/// host is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Epoch of the claim.
    pub epoch: LeaseEpoch,
    /// The holder's clock just before it sent the last renewal that is confirmed to be on the log.
    pub sent_ms: u64,
}

impl HeldLease {
    /// Whether the holder may still rely on the lease.
    pub fn is_valid(&self, steady_ms: u64) -> bool {
        steady_ms < self.sent_ms + LEASE_TTL_MS - HOLDER_MARGIN_MS
    }

    /// Whether the lease is old enough to be renewed.
    pub fn is_renewal_due(&self, steady_ms: u64) -> bool {
        steady_ms >= self.sent_ms + RENEW_AFTER_MS
    }
}

/// Inputs of [`next_shard_action`] for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardView {
    /// Epoch of this instance's lease, if it holds a valid one.
    pub held: Option<LeaseEpoch>,
    /// Epoch of the last lease on the log, by any holder.
    pub last: Option<LeaseEpoch>,
    /// Whether a claim would succeed now: there is no lease, or it expired or was released.
    pub claimable: bool,
    /// Whether this instance is the preferred owner of the shard.
    pub preferred: bool,
    /// How long another instance has been preferred without interruption, in milliseconds.
    pub displaced_ms: u64,
    /// Whether this instance is shutting down.
    pub leaving: bool,
    /// Whether this instance is still running items of the shard.
    pub busy: bool,
}

/// What an instance should do about one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardAction {
    /// Keep the lease and start items.
    Run(LeaseEpoch),
    /// Start no further items; release the lease when the running ones have ended.
    Drain,
    /// Release the lease; no items are running.
    Release(LeaseEpoch),
    /// Claim the shard, naming the epoch of the last lease on the log.
    Claim(Option<LeaseEpoch>),
    /// Do nothing; the shard belongs to another instance.
    Ignore,
}

/// Decides what to do about one shard.
pub fn next_shard_action(view: ShardView) -> ShardAction {
    let displaced = view.displaced_ms >= HAND_OVER_AFTER_MS;
    match view.held {
        Some(epoch) if !view.leaving && !displaced => ShardAction::Run(epoch),
        Some(_) if view.busy => ShardAction::Drain,
        Some(epoch) => ShardAction::Release(epoch),
        None if view.claimable && view.preferred && !view.leaving => ShardAction::Claim(view.last),
        None => ShardAction::Ignore,
    }
}

/// The current lease of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLease {
    /// Instance that holds it.
    pub holder: InstanceId,
    /// Writer id of the holder's process; a restarted instance has a new one.
    pub writer: WriterId,
    /// Epoch of the lease: the log offset of its claim.
    pub epoch: LeaseEpoch,
    /// Time of the claim or the last renewal, Unix milliseconds by the log's clock.
    pub renewed_ms: u64,
    /// Whether the holder released it.
    pub released: bool,
}

impl ShardLease {
    /// Whether the lease has expired or was released, so that any instance may claim the shard.
    pub fn is_claimable(&self, log_now_ms: u64) -> bool {
        self.released || log_now_ms >= self.renewed_ms + LEASE_TTL_MS
    }
}

/// The last lease of each shard, built by replaying the log.
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

    /// Returns the last lease of a shard, which may have expired or been released.
    pub fn get(&self, shard: ShardId) -> Option<&ShardLease> {
        self.leases.get(&shard)
    }

    /// Whether the shard's last lease has this epoch and was not released. Ignores expiry.
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
