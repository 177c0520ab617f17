//! What instances tell each other of upstreams that fail.

use amaranth_kernel::accusation_book::{AccusationBook, AccusingMember};
use amaranth_wire::id::{DataCentreId, UpstreamId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn upstream(index: usize) -> UpstreamId {
    format!("u{index}").parse().unwrap()
}

fn place(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

/// Accusations (time, member, its data centre, how many of ten upstreams it avoids, from the first),
/// and whether the first is suspect to an instance of data centre "a" at 1,000 ms.
#[test]
fn two_instances_that_are_not_at_fault_themselves_are_believed() {
    type Told = (u64, &'static str, &'static str, usize);
    let cases: [(&[Told], bool); 9] = [
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
    for (told, expected) in cases {
        let mut book = AccusationBook::new();
        for (at_ms, member, data_centre, count) in told {
            let avoided: Vec<_> = (0..*count).map(upstream).collect();
            let data_centre = place(data_centre);
            let accuser = AccusingMember {
                member,
                data_centre: &data_centre,
            };
            book.note(accuser, &avoided, 10, *at_ms);
        }
        let suspects = book.suspects(&place("a"), 1_000);
        assert_eq!(suspects.contains(&upstream(0)), expected, "{told:?}");
    }
}

#[test]
fn accusations_end() {
    let mut book = AccusationBook::new();
    for member in ["one", "two"] {
        let data_centre = place("a");
        let accuser = AccusingMember {
            member,
            data_centre: &data_centre,
        };
        book.note(accuser, &[upstream(0)], 10, 0);
    }
    for (at_ms, count, changed) in [(1_000, 1, true), (1_100, 1, false), (2_000, 0, true)] {
        let suspects = book.suspects(&place("a"), at_ms);
        assert_eq!(suspects.len(), count);
        assert_eq!(book.have_changed(&place("a"), &suspects), changed);
    }
}

/// 84 instances, 64 upstreams of which one fails everything, 400 requests a second for ten
/// seconds. An instance avoids an upstream for a second after a failure, as a plain health check by
/// outcomes does. Returns the requests that failed.
fn play(shared: bool) -> usize {
    const AVOID_MS: u64 = 1_000;
    let (instances, upstreams) = (84, 64);
    let mut rng = StdRng::seed_from_u64(7);
    let mut avoided_until = vec![0_u64; instances];
    let mut book = AccusationBook::new();
    let mut failed = 0;
    for turn in 0..4_000_u64 {
        let now_ms = turn * 5 / 2 + AVOID_MS;
        let instance = rng.random_range(0..instances);
        let data_centre = place(["a", "b", "c", "d"][instance % 4]);
        let avoids = avoided_until[instance] > now_ms;
        let avoided = if avoids {
            vec![upstream(0)]
        } else {
            Vec::new()
        };
        let member = format!("m{instance}");
        let accuser = AccusingMember {
            member: &member,
            data_centre: &data_centre,
        };
        book.note(accuser, &avoided, upstreams, now_ms);
        let suspects = book.suspects(&data_centre, now_ms);
        let is_spared = avoids || (shared && suspects.contains(&upstream(0)));
        let chosen = match is_spared {
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
fn fewer_requests_meet_an_upstream_that_others_avoid() {
    let (alone, shared) = (play(false), play(true));
    println!("failed alone={alone} shared={shared}");
    assert!(shared * 2 <= alone, "alone {alone}, shared {shared}");
}
