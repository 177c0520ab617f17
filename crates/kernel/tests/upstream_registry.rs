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
