//! Tests of quarantined parts by a fleet, over generated histories in virtual time.

use std::collections::{BTreeMap, HashMap};

use amaranth_kernel::prompt_quarantine::{PromptQuarantine, PromptVerdict, RULE_LIFETIME_MS};
use amaranth_kernel::rule_tests::{
    FIRST_TEST_DELAY_MS, MAX_RULE_TESTS, TEST_PERMIT_MS, test_delay_ms, test_due_ms,
};
use amaranth_wire::id::PromptPartId;
use amaranth_wire::quarantine_message::QuarantineRule;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MEMBERS: usize = 5;
const STEP_MS: u64 = 500;
/// Time in which a rule can spend all its tests, and more.
const HISTORY_MS: u64 = 5_000_000;
/// Time in which a rule must end if its parts are served again and no message is lost.
const RELEASE_MS: u64 = FIRST_TEST_DELAY_MS + 5_000;
const RULES: [&str; 3] = ["dead", "beside dead2", "wrong"];
/// Prompts that come; the last one is refused by two rules.
const PROMPTS: &[&str] = &["x dead", "beside dead2 y", "wrong", "dead beside dead2"];

fn parts(names: &str) -> Vec<PromptPartId> {
    let names = names.split_whitespace();
    names.map(|name| name.parse().unwrap()).collect()
}

fn rule(names: &str) -> QuarantineRule {
    QuarantineRule {
        parts: parts(names),
        until_ms: RULE_LIFETIME_MS,
        test: None,
        refuted_from_ms: None,
    }
}

/// What goes wrong in a history, each with a probability in each step.
struct SimTrouble {
    lost_message: f64,
    lagging_read: f64,
    late_append: f64,
    trimmed_log: f64,
    restart: f64,
    second_judge: f64,
}

const NO_TROUBLE: SimTrouble = SimTrouble {
    lost_message: 0.0,
    lagging_read: 0.0,
    late_append: 0.0,
    trimmed_log: 0.0,
    restart: 0.0,
    second_judge: 0.0,
};

struct SimMember {
    name: String,
    quarantine: PromptQuarantine,
    next: usize,
}

struct SimFleet {
    now_ms: u64,
    rng: StdRng,
    trouble: SimTrouble,
    prompts: &'static [&'static str],
    members: Vec<SimMember>,
    /// Records by key, in the order of the log; `None` ends a rule.
    log: Vec<(Vec<PromptPartId>, Option<QuarantineRule>)>,
    late_appends: BTreeMap<(u64, usize), QuarantineRule>,
    names: usize,
    /// Moments at which tests of each rule were sent.
    tests: HashMap<Vec<PromptPartId>, Vec<u64>>,
    /// When the wrong rule was last in force at any member.
    wrong_until_ms: u64,
}

