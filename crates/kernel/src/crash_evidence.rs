//! Finds the part of a prompt that crashes upstreams.
//!
//! The load: a few requests a second have a part in their prompts that crashes each upstream that
//! begins to answer them. Every attempt and every repeat by a caller costs an upstream, together with
//! the sound requests that it served. Sound requests share all other parts with them.
//!
//! A part is suspected if requests with it are lost in crashes at different moments. An answer to any request
//! with it speaks against all losses before and for some time after. Instances see few requests each, so
//! their reports are judged together, and all are asked for such answers before a part is convicted.

use std::collections::{HashMap, HashSet, VecDeque};

use amaranth_wire::id::{PromptPartId, UpstreamId};
use amaranth_wire::quarantine_message::LossReport;

/// Score from which a part of several requests is convicted: two moments with a crash as an answer
/// began, or more with other crashes.
const CONVICTION_SCORE: usize = 4;
/// Score from which a part of a single request is convicted, which is tried at one upstream after the
/// other.
const SINGLE_REQUEST_SCORE: usize = 6;
/// Score of a moment with a crash as the answer to a request began, which no waiting request explains.
const BEGUN_SCORE: usize = 2;
/// Score of a moment with crashes under waiting requests only.
const WAITING_SCORE: usize = 1;
/// Time in which instances can answer an accusation, in milliseconds: several round trips between
/// distant data centres.
pub const ALIBI_WAIT_MS: u64 = 100;
/// Time after an answer in which losses don't count, in milliseconds. It is short, as a new version of an
/// upstream may crash on what the former one answered.
pub const ALIBI_EXPIRY_MS: u64 = 10_000;
/// Lifetime of a report, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 30_000;
/// Time for which answers are remembered, in milliseconds: as long as there may be a loss that they speak
/// against.
pub const ANSWER_LIFETIME_MS: u64 = REPORT_EXPIRY_MS + ALIBI_EXPIRY_MS;
/// Losses at one upstream within this time are of the same crash, in milliseconds: restarting takes
/// longer.
const SAME_CRASH_MS: u64 = 2_000;
/// Crashes of several upstreams within this time count once for waiting requests, in milliseconds, as
/// they may have a common cause.
const COMMON_CAUSE_MS: u64 = 250;
/// Most reports that are kept.
const MAX_REPORTS: usize = 512;

#[derive(Debug)]
struct TimedReport {
    report: LossReport,
    at_ms: u64,
    /// When the lost request was sent, by this instance's clock.
    sent_ms: u64,
}

/// Crashes that may have a common cause.
struct CrashMoment {
    /// When the first of them was reported.
    since_ms: u64,
    /// Whether a request was lost as its answer began.
    begun: bool,
}

impl CrashMoment {
    fn new(since_ms: u64) -> Self {
        Self {
            since_ms,
            begun: false,
        }
    }

    /// Whether a loss that is reported later may have the same cause.
    fn explains(&self, row: &TimedReport) -> bool {
        let was_waiting = !row.report.begun && row.at_ms < self.since_ms + COMMON_CAUSE_MS;
        was_waiting || row.sent_ms <= self.since_ms
    }
}

/// Parts that are convicted together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartConviction {
    /// The parts, sorted.
    pub parts: Vec<PromptPartId>,
    /// Time of the first answer that would have prevented the conviction, in milliseconds: with the losses that
    /// it doesn't speak against, too few are left.
    pub refuted_from_ms: u64,
}

/// Reports of lost requests, judged by part.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    reports: VecDeque<TimedReport>,
    /// Accused parts, with the time of the accusation.
    accused: HashMap<PromptPartId, u64>,
    /// Answered parts, with the time until which losses don't count against them.
    alibis: HashMap<PromptPartId, u64>,
}

impl CrashEvidence {
    /// Starts without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report; returns the parts that it accuses, for which all instances must be asked.
    pub fn record(&mut self, mut report: LossReport, now_ms: u64) -> Vec<PromptPartId> {
        self.expire(now_ms);
        report.parts.retain(|part| !self.alibis.contains_key(part));
        let parts = report.parts.clone();
        if parts.is_empty() {
            return parts;
        }
        self.reports.push_back(TimedReport {
            sent_ms: now_ms.saturating_sub(report.age_ms),
            report,
            at_ms: now_ms,
        });
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        let is_new =
            |part: &PromptPartId| !self.accused.contains_key(part) && self.is_suspected(part);
        let accused: Vec<_> = parts.into_iter().filter(is_new).collect();
        let rows = accused.iter().map(|part| (part.clone(), now_ms));
        self.accused.extend(rows);
        accused
    }

    /// Drops the losses that an answer to a request with a part speaks against: those before the answer, and
    /// those in the time after it. Returns their number.
    pub fn acquit(&mut self, part: &PromptPartId, answered_ms: u64, now_ms: u64) -> usize {
        let until_ms = answered_ms + ALIBI_EXPIRY_MS;
        if until_ms > now_ms {
            let known_ms = self.alibis.entry(part.clone()).or_default();
            *known_ms = until_ms.max(*known_ms);
        }
        let blames = |row: &&mut TimedReport| row.report.parts.contains(part);
        let mut refuted = 0;
        let rows = self.reports.iter_mut().filter(|row| row.at_ms < until_ms);
        for row in rows.filter(blames) {
            row.report.parts.retain(|suspect| suspect != part);
            refuted += 1;
        }
        self.reports.retain(|row| !row.report.parts.is_empty());
        if !self.is_suspected(part) {
            self.accused.remove(part);
        }
        refuted
    }

