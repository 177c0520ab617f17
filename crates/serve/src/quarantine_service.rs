//! Refuses requests whose prompts crash upstreams. Instances report lost requests to two of them, which
//! judge the reports; rules go to all instances at once, and onto the log, from which an instance that
//! starts later or missed one reads them.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_kernel::attempt_plan::{AnswerProgress, FailureCause};
use amaranth_kernel::crash_evidence::CrashEvidence;
use amaranth_kernel::hashing::hash_bytes;
use amaranth_kernel::prompt_quarantine::{PromptQuarantine, PromptVerdict};
use amaranth_kernel::rule_tests::test_due_ms;
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_net::state_lock::StateMutex;
use amaranth_wire::id::{PromptPartId, RequestId};
use amaranth_wire::quarantine_message::{LossReport, PartAnswer, QuarantineRule};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::attempt::{FailedAttempt, join_parts};
use crate::crash_check::has_crashed;
use crate::log_access::LogEntry;
use crate::placement_service::ReceivedNotice;
use crate::topic_follower::TopicUpdate;

/// Most parts in a report, which has to fit into a datagram.
const MAX_REPORTED_PARTS: usize = 64;
/// Most messages that wait to be handled.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 1_024;

/// A request that was lost when its upstream ended the connection.
#[derive(Debug, Clone, Copy)]
pub struct LostRequest<'a> {
    /// Id of the request.
    pub request: &'a RequestId,
    /// Shared parts of its prompt.
    pub parts: &'a [PromptPartId],
    /// The attempt that failed.
    pub failed: &'a FailedAttempt,
    /// Address of the upstream.
    pub address: SocketAddr,
}

/// Rules against prompts that crash upstreams, shared by all instances.
pub struct QuarantineService {
    /// Name of this member, to which tests are granted.
    member: String,
    quarantine: StateMutex<PromptQuarantine>,
    evidence: StateMutex<CrashEvidence>,
    outbox: mpsc::Sender<OutgoingNotice>,
    /// Whether the rules on the log, or those of a peer, have been read.
    loaded: AtomicBool,
    first_loaded: CancellationToken,
}

/// What the service's task has to do for a request.
pub(crate) enum OutgoingNotice {
    /// Reports a lost request whose upstream has crashed.
    Lost(LossReport),
    /// Says that upstreams have answered requests with these parts.
    Answered(Vec<PromptPartId>),
    /// Tells when upstreams answered requests with the parts of a rule that was read from the log.
    RuleRead(Vec<PartAnswer>),
    /// Asks for a test of the rule with these parts.
    TestWanted(Vec<PromptPartId>),
}

/// Queues between requests, other instances and the service's task.
pub struct QuarantineQueues {
    pub(crate) outgoing: mpsc::Receiver<OutgoingNotice>,
    pub(crate) inbox: mpsc::Receiver<ReceivedNotice>,
}

/// Creates the queue for messages of other instances.
pub fn inbox() -> (mpsc::Sender<ReceivedNotice>, mpsc::Receiver<ReceivedNotice>) {
    mpsc::channel(MAX_QUEUED_MESSAGES)
}

