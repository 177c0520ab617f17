//! Decides which requests yield when capacity is short: first those of less urgent teams, and among equally
//! urgent ones those of teams that have been granted more than their share of the work.
//!
//! Shares are equal, and what a team doesn't use falls to the others (max-min fairness): the teams at the top
//! yield until the rest has what it asks for.

use std::collections::{BTreeMap, HashMap};

use amaranth_wire::id::TeamId;
use amaranth_wire::placement_message::{PromptShape, RequestWork};

use crate::decaying_sum::DecayingSum;

/// Time constant of the accounts, in milliseconds: a few times the service time of a request, and no longer
/// than a peak, so that a team that returns to its usual rate is soon treated as usual.
const ACCOUNT_TIME_MS: f64 = 5_000.0;
/// Part of all work, at the top of the accounts, whose teams yield: above the noise of single requests.
const YIELDING_PART: f64 = 0.05;
/// Multiple of the mean account up to which a team doesn't yield. Teams with equal traffic differ by chance.
const MEAN_TOLERANCE: f64 = 1.25;
/// Part of the requests that found a free slot of late, from which capacity isn't short. Where a tenth has to
/// wait, few of those wait for longer than their objective.
const SHORT_FREE_SHARE: f64 = 0.9;
/// Time constant of that part, in milliseconds: some tens of requests at a peak, and a small part of a
/// service time.
const FREE_TIME_MS: f64 = 100.0;
/// Patience below which a request doesn't get a free slot either while capacity is short.
const MIN_PATIENCE: f64 = 0.2;
/// Shortest and longest delay after which a request that yields should return, in milliseconds: those of
/// requests refused for lack of room.
const RETRY_MS: (f64, f64) = (50.0, 5_000.0);
/// Part of the patience of one priority that a yielding team keeps, so that it gets a place where the wait is
/// shortest.
const YIELDING_PATIENCE: f64 = 0.1;
/// Interval between two calculations of the levels, in milliseconds: a small part of the time constant, as
/// they visit all accounts.
const LEVEL_INTERVAL_MS: u64 = 200;
/// Account below which a team is forgotten, in slot milliseconds: far less than one request.
const FORGOTTEN_MS: f64 = 5.0;
/// Interval in which decayed accounts are looked for, in milliseconds: that in which they decay.
const FORGET_INTERVAL_MS: u64 = 5_000;
/// Work of a request of unknown size, in slot milliseconds.
const DEFAULT_WORK_MS: f64 = 500.0;
/// Time in which an engine generates a token, in slot milliseconds; the engines in use take 3 ms at least.
const TOKEN_MS: f64 = 3.0;
/// Prompt tokens that an engine reads in a slot millisecond; the engines in use read 57 to 79.
const PROMPT_TOKENS_PER_MS: f64 = 70.0;

/// Work granted to one team of late.
#[derive(Debug)]
struct TeamAccount {
    work: DecayingSum,
    /// Priority of its last granted request.
    priority: u32,
}

/// Accounts of one priority.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct PriorityLevel {
    /// Account above which a team yields.
    yielding_ms: f64,
}

/// What a request finds at the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// A slot that was free.
    Free,
    /// A place in a queue.
    Queued,
    /// Neither.
    Refused,
}

