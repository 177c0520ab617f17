//! Limits on the requests of a team over all instances.
//!
//! Two members count the requests of a team in token buckets. An instance that reaches neither decides by a
//! local allowance. A member that doesn't hear from the other one grants the part of the instances that it
//! still reaches. The bound on what runs in a window is above the limit by a spare amount; each source of error
//! has its part of it.

use std::collections::HashMap;
use std::hash::Hash;

use amaranth_wire::id::TeamId;

use crate::decaying_sum::DecayingSum;
use crate::hashing::hash_bytes;
use crate::quota_reach::{InstanceUsage, UsageShares};
use crate::team_table::RequestQuota;

/// Part of the spare amount that a bucket holds beyond the burst. Requests that a caller sends at the rate
/// arrive closer together when messages are delayed.
const TOLERANCE_PART: f64 = 0.1;
/// Part of the spare amount in a new bucket. The burst and the rate of the window may have been used at former
/// counters; with the tolerance, half of the spare amount is left.
const START_PART: f64 = 0.4;
/// Part of the spare amount that local allowances may use in a window, if at most half of the traffic is
/// cut off from counters that go on for the rest.
const LOCAL_PART: f64 = 0.3;
/// Factor by which allowances of all instances exceed the part of those that are cut off.
const CUT_OFF_FACTOR: f64 = 2.0;
/// Part of the local allowances that is divided by recent usage; the rest is divided equally, for callers that
/// come to other instances.
const USAGE_PART: f64 = 0.5;
/// Time constant of recent usage, in milliseconds: twice the usual window, so that usage follows a change of
/// traffic but not single requests.
const USAGE_TIME_MS: f64 = 10_000.0;
/// Time constant of recent rejections, in milliseconds, for the time after which callers should return.
const REJECTION_TIME_MS: f64 = 1_000.0;
/// Most time before the first local decision for which tokens are credited, in milliseconds: about the time
/// between two requests of a large team at one instance.
const LOCAL_CREDIT_MS: u64 = 1_000;
/// Time without a local decision after which the next one starts anew, in milliseconds.
const LOCAL_RESTART_MS: u64 = 10_000;
/// Shortest and longest delay after which a rejected caller should return, in milliseconds: those of requests
/// refused for lack of room.
const RETRY_MS: (f64, f64) = (50.0, 5_000.0);
/// Number of teams from which idle ones are forgotten; several times that of the largest configuration.
const MAX_TEAMS: usize = 65_536;
/// Time after which a part of a limit that isn't told again is over, in milliseconds: many times the interval at
/// which it is told.
const PART_LIFETIME_MS: u64 = 1_000;
/// Part of a team's rate, or of its burst, from which on its use is much.
const BUSY_PART: f64 = 0.5;
/// Time after which a team is idle, in milliseconds: several times what usage remembers.
const IDLE_MS: u64 = 60_000;

/// What may run beyond the limits of teams.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window in which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Part of the limit that may run beyond it.
    pub overshoot: f64,
    /// Requests that may run beyond the limit and its overshoot.
    pub slack: f64,
}

impl Default for QuotaBounds {
    /// The bounds of deployments whose settings name none.
    fn default() -> Self {
        Self {
            window_ms: 5_000,
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaBounds {
    fn window_s(&self) -> f64 {
        self.window_ms as f64 / 1_000.0
    }

    /// Most requests within the limit in one window.
    fn limit(&self, quota: RequestQuota) -> f64 {
        quota.rate_per_s * self.window_s() + quota.burst
    }

    /// Requests that may run in a window beyond rate and burst.
    fn spare(&self, quota: RequestQuota) -> f64 {
        self.limit(quota) * self.overshoot + self.slack
    }

    /// Most requests that may run in one window.
    pub fn max_in_window(&self, quota: RequestQuota) -> f64 {
        self.limit(quota) + self.spare(quota)
    }

    /// Tokens of a full bucket. A burst below 1 would never let a request through.
    fn capacity(&self, quota: RequestQuota) -> f64 {
        quota.burst.max(1.0) + self.spare(quota) * TOLERANCE_PART
    }
}

/// Whether a request is within its team's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It is.
    Granted,
    /// It isn't.
    Exceeded {
        /// Time after which there may be room, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decision of a counter, with what it rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaVerdict {
    /// The decision.
    pub decision: QuotaDecision,
    /// Whether the counter has counted for the whole last window.
    pub settled: bool,
    /// Recent usage by all instances, as a part of the limit's rate.
    pub load: f64,
}

/// Who decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaSource {
    /// The first counting member.
    First,
    /// The second counting member.
    Second,
    /// A member that counted until the list of members changed.
    Former,
    /// The local allowance of the instance.
    Local,
    /// Nobody, as the team has no limit.
    Unlimited,
}

impl QuotaSource {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
            Self::Former => "former",
            Self::Local => "local",
            Self::Unlimited => "unlimited",
        }
    }
}

