//! Replay of configuration, plans and decisions: it is deterministic from any starting point,
//! never moves back, and ends each plan completely or not at all.

use amaranth_kernel::change_state::{ChangeCore, ChangeState};
use amaranth_kernel::decision_log::Verdict;
use amaranth_kernel::plan_state::{PlanPhase, StepPhase};
use amaranth_wire::change::{EngineTarget, PlanSpec, PlanStep};
use amaranth_wire::engine::EngineRole;
use amaranth_wire::id::{CommandId, ConfigRevision, LeaseEpoch, LogOffset, UpstreamId};
use amaranth_wire::record::{LogRecord, RecordBatch};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 0xc4a6;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn command(index: u8) -> CommandId {
    format!("c-{index}").parse().expect("an id")
}

fn upstream(index: u8) -> UpstreamId {
    format!("u-{}", index % 4).parse().expect("an id")
}

fn before() -> EngineTarget {
    EngineTarget {
        model: None,
        version: "1".to_owned(),
        role: EngineRole::Serve,
    }
}

fn proposal() -> impl Strategy<Value = LogRecord> {
    (0..24u8, 0..3u8, 0..6u64, 0..60u64).prop_map(|(id, tier, expected, value)| {
        LogRecord::ConfigProposed {
            command: command(id),
            author: format!("op-{}", id % 3),
            expected: ConfigRevision(expected),
            name: format!("tier.t{tier}.queue_limit"),
            value: if value == 0 {
                "many".to_owned()
            } else {
                value.to_string()
            },
        }
    })
}

fn plan_spec() -> impl Strategy<Value = PlanSpec> {
    prop_oneof![
        (0..4u8).prop_map(|index| PlanSpec::DrainUpstream {
            upstream: upstream(index)
        }),
        (0..4u8).prop_map(|first| PlanSpec::RollModel {
            tier: "t1".parse().expect("an id"),
            model: "m".parse().expect("an id"),
            version: "2".to_owned(),
            upstreams: vec![upstream(first), upstream(first + 1)],
        }),
        (0..4u8, 0..4u8).prop_map(|(first, second)| PlanSpec::SwapRoles {
            first: upstream(first),
            second: upstream(second),
        }),
    ]
}

fn plan_step() -> impl Strategy<Value = PlanStep> {
    prop_oneof![
        Just(PlanStep::TakenOver),
        (0..4u8).prop_map(|index| PlanStep::Started {
            upstream: upstream(index),
            before: before(),
        }),
        (0..4u8).prop_map(|index| PlanStep::Finished {
            upstream: upstream(index)
        }),
        (0..4u8).prop_map(|index| PlanStep::Restored {
            upstream: upstream(index)
        }),
        Just(PlanStep::Halted {
            reason: "errors".to_owned()
        }),
        Just(PlanStep::Committed),
        Just(PlanStep::Reverted),
    ]
}

fn record() -> impl Strategy<Value = LogRecord> {
    prop_oneof![
        3 => proposal(),
        2 => (0..24u8, plan_spec()).prop_map(|(id, spec)| LogRecord::PlanProposed {
            command: command(id),
            author: "ana".to_owned(),
            spec,
        }),
        1 => (0..24u8, 0..24u8).prop_map(|(id, plan)| LogRecord::PlanUndone {
            command: command(id),
            author: "bia".to_owned(),
            plan: command(plan),
        }),
        6 => (0..24u8, 0..3u64, plan_step()).prop_map(|(plan, epoch, step)| {
            LogRecord::PlanStepped {
                plan: command(plan),
                epoch: LeaseEpoch(epoch),
                step,
            }
        }),
    ]
}

/// Log entries; an empty one stands for an undecodable entry.
fn entries() -> impl Strategy<Value = Vec<Vec<LogRecord>>> {
    prop::collection::vec(prop::collection::vec(record(), 0..4), 1..60)
}

