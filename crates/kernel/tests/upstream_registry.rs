//! Upstream announcements that arrive late, twice or out of order.

use amaranth_kernel::upstream_registry::RegistryChange::{Gone, Joined, Leaving, None};
use amaranth_kernel::upstream_registry::{UpstreamNotice, UpstreamRegistry};

fn notice(started_ms: u64, sequence: u64, leaving: bool) -> UpstreamNotice {
    UpstreamNotice {
        group: "group".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 8,
        leaving,
        started_ms,
        sequence,
    }
}

#[test]
fn older_announcements_are_ignored() {
    let upstream: amaranth_wire::id::UpstreamId = "u".parse().unwrap();
    let cases = [
        (notice(1, 1, false), Joined, false),
        (notice(1, 2, false), None, false),
        (notice(1, 3, true), Leaving, true),
        (notice(1, 2, false), None, true),
        (notice(2, 1, false), Joined, false),
        (notice(1, 9, true), None, false),
    ];
    let mut registry = UpstreamRegistry::new();
    for (announced, change, leaving) in cases {
        assert_eq!(
            registry.announce(upstream.clone(), announced.clone()),
            change,
            "{announced:?}"
        );
        assert_eq!(
            registry.get(&upstream).unwrap().leaving,
            leaving,
            "{announced:?}"
        );
    }
    assert_eq!(registry.remove(&upstream), Gone);
    assert_eq!(registry.remove(&upstream), None);
    assert_eq!(
        registry.announce(upstream.clone(), notice(1, 9, false)),
        None
    );
    assert!(registry.is_empty(), "a late announcement adds nothing");
}

#[test]
fn retain_removes_upstreams_missing_from_the_list() {
    let mut registry = UpstreamRegistry::new();
    for name in ["a", "b", "c"] {
        registry.announce(name.parse().unwrap(), notice(1, 1, false));
    }
    let gone = registry.retain(&["b".parse().unwrap()]);
    assert_eq!(gone.len(), 2);
    assert_eq!(registry.len(), 1);
}

/// A step of an upstream's life, as an instance learns of it.
#[derive(Debug, Clone)]
enum Step {
    /// An announcement is read: start, sequence, whether it says that the upstream leaves.
    Announce(u64, u64, bool),
    /// An answer of the process with this start says that it leaves.
    Answer(u64),
    /// The announcement is removed.
    Remove,
}

#[test]
fn an_upstream_that_said_it_leaves_is_back_only_after_a_new_start() {
    use Step::{Announce, Answer, Remove};
    // Steps after the announcement of start 5, sequence 3, as ready; the last one's effect; whether the
    // upstream is then known and accepts requests.
    let cases = [
        (vec![Answer(5)], Leaving, false),
        (vec![Answer(5), Answer(5)], None, false),
        (vec![Answer(5), Announce(5, 2, false)], None, false),
        (vec![Answer(5), Announce(5, 3, false)], None, false),
        (vec![Answer(5), Announce(5, 4, false)], None, false),
        (vec![Answer(5), Announce(4, 9, false)], None, false),
        (vec![Answer(5), Announce(6, 1, false)], Joined, true),
        (vec![Answer(5), Remove], Gone, false),
        (
            vec![Answer(5), Remove, Announce(5, 3, false)],
            Joined,
            false,
        ),
        (
            vec![Remove, Answer(5), Announce(5, 4, false)],
            Joined,
            false,
        ),
        (vec![Answer(5), Remove, Announce(6, 1, false)], Joined, true),
        (vec![Announce(6, 1, false), Answer(5)], None, true),
        (vec![Answer(6)], None, true),
        (vec![Answer(4)], None, true),
        (
            vec![Announce(5, 4, true), Announce(5, 5, false)],
            None,
            true,
        ),
        (
            vec![Answer(5), Announce(6, 1, false), Announce(6, 2, false)],
            None,
            true,
        ),
        (
            vec![Answer(5), Announce(6, 1, false), Answer(6)],
            Leaving,
            false,
        ),
    ];
    for (steps, expected, accepts) in cases {
        let upstream: amaranth_wire::id::UpstreamId = "u".parse().unwrap();
        let mut registry = UpstreamRegistry::new();
        registry.announce(upstream.clone(), notice(5, 3, false));
        let mut change = None;
        for step in &steps {
            change = match *step {
                Announce(start, sequence, leaving) => {
                    registry.announce(upstream.clone(), notice(start, sequence, leaving))
                }
                Answer(start) => registry.record_leaving(&upstream, start),
                Remove => registry.remove(&upstream),
            };
        }
        assert_eq!(change, expected, "{steps:?}");
        let known = registry.get(&upstream);
        let is_accepting = known.is_some_and(|notice| !notice.leaving);
        assert_eq!(is_accepting, accepts, "{steps:?}");
    }
}

#[test]
fn another_upstream_at_the_address_of_one_that_leaves_is_not_affected() {
    let mut registry = UpstreamRegistry::new();
    for name in ["a", "b"] {
        registry.announce(name.parse().unwrap(), notice(5, 1, false));
    }
    registry.record_leaving(&"a".parse().unwrap(), 5);
    assert!(registry.get(&"a".parse().unwrap()).unwrap().leaving);
    assert!(!registry.get(&"b".parse().unwrap()).unwrap().leaving);
    assert_eq!(registry.record_leaving(&"c".parse().unwrap(), 5), None);
}