impl QuarantineService {
    /// Creates the service of a member without rules, and the queues that
    /// [`run`](crate::quarantine_task::run) handles.
    pub fn new(
        inbox: mpsc::Receiver<ReceivedNotice>,
        member: String,
    ) -> (Arc<Self>, QuarantineQueues) {
        let (outbox, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let service = Self {
            member,
            quarantine: StateMutex::default(),
            evidence: StateMutex::default(),
            outbox,
            loaded: AtomicBool::new(false),
            first_loaded: CancellationToken::new(),
        };
        (Arc::new(service), QuarantineQueues { outgoing, inbox })
    }

    /// Whether the rules on the log, or those of a peer, have been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Waits until the rules have been read.
    pub async fn wait_loaded(&self) {
        self.first_loaded.cancelled().await;
    }

    /// Returns how long a request with these parts is still refused; `None` if it is not, or may test
    /// the rule.
    pub fn refusal(&self, parts: &[PromptPartId]) -> Option<Duration> {
        let verdict = self.verdict(parts);
        count_refusal(&verdict)
    }

    /// As [`refusal`](Self::refusal), for a request that is sent now. Begins the test if it is one.
    pub fn admit(&self, parts: &[PromptPartId]) -> Option<Duration> {
        let verdict = self.admission(parts);
        count_refusal(&verdict)
    }

    /// Whether an item with these parts has to wait.
    pub fn is_held(&self, parts: &[PromptPartId]) -> bool {
        matches!(self.verdict(parts), PromptVerdict::Refused { .. })
    }

    /// As [`is_held`](Self::is_held), for an item that is sent now. Begins the test if it is one.
    pub fn is_held_at_send(&self, parts: &[PromptPartId]) -> bool {
        matches!(self.admission(parts), PromptVerdict::Refused { .. })
    }

    fn verdict(&self, parts: &[PromptPartId]) -> PromptVerdict {
        if parts.is_empty() {
            return PromptVerdict::Admitted;
        }
        let now_ms = unix_ms();
        let (verdict, wanted) = self.with_quarantine(|quarantine| {
            let verdict = quarantine.verdict(parts, now_ms);
            (verdict, quarantine.request_tests(parts, now_ms))
        });
        for parts in wanted {
            self.queue(OutgoingNotice::TestWanted(parts));
        }
        verdict
    }

    fn admission(&self, parts: &[PromptPartId]) -> PromptVerdict {
        if parts.is_empty() {
            return PromptVerdict::Admitted;
        }
        let now_ms = unix_ms();
        let verdict = self.with_quarantine(|quarantine| quarantine.admit(parts, now_ms));
        if verdict == PromptVerdict::Test {
            log::warn!("event=prompt_test_begun parts={}", join_parts(parts));
        }
        verdict
    }

    /// Records that an upstream has answered a request with these parts.
    pub fn record_answer(&self, parts: &[PromptPartId]) {
        if parts.is_empty() {
            return;
        }
        let now_ms = steady_ms();
        let reported = self.with_quarantine(|quarantine| quarantine.record_answer(parts, now_ms));
        if !reported.is_empty() {
            self.finish_tests(parts, "answered");
            self.queue(OutgoingNotice::Answered(reported));
        }
    }

    /// Reports a failed attempt if its upstream has crashed before the first event. Returns whether
    /// the request itself is suspected: the answer to it had begun, and no other request speaks for
    /// the parts of its prompt.
    pub async fn report_loss(&self, lost: LostRequest<'_>) -> bool {
        let failed = lost.failed;
        let may_be_crash = failed.cause == FailureCause::ConnectionLost
            && failed.progress != AnswerProgress::Events;
        if !may_be_crash {
            self.finish_tests(lost.parts, "unclear");
            return false;
        }
        self.finish_tests(lost.parts, "lost");
        let now_ms = steady_ms();
        let parts = self.with_quarantine(|quarantine| quarantine.unanswered(lost.parts, now_ms));
        if parts.is_empty() || self.is_refused(&parts) {
            return false;
        }
        let crashed = has_crashed(lost.address).await;
        let age = failed
            .lost_since
            .map_or(Duration::ZERO, |since| since.elapsed());
        let report = LossReport {
            upstream: failed.upstream.clone(),
            request: lost.request.clone(),
            parts: parts.into_iter().take(MAX_REPORTED_PARTS).collect(),
            begun: failed.progress == AnswerProgress::Head,
            age_ms: age.as_millis() as u64,
        };
        log::info!(
            "event=request_lost request={} upstream={} parts={} begun={} age_ms={} crashed={crashed}",
            report.request,
            report.upstream,
            join_parts(&report.parts),
            report.begun,
            report.age_ms,
        );
        let is_suspect = crashed && report.begun;
        if crashed {
            self.queue(OutgoingNotice::Lost(report));
        }
        is_suspect
    }

    pub(crate) fn with_quarantine<T>(&self, call: impl FnOnce(&mut PromptQuarantine) -> T) -> T {
        call(&mut self.quarantine.lock())
    }

    pub(crate) fn with_evidence<T>(&self, call: impl FnOnce(&mut CrashEvidence) -> T) -> T {
        call(&mut self.evidence.lock())
    }

    /// When upstreams last answered requests with these parts, as far as this instance remembers.
    pub(crate) fn answers(&self, parts: &[PromptPartId]) -> Vec<PartAnswer> {
        let now_ms = steady_ms();
        self.with_quarantine(|quarantine| quarantine.answers(parts, now_ms))
    }

    /// Whether a rule in force refuses requests with these parts, and so explains a crash.
    pub(crate) fn is_refused(&self, parts: &[PromptPartId]) -> bool {
        let now_ms = unix_ms();
        self.with_quarantine(|quarantine| quarantine.find_rule(parts, now_ms).is_some())
    }

    /// Whether a rule is in force as it stands here, with no other test since.
    pub(crate) fn is_current(&self, rule: &QuarantineRule) -> bool {
        self.with_quarantine(|quarantine| {
            let mut rules = quarantine.rules();
            rules.any(|known| known.parts == rule.parts && known.test == rule.test)
        })
    }

    fn finish_tests(&self, parts: &[PromptPartId], outcome: &str) {
        let finished = self.with_quarantine(|quarantine| quarantine.finish_tests(parts));
        for rule in finished {
            log_test("prompt_test_ended", &rule, outcome);
        }
    }

    fn queue(&self, notice: OutgoingNotice) {
        if self.outbox.try_send(notice).is_err() {
            log_dropped("self");
        }
    }

    /// Applies rules that were read from the log.
    pub fn apply(&self, update: TopicUpdate) {
        match update {
            TopicUpdate::Replace(entries) => {
                let present = self.apply_entries(entries, RuleSource::Snapshot);
                self.with_quarantine(|quarantine| quarantine.retain_rules(&present));
            }
            TopicUpdate::Append(entries) => {
                self.apply_entries(entries, RuleSource::Log);
            }
        }
    }

    /// Applies a peer's copy of the rules.
    pub fn apply_copy(&self, entries: Vec<LogEntry>) {
        self.apply_entries(entries, RuleSource::Snapshot);
    }

    fn apply_entries(&self, entries: Vec<LogEntry>, source: RuleSource) -> Vec<QuarantineRule> {
        let mut present = Vec::new();
        for entry in entries {
            let decoded = entry
                .value
                .as_ref()
                .map(|value| QuarantineRule::decode(value));
            match decoded {
                None => self.remove_by_key(&entry.key, source),
                Some(Ok(rule)) => {
                    self.add_rule(rule.clone(), source);
                    let answers = self.answers(&rule.parts);
                    if !answers.is_empty() {
                        self.queue(OutgoingNotice::RuleRead(answers));
                    }
                    present.push(rule);
                }
                Some(Err(e)) => log::warn!(
                    "event=record_malformed topic=quarantine key={:?} offset={} error={:?}",
                    entry.key,
                    entry.offset,
                    e.to_string()
                ),
            }
        }
        self.loaded.store(true, Ordering::Relaxed);
        self.first_loaded.cancel();
        present
    }

    fn remove_by_key(&self, key: &str, source: RuleSource) {
        let parts = self.with_quarantine(|quarantine| {
            let mut rules = quarantine.rules();
            let rule = rules.find(|rule| rule_key(&rule.parts) == key);
            rule.map(|rule| rule.parts.clone())
        });
        if let Some(parts) = parts {
            self.remove_rule(&parts, source);
        }
    }

    pub(crate) fn add_rule(&self, rule: QuarantineRule, source: RuleSource) -> bool {
        let remaining_ms = rule.until_ms.saturating_sub(unix_ms());
        let parts = join_parts(&rule.parts);
        let is_new = self.with_quarantine(|quarantine| match source {
            RuleSource::Log => quarantine.add_appended_rule(rule, &self.member),
            RuleSource::Snapshot => quarantine.add_rule(rule, true),
            RuleSource::Member | RuleSource::Own => quarantine.add_rule(rule, false),
        });
        if is_new {
            log::warn!(
                "event=prompt_quarantined parts={parts} source={source} remaining_ms={remaining_ms}"
            );
        }
        is_new
    }

    pub(crate) fn remove_rule(&self, parts: &[PromptPartId], source: RuleSource) -> bool {
        let removed = self.with_quarantine(|quarantine| quarantine.remove_rule(parts));
        if removed {
            log::warn!(
                "event=prompt_quarantine_ended parts={} source={source}",
                join_parts(parts)
            );
        }
        removed
    }
}

/// Where a rule, or its end, comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RuleSource {
    /// An entry appended to the log.
    Log,
    /// The newest entries of the log, or a peer's copy of them.
    Snapshot,
    /// A datagram of another member.
    Member,
    /// The reports that this instance judges.
    Own,
}

