//! Property tests of at-most-once calls and of the result store over random interleavings.

use std::collections::HashMap;

use amaranth_kernel::request_intents::{IntentStep, IntentTable};
use amaranth_kernel::result_store::{
    ClaimOutcome, MAX_STORE_BYTES, ResultState, ResultStore, StoredResult,
};
use amaranth_wire::id::{InstanceId, LogOffset, RequestId};
use amaranth_wire::record::{CallEnding, LogRecord, StoredAnswer};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn answer(text: &str) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: text.as_bytes().to_vec(),
    }
}

/// Step of one of the processes that attempt the same call.
#[derive(Debug, Clone, Copy)]
enum CallerStep {
    /// Appends an intent if what the process has read allows it.
    AppendIntent(usize),
    /// Sends the call if what the process has read allows it.
    Send(usize),
    /// Appends the answer, if the process sent the call.
    End(usize),
    /// Appends that the call was not sent, unless the process sent it.
    GiveUp(usize),
    /// Restarts the process, which keeps no state but the log.
    Restart(usize),
    /// Reads this many entries of the log.
    Read(usize, usize),
}

fn caller_step() -> impl Strategy<Value = CallerStep> {
    let who = 0..3usize;
    prop_oneof![
        who.clone().prop_map(CallerStep::AppendIntent),
        who.clone().prop_map(CallerStep::Send),
        who.clone().prop_map(CallerStep::End),
        who.clone().prop_map(CallerStep::GiveUp),
        who.clone().prop_map(CallerStep::Restart),
        (who, 1..6usize).prop_map(|(who, count)| CallerStep::Read(who, count)),
    ]
}

struct Process {
    attempt: u64,
    table: IntentTable,
    read: usize,
    sent: bool,
    gave_up: bool,
}