impl SimFleet {
    fn new(seed: u64, trouble: SimTrouble, prompts: &'static [&'static str]) -> Self {
        let log = RULES.map(|names| (parts(names), Some(rule(names))));
        let mut fleet = Self {
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            trouble,
            prompts,
            members: Vec::new(),
            log: log.into(),
            late_appends: BTreeMap::new(),
            names: 0,
            tests: HashMap::new(),
            wrong_until_ms: 0,
        };
        for _ in 0..MEMBERS {
            let member = fleet.start_member();
            fleet.members.push(member);
        }
        fleet
    }

    fn start_member(&mut self) -> SimMember {
        self.names += 1;
        let mut member = SimMember {
            name: format!("m{}", self.names),
            quarantine: PromptQuarantine::new(),
            next: 0,
        };
        self.read_snapshot(&mut member);
        member
    }

    fn read_snapshot(&self, member: &mut SimMember) {
        let newest: HashMap<_, _> = self.log.iter().cloned().collect();
        let present: Vec<_> = newest.into_values().flatten().collect();
        for rule in &present {
            member.quarantine.add_rule(rule.clone(), true);
        }
        member.quarantine.retain_rules(&present);
        member.next = self.log.len();
    }

    fn read_appended(&self, member: &mut SimMember) {
        for (parts, rule) in &self.log[member.next..] {
            match rule {
                Some(rule) => {
                    let name = &member.name;
                    member.quarantine.add_appended_rule(rule.clone(), name);
                }
                None => {
                    member.quarantine.remove_rule(parts);
                }
            }
        }
        member.next = self.log.len();
    }

    fn run(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for index in 0..MEMBERS {
                let mut member = self.members.remove(index);
                if self.rng.random_bool(self.trouble.restart) {
                    member = self.start_member();
                }
                self.step_member(&mut member);
                self.members.insert(index, member);
            }
            while let Some(entry) = self.late_appends.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let rule = entry.remove();
                self.log.push((rule.parts.clone(), Some(rule)));
            }
        }
    }

    fn step_member(&mut self, member: &mut SimMember) {
        if self.rng.random_bool(self.trouble.trimmed_log) {
            self.read_snapshot(member);
        } else if !self.rng.random_bool(self.trouble.lagging_read) {
            self.read_appended(member);
        }
        let wrong = parts("wrong");
        if member.quarantine.find_rule(&wrong, self.now_ms).is_some() {
            self.wrong_until_ms = self.now_ms;
        }
        for rule in member.quarantine.return_tests(self.now_ms) {
            self.append(rule);
        }
        let prompt = parts(self.prompts[self.rng.random_range(0..self.prompts.len())]);
        let verdict = member.quarantine.admit(&prompt, self.now_ms);
        for wanted in member.quarantine.request_tests(&prompt, self.now_ms) {
            self.ask_judges(member, &wanted);
        }
        if verdict == PromptVerdict::Test {
            self.record_test(member, &prompt);
        }
    }

    fn record_test(&mut self, member: &mut SimMember, prompt: &[PromptPartId]) {
        let tested = member.quarantine.finish_tests(prompt);
        assert!(!tested.is_empty());
        for rule in tested {
            let moments = self.tests.entry(rule.parts.clone()).or_default();
            moments.push(self.now_ms);
            let is_answered = rule.parts == parts("wrong");
            if is_answered && !self.rng.random_bool(self.trouble.lost_message) {
                self.log.push((rule.parts, None));
            }
        }
    }

    /// The first member judges; in trouble, the second one believes so at the same time.
    fn ask_judges(&mut self, asking: &mut SimMember, wanted: &[PromptPartId]) {
        let judges = 1 + usize::from(self.rng.random_bool(self.trouble.second_judge));
        for judge in 0..judges {
            if self.rng.random_bool(self.trouble.lost_message) {
                continue;
            }
            let quarantine = match self.members.get_mut(judge) {
                Some(judge) => &mut judge.quarantine,
                None => &mut asking.quarantine,
            };
            let granted = quarantine.grant_test(wanted, &asking.name, self.now_ms);
            if let Some(rule) = granted {
                self.append(rule);
            }
        }
    }

    fn append(&mut self, rule: QuarantineRule) {
        if self.rng.random_bool(self.trouble.lost_message) {
            return;
        }
        if self.rng.random_bool(self.trouble.late_append) {
            let delay_ms = self.rng.random_range(0..40_000);
            let key = (self.now_ms + delay_ms, self.late_appends.len());
            self.late_appends.insert(key, rule);
        } else {
            self.log.push((rule.parts.clone(), Some(rule)));
        }
    }
}

/// Lost messages, lagging and restarted members, late appends and two judges at once add no test.
#[test]
fn a_deadly_part_crashes_no_more_upstreams_than_its_rule_has_tests() {
    let mut spent = 0;
    for seed in 0..40 {
        let trouble = SimTrouble {
            lost_message: 0.2,
            lagging_read: 0.3,
            late_append: 0.1,
            trimmed_log: 0.01,
            restart: 0.01,
            second_judge: 0.5,
        };
        let mut fleet = SimFleet::new(seed, trouble, PROMPTS);
        fleet.run(HISTORY_MS);
        for (parts, moments) in &fleet.tests {
            let count = moments.len();
            assert!(
                count <= MAX_RULE_TESTS as usize,
                "seed {seed}: {parts:?} {moments:?}"
            );
            spent += count;
            for pair in moments.windows(2) {
                let pause_ms = pair[1] - pair[0];
                let least_ms = FIRST_TEST_DELAY_MS - TEST_PERMIT_MS;
                assert!(pause_ms >= least_ms, "seed {seed}: {parts:?} {moments:?}");
            }
        }
    }
    assert!(spent > 0, "no test was run");
}

#[test]
fn a_rule_whose_parts_are_served_again_ends_after_its_first_test() {
    for seed in 0..40 {
        let mut fleet = SimFleet::new(seed, NO_TROUBLE, &["wrong"]);
        fleet.run(2 * RELEASE_MS);
        assert!(fleet.wrong_until_ms > 0, "seed {seed}");
        assert!(
            fleet.wrong_until_ms < RELEASE_MS,
            "seed {seed}: in force until {}",
            fleet.wrong_until_ms
        );
    }
}

#[test]
fn a_rule_whose_part_stays_deadly_spends_all_its_tests_with_growing_delays() {
    let mut fleet = SimFleet::new(1, NO_TROUBLE, &["dead"]);
    fleet.run(HISTORY_MS);
    let moments = &fleet.tests[&parts("dead")];
    assert_eq!(moments.len(), MAX_RULE_TESTS as usize, "{moments:?}");
    let pauses: Vec<_> = moments.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses[1] > 2 * pauses[0], "{pauses:?}");
}

