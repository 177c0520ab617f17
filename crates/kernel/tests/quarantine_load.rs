//! A fleet under requests of which some have a part that crashes upstreams, in virtual time.

use std::collections::BTreeMap;

use amaranth_kernel::crash_evidence::{ALIBI_EXPIRY_MS, CrashEvidence};
use amaranth_kernel::prompt_quarantine::{PromptQuarantine, RULE_LIFETIME_MS};
use amaranth_wire::id::PromptPartId;
use amaranth_wire::quarantine_message::{LossReport, PartAnswer, QuarantineRule};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MEMBERS: usize = 10;
const UPSTREAMS: usize = 18;
/// Time from a placement to the first event or the crash.
const BEGIN_MS: u64 = 80;
/// Time from the first event until an answer speaks for its parts.
const ANSWER_MS: u64 = 40;
/// Time until a crashed upstream is back.
const RESTART_MS: u64 = 3_000;
/// Delay of a message between members.
const MESSAGE_MS: u64 = 2;
/// Requests arrive in each millisecond with this probability.
const ARRIVAL: f64 = 0.2;
const DAY_MS: u64 = 30_000;
/// Jobs come in this interval. The items of each arrive together and share a part of their own.
const JOB_PERIOD_MS: u64 = 150;
const JOB_ITEMS: usize = 8;
/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 2;
/// Time after the fifth crash from which few requests with the part may reach upstreams.
const STABLE_WINDOW_MS: u64 = 3_000;
/// Most such requests.
const MAX_STRAY_REQUESTS: usize = 3;
const DEADLY: &str = "dead";

fn part(name: &str) -> PromptPartId {
    name.parse().unwrap()
}

#[derive(Clone)]
struct SimRequest {
    member: usize,
    number: usize,
    parts: Vec<PromptPartId>,
    attempts: u32,
    /// Start of its upstream at which it runs.
    upstream: (usize, u64),
    sent_ms: u64,
}

enum SimEvent {
    Arrive(SimRequest),
    Begin(SimRequest),
    Answered(SimRequest),
    Report(LossReport),
    Accuse(Vec<PromptPartId>),
    /// Answers that a member remembers, and when it told of them.
    Alibi(Vec<PartAnswer>, u64),
    InForce(QuarantineRule),
    Narrow(QuarantineRule, Option<QuarantineRule>),
    Judge,
    CrashMany,
}

struct SimFleet {
    now_ms: u64,
    events: BTreeMap<(u64, usize), SimEvent>,
    scheduled: usize,
    rng: StdRng,
    members: Vec<PromptQuarantine>,
    evidence: CrashEvidence,
    /// When each upstream is back, and its requests with whether their answers have begun.
    upstreams: Vec<(u64, Vec<(SimRequest, bool)>)>,
    deadly_crashes: Vec<u64>,
    deadly_sends: Vec<u64>,
    sound_refusals: Vec<u64>,
}

