//! The task of the quarantine service: exchanges messages with the other instances, judges the reports,
//! and keeps the rules on the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::crash_evidence::{ALIBI_EXPIRY_MS, PartConviction};
use amaranth_kernel::prompt_quarantine::RULE_LIFETIME_MS;
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_wire::id::PromptPartId;
use amaranth_wire::placement_message::PlacementMessage;
use amaranth_wire::quarantine_message::{
    LossReport, PartAnswer, QuarantineMessage, QuarantineRule,
};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::attempt::join_parts;
use crate::batch::commit::BatchCommitter;
use crate::log_access::{LogError, NewEntry};
use crate::member_name::MemberName;
use crate::placement_service::PlacementService;
use crate::quarantine_service::{
    MAX_QUEUED_MESSAGES, OutgoingNotice, QuarantineQueues, QuarantineService, RuleSource,
    log_dropped, log_test, rule_key,
};

/// Name under which the members that judge are chosen.
const JUDGE_TASK: &str = "prompt-quarantine";
/// Delay before a rule is appended to the log again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Most appends of a rule that are tried. Instances that are running have it by then.
const MAX_APPENDS: u32 = 100;
/// Interval at which expired rules are removed.
const EXPIRY_PERIOD: Duration = Duration::from_secs(10);

/// The service's task.
struct QuarantineTask {
    service: Arc<QuarantineService>,
    /// Sends datagrams to the other members.
    placement: Arc<PlacementService>,
    /// Appends rules to the log.
    committer: BatchCommitter,
    /// Messages from this instance to itself.
    loopback: mpsc::Sender<QuarantineMessage>,
}

/// Handles the queues until the token is cancelled.
pub async fn run(
    service: Arc<QuarantineService>,
    queues: QuarantineQueues,
    placement: Arc<PlacementService>,
    committer: BatchCommitter,
    stop: CancellationToken,
) {
    let (loopback, mut own) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let task = QuarantineTask {
        service,
        placement,
        committer,
        loopback,
    };
    let QuarantineQueues {
        mut outgoing,
        mut inbox,
    } = queues;
    let mut expiry = interval(EXPIRY_PERIOD);
    let handle = async {
        loop {
            tokio::select! {
                Some(notice) = outgoing.recv() => task.handle_notice(notice).await,
                Some(message) = own.recv() => task.handle_message(message, None).await,
                Some((message, from)) = inbox.recv() => {
                    task.handle_message(message, Some(from)).await;
                }
                () = task.wait_judgement() => {}
                _ = expiry.tick() => task.expire(),
            }
            task.judge().await;
        }
    };
    stop.run_until_cancelled(handle).await;
}

impl QuarantineTask {
    async fn handle_notice(&self, notice: OutgoingNotice) {
        match notice {
            OutgoingNotice::Answered(parts) => {
                self.tell_judges(QuarantineMessage::Answered(parts)).await;
            }
            OutgoingNotice::Lost(report) => {
                self.tell_judges(QuarantineMessage::Lost(report)).await;
            }
            OutgoingNotice::RuleRead(answers) => self.tell_judges_of(answers).await,
            OutgoingNotice::TestWanted(parts) => {
                let member = self.placement.member().to_string();
                self.tell_judges(QuarantineMessage::TestWanted { parts, member })
                    .await;
            }
        }
    }

    /// Handles a message; `from` is `None` for this instance's own.
    async fn handle_message(&self, message: QuarantineMessage, from: Option<SocketAddr>) {
        match message {
            QuarantineMessage::Lost(report) => self.record_report(report).await,
            QuarantineMessage::Accused(parts) => self.answer_accusation(&parts, from).await,
            QuarantineMessage::Answered(parts) => {
                for part in parts {
                    self.acquit(&part).await;
                }
            }
            QuarantineMessage::AnsweredEarlier(answers) => {
                for answer in answers {
                    self.weigh_answer(&answer).await;
                }
            }
            QuarantineMessage::InForce(rule) => {
                let parts = rule.parts.clone();
                if self.service.add_rule(rule, RuleSource::Member) {
                    // The sender may end before it has heard of an answer.
                    self.answer_accusation(&parts, from).await;
                    self.tell_judges_of(self.service.answers(&parts)).await;
                }
            }
            QuarantineMessage::RefutedFrom { parts, unix_ms } => {
                self.service
                    .with_quarantine(|quarantine| quarantine.record_refutation(&parts, unix_ms));
            }
            QuarantineMessage::Ended(parts) => {
                self.service.remove_rule(&parts, RuleSource::Member);
            }
            QuarantineMessage::TestWanted { parts, member } => self.grant_test(&parts, &member),
        }
    }

