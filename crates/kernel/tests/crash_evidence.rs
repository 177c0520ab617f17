//! Convictions of prompt parts by reports of lost requests.

use amaranth_kernel::crash_evidence::{ALIBI_EXPIRY_MS, ALIBI_WAIT_MS, CrashEvidence};
use amaranth_wire::id::PromptPartId;
use amaranth_wire::quarantine_message::LossReport;

fn parts(names: &str) -> Vec<PromptPartId> {
    let names = names.split_whitespace();
    names.map(|name| name.parse().unwrap()).collect()
}

/// Time, upstream, request, whether its answer had begun, and parts.
type ReportCase = (u64, &'static str, &'static str, bool, &'static str);

fn report(case: &ReportCase) -> LossReport {
    LossReport {
        upstream: case.1.parse().unwrap(),
        request: case.2.parse().unwrap(),
        begun: case.3,
        parts: parts(case.4),
    }
}

fn evidence(reports: &[ReportCase]) -> CrashEvidence {
    let mut evidence = CrashEvidence::new();
    for case in reports {
        evidence.record(report(case), case.0);
    }
    evidence
}

#[test]
fn a_part_is_convicted_by_crashes_that_have_nothing_else_in_common() {
    let cases: [(&str, &[ReportCase], &[&str]); 10] = [
        (
            "two requests, two upstreams",
            &[(0, "u1", "r1", true, "d"), (90, "u2", "r2", true, "d")],
            &["d"],
        ),
        (
            "one request that is tried again once",
            &[(0, "u1", "r1", true, "d"), (90, "u2", "r1", true, "d")],
            &[],
        ),
        (
            "one request that is tried again and again",
            &[
                (0, "u1", "r1", true, "a d"),
                (90, "u2", "r1", true, "a d"),
                (180, "u3", "r1", true, "a d"),
            ],
            &["a d"],
        ),
        (
            "one crash",
            &[(0, "u1", "r1", true, "d"), (1, "u1", "r2", true, "d")],
            &[],
        ),
        (
            "the same upstream, restarted under its id",
            &[(0, "u1", "r1", true, "d"), (4_000, "u1", "r2", true, "d")],
            &["d"],
        ),
        (
            "many upstreams crash at once under waiting requests",
            &[
                (0, "u1", "r1", false, "d"),
                (10, "u2", "r2", false, "d"),
                (20, "u3", "r3", false, "d"),
                (30, "u4", "r4", false, "d"),
                (40, "u5", "r5", false, "d"),
            ],
            &[],
        ),
        (
            "upstreams crash one after the other under waiting requests",
            &[
                (0, "u1", "r1", false, "d"),
                (1_000, "u2", "r2", false, "d"),
                (2_000, "u3", "r3", false, "d"),
                (3_000, "u4", "r4", false, "d"),
            ],
            &["d"],
        ),
        (
            "parts in the same reports",
            &[(0, "u1", "r1", true, "a d"), (90, "u2", "r2", true, "a d")],
            &["a d"],
        ),
        (
            "a part in fewer reports is explained by the other",
            &[
                (0, "u1", "r1", true, "a d"),
                (90, "u2", "r2", true, "a d"),
                (180, "u3", "r3", true, "b d"),
            ],
            &["d"],
        ),
        (
            "reports that are too old",
            &[(0, "u1", "r1", true, "d"), (31_000, "u2", "r2", true, "d")],
            &[],
        ),
    ];
    for (name, reports, expected) in cases {
        let mut evidence = evidence(reports);
        let end_ms = reports.last().unwrap().0 + ALIBI_WAIT_MS;
        let expected: Vec<_> = expected.iter().map(|names| parts(names)).collect();
        assert_eq!(evidence.convict(end_ms), expected, "{name}");
        assert_eq!(evidence.convict(end_ms), Vec::<Vec<_>>::new(), "{name}");
    }
}

#[test]
fn instances_have_time_to_answer_an_accusation() {
    let mut evidence = CrashEvidence::new();
    let first = (0, "u1", "r1", true, "a d");
    let second = (90, "u2", "r2", true, "a d");
    assert_eq!(evidence.record(report(&first), 0), parts(""));
    assert_eq!(evidence.record(report(&second), 90), parts("a d"));
    assert_eq!(evidence.next_judgement_ms(90), Some(90 + ALIBI_WAIT_MS));
    assert!(evidence.convict(90 + ALIBI_WAIT_MS - 1).is_empty());
    evidence.acquit(&parts("a")[0], 100);
    assert_eq!(evidence.convict(90 + ALIBI_WAIT_MS), [parts("d")]);
}

#[test]
fn an_acquittal_expires() {
    let mut evidence = CrashEvidence::new();
    evidence.acquit(&parts("d")[0], 0);
    for (at_ms, convicted) in [(100, 0), (ALIBI_EXPIRY_MS + 100, 1)] {
        let reports = [
            (at_ms, "u1", "r1", true, "d"),
            (at_ms + 1, "u2", "r2", true, "d"),
        ];
        for case in &reports {
            evidence.record(report(case), case.0);
        }
        let judged = evidence.convict(at_ms + 1 + ALIBI_WAIT_MS);
        assert_eq!(judged.len(), convicted, "{at_ms}");
    }
}
