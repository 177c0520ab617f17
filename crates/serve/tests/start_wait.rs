//! How long calls wait that arrive right after the start of an instance.

use std::time::Duration;

use amaranth_kernel::route_table::{CallerLimits, RouteTable};
use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_serve::quarantine_service::{self, QuarantineService};
use amaranth_serve::route_state::{RouteSource, RouteState};
use amaranth_serve::start_wait::{START_WAIT_LIMIT, wait_first_state};
use amaranth_serve::topic_follower::TopicUpdate;
use amaranth_serve::upstream_pool::UpstreamPool;
use amaranth_wire::id::ConfigRevision;
use tokio::time::{Instant, sleep};

fn table() -> RouteTable {
    let limits = CallerLimits {
        header_ms: 1_000,
        idle_ms: 1_000,
        header_bytes: 1_000,
        body_bytes: 1_000,
    };
    RouteTable::new(ConfigRevision(1), limits, Vec::new())
}

fn notice() -> UpstreamNotice {
    UpstreamNotice {
        group: "group".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 8,
        leaving: false,
        started_ms: 1,
        sequence: 1,
    }
}

/// Each case: arrival of the configuration, of the first upstream, of the rules against prompts and of
/// a call, and the time at which the call proceeds, in milliseconds after the start.
#[tokio::test(start_paused = true)]
async fn calls_wait_for_the_first_state_until_the_start_limit() {
    let limit = START_WAIT_LIMIT.as_millis() as u64;
    let cases = [
        (Some(30), Some(50), Some(40), 10, 50),
        (Some(50), Some(30), Some(40), 10, 50),
        (Some(30), Some(40), Some(50), 10, 50),
        (Some(30), Some(50), Some(40), 80, 80),
        (Some(30), None, Some(40), 10, limit),
        (None, Some(30), Some(40), 10, limit),
        (Some(30), Some(40), None, 10, limit),
        (None, None, None, limit + 5, limit + 5),
    ];
    for (configured, announced, rules, called, proceeds_at) in cases {
        let routes = RouteState::new();
        let pool = UpstreamPool::new("dc".parse().unwrap());
        let started = Instant::now();
        let (_, inbox) = quarantine_service::inbox();
        let (quarantine, _queues) = QuarantineService::new(inbox, "m".to_owned());
        let at = |ms: Option<u64>| sleep(Duration::from_millis(ms.unwrap_or(10_000)));
        let configure = async {
            at(configured).await;
            routes.apply_if_newer(table(), RouteSource::Log);
        };
        let announce = async {
            at(announced).await;
            pool.announce("u".parse().unwrap(), notice());
        };
        let load_rules = async {
            at(rules).await;
            quarantine.apply(TopicUpdate::Replace(Vec::new()));
        };
        let call = async {
            at(Some(called)).await;
            wait_first_state(started, &routes, &pool, &quarantine).await;
            started.elapsed().as_millis() as u64
        };
        let (proceeded_at, (), (), ()) = tokio::join!(call, configure, announce, load_rules);
        assert_eq!(
            proceeded_at, proceeds_at,
            "{configured:?} {announced:?} {rules:?} {called}"
        );
    }
}