fn replay_one(state: &mut ChangeState, offset: usize, records: &[LogRecord]) {
    let (at, time_ms) = (LogOffset(offset as u64), 1_000 + offset as u64);
    match records.is_empty() {
        true => state.reject_entry(at, time_ms, "not a batch"),
        false => state.apply_entry(at, time_ms, records),
    }
}

fn replay_all(entries: &[Vec<LogRecord>]) -> ChangeCore {
    let mut state = ChangeState::default();
    for (offset, records) in entries.iter().enumerate() {
        replay_one(&mut state, offset, records);
    }
    state.core().clone()
}

/// Checks that every ended plan has changed all of its upstreams or none.
fn check_plans(core: &ChangeCore) -> Result<(), TestCaseError> {
    for (id, plan) in core.plans.all() {
        let steps: Vec<_> = plan.steps.values().collect();
        let finished = |step: &&StepPhase| matches!(step, StepPhase::Finished { .. });
        let previous =
            |step: &&StepPhase| matches!(step, StepPhase::Waiting | StepPhase::Restored { .. });
        match plan.phase {
            PlanPhase::Committed => prop_assert!(
                steps.iter().all(finished),
                "{id} is committed but not finished"
            ),
            PlanPhase::Reverted => prop_assert!(
                steps.iter().all(previous),
                "{id} is reverted but not restored"
            ),
            PlanPhase::Running | PlanPhase::Undoing => {}
        }
    }
    Ok(())
}