/// Chooses among the verdicts of counting members, in their order: the first of a member that has counted for
/// a whole window, else the first. A member that has just begun to count grants what others have granted, too.
pub fn choose_verdict(
    verdicts: &[(QuotaVerdict, QuotaSource)],
) -> Option<(QuotaVerdict, QuotaSource)> {
    let settled = verdicts.iter().find(|(verdict, _)| verdict.settled);
    settled.or(verdicts.first()).copied()
}

fn retry_after_ms(missing: f64, rate_per_s: f64) -> u64 {
    let (min_ms, max_ms) = RETRY_MS;
    let delay_ms = (missing * 1_000.0 / rate_per_s).clamp(min_ms, max_ms);
    // A rate of 0 gives no number for a missing amount of 0.
    if delay_ms.is_nan() {
        max_ms as u64
    } else {
        delay_ms.ceil() as u64
    }
}

/// A time without contact with the other counting member.
#[derive(Debug)]
struct LostContact<R> {
    /// Usage by instance up to then.
    shares: UsageShares<R>,
    /// Tokens that there were since the last contact.
    available: f64,
    /// Part of the limit that is granted here.
    part: f64,
    /// When the part was last told.
    told_ms: u64,
}

#[derive(Debug)]
struct TokenBucket<R> {
    level: f64,
    level_ms: u64,
    /// Start of the time for which requests were counted without a long pause.
    since_ms: u64,
    granted: DecayingSum,
    rejected: DecayingSum,
    usage: InstanceUsage<R>,
    /// Tokens granted since the last contact with the other counting member.
    spent: f64,
    lost: Option<LostContact<R>>,
}

impl<R: Clone + Eq + Hash> TokenBucket<R> {
    fn new(bounds: QuotaBounds, quota: RequestQuota, now_ms: u64) -> Self {
        Self {
            level: bounds.spare(quota) * START_PART,
            level_ms: now_ms,
            since_ms: now_ms,
            granted: DecayingSum::new(USAGE_TIME_MS),
            rejected: DecayingSum::new(REJECTION_TIME_MS),
            usage: InstanceUsage::default(),
            spent: 0.0,
            lost: None,
        }
    }

    fn part(&self) -> f64 {
        self.lost.as_ref().map_or(1.0, |lost| lost.part)
    }

    /// Adds the tokens of the time since the last call. A lowered limit takes effect at once.
    fn refill(&mut self, bounds: QuotaBounds, quota: RequestQuota, now_ms: u64) {
        let is_over = |lost: &LostContact<R>| now_ms >= lost.told_ms + PART_LIFETIME_MS;
        if self.lost.as_ref().is_some_and(is_over) {
            self.end_part();
        }
        let elapsed_ms = now_ms.saturating_sub(self.level_ms);
        let gained = quota.rate_per_s * self.part() * elapsed_ms as f64 / 1_000.0;
        self.level = (self.level + gained).min(bounds.capacity(quota) * self.part());
        self.level_ms = self.level_ms.max(now_ms);
        if elapsed_ms > bounds.window_ms {
            self.since_ms = now_ms;
        }
    }

    fn take(&mut self, bounds: QuotaBounds, quota: RequestQuota, now_ms: u64) -> QuotaVerdict {
        self.refill(bounds, quota, now_ms);
        let decision = if self.level >= 1.0 {
            self.level -= 1.0;
            self.spent += 1.0;
            self.granted.add(1.0, now_ms);
            QuotaDecision::Granted
        } else {
            // Those rejected shortly before return earlier.
            let missing = 1.0 - self.level + self.rejected.at(now_ms);
            self.rejected.add(1.0, now_ms);
            QuotaDecision::Exceeded {
                retry_after_ms: retry_after_ms(missing, quota.rate_per_s * self.part()),
            }
        };
        QuotaVerdict {
            decision,
            settled: now_ms >= self.since_ms + bounds.window_ms,
            load: self.granted.per_second(now_ms) / quota.rate_per_s,
        }
    }