    async fn record_report(&self, report: LossReport) {
        if self.service.is_refused(&report.parts) {
            return;
        }
        let now_ms = steady_ms();
        let accused = self
            .service
            .with_evidence(|evidence| evidence.record(report, now_ms));
        if !accused.is_empty() {
            log::info!("event=prompt_accused parts={}", join_parts(&accused));
            self.tell_members(QuarantineMessage::Accused(accused)).await;
        }
    }

    /// Tells the sender of an accusation, or this instance itself, which answers speak against it.
    async fn answer_accusation(&self, parts: &[PromptPartId], from: Option<SocketAddr>) {
        for message in answer_messages(self.service.answers(parts)) {
            match from {
                Some(from) => self.send(message, from).await,
                None => self.send_own(message),
            }
        }
    }

    async fn tell_judges_of(&self, answers: Vec<PartAnswer>) {
        for message in answer_messages(answers) {
            self.tell_judges(message).await;
        }
    }

    /// Acquits a part that an upstream has answered of late.
    async fn acquit(&self, part: &PromptPartId) {
        self.drop_losses(part, 0);
        let narrowed = self
            .service
            .with_quarantine(|quarantine| quarantine.narrow(part));
        self.replace_rules(narrowed).await;
    }

    /// Drops the losses that an earlier answer speaks against, and ends the rules that rest on them.
    async fn weigh_answer(&self, answer: &PartAnswer) {
        let PartAnswer { part, age_ms } = answer;
        self.drop_losses(part, *age_ms);
        let answered_ms = unix_ms().saturating_sub(*age_ms);
        let narrowed = self
            .service
            .with_quarantine(|quarantine| quarantine.narrow_refuted(part, answered_ms));
        self.replace_rules(narrowed).await;
    }

    fn drop_losses(&self, part: &PromptPartId, age_ms: u64) {
        let now_ms = steady_ms();
        let answered_ms = now_ms.saturating_sub(age_ms);
        let losses = self
            .service
            .with_evidence(|evidence| evidence.acquit(part, answered_ms, now_ms));
        if losses > 0 {
            log::info!("event=losses_refuted part={part} losses={losses} age_ms={age_ms}");
        }
    }

    /// Ends rules everywhere, and puts their successors in force.
    async fn replace_rules(&self, narrowed: Vec<(QuarantineRule, Option<QuarantineRule>)>) {
        for (rule, successor) in narrowed {
            if let Some(successor) = successor {
                self.put_in_force(successor).await;
            }
            self.service.remove_rule(&rule.parts, RuleSource::Own);
            self.store(&rule.parts, None);
            self.tell_members(QuarantineMessage::Ended(rule.parts))
                .await;
        }
    }

    /// Convicts what the evidence allows by now.
    async fn judge(&self) {
        let now_ms = steady_ms();
        let convicted = self
            .service
            .with_evidence(|evidence| evidence.convict(now_ms));
        for conviction in convicted {
            let PartConviction {
                parts,
                refuted_from_ms,
            } = conviction;
            let unix_ms = unix_ms();
            let refuted_from_ms = unix_ms.saturating_sub(now_ms.saturating_sub(refuted_from_ms));
            let rule = QuarantineRule {
                parts,
                until_ms: unix_ms + RULE_LIFETIME_MS,
                test: None,
                refuted_from_ms: Some(refuted_from_ms),
            };
            self.put_in_force(rule).await;
        }
    }

    async fn put_in_force(&self, rule: QuarantineRule) {
        if self.service.add_rule(rule.clone(), RuleSource::Own) {
            self.store(&rule.parts, Some(&rule));
            let in_force = QuarantineMessage::InForce(rule.for_datagram());
            self.tell_members(in_force).await;
            if let Some(unix_ms) = rule.refuted_from_ms {
                let parts = rule.parts;
                self.tell_judges(QuarantineMessage::RefutedFrom { parts, unix_ms })
                    .await;
            }
        }
    }

    /// Grants a member a test of a rule if this instance is the first judge and a test is due. The log
    /// tells the member.
    fn grant_test(&self, parts: &[PromptPartId], member: &str) {
        if !self.is_first_judge() {
            return;
        }
        let now_ms = unix_ms();
        let granted = self
            .service
            .with_quarantine(|quarantine| quarantine.grant_test(parts, member, now_ms));
        if let Some(rule) = granted {
            log_test("prompt_test_granted", &rule, "open");
            self.append_test(rule);
        }
    }