impl SimFleet {
    fn new(seed: u64) -> Self {
        Self {
            now_ms: 0,
            events: BTreeMap::new(),
            scheduled: 0,
            rng: StdRng::seed_from_u64(seed),
            members: (0..MEMBERS).map(|_| PromptQuarantine::new()).collect(),
            evidence: CrashEvidence::new(),
            upstreams: vec![(0, Vec::new()); UPSTREAMS],
            deadly_crashes: Vec::new(),
            deadly_sends: Vec::new(),
            sound_refusals: Vec::new(),
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: SimEvent) {
        self.scheduled += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.scheduled), event);
    }

    fn run(&mut self) {
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            self.now_ms = now_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.place(request),
            SimEvent::Begin(request) => self.begin(request),
            SimEvent::Answered(request) => {
                let (index, started_ms) = request.upstream;
                let (since_ms, open) = &mut self.upstreams[index];
                if *since_ms != started_ms {
                    return;
                }
                open.retain(|(other, _)| other.number != request.number);
                let member = &mut self.members[request.member];
                let reported = member.record_answer(&request.parts, self.now_ms);
                if !reported.is_empty() {
                    let answer = |part| PartAnswer { part, age_ms: 0 };
                    let answers = reported.into_iter().map(answer).collect();
                    self.schedule(MESSAGE_MS, SimEvent::Alibi(answers, self.now_ms));
                }
            }
            SimEvent::Report(report) => {
                let accused = self.evidence.record(report, self.now_ms);
                if !accused.is_empty() {
                    self.schedule(MESSAGE_MS, SimEvent::Accuse(accused));
                }
                self.judge();
            }
            SimEvent::Accuse(parts) => {
                for member in 0..MEMBERS {
                    let answers = self.members[member].answers(&parts, self.now_ms);
                    self.schedule(MESSAGE_MS, SimEvent::Alibi(answers, self.now_ms));
                }
            }
            SimEvent::Alibi(answers, told_ms) => {
                for answer in answers {
                    self.acquit(&answer, told_ms);
                }
            }
            SimEvent::InForce(rule) => {
                for member in &mut self.members {
                    member.add_rule(rule.clone(), false);
                }
            }
            SimEvent::Narrow(rule, successor) => {
                for member in &mut self.members {
                    member.remove_rule(&rule.parts);
                    if let Some(successor) = &successor {
                        member.add_rule(successor.clone(), false);
                    }
                }
            }
            SimEvent::Judge => self.judge(),
            SimEvent::CrashMany => {
                for upstream in 0..UPSTREAMS / 3 {
                    self.crash(upstream);
                }
            }
        }
    }

    fn place(&mut self, mut request: SimRequest) {
        let is_deadly = request.parts.contains(&part(DEADLY));
        let member = &self.members[request.member];
        if member.find_rule(&request.parts, self.now_ms).is_some() {
            if !is_deadly {
                self.sound_refusals.push(self.now_ms);
            }
            return;
        }
        let up: Vec<_> = (0..UPSTREAMS)
            .filter(|index| self.upstreams[*index].0 <= self.now_ms)
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.rng.random_range(0..up.len())];
        let (started_ms, open) = &mut self.upstreams[index];
        request.upstream = (index, *started_ms);
        request.sent_ms = self.now_ms;
        request.attempts += 1;
        open.push((request.clone(), false));
        if is_deadly {
            self.deadly_sends.push(self.now_ms);
        }
        self.schedule(BEGIN_MS, SimEvent::Begin(request));
    }

    fn begin(&mut self, request: SimRequest) {
        let (index, started_ms) = request.upstream;
        let (since_ms, open) = &mut self.upstreams[index];
        if *since_ms != started_ms {
            return;
        }
        let mut open = open.iter_mut();
        let own = open.find(|(other, _)| other.number == request.number);
        own.unwrap().1 = true;
        if request.parts.contains(&part(DEADLY)) {
            self.deadly_crashes.push(self.now_ms);
            self.crash(index);
        } else {
            self.schedule(ANSWER_MS, SimEvent::Answered(request));
        }
    }

    fn crash(&mut self, index: usize) {
        let lost = std::mem::take(&mut self.upstreams[index].1);
        self.upstreams[index].0 = self.now_ms + RESTART_MS;
        for (request, begun) in lost {
            let member = &self.members[request.member];
            let parts = member.unanswered(&request.parts, self.now_ms);
            if !parts.is_empty() && member.find_rule(&parts, self.now_ms).is_none() {
                let report = LossReport {
                    upstream: format!("u{index}-{}", request.upstream.1).parse().unwrap(),
                    request: format!("r{}", request.number).parse().unwrap(),
                    parts,
                    begun,
                    age_ms: self.now_ms - request.sent_ms,
                };
                self.schedule(MESSAGE_MS, SimEvent::Report(report));
            }
            if request.attempts < MAX_ATTEMPTS {
                self.schedule(1, SimEvent::Arrive(request));
            }
        }
    }

    fn judge(&mut self) {
        for conviction in self.evidence.convict(self.now_ms) {
            let rule = QuarantineRule {
                parts: conviction.parts,
                until_ms: self.now_ms + RULE_LIFETIME_MS,
                test: None,
                refuted_from_ms: Some(conviction.refuted_from_ms),
            };
            self.schedule(MESSAGE_MS, SimEvent::InForce(rule));
        }
        if let Some(due_ms) = self.evidence.next_judgement_ms(self.now_ms) {
            self.schedule(due_ms - self.now_ms, SimEvent::Judge);
        }
    }

    fn acquit(&mut self, answer: &PartAnswer, told_ms: u64) {
        let PartAnswer { part, age_ms } = answer;
        let answered_ms = told_ms.saturating_sub(*age_ms);
        self.evidence.acquit(part, answered_ms, self.now_ms);
        let narrowed = match *age_ms < ALIBI_EXPIRY_MS {
            true => self.members[0].narrow(part),
            false => self.members[0].narrow_refuted(part, answered_ms),
        };
        for (rule, successor) in narrowed {
            self.schedule(MESSAGE_MS, SimEvent::Narrow(rule, successor));
        }
    }

    /// Schedules a day: one request in twenty is deadly from `deadly_from_ms` on.
    fn schedule_day(&mut self, deadly_from_ms: u64) {
        for at_ms in 0..DAY_MS {
            if at_ms % JOB_PERIOD_MS == 0 {
                let job = part(&format!("job{at_ms}"));
                for _ in 0..JOB_ITEMS {
                    self.schedule_request(at_ms, vec![part("common"), job.clone()]);
                }
            }
            if !self.rng.random_bool(ARRIVAL) {
                continue;
            }
            // Few requests have a rare subject, and the deadly ones share theirs with some sound ones.
            let subject = self.rng.random_range(0..60) * self.rng.random_range(0..60) / 60;
            let mut parts = vec![part("common"), part(&format!("subject{subject}"))];
            if at_ms >= deadly_from_ms && self.rng.random_bool(0.05) {
                parts = vec![part("common"), part("subject55"), part(DEADLY)];
            }
            self.schedule_request(at_ms, parts);
        }
    }

    fn schedule_request(&mut self, at_ms: u64, parts: Vec<PromptPartId>) {
        let request = SimRequest {
            member: self.rng.random_range(0..MEMBERS),
            number: self.scheduled,
            parts,
            attempts: 0,
            upstream: (0, 0),
            sent_ms: 0,
        };
        self.schedule(at_ms, SimEvent::Arrive(request));
    }

    fn blamed(&self) -> Vec<Vec<PromptPartId>> {
        let rules = self.members[0].rules().map(|rule| rule.parts.clone());
        rules.collect()
    }
}

