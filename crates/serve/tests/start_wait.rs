//! When calls go on that come right after a start.

use std::time::Duration;

use amaranth_kernel::route_table::{CallerLimits, RouteTable};
use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_serve::route_state::{RouteSource, RouteState};
use amaranth_serve::start_wait::{START_WAIT_LIMIT, wait_first_state};
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

/// When the configuration and the first upstream come, when a call comes, and when it goes on, in
/// milliseconds after the start.
#[tokio::test(start_paused = true)]
async fn calls_wait_for_the_first_state_but_no_longer_than_the_start() {
    let limit = START_WAIT_LIMIT.as_millis() as u64;
    let cases = [
        (Some(30), Some(50), 10, 50),
        (Some(50), Some(30), 10, 50),
        (Some(30), Some(50), 80, 80),
        (Some(30), None, 10, limit),
        (None, Some(30), 10, limit),
        (None, None, limit + 5, limit + 5),
    ];
    for (configured, announced, called, goes_on) in cases {
        let routes = RouteState::new();
        let pool = UpstreamPool::new("dc".parse().unwrap());
        let started = Instant::now();
        let at = |ms: Option<u64>| sleep(Duration::from_millis(ms.unwrap_or(10_000)));
        let configure = async {
            at(configured).await;
            routes.apply_if_newer(table(), RouteSource::Log);
        };
        let announce = async {
            at(announced).await;
            pool.announce("u".parse().unwrap(), notice());
        };
        let call = async {
            at(Some(called)).await;
            wait_first_state(started, &routes, &pool).await;
            started.elapsed().as_millis() as u64
        };
        let (went_on, (), ()) = tokio::join!(call, configure, announce);
        assert_eq!(went_on, goes_on, "{configured:?} {announced:?} {called}");
    }
}