impl fmt::Display for RuleSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Log | Self::Snapshot => "log",
            Self::Member => "member",
            Self::Own => "own",
        })
    }
}

fn count_refusal(verdict: &PromptVerdict) -> Option<Duration> {
    match verdict {
        PromptVerdict::Admitted | PromptVerdict::Test => None,
        PromptVerdict::Refused { retry_ms } => {
            metrics::counter!("quarantined_requests_total").increment(1);
            Some(Duration::from_millis(*retry_ms))
        }
    }
}

/// Logs what became of a rule's test, with the tests that were spent and the time until the next one.
pub(crate) fn log_test(event: &str, rule: &QuarantineRule, outcome: &str) {
    let Some(test) = &rule.test else { return };
    let next_ms = test_due_ms(rule).map(|due_ms| due_ms.saturating_sub(unix_ms()));
    let next = next_ms.map_or_else(|| "none".to_owned(), |next_ms| next_ms.to_string());
    log::warn!(
        "event={event} parts={} number={} spent={} next_ms={next} outcome={outcome} member={}",
        join_parts(&rule.parts),
        test.number,
        test.spent,
        test.member,
    );
}

/// Key of a rule on the log.
pub fn rule_key(parts: &[PromptPartId]) -> String {
    format!("{:016x}", hash_bytes(join_parts(parts).as_bytes(), 0))
}

/// Logs that a message was dropped because its queue is full.
pub fn log_dropped(from: impl fmt::Display) {
    log::warn!("event=quarantine_message_dropped from={from}");
}