/// How a request competes for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareDecision {
    /// It may wait for this part of its objective.
    Compete {
        /// The part, above 0 and up to 1.
        patience: f64,
    },
    /// It leaves the slots to others.
    Yield {
        /// Time after which it should return, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Work granted to each team of late. Requests without a team share one account.
#[derive(Debug)]
pub struct TeamShares {
    accounts: HashMap<Option<TeamId>, TeamAccount>,
    /// Levels by priority, most urgent first.
    levels: Vec<(u32, PriorityLevel)>,
    levels_ms: Option<u64>,
    forgotten_ms: u64,
    /// Requests that found no free slot of late, and all.
    waiting: DecayingSum,
    all: DecayingSum,
}

impl Default for TeamShares {
    fn default() -> Self {
        Self {
            accounts: HashMap::new(),
            levels: Vec::new(),
            levels_ms: None,
            forgotten_ms: 0,
            waiting: DecayingSum::new(FREE_TIME_MS),
            all: DecayingSum::new(FREE_TIME_MS),
        }
    }
}

/// Estimates the work of a request, in slot milliseconds.
pub fn work_ms(prompt: &PromptShape) -> f64 {
    match prompt.output_tokens {
        0 => DEFAULT_WORK_MS,
        tokens => {
            f64::from(tokens) * TOKEN_MS + f64::from(prompt.prompt_tokens) / PROMPT_TOKENS_PER_MS
        }
    }
}

impl TeamShares {
    /// Accounts without work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of teams with an account.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no team has an account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Records what a request found.
    pub fn record(&mut self, work: &RequestWork, outcome: SlotOutcome, now_ms: u64) {
        self.all.add(1.0, now_ms);
        if outcome != SlotOutcome::Free {
            self.waiting.add(1.0, now_ms);
        }
        if outcome != SlotOutcome::Refused {
            self.record_grant(work, now_ms);
        }
    }

    fn record_grant(&mut self, work: &RequestWork, now_ms: u64) {
        if now_ms >= self.forgotten_ms + FORGET_INTERVAL_MS {
            self.forget_decayed(now_ms);
        }
        let account = self.accounts.entry(work.team.clone());
        let account = account.or_insert_with(|| TeamAccount {
            work: DecayingSum::new(ACCOUNT_TIME_MS),
            priority: work.priority,
        });
        account.work.add(work_ms(&work.prompt), now_ms);
        account.priority = work.priority;
    }

    /// Part of the requests that found a free slot of late. Without requests it returns to 1.
    fn free_share(&self, now_ms: u64) -> f64 {
        1.0 - self.waiting.at(now_ms) / (self.all.at(now_ms) + 1.0)
    }

    /// Decides how a request competes for a slot.
    pub fn decide(&mut self, work: &RequestWork, now_ms: u64) -> ShareDecision {
        if self.free_share(now_ms) >= SHORT_FREE_SHARE {
            return ShareDecision::Compete { patience: 1.0 };
        }
        self.update_levels(now_ms);
        let account = self.accounts.get(&work.team);
        let used_ms = account.map_or(0.0, |account| account.work.at(now_ms));
        let patience = self.patience(work.priority, used_ms);
        match patience < MIN_PATIENCE {
            false => ShareDecision::Compete { patience },
            true => ShareDecision::Yield {
                retry_after_ms: self.return_time_ms(work.priority, used_ms),
            },
        }
    }

    fn level(&self, priority: u32) -> Option<PriorityLevel> {
        let level = self.levels.iter().find(|(known, _)| *known == priority);
        level.map(|(_, level)| *level)
    }

    /// Part of its objective that a request of this priority, whose team used this much, may wait for a slot.
    /// Each priority has an equal range, so that a yielding team comes before any less urgent one.
    fn patience(&self, priority: u32, used_ms: f64) -> f64 {
        let range = 1.0 / self.levels.len().max(1) as f64;
        let more_urgent = self.levels.iter().filter(|(known, _)| *known < priority);
        let patience = 1.0 - more_urgent.count() as f64 * range;
        match self.level(priority) {
            Some(level) if used_ms > level.yielding_ms => {
                patience - range * (1.0 - YIELDING_PATIENCE)
            }
            // Less urgent than all others.
            None if patience <= 0.0 => range * YIELDING_PATIENCE / 2.0,
            _ => patience,
        }
    }

    /// Time in which a team's account falls to the level at which it doesn't yield.
    fn return_time_ms(&self, priority: u32, used_ms: f64) -> u64 {
        let level_ms = self.level(priority).map_or(0.0, |level| level.yielding_ms);
        let (min_ms, max_ms) = RETRY_MS;
        match level_ms > 0.0 && used_ms > level_ms {
            true => (ACCOUNT_TIME_MS * (used_ms / level_ms).ln()).clamp(min_ms, max_ms) as u64,
            false => min_ms as u64,
        }
    }

    fn update_levels(&mut self, now_ms: u64) {
        let is_due = |at_ms: u64| now_ms >= at_ms + LEVEL_INTERVAL_MS;
        if !self.levels_ms.is_none_or(is_due) {
            return;
        }
        self.levels_ms = Some(now_ms);
        let mut used: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
        for account in self.accounts.values() {
            let of_priority = used.entry(account.priority).or_default();
            of_priority.push(account.work.at(now_ms));
        }
        let levels = used.into_iter();
        let levels = levels.map(|(priority, used)| (priority, PriorityLevel::new(used)));
        self.levels = levels.collect();
    }

    fn forget_decayed(&mut self, now_ms: u64) {
        self.accounts
            .retain(|_, account| account.work.at(now_ms) >= FORGOTTEN_MS);
        self.forgotten_ms = now_ms;
    }
}

impl PriorityLevel {
    /// Finds the level above which the accounts hold the yielding part of all work.
    fn new(mut used: Vec<f64>) -> Self {
        used.sort_by(|a, b| b.total_cmp(a));
        let total: f64 = used.iter().sum();
        let mean = total / used.len().max(1) as f64;
        let mut above = 0.0;
        let mut level = 0.0;
        for (count, account) in used.iter().enumerate() {
            // With the level at this account, the `count` larger ones hold `above - count * account` above it.
            if above - count as f64 * account > total * YIELDING_PART {
                break;
            }
            above += account;
            level = (above - total * YIELDING_PART) / (count + 1) as f64;
        }
        Self {
            yielding_ms: level.max(mean * MEAN_TOLERANCE),
        }
    }
}
