//! Rules against prompts that crash upstreams, and what an instance knows in favour of their parts.

use amaranth_kernel::crash_evidence::{ALIBI_EXPIRY_MS, ANSWER_LIFETIME_MS};
use amaranth_kernel::prompt_quarantine::PromptQuarantine;
use amaranth_wire::id::PromptPartId;
use amaranth_wire::quarantine_message::{PartAnswer, QuarantineRule};

fn parts(names: &str) -> Vec<PromptPartId> {
    let names = names.split_whitespace();
    names.map(|name| name.parse().unwrap()).collect()
}

fn rule(names: &str, until_ms: u64) -> QuarantineRule {
    QuarantineRule {
        parts: parts(names),
        until_ms,
        test: None,
        refuted_from_ms: None,
    }
}

#[test]
fn a_rule_refuses_prompts_with_all_its_parts_until_it_expires() {
    let cases = [
        ("a d", "a d", 999, true),
        ("a d", "x d y a", 999, true),
        ("a d", "a", 999, false),
        ("a d", "d", 999, false),
        ("d", "", 999, false),
        ("d", "d", 1_000, false),
        ("", "d", 999, false),
    ];
    for (blamed, prompt, at_ms, refused) in cases {
        let mut quarantine = PromptQuarantine::new();
        quarantine.add_rule(rule(blamed, 1_000), false);
        let found = quarantine.find_rule(&parts(prompt), at_ms);
        assert_eq!(found.is_some(), refused, "{blamed:?} {prompt:?} {at_ms}");
    }
}

#[test]
fn an_answer_narrows_the_rules_that_blame_its_parts() {
    let cases = [("a d", "a", Some("d")), ("d", "d", None)];
    for (blamed, answered, successor) in cases {
        let mut quarantine = PromptQuarantine::new();
        quarantine.add_rule(rule(blamed, 1_000), false);
        quarantine.add_rule(rule("other", 1_000), false);
        let narrowed = quarantine.narrow(&parts(answered)[0]);
        let expected = (
            rule(blamed, 1_000),
            successor.map(|names| rule(names, 1_000)),
        );
        assert_eq!(narrowed, [expected]);
    }
}

#[test]
fn answers_speak_for_a_part_for_some_seconds() {
    let mut quarantine = PromptQuarantine::new();
    assert!(quarantine.record_answer(&parts("a b"), 0).is_empty());
    assert_eq!(quarantine.unanswered(&parts("a c"), 1), parts("c"));
    assert_eq!(
        quarantine.unanswered(&parts("a"), ALIBI_EXPIRY_MS),
        parts("a")
    );
    for age_ms in [1, ALIBI_EXPIRY_MS, ANSWER_LIFETIME_MS - 1] {
        let answer = PartAnswer {
            part: parts("a")[0].clone(),
            age_ms,
        };
        assert_eq!(quarantine.answers(&parts("a c"), age_ms), [answer]);
    }
    assert_eq!(quarantine.answers(&parts("a"), ANSWER_LIFETIME_MS), []);
}

/// Guards against a flood of parts that makes an instance forget all that it has seen answered.
#[test]
fn the_latest_answers_are_remembered_beside_many_others() {
    let mut quarantine = PromptQuarantine::new();
    for index in 0..20_000 {
        quarantine.record_answer(&parts(&format!("p{index}")), index);
        let before = index.saturating_sub(1_000);
        let answers = quarantine.answers(&parts(&format!("p{before}")), index);
        assert_eq!(answers.len(), 1, "{index}");
    }
}

/// Guards against rules that outlive an answer which refutes them, and against those that end by an older one.
#[test]
fn an_earlier_answer_ends_the_rules_that_it_refutes() {
    for (known, from_ms, answered_ms, ends) in [
        (None, None, 900, false),
        (Some(500), None, 500, true),
        (Some(500), None, 499, false),
        (Some(500), Some(600), 599, false),
        (Some(500), Some(400), 499, false),
        (None, Some(500), 500, true),
    ] {
        let mut quarantine = PromptQuarantine::new();
        let known = QuarantineRule {
            refuted_from_ms: known,
            ..rule("a d", 1_000)
        };
        quarantine.add_rule(known.clone(), false);
        if let Some(from_ms) = from_ms {
            quarantine.record_refutation(&known.parts, from_ms);
        }
        let narrowed = quarantine.narrow_refuted(&parts("a")[0], answered_ms);
        let successors: Vec<_> = narrowed
            .into_iter()
            .map(|(_, successor)| successor.unwrap().parts)
            .collect();
        let expected = if ends { vec![parts("d")] } else { Vec::new() };
        assert_eq!(successors, expected, "{known:?} {from_ms:?} {answered_ms}");
    }
}

#[test]
fn answers_to_accused_or_blamed_parts_are_reported() {
    let mut quarantine = PromptQuarantine::new();
    quarantine.answers(&parts("accused"), 0);
    quarantine.add_rule(rule("blamed d", 1_000), false);
    let answered = parts("a accused blamed");
    let reported = quarantine.record_answer(&answered, 1);
    assert_eq!(reported, parts("accused blamed"));
    assert_eq!(quarantine.record_answer(&answered, 2), parts("blamed"));
}

/// A rule that an instance just learned from another one may not be on the log yet.
#[test]
fn reading_the_log_anew_ends_only_rules_that_were_on_it() {
    let mut quarantine = PromptQuarantine::new();
    quarantine.add_rule(rule("new", 1_000), false);
    quarantine.add_rule(rule("ended", 1_000), true);
    quarantine.add_rule(rule("kept", 1_000), true);
    quarantine.retain_rules(&[rule("kept", 1_000)]);
    let blamed: Vec<_> = quarantine.rules().map(|rule| rule.parts.clone()).collect();
    assert_eq!(blamed, [parts("new"), parts("kept")]);
    assert_eq!(quarantine.expire(1_000).len(), 2);
}