/// The first record of a number on the log decides which member runs the test.
#[test]
fn of_two_judges_that_grant_the_same_test_one_counts() {
    let mut others = [PromptQuarantine::new(), PromptQuarantine::new()];
    let mut grants = Vec::new();
    for name in ["a", "b"] {
        let mut judge = PromptQuarantine::new();
        judge.add_rule(rule("d"), true);
        grants.extend(judge.grant_test(&parts("d"), name, FIRST_TEST_DELAY_MS));
    }
    for (quarantine, name) in others.iter_mut().zip(["a", "b"]) {
        quarantine.add_rule(rule("d"), true);
        for grant in &grants {
            quarantine.add_appended_rule(grant.clone(), name);
        }
    }
    let verdicts = others.map(|mut quarantine| quarantine.admit(&parts("d"), FIRST_TEST_DELAY_MS));
    assert_eq!(verdicts[0], PromptVerdict::Test);
    assert!(matches!(verdicts[1], PromptVerdict::Refused { .. }));
}

#[test]
fn a_granted_test_lets_one_prompt_through_and_the_next_is_due_later() {
    let mut quarantine = PromptQuarantine::new();
    quarantine.add_rule(rule("d"), true);
    let dead = parts("d");
    assert_eq!(quarantine.request_tests(&dead, 0), Vec::<Vec<_>>::new());
    let now_ms = FIRST_TEST_DELAY_MS;
    assert_eq!(
        quarantine.request_tests(&dead, now_ms),
        std::slice::from_ref(&dead)
    );
    let grant = quarantine.grant_test(&dead, "a", now_ms).unwrap();
    assert_eq!(quarantine.grant_test(&dead, "b", now_ms), None);
    quarantine.add_appended_rule(grant.clone(), "a");
    assert_eq!(quarantine.admit(&dead, now_ms), PromptVerdict::Test);
    let retry_ms = test_delay_ms(1).unwrap();
    assert_eq!(
        quarantine.admit(&dead, now_ms),
        PromptVerdict::Refused { retry_ms }
    );
    assert_eq!(test_due_ms(&grant), Some(now_ms + retry_ms));
    assert_eq!(quarantine.return_tests(u64::MAX), []);
}

#[test]
fn a_test_that_did_not_begin_in_time_is_given_back() {
    let mut quarantine = PromptQuarantine::new();
    quarantine.add_rule(rule("d"), true);
    let mut now_ms = FIRST_TEST_DELAY_MS;
    for (number, spent, begins) in [(1, 1, true), (2, 2, false), (3, 2, false), (4, 2, true)] {
        let grant = quarantine.grant_test(&parts("d"), "a", now_ms).unwrap();
        let test = grant.test.clone().unwrap();
        assert_eq!((test.number, test.spent), (number, spent));
        quarantine.add_appended_rule(grant, "a");
        let sent_ms = match begins {
            true => now_ms,
            false => now_ms + TEST_PERMIT_MS,
        };
        let verdict = quarantine.admit(&parts("d"), sent_ms);
        assert_eq!(verdict == PromptVerdict::Test, begins, "test {number}");
        let returned = quarantine.return_tests(now_ms + TEST_PERMIT_MS);
        assert_eq!(returned.len(), usize::from(!begins), "test {number}");
        for rule in returned {
            quarantine.add_appended_rule(rule, "a");
        }
        let rule = quarantine.rules().next().unwrap();
        now_ms = test_due_ms(rule).unwrap();
    }
}

/// A restarted member reads the newest record of each rule only.
#[test]
fn a_snapshot_of_the_log_grants_no_test_and_keeps_the_count() {
    let mut quarantine = PromptQuarantine::new();
    quarantine.add_rule(rule("d"), true);
    let now_ms = FIRST_TEST_DELAY_MS;
    let grant = quarantine.grant_test(&parts("d"), "a", now_ms).unwrap();
    let mut restarted = PromptQuarantine::new();
    restarted.add_rule(grant, true);
    let verdict = restarted.admit(&parts("d"), now_ms);
    assert!(matches!(verdict, PromptVerdict::Refused { .. }));
    assert_eq!(restarted.grant_test(&parts("d"), "a", now_ms), None);
}

#[test]
fn a_prompt_that_two_rules_refuse_needs_a_test_of_both() {
    let mut quarantine = PromptQuarantine::new();
    quarantine.add_rule(rule("a"), true);
    quarantine.add_rule(rule("b"), true);
    let now_ms = FIRST_TEST_DELAY_MS;
    for (name, expected) in [("a", false), ("b", true)] {
        let grant = quarantine.grant_test(&parts(name), "m", now_ms).unwrap();
        quarantine.add_appended_rule(grant, "m");
        let verdict = quarantine.verdict(&parts("a b"), now_ms);
        assert_eq!(verdict == PromptVerdict::Test, expected, "{name}");
    }
}
