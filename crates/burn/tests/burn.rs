//! Tests of merged histories, burn rates, error budgets and plots.

use std::collections::BTreeMap;

use amaranth_burn::burn_rate::{BUDGET_MINUTES, TierBurn, WINDOW_PAIRS, burn_rate, window_burn};
use amaranth_burn::history::{FleetHistory, TierHistory};
use amaranth_burn::plot;
use amaranth_wire::id::WriterId;
use amaranth_wire::service_level::{
    LevelCause, LevelCounts, LevelMinute, LevelObjective, LevelReport, TierLevels,
};
use amaranth_wire::unit::{Percentage, TimeSpan};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const FIRST_MINUTE: u64 = 29_000_000;

fn objective(target_millionths: u32) -> LevelObjective {
    LevelObjective {
        first_token: TimeSpan::from_millis(520),
        token_gap: TimeSpan::from_millis(70),
        target: Percentage::from_millionths(target_millionths),
    }
}

fn counts(good: u64, bad: u64) -> LevelCounts {
    let mut counts = LevelCounts::default();
    counts.add(LevelCause::Good, good);
    counts.add(LevelCause::Refused, bad);
    counts
}

/// Builds a tier's history from tuples of minutes ago, good requests and bad requests.
fn history(target: u32, minutes: &[(u64, u64, u64)]) -> TierHistory {
    let minutes = minutes.iter();
    let minutes = minutes.map(|(ago, good, bad)| (FIRST_MINUTE - ago, counts(*good, *bad)));
    TierHistory {
        objective: objective(target),
        minutes: minutes.collect(),
    }
}

#[test]
fn burn_is_the_bad_share_over_the_allowed_share() {
    let cases = [
        (950_000, 95, 5, Some(1.0)),
        (950_000, 0, 10, Some(20.0)),
        (990_000, 98, 2, Some(2.0)),
        (990_000, 10, 0, Some(0.0)),
        (990_000, 0, 0, None),
    ];
    for (target, good, bad, expected) in cases {
        let burn = burn_rate(&counts(good, bad), &objective(target));
        let close = match (burn, expected) {
            (Some(burn), Some(expected)) => (burn - expected).abs() < 1e-9,
            (burn, expected) => burn == expected,
        };
        assert!(close, "{target} {good} {bad}: {burn:?}");
    }
}