impl Process {
    fn new(attempt: u64) -> Self {
        Self {
            attempt,
            table: IntentTable::new(),
            read: 0,
            sent: false,
            gave_up: false,
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// The call runs at most once, however three processes append intents, read late, send, end,
    /// give up and restart.
    #[test]
    fn a_call_runs_at_most_once(steps in prop::collection::vec(caller_step(), 1..80)) {
        let request: RequestId = "req-1".parse().expect("a valid name");
        let mut log: Vec<LogRecord> = Vec::new();
        let mut processes: Vec<_> = (0..3).map(Process::new).collect();
        let (mut runs, mut attempts) = (0, 3);
        for step in steps {
            match step {
                CallerStep::AppendIntent(who) => {
                    let process = &processes[who];
                    let next = process.table.next_step(&request, "digest", process.attempt, 0);
                    if next == IntentStep::AppendIntent {
                        log.push(LogRecord::CallIntended {
                            request: request.clone(),
                            digest: "digest".to_owned(),
                            attempt: process.attempt,
                            limit_ms: 1_000,
                        });
                    }
                }
                CallerStep::Send(who) => {
                    let process = &mut processes[who];
                    let next = process.table.next_step(&request, "digest", process.attempt, 0);
                    if next == IntentStep::Send && !process.sent && !process.gave_up {
                        process.sent = true;
                        runs += 1;
                    }
                }
                CallerStep::End(who) => {
                    let process = &processes[who];
                    if process.sent {
                        log.push(LogRecord::CallEnded {
                            request: request.clone(),
                            attempt: process.attempt,
                            ending: CallEnding::Answered(answer("done")),
                        });
                    }
                }
                CallerStep::GiveUp(who) => {
                    // After that this attempt never sends the call; a restart takes a new attempt
                    // id.
                    let process = &mut processes[who];
                    if !process.sent {
                        process.gave_up = true;
                        log.push(LogRecord::CallEnded {
                            request: request.clone(),
                            attempt: process.attempt,
                            ending: CallEnding::NotSent,
                        });
                    }
                }
                CallerStep::Restart(who) => {
                    processes[who] = Process::new(attempts);
                    attempts += 1;
                }
                CallerStep::Read(who, count) => {
                    let process = &mut processes[who];
                    let unread = log.iter().enumerate().skip(process.read).take(count);
                    for (offset, record) in unread {
                        process.table.apply(LogOffset(offset as u64), 0, record);
                        process.read = offset + 1;
                    }
                }
            }
            prop_assert!(runs <= 1, "the call ran {runs} times");
        }
    }

}

proptest! {
    // Fewer cases: each one copies many megabytes.
    #![proptest_config(ProptestConfig { cases: 60, ..config() })]

    /// A kept answer does not change until it expires, and the store stays within its size limit.
    #[test]
    fn a_kept_answer_never_changes(
        steps in prop::collection::vec((0..4usize, 0..3usize, 0..3usize, 0..400u64, 0..3_000_000usize), 1..120),
    ) {
        let mut store = ResultStore::new();
        let mut given: HashMap<RequestId, (StoredAnswer, u64)> = HashMap::new();
        let mut now = 0;
        for (action, key, who, wait, bytes) in steps {
            now += wait;
            let request: RequestId = format!("req-{key}").parse().expect("a valid name");
            let instance: InstanceId = format!("entry-{who}").parse().expect("a valid name");
            let until_ms = now + 1_000;
            match action {
                0 => {
                    let step = store.claim(&request, "digest", &instance, |_| false, until_ms, now);
                    let known = given.get(&request).filter(|(_, until)| *until > now);
                    match (step, known) {
                        (ClaimOutcome::Done(answer), Some((known, _))) => prop_assert_eq!(&answer, known),
                        (step, known) => {
                            prop_assert!(known.is_none() && !matches!(step, ClaimOutcome::Done(_)));
                        }
                    }
                }
                1 => store.release(&request, &instance),
                2 => {
                    let kept = answer(&"x".repeat(bytes));
                    let entry = StoredResult {
                        digest: "digest".to_owned(),
                        state: ResultState::Done(kept.clone()),
                        until_ms,
                    };
                    let known = given.get(&request).filter(|(_, until)| *until > now).cloned();
                    if store.store_answer(&request, entry, now) {
                        match known {
                            Some((known, _)) => prop_assert_eq!(&kept, &known),
                            None => {
                                given.insert(request, (kept, until_ms));
                            }
                        }
                    }
                }
                _ => {
                    let step = store.claim(&request, "other", &instance, |_| true, until_ms, now);
                    let known = given.get(&request).filter(|(_, until)| *until > now);
                    prop_assert!(known.is_none() || step == ClaimOutcome::Conflict);
                    store.release(&request, &instance);
                }
            }
            prop_assert!(store.bytes() <= MAX_STORE_BYTES);
        }
    }
}

#[test]
fn an_answer_recorded_by_another_attempt_settles_an_unknown_call() {
    let request: RequestId = "req-1".parse().expect("a valid name");
    let mut table = IntentTable::new();
    let intended = LogRecord::CallIntended {
        request: request.clone(),
        digest: "digest".to_owned(),
        attempt: 1,
        limit_ms: 100,
    };
    table.apply(LogOffset(0), 1_000, &intended);
    let step = |table: &IntentTable, now| table.next_step(&request, "digest", 2, now);
    assert_eq!(step(&table, 1_050), IntentStep::Running);
    assert_eq!(step(&table, 1_100), IntentStep::Unknown);
    let ended = |ending| LogRecord::CallEnded {
        request: request.clone(),
        attempt: 2,
        ending,
    };
    table.apply(LogOffset(1), 1_200, &ended(CallEnding::NotSent));
    assert_eq!(
        step(&table, 1_200),
        IntentStep::Unknown,
        "only the owner can record that nothing was sent"
    );
    let answered = CallEnding::Answered(answer("done"));
    table.apply(LogOffset(2), 1_300, &ended(answered.clone()));
    assert_eq!(step(&table, 1_300), IntentStep::Ended(answered));
    let other = table.next_step(&request, "other", 2, 1_300);
    assert_eq!(other, IntentStep::Conflict);
}
