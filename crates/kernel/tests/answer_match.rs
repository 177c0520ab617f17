//! What an answer proves, by the request that it names, its statement and its connection.

use amaranth_kernel::answer_match::AnswerName::{Missing, Other, Own};
use amaranth_kernel::answer_match::ConnectionUse::{Fresh, Reused};
use amaranth_kernel::answer_match::{AnswerName, AnswerProof, AnswerStatement, prove};

#[test]
fn only_answers_of_the_request_itself_prove_that_it_did_not_run() {
    let (outcome, refused, misdirected) = (
        AnswerStatement::Outcome,
        AnswerStatement::Refused,
        AnswerStatement::Misdirected,
    );
    let nothing = AnswerProof::Nothing;
    let cases = [
        (Own, outcome, Fresh, AnswerProof::Outcome),
        (Own, outcome, Reused, AnswerProof::Outcome),
        (Own, refused, Fresh, AnswerProof::Refused),
        (Own, refused, Reused, AnswerProof::Refused),
        (Own, misdirected, Fresh, AnswerProof::Misdirected),
        (Own, misdirected, Reused, AnswerProof::Misdirected),
        (Other, outcome, Fresh, nothing),
        (Other, outcome, Reused, nothing),
        (Other, refused, Fresh, nothing),
        (Other, refused, Reused, nothing),
        (Other, misdirected, Fresh, nothing),
        (Other, misdirected, Reused, nothing),
        (Missing, outcome, Fresh, nothing),
        (Missing, outcome, Reused, nothing),
        (Missing, refused, Fresh, AnswerProof::Refused),
        (Missing, refused, Reused, nothing),
        (Missing, misdirected, Fresh, AnswerProof::Misdirected),
        (Missing, misdirected, Reused, nothing),
    ];
    for (name, statement, connection, expected) in cases {
        let proof = prove(name, statement, connection);
        assert_eq!(proof, expected, "{name:?} {statement:?} {connection:?}");
    }
}

#[test]
fn ids_are_compared_as_a_whole() {
    let cases = [
        (None, Missing),
        (Some("r1"), Own),
        (Some("r10"), Other),
        (Some("R1"), Other),
        (Some(""), Other),
    ];
    for (named, expected) in cases {
        assert_eq!(AnswerName::new(named, "r1"), expected, "{named:?}");
    }
}
