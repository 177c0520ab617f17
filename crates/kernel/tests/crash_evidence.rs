//! Convictions of prompt parts by reports of lost requests.

use amaranth_kernel::crash_evidence::{ALIBI_EXPIRY_MS, ALIBI_WAIT_MS, CrashEvidence};
use amaranth_wire::id::PromptPartId;
use amaranth_wire::quarantine_message::LossReport;

fn parts(names: &str) -> Vec<PromptPartId> {
    let names = names.split_whitespace();
    names.map(|name| name.parse().unwrap()).collect()
}

/// Time of the report, upstream, request, whether its answer had begun, and parts.
type ReportCase = (u64, &'static str, &'static str, bool, &'static str);

/// Time, upstream, age and whether the answer had begun, of a report that names a request of its own.
type LossRow = (u64, &'static str, u64, bool);

/// Time from sending a request until its loss is reported, in milliseconds.
const AGE_MS: u64 = 60;

fn report(case: &ReportCase) -> LossReport {
    LossReport {
        upstream: case.1.parse().unwrap(),
        request: case.2.parse().unwrap(),
        begun: case.3,
        age_ms: AGE_MS,
        parts: parts(case.4),
    }
}

/// The parts that are convicted together.
fn convict(evidence: &mut CrashEvidence, now_ms: u64) -> Vec<Vec<PromptPartId>> {
    let convictions = evidence.convict(now_ms).into_iter();
    convictions.map(|conviction| conviction.parts).collect()
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
        assert_eq!(convict(&mut evidence, end_ms), expected, "{name}");
        assert_eq!(
            convict(&mut evidence, end_ms),
            Vec::<Vec<_>>::new(),
            "{name}"
        );
    }
}

/// A crash of several upstreams at one moment is no more evidence than that of one: it must not convict
/// the parts that their requests had in common.
#[test]
fn crashes_that_no_later_request_explains_count_once() {
    let cases: [(&str, &[LossRow], usize); 7] = [
        (
            "two upstreams at once",
            &[
                (0, "u1", 150, true),
                (0, "u1", 150, true),
                (5, "u2", 150, true),
            ],
            0,
        ),
        (
            "many upstreams at once, one reported late by a busy instance",
            &[
                (0, "u1", 150, true),
                (100, "u2", 250, true),
                (900, "u3", 1_000, true),
                (2_900, "u4", 3_000, true),
            ],
            0,
        ),
        (
            "a late report of a former crash beside one of the same moment",
            &[
                (0, "u1", 150, true),
                (10, "u2", 150, true),
                (900, "u1", 950, true),
                (910, "u2", 950, false),
            ],
            0,
        ),
        (
            "begun and waiting requests at once",
            &[
                (240, "u1", 150, true),
                (245, "u2", 150, false),
                (255, "u3", 10, false),
                (480, "u4", 10, false),
            ],
            0,
        ),
        (
            "at once, and again when requests were sent again",
            &[
                (0, "u1", 150, true),
                (5, "u2", 150, true),
                (4_900, "u3", 150, true),
                (4_905, "u4", 150, true),
            ],
            1,
        ),
        (
            "crashes that follow each other closely",
            &[
                (0, "u1", 60, true),
                (40, "u2", 60, true),
                (80, "u3", 60, true),
            ],
            1,
        ),
        (
            "a request sent just after the first crash",
            &[(0, "u1", 60, true), (61, "u2", 60, true)],
            1,
        ),
    ];
    for (name, rows, convicted) in cases {
        let mut evidence = CrashEvidence::new();
        for (number, (at_ms, upstream, age_ms, begun)) in rows.iter().enumerate() {
            let report = LossReport {
                upstream: upstream.parse().unwrap(),
                request: format!("r{number}").parse().unwrap(),
                begun: *begun,
                age_ms: *age_ms,
                parts: parts("d"),
            };
            evidence.record(report, *at_ms);
        }
        let judged = evidence.convict(rows.last().unwrap().0 + ALIBI_WAIT_MS);
        assert_eq!(judged.len(), convicted, "{name}");
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
    evidence.acquit(&parts("a")[0], 100, 100);
    assert_eq!(convict(&mut evidence, 90 + ALIBI_WAIT_MS), [parts("d")]);
}

#[test]
fn an_acquittal_expires() {
    let mut evidence = CrashEvidence::new();
    evidence.acquit(&parts("d")[0], 0, 0);
    for (at_ms, convicted) in [(100, 0), (ALIBI_EXPIRY_MS + 100, 1)] {
        let reports = [
            (at_ms, "u1", "r1", true, "d"),
            (at_ms + AGE_MS + 1, "u2", "r2", true, "d"),
        ];
        for case in &reports {
            evidence.record(report(case), case.0);
        }
        let judged = evidence.convict(at_ms + AGE_MS + 1 + ALIBI_WAIT_MS);
        assert_eq!(judged.len(), convicted, "{at_ms}");
    }
}

/// Time at which the first crash of a case is reported.
const FIRST_MS: u64 = 100_000;

/// Plays crashes under one request each, and answers to requests with the same part. Instances tell of the last
/// answer when the part is accused, and of later ones as they come. Returns whether the part is convicted.
fn is_convicted(crashes: &[u64], answers: &[u64]) -> bool {
    let mut evidence = CrashEvidence::new();
    let mut times: Vec<_> = crashes.iter().map(|at_ms| (*at_ms, true)).collect();
    times.extend(answers.iter().map(|at_ms| (*at_ms, false)));
    times.sort();
    let (mut last_answer, mut is_watched, mut convicted) = (None, false, false);
    for (number, (after_ms, is_crash)) in times.into_iter().enumerate() {
        let at_ms = FIRST_MS + after_ms;
        convicted |= !evidence.convict(at_ms).is_empty();
        if !is_crash {
            last_answer = Some(at_ms);
            if is_watched {
                evidence.acquit(&parts("p")[0], at_ms, at_ms);
            }
            continue;
        }
        let report = LossReport {
            upstream: format!("u{number}").parse().unwrap(),
            request: format!("r{number}").parse().unwrap(),
            begun: true,
            age_ms: AGE_MS,
            parts: parts("p"),
        };
        let accused = evidence.record(report, at_ms);
        is_watched |= !accused.is_empty();
        if let (Some(part), Some(answered_ms)) = (accused.first(), last_answer) {
            evidence.acquit(part, answered_ms, at_ms);
        }
    }
    let end_ms = FIRST_MS + crashes[crashes.len() - 1] + ALIBI_WAIT_MS;
    convicted || !evidence.convict(end_ms).is_empty()
}

/// Guards against answers that are forgotten sooner than the crashes that they speak against (review/13): a
/// sound part was convicted by two crashes that were more than 10 s apart.
#[test]
fn an_answer_speaks_against_the_crashes_before_it_however_long_ago_it_was() {
    let gaps = [
        600, 2_000, 5_000, 9_000, 11_000, 14_000, 20_000, 29_000, 29_900, 31_000, 40_000,
    ];
    for gap_ms in gaps {
        for answer_ms in [1, gap_ms / 2, gap_ms - 1] {
            let is_guilty = is_convicted(&[0, gap_ms], &[answer_ms]);
            assert!(!is_guilty, "{gap_ms} ms, answered after {answer_ms} ms");
        }
        let crashes: Vec<_> = (0..5).map(|index| index * gap_ms).collect();
        let answers: Vec<_> = crashes.iter().map(|at_ms| at_ms + gap_ms / 3).collect();
        assert!(!is_convicted(&crashes, &answers), "five, {gap_ms} ms apart");
        let is_guilty = is_convicted(&[0, gap_ms], &[]);
        let in_time = gap_ms + ALIBI_WAIT_MS < 30_000;
        assert_eq!(is_guilty, in_time, "{gap_ms} ms, never answered");
    }
}

/// Guards against answers that hide a part which crashes upstreams from then on.
#[test]
fn crashes_after_the_last_answer_convict_as_soon_as_others() {
    for (crashes, answer_ms, expected) in [
        (&[0, 14_000, 14_100][..], 3_000, true),
        (&[0, 12_000, 24_000], 500, true),
        (&[0, 14_000, 14_100], 14_050, false),
        (&[0, 5_000, 9_000], 500, false),
        (&[0, 11_000, 12_000], 500, true),
    ] {
        let is_guilty = is_convicted(crashes, &[answer_ms]);
        assert_eq!(
            is_guilty, expected,
            "{crashes:?}, answered after {answer_ms} ms"
        );
    }
}

/// Guards against a rule that outlives an answer which comes late, and against one that ends though enough
/// crashes followed the answer.
#[test]
fn a_conviction_tells_which_answers_refute_it() {
    // Times of crashes, and of the first answer that leaves too few of them.
    for (crashes, refuted_from_ms) in [
        (&[0, 14_000][..], 0),
        (&[0, 5_000, 14_000], 5_000),
        (&[0, 14_000, 14_001], 0),
    ] {
        let mut evidence = CrashEvidence::new();
        for (number, after_ms) in crashes.iter().enumerate() {
            let (upstream, request) = (format!("u{number}"), format!("r{number}"));
            let case = (*after_ms, &*upstream.leak(), &*request.leak(), true, "p");
            evidence.record(report(&case), FIRST_MS + after_ms);
        }
        let convictions = evidence.convict(FIRST_MS + 14_001 + ALIBI_WAIT_MS);
        let times: Vec<_> = convictions
            .iter()
            .map(|conviction| conviction.refuted_from_ms)
            .collect();
        let expected = FIRST_MS + refuted_from_ms + 1 - ALIBI_EXPIRY_MS;
        assert_eq!(times, [expected], "{crashes:?}");
    }
}
