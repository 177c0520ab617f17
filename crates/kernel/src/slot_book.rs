//! The book of one upstream's batch places, kept by the instance that decides on them.

use std::collections::BTreeMap;

use amaranth_wire::batch_slots::SlotGrant;
use amaranth_wire::id::InstanceId;

use crate::batch_room::{BurstWindow, RoomPolicy, RoomView, split_room};

/// How long an instance's last word counts, in milliseconds.
pub const WORD_EXPIRY_MS: u64 = 3_000;
/// How long a grant counts at its holder without a renewal, in milliseconds. Shorter than the
/// time for which the decider counts it.
pub const GRANT_TTL_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy)]
struct OwnerWord {
    want: u32,
    /// Streams that it runs or may start any time.
    committed: u32,
    heard_ms: u64,
}

/// What an instance said of its online work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnlineWord {
    /// Requests in flight.
    pub online: u32,
    /// When it said so, by its own clock in milliseconds.
    pub told_ms: u64,
    /// When it was heard, by the decider's clock in milliseconds.
    pub heard_ms: u64,
}

/// What does not change from moment to moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotTerms {
    /// Places in the upstream's batch.
    pub slots: u32,
    /// Longest step that batch may cause, in thousandths of the step without it.
    pub slowdown_permille: u32,
    /// Growth of the step for each further stream, in thousandths of the step of one.
    pub growth_permille: u32,
}

/// Who wants batch places at an upstream, and what online work it has.
#[derive(Debug, Clone, Default)]
pub struct SlotBook {
    owners: BTreeMap<InstanceId, OwnerWord>,
    online: BTreeMap<InstanceId, OnlineWord>,
    bursts: BurstWindow,
}

impl SlotBook {
    /// Notes how many places an instance could use, and how many it runs or was granted.
    pub fn note_ask(&mut self, instance: &InstanceId, want: u32, committed: u32, now_ms: u64) {
        let word = OwnerWord {
            want,
            committed,
            heard_ms: now_ms,
        };
        self.owners.insert(instance.clone(), word);
    }

    /// Notes the online work of an instance.
    pub fn note_online(&mut self, instance: &InstanceId, word: OnlineWord) {
        let known = self.online.get(instance);
        if known.is_some_and(|known| known.told_ms > word.told_ms) {
            return;
        }
        self.online.insert(instance.clone(), word);
        let total = self.online_now();
        self.bursts.note(word.heard_ms, total);
    }

    /// Forgets instances that have not been heard of for long.
    pub fn forget_silent(&mut self, now_ms: u64) {
        self.owners
            .retain(|_, word| now_ms < word.heard_ms + WORD_EXPIRY_MS);
        self.online
            .retain(|_, word| now_ms < word.heard_ms + WORD_EXPIRY_MS);
    }

    /// Online streams of all instances.
    pub fn online_now(&self) -> u32 {
        self.online.values().map(|word| word.online).sum()
    }

    /// The places of each instance that wants some. Running streams are cancelled only where
    /// they exceed the room; an instance that runs more than its share lets the others in as its
    /// streams end.
    pub fn grants(
        &mut self,
        terms: SlotTerms,
        policy: &RoomPolicy,
    ) -> BTreeMap<InstanceId, SlotGrant> {
        let view = RoomView {
            slots: terms.slots,
            online: self.online_now(),
            online_lately: self.bursts.any(),
            reserve: self.bursts.largest(),
            slowdown_permille: terms.slowdown_permille,
            growth_permille: terms.growth_permille,
        };
        let room = (policy.room)(&view);
        let wants: Vec<u32> = self.owners.values().map(|word| word.want).collect();
        let committed: Vec<u32> = self.owners.values().map(|word| word.committed).collect();
        let shares = split_room(room.start, &wants);
        let kept = split_room(room.keep, &committed);
        let mut left = room.start.saturating_sub(kept.iter().sum());
        let mut grants = BTreeMap::new();
        for (index, (instance, word)) in self.owners.iter_mut().enumerate() {
            let keep = kept[index];
            let more = shares[index].saturating_sub(keep).min(left);
            left -= more;
            let granted = match more {
                0 => shares[index].min(keep),
                more => keep + more,
            };
            word.committed = keep.max(granted);
            grants.insert(instance.clone(), SlotGrant { granted, keep });
        }
        grants
    }
}
