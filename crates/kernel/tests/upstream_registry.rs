//! Upstream announcements that arrive late, twice or out of order.

use amaranth_kernel::upstream_registry::RegistryChange::{Gone, Joined, Leaving, None};
use amaranth_kernel::upstream_registry::{ImplausibleNotice, UpstreamNotice, UpstreamRegistry};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

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

#[test]
fn announcements_that_no_upstream_writes_are_implausible() {
    let sound = notice(1_700_000_000_000, 1_000_000, false);
    assert_eq!(sound.check(), Ok(()));
    let change = |change: &dyn Fn(&mut UpstreamNotice)| {
        let mut changed = sound.clone();
        change(&mut changed);
        changed.check()
    };
    let slots = [4_097, u32::MAX - 1, u32::MAX];
    for slots in slots {
        let checked = change(&|notice| notice.slots = slots);
        assert_eq!(checked, Err(ImplausibleNotice::Slots));
    }
    for odd in [1 << 44, u64::MAX] {
        let checked = change(&|notice| notice.sequence = odd);
        assert_eq!(checked, Err(ImplausibleNotice::Sequence));
        let checked = change(&|notice| notice.started_ms = odd);
        assert_eq!(checked, Err(ImplausibleNotice::Started));
    }
    for address in ["127.0.0.1:0", "0.0.0.0:80", "[::]:80", "224.0.0.1:80"] {
        let checked = change(&|notice| notice.address = address.parse().unwrap());
        assert_eq!(checked, Err(ImplausibleNotice::Address));
    }
}

/// The last announcement of a log, and what an upstream that is alive says each second.
struct SimulatedLog {
    /// Whether something else changes with each heartbeat.
    changing: bool,
    last: Option<UpstreamNotice>,
    alive: Option<UpstreamNotice>,
}

impl SimulatedLog {
    /// Appends what the upstream says if more than the sequence number differs from the last entry.
    fn heartbeat(&mut self) -> Option<UpstreamNotice> {
        let own = self.alive.as_mut()?;
        own.sequence += 1;
        let comparable = |notice: &UpstreamNotice| UpstreamNotice {
            sequence: 0,
            ..notice.clone()
        };
        let unchanged = self.last.as_ref().map(comparable) == Some(comparable(own));
        if unchanged && !self.changing {
            return Option::None;
        }
        self.last = Some(own.clone());
        self.last.clone()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: Option::None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Each step: an odd or late announcement, a restart, a removal, or nothing, and then a heartbeat.
    #[test]
    fn the_registry_gets_back_to_what_a_live_upstream_says(
        changing in any::<bool>(),
        steps in prop::collection::vec((0..6_u8, any::<u64>(), any::<u64>(), any::<bool>()), 1..40)
    ) {
        let upstream: amaranth_wire::id::UpstreamId = "u".parse().unwrap();
        let mut registry = UpstreamRegistry::new();
        let mut log = SimulatedLog { changing, last: Option::None, alive: Some(notice(1_000, 0, false)) };
        let mut said = Vec::new();
        let mut now_ms = 0;
        for (kind, started_ms, sequence, leaving) in steps {
            let mut appended = Vec::new();
            match kind {
                0 => {
                    let mut odd = notice(started_ms, sequence, leaving);
                    odd.address = "127.0.0.1:1".parse().unwrap();
                    appended.push(odd);
                }
                1 if !said.is_empty() => {
                    let late: &UpstreamNotice = &said[sequence as usize % said.len()];
                    appended.push(late.clone());
                }
                2 => {
                    // The clock may have been set back in between.
                    log.alive = Some(notice(started_ms % 2_000, 0, false));
                }
                3 => {
                    registry.remove(&upstream);
                    log.last = Option::None;
                }
                _ => {}
            }
            for notice in appended {
                log.last = Some(notice.clone());
                registry.announce(upstream.clone(), notice);
            }
            if let Some(own) = log.heartbeat() {
                said.push(own.clone());
                registry.announce(upstream.clone(), own);
            }
            registry.settle(now_ms);
            now_ms += 1_000;
        }
        for _ in 0..6 {
            if let Some(own) = log.heartbeat() {
                registry.announce(upstream.clone(), own);
            }
            registry.settle(now_ms);
            now_ms += 1_000;
        }
        let alive = log.alive.unwrap();
        let known = registry.get(&upstream).expect("it is known");
        prop_assert_eq!((known.started_ms, known.address, known.leaving), (alive.started_ms, alive.address, alive.leaving));
    }
}

#[test]
fn a_late_announcement_changes_nothing_if_its_upstream_replaces_it() {
    let upstream: amaranth_wire::id::UpstreamId = "u".parse().unwrap();
    let mut registry = UpstreamRegistry::new();
    registry.announce(upstream.clone(), notice(1, 5, true));
    for now_ms in (0..60_000).step_by(1_000) {
        registry.announce(upstream.clone(), notice(1, 3, false));
        assert_eq!(registry.settle(now_ms), []);
        registry.announce(upstream.clone(), notice(1, 6 + now_ms, true));
        assert_eq!(registry.settle(now_ms), []);
        assert!(registry.get(&upstream).unwrap().leaving);
    }
    registry.announce(upstream.clone(), notice(1, 3, false));
    registry.settle(60_000);
    registry.remove(&upstream);
    assert_eq!(registry.settle(120_000), [], "a removed one is gone");
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
