//! The rules against prompts that crash upstreams, and what this instance knows in favour of a part:
//! that an upstream has answered a request with it.

use std::collections::HashMap;

use amaranth_wire::id::PromptPartId;
use amaranth_wire::quarantine_message::QuarantineRule;

use crate::crash_evidence::ALIBI_EXPIRY_MS;

/// How long a rule is in force, in milliseconds. It is long, as each trial of a deadly part costs an
/// upstream and the requests on it, and short enough that an upstream mended since gets the requests
/// again without an operator.
pub const RULE_LIFETIME_MS: u64 = 600_000;
/// How long an accused part is watched for an answer, in milliseconds.
const WATCH_TIME_MS: u64 = 30_000;
/// Most answered parts that are remembered, at some 100 bytes each.
const MAX_ANSWERED_PARTS: usize = 8_192;

#[derive(Debug)]
struct KnownRule {
    rule: QuarantineRule,
    /// Whether it was read from the log. A new one reaches other instances sooner than the log.
    on_log: bool,
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
                false
            }
            None => {
                self.rules.push(KnownRule { rule, on_log });
                true
            }
        }
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

    /// Returns what replaces the rules that blame a part which an upstream has answered: each rule
    /// with its successor, which blames the rest of its parts, if any is left.
    pub fn narrow(&self, answered: &PromptPartId) -> Vec<(QuarantineRule, Option<QuarantineRule>)> {
        let blaming = self.rules().filter(|rule| rule.parts.contains(answered));
        let narrowed = blaming.map(|rule| {
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

    /// Returns the accused parts that an upstream has answered of late, and watches the others.
    pub fn alibis(&mut self, accused: &[PromptPartId], now_ms: u64) -> Vec<PromptPartId> {
        self.watched.retain(|_, until_ms| *until_ms > now_ms);
        let (answered, open): (Vec<_>, Vec<_>) = accused
            .iter()
            .cloned()
            .partition(|part| self.is_answered(part, now_ms));
        let open = open.into_iter().map(|part| (part, now_ms + WATCH_TIME_MS));
        self.watched.extend(open);
        answered
    }

    fn is_answered(&self, part: &PromptPartId, now_ms: u64) -> bool {
        let at_ms = self.answered.get(part);
        at_ms.is_some_and(|at_ms| at_ms + ALIBI_EXPIRY_MS > now_ms)
    }

    /// Forgets expired answers, and all of them if too many are left.
    fn forget_answers(&mut self, now_ms: u64) {
        self.answered
            .retain(|_, at_ms| *at_ms + ALIBI_EXPIRY_MS > now_ms);
        if self.answered.len() >= MAX_ANSWERED_PARTS {
            self.answered.clear();
        }
    }
}
