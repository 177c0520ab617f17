//! The rules against prompts that crash upstreams, and what this instance knows in favour of a part:
//! that an upstream has answered a request with it.

use std::collections::HashMap;

use amaranth_wire::id::PromptPartId;
use amaranth_wire::quarantine_message::{PartAnswer, QuarantineRule, RuleTest};

use crate::crash_evidence::{ALIBI_EXPIRY_MS, ANSWER_LIFETIME_MS};
use crate::rule_tests::{TEST_PERMIT_MS, grant_test, replaces, return_test, test_due_ms};

/// How long a rule is in force, in milliseconds: a year, so that time alone never lets a deadly part
/// through. A test that is answered ends a rule sooner.
pub const RULE_LIFETIME_MS: u64 = 365 * 86_400_000;
/// Least time between two requests for a test of a rule, and between two grants, in milliseconds.
const TEST_REQUEST_PERIOD_MS: u64 = 1_000;
/// Least time that a refused caller is told to wait, in milliseconds.
const MIN_RETRY_MS: u64 = 1_000;
/// Longest time that a refused caller is told to wait, in milliseconds: an operator may end the rule.
const MAX_RETRY_MS: u64 = 600_000;
/// How long an accused part is watched for an answer, in milliseconds.
const WATCH_TIME_MS: u64 = 30_000;
/// Most answered parts that are remembered, at some 100 bytes each.
const MAX_ANSWERED_PARTS: usize = 8_192;

#[derive(Debug)]
struct KnownRule {
    rule: QuarantineRule,
    /// Whether it was read from the log. A new one reaches other instances sooner than the log.
    on_log: bool,
    /// Test that this instance may run.
    permit: Option<RuleTest>,
    /// Test that this instance has begun.
    running: Option<RuleTest>,
    /// When this instance last asked for a test, and when it last granted one.
    requested_ms: Option<u64>,
    granted_ms: Option<u64>,
}

impl KnownRule {
    fn new(rule: QuarantineRule, on_log: bool) -> Self {
        Self {
            rule,
            on_log,
            permit: None,
            running: None,
            requested_ms: None,
            granted_ms: None,
        }
    }

    fn refuses(&self, parts: &[PromptPartId], unix_ms: u64) -> bool {
        self.rule.until_ms > unix_ms && self.rule.matches(parts)
    }

    /// Of two judges' evidence the one counts that is harder to refute.
    fn require_answer_from(&mut self, from_ms: Option<u64>) {
        self.rule.refuted_from_ms = self.rule.refuted_from_ms.max(from_ms);
    }

    fn has_permit(&self, unix_ms: u64) -> bool {
        let permit = self.permit.as_ref();
        permit.is_some_and(|test| is_permitted(test, unix_ms))
    }
}

fn is_permitted(test: &RuleTest, unix_ms: u64) -> bool {
    test.at_ms.saturating_add(TEST_PERMIT_MS) > unix_ms
}

fn is_recent(at_ms: Option<u64>, unix_ms: u64) -> bool {
    at_ms.is_some_and(|at_ms| at_ms + TEST_REQUEST_PERIOD_MS > unix_ms)
}

/// What the rules say about a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromptVerdict {
    /// No rule refuses it.
    Admitted,
    /// It may be sent once, as a test of the rules that refuse it.
    Test,
    /// It is refused; the next test may end the rule after this time, in milliseconds.
    Refused {
        /// Time after which the caller may come again.
        retry_ms: u64,
    },
}

/// Rules in force, answered parts, and parts whose answers matter to other instances.
#[derive(Debug, Default)]
pub struct PromptQuarantine {
    rules: Vec<KnownRule>,
    /// Parts of requests that an upstream has answered, with the time of the last answer.
    answered: HashMap<PromptPartId, u64>,
    /// Parts accused by another instance, with the time until which they are watched.
    watched: HashMap<PromptPartId, u64>,
}

