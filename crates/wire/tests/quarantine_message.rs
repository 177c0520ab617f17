//! Rules against prompts between members of different versions.

use amaranth_wire::placement_message::PlacementMessage;
use amaranth_wire::quarantine_message::{PartAnswer, QuarantineMessage, QuarantineRule, RuleTest};
use serde::{Deserialize, Serialize};

/// A rule of the versions before tests.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerRule {
    parts: Vec<String>,
    until_ms: u64,
}

/// A datagram of the versions before tests.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum FormerMessage {
    Quarantine(FormerNotice),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum FormerNotice {
    Survived(Vec<String>),
    InForce(FormerRule),
}

fn former_rule() -> FormerRule {
    FormerRule {
        parts: vec!["d".to_owned()],
        until_ms: 7,
    }
}

fn rule(test: Option<RuleTest>) -> QuarantineRule {
    QuarantineRule {
        parts: vec!["d".parse().unwrap()],
        until_ms: 7,
        test,
        refuted_from_ms: None,
    }
}

fn rule_test() -> RuleTest {
    RuleTest {
        number: 1,
        spent: 1,
        at_ms: 3,
        member: "m".to_owned(),
        returned: false,
    }
}

#[test]
fn former_versions_read_tested_rules_on_the_log() {
    for test in [None, Some(rule_test())] {
        for refuted_from_ms in [None, Some(9)] {
            let rule = QuarantineRule {
                refuted_from_ms,
                ..rule(test.clone())
            };
            let bytes = rule.encode();
            let read: FormerRule = rmp_serde::from_slice(&bytes).unwrap();
            assert_eq!(read, former_rule());
            assert_eq!(QuarantineRule::decode(&bytes).unwrap(), rule);
        }
    }
}

#[test]
fn rules_of_former_versions_are_read_as_untested() {
    let record = rmp_serde::to_vec_named(&former_rule()).unwrap();
    assert_eq!(QuarantineRule::decode(&record).unwrap(), rule(None));
    let message = FormerMessage::Quarantine(FormerNotice::InForce(former_rule()));
    let datagram = rmp_serde::to_vec(&message).unwrap();
    let read = PlacementMessage::decode(&datagram).unwrap();
    let in_force = QuarantineMessage::InForce(rule(None));
    assert_eq!(read, PlacementMessage::Quarantine(in_force));
}

#[test]
fn answered_parts_keep_their_name_of_former_versions() {
    let former = FormerMessage::Quarantine(FormerNotice::Survived(vec!["d".to_owned()]));
    let answered = QuarantineMessage::Answered(rule(None).parts);
    let datagram = PlacementMessage::Quarantine(answered).encode();
    assert_eq!(datagram, rmp_serde::to_vec(&former).unwrap());
}

#[test]
fn former_versions_learn_new_rules_from_datagrams_and_ignore_what_they_cannot_read() {
    let refutable = QuarantineRule {
        refuted_from_ms: Some(9),
        ..rule(None)
    };
    let in_force = QuarantineMessage::InForce(refutable.for_datagram());
    let datagram = PlacementMessage::Quarantine(in_force).encode();
    let read: FormerMessage = rmp_serde::from_slice(&datagram).unwrap();
    let expected = FormerMessage::Quarantine(FormerNotice::InForce(former_rule()));
    assert_eq!(read, expected);
    let parts = rule(None).parts;
    let answer = PartAnswer {
        part: parts[0].clone(),
        age_ms: 12_000,
    };
    for message in [
        QuarantineMessage::TestWanted {
            parts: parts.clone(),
            member: "m".to_owned(),
        },
        QuarantineMessage::AnsweredEarlier(vec![answer]),
        QuarantineMessage::RefutedFrom { parts, unix_ms: 9 },
    ] {
        let message = PlacementMessage::Quarantine(message);
        let datagram = message.encode();
        assert!(rmp_serde::from_slice::<FormerMessage>(&datagram).is_err());
        assert_eq!(PlacementMessage::decode(&datagram).unwrap(), message);
    }
}
