//! Outlier reports shared between instances.

use amaranth_kernel::outlier_reports::{OutlierReports, ReportingMember};
use amaranth_wire::id::{DataCentreId, UpstreamId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn upstream(index: usize) -> UpstreamId {
    format!("u{index}").parse().unwrap()
}

fn data_centre_id(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

/// Each case has reports (time, member, its data centre, how many of ten upstreams it avoids, from
/// the first), and whether the first is suspect for data centre "a" at 1,000 ms.
#[test]
fn suspect_needs_two_credible_reporters() {
    type ReportCase = (u64, &'static str, &'static str, usize);
    let cases: [(&[ReportCase], bool); 9] = [
        (&[], false),
        (&[(900, "one", "a", 1)], false),
        (&[(900, "one", "a", 1), (950, "one", "a", 1)], false),
        (&[(900, "one", "a", 1), (950, "two", "a", 1)], true),
        (&[(900, "one", "b", 1), (950, "two", "b", 1)], false),
        (&[(900, "one", "b", 1), (950, "two", "c", 1)], true),
        (&[(900, "one", "a", 1), (950, "two", "b", 1)], true),
        (&[(900, "one", "a", 5), (950, "two", "a", 1)], false),
        (&[(0, "one", "a", 1), (950, "two", "a", 1)], true),
    ];
    for (reported, expected) in cases {
        let mut reports = OutlierReports::new();
        for (at_ms, member, data_centre, count) in reported {
            let avoided: Vec<_> = (0..*count).map(upstream).collect();
            let data_centre = data_centre_id(data_centre);
            let reporter = ReportingMember {
                instance: &member.parse().unwrap(),
                data_centre: &data_centre,
            };
            reports.record(reporter, &avoided, 10, *at_ms);
        }
        let suspects = reports.suspects(&data_centre_id("a"), 1_000);
        assert_eq!(suspects.contains(&upstream(0)), expected, "{reported:?}");
    }
}

#[test]
fn outlier_reports_expire() {
    let mut reports = OutlierReports::new();
    for member in ["one", "two"] {
        let data_centre = data_centre_id("a");
        let reporter = ReportingMember {
            instance: &member.parse().unwrap(),
            data_centre: &data_centre,
        };
        reports.record(reporter, &[upstream(0)], 10, 0);
    }
    for (at_ms, count, changed) in [(1_000, 1, true), (1_100, 1, false), (2_000, 0, true)] {
        let suspects = reports.suspects(&data_centre_id("a"), at_ms);
        assert_eq!(suspects.len(), count);
        assert_eq!(
            reports.suspects_changed(&data_centre_id("a"), &suspects),
            changed
        );
    }
}

/// Simulates 84 instances that send 400 requests a second for ten seconds to 64 upstreams, one of
/// which fails every request. An instance avoids an upstream for a second after a failure, like a
/// passive health check. Returns the number of failed requests.
fn count_failures(shared: bool) -> usize {
    const AVOID_MS: u64 = 1_000;
    let (instances, upstreams) = (84, 64);
    let mut rng = StdRng::seed_from_u64(7);
    let mut avoided_until = vec![0_u64; instances];
    let mut reports = OutlierReports::new();
    let mut failed = 0;
    for turn in 0..4_000_u64 {
        let now_ms = turn * 5 / 2 + AVOID_MS;
        let instance = rng.random_range(0..instances);
        let data_centre = data_centre_id(["a", "b", "c", "d"][instance % 4]);
        let avoids = avoided_until[instance] > now_ms;
        let avoided = if avoids {
            vec![upstream(0)]
        } else {
            Vec::new()
        };
        let member = format!("m{instance}");
        let reporter = ReportingMember {
            instance: &member.parse().unwrap(),
            data_centre: &data_centre,
        };
        reports.record(reporter, &avoided, upstreams, now_ms);
        let suspects = reports.suspects(&data_centre, now_ms);
        let is_avoided = avoids || (shared && suspects.contains(&upstream(0)));
        let chosen = match is_avoided {
            true => rng.random_range(1..upstreams),
            false => rng.random_range(0..upstreams),
        };
        if chosen == 0 {
            failed += 1;
            avoided_until[instance] = now_ms + AVOID_MS;
        }
    }
    failed
}

#[test]
fn shared_reports_halve_failed_requests() {
    let (alone, shared) = (count_failures(false), count_failures(true));
    println!("failed alone={alone} shared={shared}");
    assert!(shared * 2 <= alone, "alone {alone}, shared {shared}");
}