impl PromptQuarantine {
    /// Starts without rules.
    pub fn new() -> Self {
        Self::default()
    }

    /// Rules in force or expired.
    pub fn rules(&self) -> impl Iterator<Item = &QuarantineRule> {
        self.rules.iter().map(|known| &known.rule)
    }

    /// Returns the rule that refuses requests whose prompts have these parts.
    pub fn find_rule(&self, parts: &[PromptPartId], unix_ms: u64) -> Option<&QuarantineRule> {
        let mut rules = self.rules();
        rules.find(|rule| rule.until_ms > unix_ms && rule.matches(parts))
    }

    /// Adds a rule or prolongs the one with the same parts; `on_log` tells whether it was read from
    /// the log. Returns whether it is new.
    pub fn add_rule(&mut self, rule: QuarantineRule, on_log: bool) -> bool {
        let mut rules = self.rules.iter_mut();
        match rules.find(|known| known.rule.parts == rule.parts) {
            Some(known) => {
                known.rule.until_ms = known.rule.until_ms.max(rule.until_ms);
                known.on_log |= on_log;
                known.require_answer_from(rule.refuted_from_ms);
                let known_test = known.rule.test.as_ref();
                if rule
                    .test
                    .as_ref()
                    .is_some_and(|test| replaces(known_test, test))
                {
                    known.rule.test = rule.test;
                }
                false
            }
            None => {
                self.rules.push(KnownRule::new(rule, on_log));
                true
            }
        }
    }

    /// Adds a rule that was appended to the log. If it grants this member a test, the member may run
    /// it. A snapshot of the log grants nothing, as it doesn't show which record was the first.
    pub fn add_appended_rule(&mut self, rule: QuarantineRule, member: &str) -> bool {
        let known = self.rules.iter_mut();
        let mut known = known.filter(|known| known.rule.parts == rule.parts);
        if let (Some(known), Some(test)) = (known.next(), &rule.test) {
            let is_granted = test.member == member && !test.returned;
            if is_granted && replaces(known.rule.test.as_ref(), test) {
                known.permit = Some(test.clone());
            }
        }
        self.add_rule(rule, true)
    }

    /// Returns what the rules say about a prompt with these parts.
    pub fn verdict(&self, parts: &[PromptPartId], unix_ms: u64) -> PromptVerdict {
        let rules = self.rules.iter();
        let refusing = rules.filter(|known| known.refuses(parts, unix_ms));
        let mut verdict = PromptVerdict::Admitted;
        for known in refusing {
            if !known.has_permit(unix_ms) {
                let next_ms = test_due_ms(&known.rule).unwrap_or(known.rule.until_ms);
                let left_ms = next_ms.saturating_sub(unix_ms);
                let retry_ms = left_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
                return PromptVerdict::Refused { retry_ms };
            }
            verdict = PromptVerdict::Test;
        }
        verdict
    }

    /// Returns what the rules say about a prompt that is sent now, and begins its test if it is one.
    pub fn admit(&mut self, parts: &[PromptPartId], unix_ms: u64) -> PromptVerdict {
        let verdict = self.verdict(parts, unix_ms);
        if verdict == PromptVerdict::Test {
            let rules = self.rules.iter_mut();
            for known in rules.filter(|known| known.refuses(parts, unix_ms)) {
                known.running = known.permit.take();
            }
        }
        verdict
    }

    /// Returns the parts of the rules that have to be tested before a prompt with these parts can be
    /// sent, if a test of each is due and none was requested of late.
    pub fn request_tests(
        &mut self,
        parts: &[PromptPartId],
        unix_ms: u64,
    ) -> Vec<Vec<PromptPartId>> {
        let is_due = |known: &KnownRule| {
            known.has_permit(unix_ms)
                || test_due_ms(&known.rule).is_some_and(|due_ms| due_ms <= unix_ms)
        };
        let rules = self.rules.iter_mut();
        let mut refusing: Vec<_> = rules
            .filter(|known| known.refuses(parts, unix_ms))
            .collect();
        if !refusing.iter().all(|known| is_due(known)) {
            return Vec::new();
        }
        refusing
            .retain(|known| !known.has_permit(unix_ms) && !is_recent(known.requested_ms, unix_ms));
        let wanted = refusing.into_iter().map(|known| {
            known.requested_ms = Some(unix_ms);
            known.rule.parts.clone()
        });
        wanted.collect()
    }

