//! Routes by host and longest prefix, weights, and what each kind allows.

use amaranth_kernel::route_table::{CallerLimits, GroupShare, RouteKind, RouteRule, RouteTable};
use amaranth_wire::id::ConfigRevision;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    let share = |(group, weight): &(&str, u32)| GroupShare {
        group: group.parse().unwrap(),
        weight: *weight,
    };
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        shares: shares.iter().map(share).collect(),
        timeout_ms: 1_000,
        objective_ms: 100,
        max_attempts: 2,
    }
}

fn table() -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_ms: 3_000,
        idle_ms: 15_000,
    };
    let routes = vec![
        route("wide", "a.example", "/x/", &[("one", 1)]),
        route("deep", "a.example", "/x/y/", &[("two", 1)]),
        route("other", "b.example", "/x/", &[("three", 1)]),
    ];
    RouteTable::new(ConfigRevision(7), limits, routes)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let cases = [
        ("a.example", "/x/1", Some("wide")),
        ("a.example", "/x/y/1", Some("deep")),
        ("a.example", "/x/y", Some("wide")),
        ("A.EXAMPLE:8080", "/x/y/", Some("deep")),
        ("b.example", "/x/y/1", Some("other")),
        ("b.example", "/z/", None),
        ("c.example", "/x/", None),
        ("", "/x/", None),
    ];
    let table = table();
    for (host, path, expected) in cases {
        let found = table.find(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn draws_follow_the_weights() {
    let route = route("split", "a", "/", &[("nine", 90), ("none", 0), ("one", 10)]);
    let cases = [
        (0.0, "nine"),
        (0.89, "nine"),
        (0.91, "one"),
        (0.999, "one"),
        (1.0, "one"),
    ];
    for (draw, expected) in cases {
        assert_eq!(route.group(draw).unwrap().as_str(), expected, "{draw}");
    }
}

#[test]
fn a_route_without_weight_goes_nowhere() {
    assert_eq!(route("off", "a", "/", &[("one", 0)]).group(0.5), None);
    assert_eq!(route("none", "a", "/", &[]).group(0.5), None);
}

#[test]
fn only_some_kinds_may_run_again() {
    let batch = RouteKind::Batch {
        completion_target_ms: 1,
        give_up_ms: 1,
    };
    let cases = [
        (RouteKind::Idempotent, true),
        (RouteKind::AtMostOnce, false),
        (RouteKind::Stream { resumable: true }, true),
        (RouteKind::Stream { resumable: false }, false),
        (batch, true),
    ];
    for (kind, expected) in cases {
        assert_eq!(kind.is_repeatable(), expected, "{kind:?}");
    }
}