/// Checks that no upstream belongs to two active plans.
fn check_conflicts(core: &ChangeCore) -> Result<(), TestCaseError> {
    let mut held = std::collections::HashSet::new();
    for (id, plan) in core.plans.active() {
        for name in plan.steps.keys() {
            prop_assert!(held.insert(name.clone()), "{id} also holds {name}");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// A replay that starts after a truncation at any offset, with a snapshot later on the log,
    /// ends in the same state as a full one.
    #[test]
    fn replay_from_any_offset_gives_the_same_state(
        entries in entries(),
        oldest in 0..60usize,
        snapshot_offset in 0..60usize,
    ) {
        let oldest = oldest.min(entries.len());
        let snapshot_offset = snapshot_offset.clamp(oldest, entries.len());
        let mut full_replay = ChangeState::default();
        let mut late_replay = ChangeState::default();
        late_replay.mark_truncated(LogOffset(oldest as u64));
        let mut snapshot = Vec::new();
        let mut log: Vec<Vec<LogRecord>> = Vec::new();
        for (offset, records) in entries.iter().enumerate() {
            if offset == snapshot_offset {
                snapshot = full_replay.snapshot_records();
            }
            // A snapshot is appended to the log a few entries after it was taken.
            let mut records = records.clone();
            if offset >= snapshot_offset + 2 {
                records.append(&mut snapshot);
            }
            replay_one(&mut full_replay, offset, &records);
            log.push(records);
        }
        if snapshot_offset == entries.len() {
            snapshot = full_replay.snapshot_records();
        }
        log.push(snapshot);
        let last = log.len() - 1;
        full_replay.apply_entry(LogOffset(last as u64), 9_999, &log[last]);
        for (offset, records) in log.iter().enumerate().skip(oldest) {
            match offset == last {
                true => late_replay.apply_entry(LogOffset(last as u64), 9_999, records),
                false => replay_one(&mut late_replay, offset, records),
            }
        }
        if oldest > 0 {
            prop_assert!(late_replay.is_complete(), "no snapshot was found");
        }
        prop_assert_eq!(late_replay.core(), full_replay.core());
    }

    /// Late and duplicate entries change nothing, and the revision never decreases.
    #[test]
    fn late_and_duplicate_entries_change_nothing(
        entries in entries(),
        repeats in prop::collection::vec((0..60usize, 0..60usize), 0..40),
    ) {
        let mut state = ChangeState::default();
        let mut revision = ConfigRevision(0);
        for (offset, records) in entries.iter().enumerate() {
            replay_one(&mut state, offset, records);
            for (_, again) in repeats.iter().filter(|(at, _)| *at == offset) {
                let again = (*again).min(offset);
                replay_one(&mut state, again, &entries[again]);
            }
            let now = state.core().config.revision();
            prop_assert!(now >= revision);
            revision = now;
        }
        prop_assert_eq!(state.core(), &replay_all(&entries));
    }

    /// A command that is repeated at another offset acts once.
    #[test]
    fn a_repeated_command_acts_once(entries in entries(), again in 0..60usize) {
        let commands_only = |records: &Vec<LogRecord>| -> Vec<LogRecord> {
            let is_step = |r: &&LogRecord| !matches!(r, LogRecord::PlanStepped { .. });
            records.iter().filter(is_step).cloned().collect()
        };
        let mut doubled = entries.clone();
        let copy = commands_only(&entries[again.min(entries.len() - 1)]);
        doubled.push(copy);
        let (once, twice) = (replay_all(&entries), replay_all(&doubled));
        prop_assert_eq!(once.config, twice.config);
        prop_assert_eq!(once.plans, twice.plans);
    }

    /// For any steps of any number of drivers, no plan ends partially applied and no upstream
    /// belongs to two active plans.
    #[test]
    fn ended_plans_are_completely_applied_or_reverted(entries in entries()) {
        let mut state = ChangeState::default();
        for (offset, records) in entries.iter().enumerate() {
            replay_one(&mut state, offset, records);
            check_plans(state.core())?;
            check_conflicts(state.core())?;
        }
    }

    /// Installing a peer's snapshot never moves the local state back.
    #[test]
    fn a_peer_snapshot_is_installed_only_if_it_is_ahead(
        entries in entries(),
        own in 0..60usize,
        peer in 0..60usize,
    ) {
        let fold = |count: usize| {
            let mut state = ChangeState::default();
            for (offset, records) in entries.iter().enumerate().take(count) {
                replay_one(&mut state, offset, records);
            }
            state
        };
        let mut state = fold(own);
        let other = fold(peer);
        let ahead = other.covered() > state.covered();
        let installed = state.install_snapshot(other.snapshot().expect("complete"));
        prop_assert_eq!(installed, ahead);
        for (offset, records) in entries.iter().enumerate().skip(own) {
            replay_one(&mut state, offset, records);
        }
        prop_assert_eq!(state.core(), &replay_all(&entries));
    }
}

fn decided(core: &ChangeCore, id: &str) -> Verdict {
    let id = id.parse().expect("an id");
    core.decisions.get(&id).expect("decided").verdict.clone()
}

#[test]
fn json_records_of_external_tools_are_decided_like_others() {
    let batch = |id: &str, expected: u64, value: &str| {
        let text = format!(
            r#"{{"records": [{{"config_proposed": {{"command": "{id}", "author": "cron",
            "expected": {expected}, "name": "tier.shading.limit", "value": "{value}"}}}}]}}"#
        );
        RecordBatch::decode(text.as_bytes())
            .expect("a batch")
            .records
    };
    let entries = [
        batch("a", 0, "40"),
        batch("b", 0, "50"),
        batch("c", 1, "much"),
        batch("d", 1, "100001"),
        Vec::new(),
        batch("e", 1, "60"),
    ];
    let core = replay_all(&entries);
    assert_eq!(core.config.number("tier.shading.queue_limit"), Some(60));
    let reason = |id: &str| match decided(&core, id) {
        Verdict::Rejected { reason } => reason,
        Verdict::Accepted { .. } => panic!("{id} was accepted"),
    };
    assert!(reason("b").contains("revision in force is 1, made by cron at offset 0"));
    assert!(reason("c").contains("not JSON"));
    assert!(reason("d").contains("a whole number from 0 to 100000"));
    assert_eq!(reason("entry:4"), "not a batch");
    assert_eq!(core.decisions.rejected().count(), 4);
    assert_eq!(core.decisions.accepted().count(), 2);
}