    /// Grants a member a test of the rule with these parts, if one is due. The returned rule has to be
    /// appended to the log; the test counts from when it is read there.
    pub fn grant_test(
        &mut self,
        parts: &[PromptPartId],
        member: &str,
        unix_ms: u64,
    ) -> Option<QuarantineRule> {
        let mut rules = self.rules.iter_mut();
        let known = rules.find(|known| known.rule.parts == parts)?;
        if is_recent(known.granted_ms, unix_ms) {
            return None;
        }
        let test = grant_test(&known.rule, member, unix_ms)?;
        known.granted_ms = Some(unix_ms);
        Some(QuarantineRule {
            test: Some(test),
            ..known.rule.clone()
        })
    }

    /// Ends the tests that a prompt with these parts has begun, and returns their rules.
    pub fn finish_tests(&mut self, parts: &[PromptPartId]) -> Vec<QuarantineRule> {
        let rules = self.rules.iter_mut();
        let tested = rules.filter(|known| known.rule.matches(parts));
        let finished = tested.filter_map(|known| known.running.take().map(|_| known.rule.clone()));
        finished.collect()
    }

    /// Gives up the tests that have not begun in time. The returned rules have to be appended to the
    /// log.
    pub fn return_tests(&mut self, unix_ms: u64) -> Vec<QuarantineRule> {
        let returned = self.rules.iter_mut().filter_map(|known| {
            let test = known.permit.take_if(|test| !is_permitted(test, unix_ms))?;
            Some(QuarantineRule {
                test: Some(return_test(&test)),
                ..known.rule.clone()
            })
        });
        returned.collect()
    }

    /// Removes the rule with these parts. Returns whether there was one.
    pub fn remove_rule(&mut self, parts: &[PromptPartId]) -> bool {
        let before = self.rules.len();
        self.rules.retain(|known| known.rule.parts != parts);
        self.rules.len() != before
    }

    /// Removes the rules that were once read from the log and are not among the present ones.
    pub fn retain_rules(&mut self, present: &[QuarantineRule]) {
        self.rules.retain(|known| {
            !known.on_log || present.iter().any(|rule| rule.parts == known.rule.parts)
        });
    }

    /// Removes the expired rules and returns them.
    pub fn expire(&mut self, unix_ms: u64) -> Vec<QuarantineRule> {
        let expired = self.rules().filter(|rule| rule.until_ms <= unix_ms);
        let expired: Vec<_> = expired.cloned().collect();
        self.rules.retain(|known| known.rule.until_ms > unix_ms);
        expired
    }

    /// Records from when on an answer refutes the rule with these parts, in milliseconds of Unix time.
    pub fn record_refutation(&mut self, parts: &[PromptPartId], from_ms: u64) {
        let mut rules = self.rules.iter_mut();
        if let Some(known) = rules.find(|known| known.rule.parts == parts) {
            known.require_answer_from(Some(from_ms));
        }
    }

    /// Returns what replaces the rules that blame a part which an upstream has answered: each rule
    /// with its successor, which blames the rest of its parts, if any is left.
    pub fn narrow(&self, answered: &PromptPartId) -> Vec<(QuarantineRule, Option<QuarantineRule>)> {
        self.narrow_if(answered, |_| true)
    }