    fn is_first_judge(&self) -> bool {
        let judges = self.placement.preferred_members(JUDGE_TASK);
        judges.first() == Some(self.placement.member())
    }

    /// Writes a rule with its last test to the log, in the background. A failed append isn't repeated:
    /// the next request for a test makes a new one.
    fn append_test(&self, rule: QuarantineRule) {
        let committer = self.committer.clone();
        let record = rule_record(&rule.parts, Some(&rule));
        tokio::spawn(async move {
            if let Err(e) = committer.append_records(vec![record], true).await {
                log_not_appended(&e);
            }
        });
    }

    /// Writes a rule to the log or deletes it there, in the background. A rule that has ended or was
    /// tested meanwhile isn't written any more.
    fn store(&self, parts: &[PromptPartId], rule: Option<&QuarantineRule>) {
        let committer = self.committer.clone();
        let record = rule_record(parts, rule);
        let (service, rule) = (self.service.clone(), rule.cloned());
        tokio::spawn(async move {
            for _ in 0..MAX_APPENDS {
                if rule.as_ref().is_some_and(|rule| !service.is_current(rule)) {
                    return;
                }
                match committer.append_records(vec![record.clone()], true).await {
                    Ok(_) => return,
                    Err(e) => log_not_appended(&e),
                }
                sleep(APPEND_RETRY_DELAY).await;
            }
        });
    }

    /// Gives back tests that did not begin, and removes expired rules; the first judge also deletes
    /// them from the log.
    fn expire(&self) {
        let now_ms = unix_ms();
        let returned = self
            .service
            .with_quarantine(|quarantine| quarantine.return_tests(now_ms));
        for rule in returned {
            log_test("prompt_test_returned", &rule, "not_begun");
            self.append_test(rule);
        }
        let expired = self
            .service
            .with_quarantine(|quarantine| quarantine.expire(now_ms));
        let is_first = self.is_first_judge();
        for rule in expired {
            log::info!(
                "event=prompt_quarantine_expired parts={}",
                join_parts(&rule.parts)
            );
            if is_first {
                self.store(&rule.parts, None);
            }
        }
    }

    async fn wait_judgement(&self) {
        let now_ms = steady_ms();
        let due_ms = self
            .service
            .with_evidence(|evidence| evidence.next_judgement_ms(now_ms));
        match due_ms {
            Some(due_ms) => sleep(Duration::from_millis(due_ms - now_ms)).await,
            None => std::future::pending().await,
        }
    }

    async fn tell_judges(&self, message: QuarantineMessage) {
        let judges = self.placement.preferred_members(JUDGE_TASK);
        self.send_all(message, &judges).await;
    }

    async fn tell_members(&self, message: QuarantineMessage) {
        let members = self.placement.members();
        self.send_all(message, &members).await;
    }

    async fn send_all(&self, message: QuarantineMessage, members: &[MemberName]) {
        for member in members {
            match member == self.placement.member() {
                true => self.send_own(message.clone()),
                false => self.send(message.clone(), member.address).await,
            }
        }
    }

    fn send_own(&self, message: QuarantineMessage) {
        if self.loopback.try_send(message).is_err() {
            log_dropped("self");
        }
    }

    async fn send(&self, message: QuarantineMessage, address: SocketAddr) {
        let message = PlacementMessage::Quarantine(message);
        self.placement.send(&message, address).await;
    }
}

/// Messages that tell of answers: of the latest ones as older versions read them, too.
fn answer_messages(answers: Vec<PartAnswer>) -> Vec<QuarantineMessage> {
    let (late, earlier): (Vec<_>, Vec<_>) = answers
        .into_iter()
        .partition(|answer| answer.age_ms < ALIBI_EXPIRY_MS);
    let late: Vec<_> = late.into_iter().map(|answer| answer.part).collect();
    let late = (!late.is_empty()).then_some(QuarantineMessage::Answered(late));
    let earlier = (!earlier.is_empty()).then_some(QuarantineMessage::AnsweredEarlier(earlier));
    late.into_iter().chain(earlier).collect()
}

fn rule_record(parts: &[PromptPartId], rule: Option<&QuarantineRule>) -> NewEntry {
    NewEntry {
        key: rule_key(parts),
        value: rule.map(|rule| rule.encode().into()),
    }
}

fn log_not_appended(error: &LogError) {
    let error = error.to_string();
    log::warn!("event=quarantine_rule_not_appended error={error:?}");
}
