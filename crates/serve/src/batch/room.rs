//! Room for batch items: permits that are revoked when online requests need it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::batch_share::{OnlineLevel, batch_allowance};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::UpstreamGroupId;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::batch::shards::ShardHold;
use crate::upstream_pool::UpstreamPool;

/// Time between two looks at the room while nothing happens: the level falls by about a sixth
/// in it.
const LOOK_PERIOD: Duration = Duration::from_millis(150);

/// Hands out permits.
pub struct BatchRoom {
    pool: Arc<UpstreamPool>,
    shards: Arc<ShardHold>,
    groups: Mutex<HashMap<UpstreamGroupId, GroupRoom>>,
    freed: Notify,
    dither: f64,
}

#[derive(Default)]
struct GroupRoom {
    level: OnlineLevel,
    /// In the order in which they were handed out.
    permits: Vec<(u64, CancellationToken)>,
    next_permit: u64,
}

/// The right to run one item, until dropped or revoked.
pub struct RoomPermit {
    /// Cancelled when the item must give way.
    pub revoked: CancellationToken,
    group: UpstreamGroupId,
    number: u64,
    room: Arc<BatchRoom>,
}

impl BatchRoom {
    /// Room at these upstreams, shared by the members of the group.
    pub fn new(pool: Arc<UpstreamPool>, shards: Arc<ShardHold>) -> Self {
        Self {
            pool,
            shards,
            groups: Mutex::default(),
            freed: Notify::new(),
            dither: rand::random(),
        }
    }

    /// Waits for a permit.
    pub async fn acquire(self: &Arc<Self>, group: &UpstreamGroupId) -> RoomPermit {
        loop {
            if let Some(permit) = self.try_acquire(group) {
                return permit;
            }
            // Room also grows when the level falls, which nothing tells.
            let _ = timeout(LOOK_PERIOD, self.freed.notified()).await;
        }
    }

    fn try_acquire(self: &Arc<Self>, group: &UpstreamGroupId) -> Option<RoomPermit> {
        let mut groups = self.groups.lock().expect("not poisoned");
        let room = groups.entry(group.clone()).or_default();
        let allowance = self.allowance(group, &mut room.level);
        if room.permits.len() >= allowance as usize {
            return None;
        }
        let revoked = CancellationToken::new();
        let number = room.next_permit;
        room.next_permit += 1;
        room.permits.push((number, revoked.clone()));
        Some(RoomPermit {
            revoked,
            group: group.clone(),
            number,
            room: self.clone(),
        })
    }

    fn allowance(&self, group: &UpstreamGroupId, level: &mut OnlineLevel) -> u32 {
        let load = self.pool.group_load(group);
        let level = level.note(load.online, steady_ms());
        batch_allowance(load.slots, self.shards.members(), level, self.dither)
    }

    /// Revokes permits as online requests arrive, until the token is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let watch = async {
            loop {
                self.pool.online_started().await;
                self.revoke();
            }
        };
        stop.run_until_cancelled(watch).await;
    }

    /// Revokes the newest permits beyond the allowance: those items have the least to lose.
    fn revoke(&self) {
        let mut groups = self.groups.lock().expect("not poisoned");
        for (group, room) in groups.iter_mut() {
            let allowance = self.allowance(group, &mut room.level) as usize;
            for (number, revoked) in room.permits.iter().skip(allowance) {
                if !revoked.is_cancelled() {
                    log::debug!("event=item_gives_way group={group} permit={number} allowance={allowance}");
                    metrics::counter!("items_gave_way_total").increment(1);
                    revoked.cancel();
                }
            }
        }
    }
}

impl Drop for RoomPermit {
    fn drop(&mut self) {
        let mut groups = self.room.groups.lock().expect("not poisoned");
        if let Some(room) = groups.get_mut(&self.group) {
            room.permits.retain(|(number, _)| *number != self.number);
        }
        drop(groups);
        self.room.freed.notify_one();
    }
}