    /// As [`narrow`](Self::narrow), of the rules that an answer of this time refutes, in milliseconds of Unix time.
    pub fn narrow_refuted(
        &self,
        answered: &PromptPartId,
        answered_ms: u64,
    ) -> Vec<(QuarantineRule, Option<QuarantineRule>)> {
        let is_refuted = |from_ms| from_ms <= answered_ms;
        self.narrow_if(answered, |rule| {
            rule.refuted_from_ms.is_some_and(is_refuted)
        })
    }

    fn narrow_if(
        &self,
        answered: &PromptPartId,
        is_refuted: impl Fn(&QuarantineRule) -> bool,
    ) -> Vec<(QuarantineRule, Option<QuarantineRule>)> {
        let blaming = self.rules().filter(|rule| rule.parts.contains(answered));
        let narrowed = blaming.filter(|rule| is_refuted(rule)).map(|rule| {
            let mut narrower = rule.clone();
            narrower.parts.retain(|part| part != answered);
            let successor = (!narrower.parts.is_empty()).then_some(narrower);
            (rule.clone(), successor)
        });
        narrowed.collect()
    }

    /// Records that an upstream has answered a request with these parts. Returns those of them whose
    /// answers matter to other instances.
    pub fn record_answer(&mut self, parts: &[PromptPartId], now_ms: u64) -> Vec<PromptPartId> {
        if self.answered.len() >= MAX_ANSWERED_PARTS {
            self.forget_answers(now_ms);
        }
        for part in parts {
            match self.answered.get_mut(part) {
                Some(at_ms) => *at_ms = now_ms,
                None => {
                    self.answered.insert(part.clone(), now_ms);
                }
            }
        }
        let matters = |part: &&PromptPartId| {
            self.watched.contains_key(*part) || self.rules().any(|rule| rule.parts.contains(*part))
        };
        let reported: Vec<_> = parts.iter().filter(matters).cloned().collect();
        self.watched.retain(|part, _| !reported.contains(part));
        reported
    }

    /// Returns the parts that no upstream has answered of late, as far as this instance knows.
    pub fn unanswered(&self, parts: &[PromptPartId], now_ms: u64) -> Vec<PromptPartId> {
        let parts = parts.iter().filter(|part| !self.is_answered(part, now_ms));
        parts.cloned().collect()
    }

    /// Returns when upstreams last answered the accused parts, as far as it is remembered, and watches the parts
    /// of which no answer of late is known.
    pub fn answers(&mut self, accused: &[PromptPartId], now_ms: u64) -> Vec<PartAnswer> {
        self.watched.retain(|_, until_ms| *until_ms > now_ms);
        let open = accused
            .iter()
            .filter(|part| !self.is_answered(part, now_ms));
        let open = open.map(|part| (part.clone(), now_ms + WATCH_TIME_MS));
        let open: Vec<_> = open.collect();
        self.watched.extend(open);
        let answers = accused.iter().filter_map(|part| {
            let age_ms = now_ms.saturating_sub(*self.answered.get(part)?);
            let part = part.clone();
            (age_ms < ANSWER_LIFETIME_MS).then_some(PartAnswer { part, age_ms })
        });
        answers.collect()
    }

    fn is_answered(&self, part: &PromptPartId, now_ms: u64) -> bool {
        let at_ms = self.answered.get(part);
        at_ms.is_some_and(|at_ms| at_ms + ALIBI_EXPIRY_MS > now_ms)
    }

    /// Forgets expired answers, and the older half if too many are left.
    fn forget_answers(&mut self, now_ms: u64) {
        self.answered
            .retain(|_, at_ms| *at_ms + ANSWER_LIFETIME_MS > now_ms);
        if self.answered.len() >= MAX_ANSWERED_PARTS {
            let mut times: Vec<_> = self.answered.values().copied().collect();
            let (_, median_ms, _) = times.select_nth_unstable(MAX_ANSWERED_PARTS / 2);
            let median_ms = *median_ms;
            self.answered.retain(|_, at_ms| *at_ms > median_ms);
        }
    }
}