    /// Whether much of the limit is used, so that two members which both grant the whole soon exceed it.
    fn is_busy(&self, bounds: QuotaBounds, quota: RequestQuota, now_ms: u64) -> bool {
        self.granted.per_second(now_ms) > quota.rate_per_s * BUSY_PART
            || self.level < bounds.capacity(quota) * BUSY_PART
    }

    fn record_contact(&mut self, now_ms: u64) {
        self.usage.record_contact(now_ms);
        self.end_part();
    }

    fn end_part(&mut self) {
        self.spent = 0.0;
        self.lost = None;
    }

    /// Grants the part of the instances that are reached, since the last contact on: what was granted beyond it
    /// is made up for.
    fn limit_to_reached(&mut self, is_reached: impl Fn(&R) -> Option<bool>, now_ms: u64) {
        if self.lost.is_none() {
            self.lost = Some(LostContact {
                shares: self.usage.shares(now_ms),
                available: self.level + self.spent,
                part: 1.0,
                told_ms: now_ms,
            });
        }
        let Some(lost) = &mut self.lost else { return };
        // Of a team without usage nothing tells where its requests will come from.
        let part = lost.shares.part_of(is_reached).unwrap_or(1.0);
        self.level += (part - lost.part) * lost.available;
        lost.part = part;
        lost.told_ms = now_ms;
    }
}

/// Counts the requests of teams for all instances, which are of type `R`.
#[derive(Debug)]
pub struct QuotaCounter<R> {
    bounds: QuotaBounds,
    buckets: HashMap<TeamId, TokenBucket<R>>,
}

impl<R: Clone + Eq + Hash> QuotaCounter<R> {
    /// A counter that knows of no earlier requests.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            buckets: HashMap::new(),
        }
    }

    /// Counts a request of an instance if it is within the limit.
    pub fn take(
        &mut self,
        team: &TeamId,
        instance: &R,
        quota: RequestQuota,
        now_ms: u64,
    ) -> QuotaVerdict {
        if self.buckets.len() >= MAX_TEAMS {
            let is_recent = |bucket: &TokenBucket<R>| bucket.level_ms + IDLE_MS > now_ms;
            self.buckets.retain(|_, bucket| is_recent(bucket));
        }
        let bounds = self.bounds;
        let new = || TokenBucket::new(bounds, quota, now_ms);
        let bucket = self.buckets.entry(team.clone()).or_insert_with(new);
        bucket.usage.record(instance);
        bucket.take(bounds, quota, now_ms)
    }

    /// Takes back a request that was granted and not run.
    pub fn give_back(&mut self, team: &TeamId, quota: RequestQuota, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level = (bucket.level + 1.0).min(self.bounds.capacity(quota) * bucket.part());
            bucket.spent -= 1.0;
            bucket.granted.add(-1.0, now_ms);
        }
    }

    /// The teams of which requests were counted within a window.
    pub fn active_teams(&self, now_ms: u64) -> Vec<TeamId> {
        let is_active = |bucket: &TokenBucket<R>| bucket.level_ms + self.bounds.window_ms > now_ms;
        let active = self.buckets.iter().filter(|(_, bucket)| is_active(bucket));
        active.map(|(team, _)| team.clone()).collect()
    }

    /// Whether a team uses much of its limit.
    pub fn is_busy(&self, team: &TeamId, quota: RequestQuota, now_ms: u64) -> bool {
        let bucket = self.buckets.get(team);
        bucket.is_some_and(|bucket| bucket.is_busy(self.bounds, quota, now_ms))
    }

    /// Records that the other member which counts a team's requests answers.
    pub fn record_contact(&mut self, team: &TeamId, now_ms: u64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.record_contact(now_ms);
        }
    }

    /// Limits a team to the part of the instances that are reached, as far as that is known, while the other
    /// member doesn't answer. Returns that part.
    pub fn limit_to_reached(
        &mut self,
        team: &TeamId,
        is_reached: impl Fn(&R) -> Option<bool>,
        now_ms: u64,
    ) -> Option<f64> {
        let bucket = self.buckets.get_mut(team)?;
        bucket.limit_to_reached(is_reached, now_ms);
        Some(bucket.part())
    }
}

/// Usage of one team at one instance.
#[derive(Debug)]
struct LocalUsage {
    granted: DecayingSum,
    /// Usage by all instances, as a part of the limit's rate, as last heard.
    load: f64,
    /// When a counter last decided.
    answered_ms: u64,
    /// Tokens, and when they were last counted; `None` before the first local decision.
    level: Option<(f64, u64)>,
}

