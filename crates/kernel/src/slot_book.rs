//! The book of one upstream's batch places, kept by the instance that decides on them.

use std::collections::BTreeMap;

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
    heard_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct OnlineWord {
    online: u32,
    heard_ms: u64,
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
    /// Notes how many places an instance could use.
    pub fn note_want(&mut self, instance: &InstanceId, want: u32, now_ms: u64) {
        let heard_ms = now_ms;
        self.owners
            .insert(instance.clone(), OwnerWord { want, heard_ms });
    }

    /// Notes the online work of an instance.
    pub fn note_online(&mut self, instance: &InstanceId, online: u32, now_ms: u64) {
        let heard_ms = now_ms;
        self.online
            .insert(instance.clone(), OnlineWord { online, heard_ms });
        let total = self.online_now();
        self.bursts.note(now_ms, total);
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

    /// The places of each instance that wants some.
    pub fn grants(&self, terms: SlotTerms, policy: &RoomPolicy) -> BTreeMap<InstanceId, u32> {
        let view = RoomView {
            slots: terms.slots,
            online: self.online_now(),
            reserve: self.bursts.largest(),
            slowdown_permille: terms.slowdown_permille,
            growth_permille: terms.growth_permille,
        };
        let wants: Vec<u32> = self.owners.values().map(|word| word.want).collect();
        let shares = split_room((policy.room)(&view), &wants);
        self.owners.keys().cloned().zip(shares).collect()
    }
}
