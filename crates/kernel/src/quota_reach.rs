//! Which instances a counting member still reaches, while it doesn't hear from the other counting member.
//!
//! The load: a cut leaves one of the two members that count a team's requests on each side, and the team is at
//! its peak on both. A member can't tell a dead partner from an unreachable one, but it can tell which of the
//! instances that send the team's requests it still reaches, and grants their part of the limit only. The parts
//! of two sides add up to the limit; behind a dead partner hardly anything is missing.

use std::collections::HashMap;
use std::hash::Hash;

use crate::decaying_sum::DecayingSum;

/// Interval between pings of a partner in milliseconds, where teams use much of their limits.
const BUSY_PING_MS: u64 = 100;
/// The same where no team does, in milliseconds.
const IDLE_PING_MS: u64 = 1_000;
/// Time after which an unanswered ping says that contact is lost, in milliseconds: ten round trips between
/// distant data centres. Lost contact alone changes nothing.
const SILENT_MS: u64 = 150;
/// Time constant of an instance's usage, in milliseconds: twice the usual window.
const USAGE_TIME_MS: f64 = 10_000.0;
/// Number of instances from which those of little usage are forgotten, about that of the largest deployments.
const MAX_INSTANCES: usize = 4_096;
/// Usage below which an instance is forgotten then, in requests.
const MIN_USAGE: f64 = 0.01;

/// What to do about the other counting member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactStep {
    /// Nothing.
    Wait,
    /// Ping it.
    Ping,
    /// Ping it and the instances: it doesn't answer.
    Probe,
}

/// Contact with the other member that counts requests of some teams.
#[derive(Debug, Clone, Copy, Default)]
pub struct PartnerContact {
    pinged_ms: Option<u64>,
    /// When the first ping was sent that it has not answered.
    unanswered_ms: Option<u64>,
    /// Whether it ever answered: members of older versions don't.
    has_answered: bool,
}

impl PartnerContact {
    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.unanswered_ms = None;
        self.has_answered = true;
    }

    /// Whether it answered before, and does no longer.
    pub fn is_lost(&self, now_ms: u64) -> bool {
        let is_silent = |since_ms| now_ms >= since_ms + SILENT_MS;
        self.has_answered && self.unanswered_ms.is_some_and(is_silent)
    }

    /// Decides about the next step, and records a ping. `is_busy` tells whether a team uses much of its limit.
    pub fn next_step(&mut self, is_busy: bool, now_ms: u64) -> ContactStep {
        let period_ms = match is_busy || self.unanswered_ms.is_some() {
            true => BUSY_PING_MS,
            false => IDLE_PING_MS,
        };
        if self
            .pinged_ms
            .is_some_and(|at_ms| now_ms < at_ms + period_ms)
        {
            return ContactStep::Wait;
        }
        self.pinged_ms = Some(now_ms);
        self.unanswered_ms.get_or_insert(now_ms);
        match self.is_lost(now_ms) {
            true => ContactStep::Probe,
            false => ContactStep::Ping,
        }
    }
}

/// How much of a team's usage comes from which instance.
#[derive(Debug)]
pub struct InstanceUsage<R> {
    /// Usage up to the last contact with the other counting member, which knows the same.
    shared: HashMap<R, DecayingSum>,
    /// Requests since.
    recent: HashMap<R, f64>,
}

impl<R> Default for InstanceUsage<R> {
    fn default() -> Self {
        Self {
            shared: HashMap::new(),
            recent: HashMap::new(),
        }
    }
}

impl<R: Clone + Eq + Hash> InstanceUsage<R> {
    /// Records a request of an instance.
    pub fn record(&mut self, instance: &R) {
        match self.recent.get_mut(instance) {
            Some(requests) => *requests += 1.0,
            None => {
                self.recent.insert(instance.clone(), 1.0);
            }
        }
    }

    /// Records contact with the other counting member.
    pub fn record_contact(&mut self, now_ms: u64) {
        for (instance, requests) in self.recent.drain() {
            let new = || DecayingSum::new(USAGE_TIME_MS);
            let sum = self.shared.entry(instance).or_insert_with(new);
            sum.add(requests, now_ms);
        }
        if self.shared.len() >= MAX_INSTANCES {
            self.shared.retain(|_, sum| sum.at(now_ms) >= MIN_USAGE);
        }
    }

    /// The usage of each instance up to the last contact. Both sides of a cut agree on it, so that their parts
    /// add up to the limit.
    pub fn shares(&self, now_ms: u64) -> UsageShares<R> {
        let rows = self.shared.iter();
        let rows = rows.map(|(instance, sum)| (instance.clone(), sum.at(now_ms)));
        UsageShares(rows.collect())
    }
}

/// Usage of a team by instance, at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageShares<R>(Vec<(R, f64)>);

impl<R> UsageShares<R> {
    /// The part of the usage that comes from instances which are reached, of those of which that is known.
    /// `None` if there is no usage of them.
    pub fn part_of(&self, is_reached: impl Fn(&R) -> Option<bool>) -> Option<f64> {
        let (mut reached, mut total) = (0.0, 0.0);
        for (instance, usage) in &self.0 {
            if let Some(is_reached) = is_reached(instance) {
                total += usage;
                reached += if is_reached { *usage } else { 0.0 };
            }
        }
        (total > 0.0).then(|| reached / total)
    }
}