#[test]
fn a_conflicting_plan_is_rejected_with_the_active_plan_in_the_reason() {
    let roll = LogRecord::PlanProposed {
        command: command(1),
        author: "ana".to_owned(),
        spec: PlanSpec::RollModel {
            tier: "t".parse().expect("an id"),
            model: "m".parse().expect("an id"),
            version: "2".to_owned(),
            upstreams: vec![upstream(0), upstream(1)],
        },
    };
    let drain = LogRecord::PlanProposed {
        command: command(2),
        author: "bia".to_owned(),
        spec: PlanSpec::DrainUpstream {
            upstream: upstream(1),
        },
    };
    let core = replay_all(&[vec![roll], vec![drain]]);
    let Verdict::Rejected { reason } = decided(&core, "c-2") else {
        panic!("both were accepted");
    };
    assert_eq!(
        reason,
        "upstream u-1 is in the hands of plan c-1 by ana, accepted at offset 0"
    );
}

#[test]
fn steps_of_a_superseded_driver_are_ignored() {
    let plan = LogRecord::PlanProposed {
        command: command(1),
        author: "ana".to_owned(),
        spec: PlanSpec::SwapRoles {
            first: upstream(0),
            second: upstream(1),
        },
    };
    let step = |epoch: u64, step: PlanStep| LogRecord::PlanStepped {
        plan: command(1),
        epoch: LeaseEpoch(epoch),
        step,
    };
    let started = PlanStep::Started {
        upstream: upstream(0),
        before: before(),
    };
    let finished = PlanStep::Finished {
        upstream: upstream(0),
    };
    let entries = [
        vec![plan],
        vec![step(5, PlanStep::TakenOver), step(5, started)],
        vec![step(9, PlanStep::TakenOver)],
        vec![step(5, finished)],
    ];
    let core = replay_all(&entries);
    let plan = core.plans.get(&command(1)).expect("the plan");
    let phase = &plan.steps[&upstream(0)];
    assert!(matches!(phase, StepPhase::Started { .. }), "{phase:?}");
}

#[test]
fn steps_before_a_takeover_are_ignored() {
    let plan = LogRecord::PlanProposed {
        command: command(1),
        author: "ana".to_owned(),
        spec: PlanSpec::SwapRoles {
            first: upstream(0),
            second: upstream(1),
        },
    };
    let started = LogRecord::PlanStepped {
        plan: command(1),
        epoch: LeaseEpoch(7),
        step: PlanStep::Started {
            upstream: upstream(0),
            before: before(),
        },
    };
    let core = replay_all(&[vec![plan], vec![started]]);
    let plan = core.plans.get(&command(1)).expect("the plan");
    assert_eq!(plan.steps[&upstream(0)], StepPhase::Waiting);
}

#[test]
fn a_snapshot_from_before_the_gap_is_not_installed() {
    let set = |id: u8, expected: u64| LogRecord::ConfigProposed {
        command: command(id),
        author: "ana".to_owned(),
        expected: ConfigRevision(expected),
        name: "tier.t.queue_limit".to_owned(),
        value: "7".to_owned(),
    };
    let mut full_replay = ChangeState::default();
    full_replay.apply_entry(LogOffset(0), 0, &[set(0, 0)]);
    let early = full_replay.snapshot_records();
    full_replay.apply_entry(LogOffset(1), 1, &[set(1, 1)]);
    full_replay.apply_entry(LogOffset(2), 2, &early);
    let mut late_replay = ChangeState::default();
    late_replay.mark_truncated(LogOffset(2));
    late_replay.apply_entry(LogOffset(2), 2, &early);
    assert!(
        !late_replay.is_complete(),
        "entry 1 is missing from the snapshot"
    );
    let later = full_replay.snapshot_records();
    late_replay.apply_entry(LogOffset(3), 3, &later);
    assert!(late_replay.is_complete());
    assert_eq!(late_replay.core(), full_replay.core());
}
