//! Which items this instance runs. Items fall into shards; the platform's group deals the shards
//! out to the members that are heard from.
//!
//! Ownership saves work, it does not guard correctness: two instances that run the same item for
//! a while are harmless, since the first end on the log counts.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::hashing::hash_bytes;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::log_access::{DurableLog, GroupCall, GroupShards};

/// Time after which a silent member's shards go to others. A killed owner's items must run again
/// well within the 18 s in which results are due.
const MEMBER_TTL: Duration = Duration::from_millis(3_000);
/// Time between two calls: two may be lost before the time is up.
const JOIN_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which the former owner of a shard that moved may still finish what it runs.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Called with the members of the group when it changed.
pub type MembersHook = Box<dyn Fn(Vec<String>) + Send + Sync>;

/// The shards that this instance holds.
pub struct ShardAssignment {
    held: Mutex<HashMap<u64, Instant>>,
    generation: Mutex<u64>,
    members: Mutex<HashSet<String>>,
    on_members: MembersHook,
    member: String,
    shard_count: u64,
}

impl ShardAssignment {
    /// No shards yet, for a member with this name.
    pub fn new(member: String, shard_count: u64, on_members: MembersHook) -> Self {
        Self {
            held: Mutex::default(),
            generation: Mutex::default(),
            members: Mutex::default(),
            on_members,
            member,
            shard_count: shard_count.max(1),
        }
    }

    /// Name of this instance in the group.
    pub fn member(&self) -> &str {
        &self.member
    }

    /// Whether the group has a member, as it was last listed.
    pub fn is_member(&self, name: &str) -> bool {
        self.members.lock().expect("not poisoned").contains(name)
    }

    /// Whether the work with this name may be started here. Work that was known before its shard
    /// came here may still be running elsewhere for a moment.
    pub fn may_run(&self, name: &str, known_for: Duration) -> bool {
        let shard = hash_bytes(name.as_bytes(), 0) % self.shard_count;
        let held = self.held.lock().expect("not poisoned");
        held.get(&shard).is_some_and(|since| {
            let held_for = since.elapsed();
            held_for >= SETTLE_TIME || held_for >= known_for
        })
    }

    /// Stays in the group until the token is cancelled, then leaves it.
    pub async fn run(self: Arc<Self>, log: Arc<DurableLog>, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.join(&log).await;
            stop.run_until_cancelled(sleep(JOIN_PERIOD)).await;
        }
        self.held.lock().expect("not poisoned").clear();
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
        let call = GroupCall {
            member: self.member.clone(),
            generation: *self.generation.lock().expect("not poisoned"),
            ttl: MEMBER_TTL,
        };
        match (log.join)(call).await {
            Ok(shards) => {
                let dealt = self.take(shards);
                if dealt {
                    self.list_members(log).await;
                }
            }
            Err(e) => log::debug!(
                "event=group_join_failed member={} error={:?}",
                self.member,
                e.to_string()
            ),
        }
    }

    async fn list_members(&self, log: &DurableLog) {
        match (log.members)(()).await {
            Ok(members) => {
                *self.members.lock().expect("not poisoned") = members.iter().cloned().collect();
                (self.on_members)(members);
            }
            Err(e) => log::info!("event=members_not_listed error={:?}", e.to_string()),
        }
    }

    /// Takes over what was dealt; returns whether that differs from before.
    fn take(&self, shards: GroupShards) -> bool {
        let mut held = self.held.lock().expect("not poisoned");
        let before = held.len();
        held.retain(|shard, _| shards.shards.contains(shard));
        let lost = before - held.len();
        for shard in &shards.shards {
            held.entry(*shard).or_insert_with(Instant::now);
        }
        let mut generation = self.generation.lock().expect("not poisoned");
        let dealt = *generation != shards.generation;
        if dealt {
            log::info!(
                "event=shards_dealt member={} generation={} held={} lost={lost} gained={}",
                self.member,
                shards.generation,
                held.len(),
                held.len() + lost - before,
            );
        }
        *generation = shards.generation;
        dealt
    }
}
