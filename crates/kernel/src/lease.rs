//! Leases on shards, arbitrated by the log: its offsets order the claims, its clock expires them.

use std::collections::HashMap;

use amaranth_wire::id::{InstanceId, LeaseEpoch, LogOffset, ShardId, WriterId};
use amaranth_wire::record::{LeaseName, LogRecord};

/// How long a lease lasts after its last renewal, in milliseconds of the log's clock.
pub const LEASE_TTL_MS: u64 = 6_000;

/// The current lease of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
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
#[derive(Debug, Clone, Default, PartialEq, Eq)]
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
