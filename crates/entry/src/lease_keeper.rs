//! The leases that this instance holds, by its own clock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::lease::LEASE_TTL_MS;
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{LeaseEpoch, ShardId};
use amaranth_wire::record::{LeaseName, LogRecord};

use crate::context::InstanceContext;

/// How much earlier than the log this instance lets its leases end, in milliseconds.
const MARGIN_MS: u64 = 1_500;
/// Age at which a lease is renewed, in milliseconds.
const RENEW_AFTER_MS: u64 = 2_000;
/// Longest wait for a claim or renewal on the log.
const COMMIT_LIMIT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    epoch: LeaseEpoch,
    renewed_ms: u64,
    renewing: bool,
}

/// The leases that this instance believes to hold.
#[derive(Debug, Default)]
pub struct LeaseKeeper {
    held: Mutex<HashMap<ShardId, HeldLease>>,
}

impl LeaseKeeper {
    /// The epoch under which the shard is held right now, counted from before the last renewal
    /// was sent.
    pub fn current(&self, shard: ShardId) -> Option<LeaseEpoch> {
        let held = self.held.lock().expect("not poisoned");
        let lease = held.get(&shard)?;
        let ends_ms = lease.renewed_ms + LEASE_TTL_MS - MARGIN_MS;
        (steady_ms() < ends_ms).then_some(lease.epoch)
    }

    /// Claims a shard that was last held under the given epoch.
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
        let lease = HeldLease {
            epoch,
            renewed_ms: sent_ms,
            renewing: false,
        };
        self.held.lock().expect("not poisoned").insert(shard, lease);
    }

    /// Starts the renewal of every lease that is due for it, in one record.
    pub fn renew_due(self: &Arc<Self>, context: &Arc<InstanceContext>) {
        let due = self.take_due(context);
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
            let Some(lease) = held.get_mut(&name.shard) else {
                continue;
            };
            lease.renewing = false;
            if renewed && context.state.leases().is_current(name.shard, name.epoch) {
                lease.renewed_ms = sent_ms;
            }
        }
    }

    fn take_due(&self, context: &InstanceContext) -> Vec<LeaseName> {
        let now_ms = steady_ms();
        let leases = context.state.leases();
        let mut held = self.held.lock().expect("not poisoned");
        held.retain(|shard, lease| leases.is_current(*shard, lease.epoch));
        let due = held
            .iter_mut()
            .filter(|(_, lease)| !lease.renewing && now_ms >= lease.renewed_ms + RENEW_AFTER_MS);
        due.map(|(shard, lease)| {
            lease.renewing = true;
            LeaseName {
                shard: *shard,
                epoch: lease.epoch,
            }
        })
        .collect()
    }
}