    /// When the next accusation can first be judged, in milliseconds; `None` if there is none.
    pub fn next_judgement_ms(&self, now_ms: u64) -> Option<u64> {
        let due = self.accused.values().map(|at_ms| at_ms + ALIBI_WAIT_MS);
        due.filter(|due_ms| *due_ms > now_ms).min()
    }

    /// Convicts parts whose accusation is old enough. Parts that occur in just the same reports are
    /// convicted together. Reports that a conviction explains no longer count against other parts.
    pub fn convict(&mut self, now_ms: u64) -> Vec<PartConviction> {
        self.expire(now_ms);
        let mut convicted = Vec::new();
        while let Some(part) = self.strongest_case(now_ms) {
            let refuted_from_ms = self.refuted_from_ms(&part);
            let mut parts = self.parts_reported_with(&part);
            parts.sort();
            self.reports.retain(|row| {
                let has = |part| row.report.parts.contains(part);
                !parts.iter().all(has)
            });
            self.accused.retain(|accused, _| !parts.contains(accused));
            convicted.push(PartConviction {
                parts,
                refuted_from_ms,
            });
        }
        convicted
    }

    /// Whether there is reason to ask for answers to requests with a part.
    fn is_suspected(&self, part: &PromptPartId) -> bool {
        self.request_count(part, 0) > 1 || self.score(part, 0) >= CONVICTION_SCORE
    }

    /// Whether the losses since a point in time convict a part.
    fn is_guilty(&self, part: &PromptPartId, since_ms: u64) -> bool {
        let score = self.score(part, since_ms);
        score >= SINGLE_REQUEST_SCORE
            || score >= CONVICTION_SCORE && self.request_count(part, since_ms) > 1
    }

    /// Time of the first answer that leaves too few losses to convict a part.
    fn refuted_from_ms(&self, part: &PromptPartId) -> u64 {
        let mut times = self.reports_of(part).map(|row| row.at_ms);
        let last_needed = times.find(|at_ms| !self.is_guilty(part, at_ms + 1));
        last_needed.map_or(0, |at_ms| (at_ms + 1).saturating_sub(ALIBI_EXPIRY_MS))
    }

    fn strongest_case(&self, now_ms: u64) -> Option<PromptPartId> {
        let due = self.accused.iter();
        let due = due.filter(|(_, at_ms)| **at_ms + ALIBI_WAIT_MS <= now_ms);
        let guilty = due.filter(|(part, _)| self.is_guilty(part, 0));
        let scored = guilty.map(|(part, _)| (self.score(part, 0), part));
        scored.max().map(|(_, part)| part.clone())
    }

    /// Parts that occur in the same reports as this one, and in no others.
    fn parts_reported_with(&self, part: &PromptPartId) -> Vec<PromptPartId> {
        let Some(first) = self.reports_of(part).next() else {
            return vec![part.clone()];
        };
        let count = self.reports_of(part).count();
        let mut parts = first.report.parts.clone();
        parts.retain(|other| {
            let together = self
                .reports_of(part)
                .filter(|row| row.report.parts.contains(other));
            together.count() == count && self.reports_of(other).count() == count
        });
        parts
    }

    fn reports_of<'a>(
        &'a self,
        part: &'a PromptPartId,
    ) -> impl Iterator<Item = &'a TimedReport> + 'a {
        self.reports
            .iter()
            .filter(move |row| row.report.parts.contains(part))
    }

    fn reports_since<'a>(
        &'a self,
        part: &'a PromptPartId,
        since_ms: u64,
    ) -> impl Iterator<Item = &'a TimedReport> + 'a {
        let reports = self.reports_of(part);
        reports.filter(move |row| row.at_ms >= since_ms)
    }

    fn request_count(&self, part: &PromptPartId, since_ms: u64) -> usize {
        let reports = self.reports_since(part, since_ms);
        let requests = reports.map(|row| &row.report.request);
        requests.collect::<HashSet<_>>().len()
    }

    fn score(&self, part: &PromptPartId, since_ms: u64) -> usize {
        let moments = self.crash_moments(part, since_ms);
        let scores = moments.iter().map(|moment| match moment.begun {
            true => BEGUN_SCORE,
            false => WAITING_SCORE,
        });
        scores.sum()
    }

    /// Groups the losses with a part since a point in time into moments with a cause of their own. Upstreams that crash
    /// together say no more about the part than one of them: whatever ended them ended all requests
    /// that they served. A request that was sent after a crash was known is lost for another cause.
    fn crash_moments(&self, part: &PromptPartId, since_ms: u64) -> Vec<CrashMoment> {
        let mut moments: Vec<CrashMoment> = Vec::new();
        // The last loss at each upstream, with the index of its moment.
        let mut last_losses: HashMap<&UpstreamId, (u64, usize)> = HashMap::new();
        for row in self.reports_since(part, since_ms) {
            let last_loss = last_losses.get(&row.report.upstream);
            let same_crash = last_loss.filter(|(last_ms, _)| last_ms + SAME_CRASH_MS >= row.at_ms);
            let index = match (same_crash, moments.last()) {
                (Some((_, index)), _) => *index,
                (None, Some(last)) if last.explains(row) => moments.len() - 1,
                (None, _) => {
                    moments.push(CrashMoment::new(row.at_ms));
                    moments.len() - 1
                }
            };
            moments[index].begun |= row.report.begun;
            last_losses.insert(&row.report.upstream, (row.at_ms, index));
        }
        moments
    }

    fn expire(&mut self, now_ms: u64) {
        self.alibis.retain(|_, until_ms| *until_ms > now_ms);
        self.reports
            .retain(|row| row.at_ms + REPORT_EXPIRY_MS > now_ms);
        // An accusation that is older than the reports is made again.
        self.accused
            .retain(|_, at_ms| *at_ms + REPORT_EXPIRY_MS > now_ms);
    }
}
