//! Assembly of a streamed answer under broken, resumed and restarted streams, and missing, repeated
//! and foreign tokens.

use amaranth_kernel::stream_assembly::{AssemblyError, EventAction, StreamAssembly, StreamEvent};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseResult};

/// Fault of one stream before its end.
#[derive(Debug, Clone)]
enum StreamFault {
    /// The stream breaks after this many tokens and is resumed.
    Break(usize),
    /// The stream breaks after this many tokens and is restarted.
    Restart(usize),
    /// A resumed stream repeats this many tokens before the last received one.
    Overlap(usize),
    /// The token after this many is missing.
    Drop(usize),
    /// The resumed stream belongs to another answer.
    Foreign,
    /// The restarted answer differs from this token on.
    Diverge(usize),
    /// The restarted answer ends after this many tokens.
    Short(usize),
}

fn fault() -> impl Strategy<Value = StreamFault> {
    prop_oneof![
        (0..40usize).prop_map(StreamFault::Break),
        (0..40usize).prop_map(StreamFault::Restart),
        (0..6usize).prop_map(StreamFault::Overlap),
        (0..40usize).prop_map(StreamFault::Drop),
        Just(StreamFault::Foreign),
        (0..40usize).prop_map(StreamFault::Diverge),
        (0..40usize).prop_map(StreamFault::Short),
    ]
}

fn token(answer: &str, index: usize) -> String {
    format!("{answer}.{index}")
}

/// Feeds one attempt's stream to the assembly.
struct Attempt<'a> {
    assembly: &'a mut StreamAssembly,
    received: &'a mut Vec<String>,
    numbered: bool,
}

impl Attempt<'_> {
    fn token(&mut self, answer: &str, index: usize, text: &str) -> Result<(), AssemblyError> {
        let event = StreamEvent::Token {
            index: self.numbered.then_some(index as u32),
            answer,
            content: text,
        };
        if self.assembly.accept(event)? == EventAction::Forward {
            self.received.push(text.to_owned());
        }
        Ok(())
    }

    fn tokens(&mut self, range: std::ops::Range<usize>) -> Result<(), AssemblyError> {
        range
            .into_iter()
            .try_for_each(|index| self.token("a", index, &token("a", index)))
    }
}

/// Applies the faults, then lets the last stream end. Returns the tokens that the caller received,
/// and whether the answer was reported as complete.
fn run_faults(length: usize, numbered: bool, faults: &[StreamFault]) -> (Vec<String>, bool) {
    let mut assembly = StreamAssembly::new();
    let mut received = Vec::new();
    let mut from = 0;
    for fault in faults {
        let mut attempt = Attempt {
            assembly: &mut assembly,
            received: &mut received,
            numbered,
        };
        let applied = match *fault {
            StreamFault::Break(count) | StreamFault::Restart(count) => {
                attempt.tokens(from..length.min(from + count))
            }
            // Only a numbered stream shows that it repeats tokens.
            StreamFault::Overlap(count) if numbered => {
                attempt.tokens(from.saturating_sub(count)..from)
            }
            StreamFault::Overlap(_) => Ok(()),
            StreamFault::Drop(at) if numbered && from + at + 1 < length => attempt
                .tokens(from..from + at)
                .and_then(|()| attempt.tokens(from + at + 1..length)),
            StreamFault::Drop(_) => Ok(()),
            StreamFault::Foreign if from > 0 => {
                attempt.token("b", from, &token("b", from)).map(|()| {
                    panic!("a token of another answer was taken");
                })
            }
            StreamFault::Foreign => Ok(()),
            StreamFault::Diverge(at) | StreamFault::Short(at) => {
                attempt.assembly.restart();
                let count = at.min(length);
                let applied = attempt.tokens(0..count);
                if count < attempt.assembly.sent() as usize {
                    let rest = match fault {
                        StreamFault::Diverge(_) => attempt.token("a", count, "other"),
                        _ => attempt.assembly.accept(StreamEvent::End).map(|_| ()),
                    };
                    assert!(rest.is_err(), "another answer was taken for the same");
                    return (received, false);
                }
                applied
            }
        };
        let restart = applied.is_err() || matches!(fault, StreamFault::Restart(_));
        if restart {
            assembly.restart();
        }
        from = assembly.last_received().map_or(0, |last| last as usize + 1);
    }
    let mut attempt = Attempt {
        assembly: &mut assembly,
        received: &mut received,
        numbered,
    };
    let ended = attempt.tokens(from..length).is_ok()
        && attempt.assembly.accept(StreamEvent::End) == Ok(EventAction::Finish);
    (received, ended)
}

fn check_faults(length: usize, numbered: bool, faults: &[StreamFault]) -> TestCaseResult {
    let (received, ended) = run_faults(length, numbered, faults);
    let complete: Vec<_> = (0..length).map(|index| token("a", index)).collect();
    prop_assert_eq!(&received[..], &complete[..received.len()]);
    prop_assert!(!ended || received.len() == length);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever the faults, the caller receives a prefix of the answer, and a reported end only
    /// with the complete answer: no token is lost, repeated or from another answer.
    #[test]
    fn a_caller_receives_a_prefix_and_an_end_only_when_complete(
        length in 1..60usize,
        numbered in any::<bool>(),
        faults in prop::collection::vec(fault(), 0..6),
    ) {
        check_faults(length, numbered, &faults)?;
    }

    /// Broken streams that are resumed or restarted still give the complete answer.
    #[test]
    fn breaks_and_restarts_still_give_a_complete_answer(
        length in 1..60usize,
        numbered in any::<bool>(),
        counts in prop::collection::vec((any::<bool>(), 0..40usize), 0..6),
    ) {
        let fault = |(restart, count)| match restart {
            true => StreamFault::Restart(count),
            false => StreamFault::Break(count),
        };
        let faults: Vec<_> = counts.into_iter().map(fault).collect();
        let (received, ended) = run_faults(length, numbered, &faults);
        prop_assert!(ended);
        prop_assert_eq!(received.len(), length);
    }
}
