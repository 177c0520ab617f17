//! Decides which items this instance runs. Items are hashed into shards, which the platform's group
//! assigns to its live members.
//!
//! Ownership avoids duplicate work; correctness does not depend on it. Two instances may run the
//! same item for a while, since only the first end on the log counts.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_kernel::hashing::hash_bytes;
use amaranth_net::state_lock::StateMutex;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::log_access::{DurableLog, GroupShards, JoinRequest};

/// Time after which a silent member's shards are reassigned. The items of a killed owner must run
/// again well within the 18 s in which results are due.
const MEMBER_TTL: Duration = Duration::from_millis(2_400);
/// Time between two join calls. A call that takes as long as its timeout of 1.2 s still renews the
/// membership before [`MEMBER_TTL`] is over.
const JOIN_PERIOD: Duration = Duration::from_millis(700);
/// Time in which the claims of a shard's former owner, written at once and read every 300 ms, have
/// become known.
const HANDOVER_TIME: Duration = Duration::from_millis(700);

/// Called with the members of the group after each change.
pub type MembersHook = Box<dyn Fn(Vec<String>) + Send + Sync>;

/// The shards assigned to this instance, and the members of its group.
pub struct ShardAssignment {
    held: StateMutex<HashMap<u64, Instant>>,
    generation: StateMutex<u64>,
    members: StateMutex<HashSet<String>>,
    /// Whether the members are those of the last generation, as the store lists them.
    is_listed: AtomicBool,
    /// When the membership was last renewed; `None` before the first time.
    renewed: StateMutex<Option<Instant>>,
    on_members: MembersHook,
    member: String,
    shard_count: u64,
}

impl ShardAssignment {
    /// Creates an assignment without shards for the named member.
    pub fn new(member: String, shard_count: u64, on_members: MembersHook) -> Self {
        Self {
            held: StateMutex::default(),
            generation: StateMutex::default(),
            members: StateMutex::default(),
            is_listed: AtomicBool::new(false),
            renewed: StateMutex::default(),
            on_members,
            member,
            shard_count: shard_count.max(1),
        }
    }

    /// Name of this instance in the group.
    pub fn member(&self) -> &str {
        &self.member
    }

    /// Has the members listed anew, as others than those of the store's list may be in use.
    pub fn list_again(&self) {
        self.is_listed.store(false, Ordering::Relaxed);
    }

    /// Whether the other members may have taken this instance off their lists: its membership was not renewed
    /// in time.
    pub fn may_be_replaced(&self) -> bool {
        let renewed = *self.renewed.lock();
        renewed.is_some_and(|renewed| renewed.elapsed() > MEMBER_TTL)
    }

    /// Whether any shard is assigned to this instance.
    pub fn has_shards(&self) -> bool {
        !self.held.lock().is_empty()
    }

    /// Number of members that hold shards, as last listed; at least 1.
    pub fn member_count(&self) -> u64 {
        let members = self.members.lock();
        members.len().max(1) as u64
    }

    /// Whether the member was in the group when it was last listed.
    pub fn is_member(&self, name: &str) -> bool {
        self.members.lock().contains(name)
    }

    /// Whether the item or job with this name may be started or deleted here. If it was known
    /// before its shard was assigned, the former owner may still run it for `HANDOVER_TIME`.
    pub fn may_run(&self, name: &str, known_for: Duration) -> bool {
        let shard = hash_bytes(name.as_bytes(), 0) % self.shard_count;
        let held = self.held.lock();
        held.get(&shard).is_some_and(|since| {
            let held_for = since.elapsed();
            held_for >= HANDOVER_TIME || held_for >= known_for
        })
    }

    /// Renews the membership until the token is cancelled, then leaves the group.
    pub async fn run(self: Arc<Self>, log: Arc<DurableLog>, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.join(&log).await;
            stop.run_until_cancelled(sleep(JOIN_PERIOD)).await;
        }
        self.held.lock().clear();
        match (log.leave)(self.member.clone()).await {
            Ok(()) => log::info!("event=group_left member={}", self.member),
            Err(e) => log::warn!(
                "event=group_not_left member={} error={:?}",
                self.member,
                e.to_string()
            ),
        }
    }

    async fn join(&self, log: &DurableLog) {
        let request = JoinRequest {
            member: self.member.clone(),
            generation: *self.generation.lock(),
            ttl: MEMBER_TTL,
        };
        // The membership lasts from when the call arrives at the store, which is later.
        let sent = Instant::now();
        match (log.join)(request).await {
            Ok(shards) => {
                *self.renewed.lock() = Some(sent);
                let is_new = self.apply_assignment(shards);
                // A list that could not be read is read with the next call, whether the group changes or not.
                if is_new || !self.is_listed.load(Ordering::Relaxed) {
                    self.refresh_members(log).await;
                }
            }
            Err(e) => log::debug!(
                "event=group_join_failed member={} error={:?}",
                self.member,
                e.to_string()
            ),
        }
    }

    async fn refresh_members(&self, log: &DurableLog) {
        // A request to list again that comes during the call counts.
        self.is_listed.store(true, Ordering::Relaxed);
        match (log.members)(()).await {
            Ok(members) => {
                *self.members.lock() = members.iter().cloned().collect();
                (self.on_members)(members);
            }
            Err(e) => {
                self.list_again();
                log::info!("event=members_not_listed error={:?}", e.to_string());
            }
        }
    }

    /// Applies an assignment; returns whether its generation is new.
    fn apply_assignment(&self, shards: GroupShards) -> bool {
        let mut held = self.held.lock();
        let before = held.len();
        held.retain(|shard, _| shards.shards.contains(shard));
        let lost = before - held.len();
        for shard in &shards.shards {
            held.entry(*shard).or_insert_with(Instant::now);
        }
        let mut generation = self.generation.lock();
        let is_new = *generation != shards.generation;
        if is_new {
            log::info!(
                "event=shards_assigned member={} generation={} held={} lost={lost} gained={}",
                self.member,
                shards.generation,
                held.len(),
                held.len() + lost - before,
            );
        }
        *generation = shards.generation;
        is_new
    }
}