/// The load of the incident: the deadly part is found after few crashes, and only it is refused.
#[test]
fn a_deadly_part_is_quarantined_before_many_upstreams_crash() {
    for seed in 0..40 {
        let mut fleet = SimFleet::new(seed);
        fleet.schedule_day(4_000);
        fleet.run();
        let fifth_ms = fleet.deadly_crashes.get(4).copied();
        let end_ms = fifth_ms.unwrap_or(DAY_MS) + STABLE_WINDOW_MS;
        let strays = fleet.deadly_sends.iter().filter(|at_ms| **at_ms > end_ms);
        assert!(strays.count() <= MAX_STRAY_REQUESTS, "seed {seed}");
        let late = fleet.sound_refusals.iter();
        let late = late.filter(|at_ms| **at_ms > end_ms + STABLE_WINDOW_MS);
        assert_eq!(late.count(), 0, "seed {seed}: {:?}", fleet.blamed());
        assert!(!fleet.blamed().is_empty(), "seed {seed}");
        let is_deadly = |parts: &Vec<_>| parts.contains(&part(DEADLY));
        assert!(
            fleet.blamed().iter().all(is_deadly),
            "seed {seed}: {:?}",
            fleet.blamed()
        );
    }
}

/// Crashes that no request causes blame no part.
#[test]
fn upstreams_that_crash_together_blame_no_part() {
    for seed in 0..40 {
        let mut fleet = SimFleet::new(seed);
        fleet.schedule_day(DAY_MS);
        for at_ms in (1_000..DAY_MS).step_by(3_170) {
            fleet.schedule(at_ms, SimEvent::CrashMany);
        }
        fleet.run();
        assert_eq!(fleet.blamed(), Vec::<Vec<_>>::new(), "seed {seed}");
        assert!(fleet.sound_refusals.is_empty(), "seed {seed}");
    }
}