#[test]
fn a_pair_alerts_when_both_windows_burn() {
    // Minutes ago, good, bad; whether the fast and the slow pair alert.
    type AlertCase = (&'static [(u64, u64, u64)], bool, bool);
    let cases: &[AlertCase] = &[
        (&[(0, 0, 100)], true, true),
        (&[(0, 100, 0)], false, false),
        (&[(10, 0, 1_000)], false, true),
        (&[(0, 0, 10), (50, 990, 0)], false, false),
        (&[(0, 50, 50), (50, 50, 50)], false, true),
        (&[(40, 0, 1_000), (0, 100, 0)], false, false),
    ];
    for (minutes, fast, slow) in cases {
        let burn = TierBurn::new(&history(950_000, minutes), FIRST_MINUTE);
        let alerts: Vec<_> = burn.pairs.iter().map(|pair| pair.alerting).collect();
        assert_eq!(alerts, [*fast, *slow], "{minutes:?}");
        assert_eq!(burn.is_alerting(), *fast || *slow);
    }
}

#[test]
fn budget_causes_are_sorted_by_requests() {
    let mut used = counts(900, 20);
    used.add(LevelCause::BatchPressure, 60);
    used.add(LevelCause::Error, 20);
    let tier = TierHistory {
        objective: objective(900_000),
        minutes: BTreeMap::from([(FIRST_MINUTE, used), (FIRST_MINUTE - BUDGET_MINUTES, used)]),
    };
    let burn = TierBurn::new(&tier, FIRST_MINUTE);
    let budget = burn.budget.expect("requests were made");
    assert_eq!((budget.requests, budget.bad), (1_000, 100));
    assert!(budget.left.abs() < 1e-9, "{}", budget.left);
    assert_eq!(budget.causes[0].cause, LevelCause::BatchPressure);
    assert!((budget.causes[0].of_budget - 0.6).abs() < 1e-9);
    assert_eq!(budget.causes.len(), 3);
}

#[test]
fn a_tier_without_requests_has_no_burn() {
    let burn = TierBurn::new(&history(950_000, &[]), FIRST_MINUTE);
    assert!(burn.budget.is_none() && !burn.is_alerting());
    assert!(burn.pairs.iter().all(|pair| pair.long.burn.is_none()));
}

/// Final counts of one run of an instance: minute, cause, requests.
type RunCounts = Vec<(u64, usize, u64)>;

/// Report of a run after its first `upto` steps.
fn report(run: u64, steps: &RunCounts, upto: usize) -> LevelReport {
    let mut minutes = BTreeMap::<u64, LevelCounts>::new();
    for (minute, cause, requests) in &steps[..upto] {
        let counts = minutes.entry(FIRST_MINUTE + minute).or_default();
        counts.add(LevelCause::ALL[*cause], *requests);
    }
    let minutes = minutes
        .into_iter()
        .map(|(minute, counts)| LevelMinute { minute, counts });
    LevelReport {
        instance: format!("entry-{}", run % 2).parse().expect("an identifier"),
        writer: WriterId(run),
        time_ms: upto as u64,
        tiers: vec![TierLevels {
            tier: "shading".parse().expect("an identifier"),
            objective: objective(950_000),
            minutes: minutes.collect(),
        }],
    }
}

fn runs() -> impl Strategy<Value = Vec<RunCounts>> {
    let step = (0..8_u64, 0..6_usize, 1..100_u64);
    prop::collection::vec(prop::collection::vec(step, 0..8), 1..4)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(62),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Earlier, repeated and reordered reports of a run do not change the merged history.
    #[test]
    fn earlier_and_repeated_reports_count_once(
        runs in runs(),
        extra in prop::collection::vec((any::<prop::sample::Index>(), 0..8_usize), 0..12),
        turn in any::<prop::sample::Index>(),
    ) {
        let last: Vec<_> = runs.iter().zip(0..).map(|(s, run)| report(run, s, s.len())).collect();
        let mut reports = last.clone();
        for (run, upto) in extra {
            let run = run.index(runs.len());
            let steps = &runs[run];
            reports.push(report(run as u64, steps, upto.min(steps.len())));
        }
        let middle = turn.index(reports.len());
        reports.rotate_left(middle);
        prop_assert_eq!(FleetHistory::new(&reports), FleetHistory::new(&last));
    }

    /// Every request is counted exactly once in adjacent windows.
    #[test]
    fn adjacent_windows_count_every_request_once(runs in runs()) {
        let reports: Vec<_> = runs.iter().zip(0..).map(|(s, run)| report(run, s, s.len())).collect();
        let all: u64 = runs.iter().flatten().map(|(_, _, requests)| requests).sum();
        let history = FleetHistory::new(&reports);
        let tier = history.tiers.values().next().expect("a tier");
        prop_assert_eq!(tier.window(FIRST_MINUTE + 7, 8).total(), all);
        let halves = [tier.window(FIRST_MINUTE + 3, 4), tier.window(FIRST_MINUTE + 7, 4)];
        prop_assert_eq!(halves[0].total() + halves[1].total(), all);
    }

    /// Causes add up to the used share of the budget, which equals the burn rate of its window.
    #[test]
    fn budget_and_burn_agree(
        minutes in prop::collection::vec((0..BUDGET_MINUTES, 0..6_usize, 0..1_000_u64), 0..40),
        target in 500_000..999_999_u32,
    ) {
        let mut tier = history(target, &[]);
        for (ago, cause, requests) in minutes {
            let counts = tier.minutes.entry(FIRST_MINUTE - ago).or_default();
            counts.add(LevelCause::ALL[cause], requests);
        }
        let burn = TierBurn::new(&tier, FIRST_MINUTE);
        let long = window_burn(&tier, FIRST_MINUTE, BUDGET_MINUTES);
        prop_assert_eq!(burn.budget.is_some(), long.burn.is_some());
        if let (Some(budget), Some(rate)) = (burn.budget, long.burn) {
            let used: f64 = budget.causes.iter().map(|cause| cause.of_budget).sum();
            prop_assert!((used + budget.left - 1.0).abs() < 1e-6);
            prop_assert!((rate - (1.0 - budget.left)).abs() < 1e-6 * (1.0 + rate));
            prop_assert!(budget.bad <= budget.requests);
        }
        for (pair, shown) in WINDOW_PAIRS.iter().zip(&burn.pairs) {
            let over = |window: Option<f64>| window.is_some_and(|burn| burn >= pair.threshold);
            prop_assert_eq!(shown.alerting, over(shown.short.burn) && over(shown.long.burn));
        }
    }

    #[test]
    fn any_history_can_be_plotted(runs in runs(), last in 0..20_u64) {
        let reports: Vec<_> = runs.iter().zip(0..).map(|(s, run)| report(run, s, s.len())).collect();
        let svg = plot::draw(&FleetHistory::new(&reports), FIRST_MINUTE + last).expect("a plot");
        prop_assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
        prop_assert!(svg.contains("shading") && svg.contains("batch_pressure"));
    }
}

#[test]
fn a_history_without_tiers_can_be_plotted() {
    assert!(plot::draw(&FleetHistory::default(), 0).is_ok());
}