/// Decides about the requests of one instance that reaches no counter.
#[derive(Debug)]
pub struct LocalAllowance {
    bounds: QuotaBounds,
    /// Differs between instances, so that they don't grant their fractions of a request at the same time.
    seed: u64,
    teams: HashMap<TeamId, LocalUsage>,
}

impl LocalAllowance {
    /// An allowance without recent usage.
    pub fn new(bounds: QuotaBounds, seed: u64) -> Self {
        Self {
            bounds,
            seed,
            teams: HashMap::new(),
        }
    }

    fn usage(&mut self, team: &TeamId, now_ms: u64) -> &mut LocalUsage {
        if self.teams.len() >= MAX_TEAMS {
            let used_ms = |usage: &LocalUsage| {
                usage
                    .answered_ms
                    .max(usage.level.map_or(0, |(_, at_ms)| at_ms))
            };
            self.teams
                .retain(|_, usage| used_ms(usage) + IDLE_MS > now_ms);
        }
        let new = || LocalUsage {
            granted: DecayingSum::new(USAGE_TIME_MS),
            load: 0.0,
            answered_ms: now_ms,
            level: None,
        };
        self.teams.entry(team.clone()).or_insert_with(new)
    }

    /// Records what a counter decided about a request of this instance.
    pub fn record(&mut self, team: &TeamId, verdict: QuotaVerdict, now_ms: u64) {
        let usage = self.usage(team, now_ms);
        usage.load = verdict.load;
        usage.answered_ms = now_ms;
        if verdict.decision == QuotaDecision::Granted {
            usage.granted.add(1.0, now_ms);
        }
    }

    /// Decides about a request that no counter has decided about.
    pub fn take(
        &mut self,
        team: &TeamId,
        quota: RequestQuota,
        members: usize,
        now_ms: u64,
    ) -> QuotaDecision {
        let (bounds, seed) = (self.bounds, self.seed);
        let usage = self.usage(team, now_ms);
        let rate_per_s = usage.local_rate(bounds, quota, members, now_ms);
        let phase = || {
            let hash = hash_bytes(team.as_str().as_bytes(), seed ^ now_ms);
            hash as f64 / u64::MAX as f64
        };
        let (level, elapsed_ms) = match usage.level {
            Some((level, at_ms))
                if at_ms >= usage.answered_ms && now_ms < at_ms + LOCAL_RESTART_MS =>
            {
                (level, now_ms.saturating_sub(at_ms))
            }
            _ => {
                let unanswered_ms = now_ms.saturating_sub(usage.answered_ms);
                (phase(), unanswered_ms.min(LOCAL_CREDIT_MS))
            }
        };
        let gained = rate_per_s * elapsed_ms as f64 / 1_000.0;
        let level = (level + gained).min(rate_per_s.max(1.0));
        let (level, decision) = match level >= 1.0 {
            true => (level - 1.0, QuotaDecision::Granted),
            false => {
                let retry_after_ms = retry_after_ms(1.0 - level, rate_per_s);
                (level, QuotaDecision::Exceeded { retry_after_ms })
            }
        };
        usage.level = Some((level, now_ms));
        decision
    }

    /// Takes back a request that was granted here and not run.
    pub fn give_back(&mut self, team: &TeamId) {
        let level = self
            .teams
            .get_mut(team)
            .and_then(|usage| usage.level.as_mut());
        if let Some((level, _)) = level {
            *level += 1.0;
        }
    }
}

impl LocalUsage {
    /// Requests a second that this instance lets through by itself. All instances together keep to the limit's
    /// rate, and those that are cut off to their part of the spare amount, as counters may grant the whole
    /// limit to the others.
    fn local_rate(
        &self,
        bounds: QuotaBounds,
        quota: RequestQuota,
        members: usize,
        now_ms: u64,
    ) -> f64 {
        let spare_rate = bounds.spare(quota) * LOCAL_PART * CUT_OFF_FACTOR / bounds.window_s();
        let total = quota.rate_per_s.min(spare_rate);
        let equal = 1.0 / members.max(1) as f64;
        let used = self.granted.per_second(now_ms) / (self.load * quota.rate_per_s);
        let used = if used.is_finite() {
            used.min(1.0)
        } else {
            equal
        };
        total * (used * USAGE_PART + equal * (1.0 - USAGE_PART))
    }
}
