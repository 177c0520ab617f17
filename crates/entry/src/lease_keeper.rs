//! The shard leases of this instance; validity is judged by the local monotonic clock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::lease::HeldLease;
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{LeaseEpoch, ShardId};
use amaranth_wire::record::{LeaseName, LogRecord};

use crate::context::InstanceContext;

/// Timeout of appending and folding a claim, renewal or release.
const COMMIT_LIMIT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy)]
struct LeaseEntry {
    lease: HeldLease,
    renewing: bool,
}

/// Claims, renews and releases leases, and keeps those that this instance holds.
#[derive(Debug, Default)]
pub struct LeaseKeeper {
    held: Mutex<HashMap<ShardId, LeaseEntry>>,
}

impl LeaseKeeper {
    /// Epoch of the shard's lease if it is still valid. Its time to live counts from before the
    /// last renewal was sent.
    pub fn current_epoch(&self, shard: ShardId) -> Option<LeaseEpoch> {
        let held = self.held.lock().expect("not poisoned");
        let lease = held.get(&shard)?.lease;
        lease.is_valid(steady_ms()).then_some(lease.epoch)
    }

    /// Whether no lease is held.
    pub fn is_empty(&self) -> bool {
        self.held.lock().expect("not poisoned").is_empty()
    }

    /// Drops a lease and releases it on the log, so that another instance need not wait until it
    /// expires.
    pub async fn release(&self, context: &InstanceContext, name: LeaseName) {
        self.held.lock().expect("not poisoned").remove(&name.shard);
        let (shard, epoch) = (name.shard, name.epoch);
        let record = LogRecord::LeasesReleased { leases: vec![name] };
        let released = context.committer.submit(vec![record], COMMIT_LIMIT).await;
        log::info!(
            "event=lease_released shard={shard} epoch={epoch} appended={}",
            released.is_ok()
        );
    }

    /// Claims a shard whose last lease had the epoch `after`.
    pub async fn claim(
        &self,
        context: &InstanceContext,
        shard: ShardId,
        after: Option<LeaseEpoch>,
    ) {
        let sent_ms = steady_ms();
        let record = LogRecord::LeaseClaimed {
            shard,
            holder: context.config.instance.clone(),
            writer: context.config.writer,
            after,
        };
        let Ok(offset) = context.committer.submit(vec![record], COMMIT_LIMIT).await else {
            return;
        };
        if !context.state.wait_folded(offset, COMMIT_LIMIT).await {
            return;
        }
        let epoch = LeaseEpoch(offset.0);
        if !context.state.leases().is_current(shard, epoch) {
            return;
        }
        log::info!("event=lease_claimed shard={shard} epoch={epoch}");
        let entry = LeaseEntry {
            lease: HeldLease { epoch, sent_ms },
            renewing: false,
        };
        self.held.lock().expect("not poisoned").insert(shard, entry);
    }

    /// Starts renewing all leases that are due, in one record.
    pub fn renew_due(self: &Arc<Self>, context: &Arc<InstanceContext>) {
        let due = self.mark_due(context);
        if due.is_empty() {
            return;
        }
        let (keeper, context) = (self.clone(), context.clone());
        tokio::spawn(async move { keeper.renew(&context, due).await });
    }

    async fn renew(&self, context: &InstanceContext, leases: Vec<LeaseName>) {
        let sent_ms = steady_ms();
        let record = LogRecord::LeasesRenewed {
            leases: leases.clone(),
        };
        let renewed = match context.committer.submit(vec![record], COMMIT_LIMIT).await {
            Ok(offset) => context.state.wait_folded(offset, COMMIT_LIMIT).await,
            Err(_) => false,
        };
        let mut held = self.held.lock().expect("not poisoned");
        for name in leases {
            let entry = held.get_mut(&name.shard);
            let Some(entry) = entry.filter(|entry| entry.lease.epoch == name.epoch) else {
                continue;
            };
            entry.renewing = false;
            if renewed && context.state.leases().is_current(name.shard, name.epoch) {
                entry.lease.sent_ms = sent_ms;
            }
        }
    }

    fn mark_due(&self, context: &InstanceContext) -> Vec<LeaseName> {
        let now_ms = steady_ms();
        let leases = context.state.leases();
        let mut held = self.held.lock().expect("not poisoned");
        held.retain(|shard, entry| leases.is_current(*shard, entry.lease.epoch));
        let due = held
            .iter_mut()
            .filter(|(_, entry)| !entry.renewing && entry.lease.is_renewal_due(now_ms));
        due.map(|(shard, entry)| {
            entry.renewing = true;
            LeaseName {
                shard: *shard,
                epoch: entry.lease.epoch,
            }
        })
        .collect()
    }
}
