//! Delays calls that arrive before an instance has its first route table and upstream, and the rules
//! against prompts that crash upstreams.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::quarantine_service::QuarantineService;
use crate::route_state::RouteState;
use crate::upstream_pool::UpstreamPool;

/// Time after the start until which calls wait. An instance has both after some 30 ms (200 ms from
/// a peer), and load balancers send calls to a restarted process before they probe its readiness.
pub const START_WAIT_LIMIT: Duration = Duration::from_millis(300);

/// Waits for the first route table and upstream and for the rules, at most until the limit after the start. Later
/// calls return at once, and those without either are refused with the reason.
pub async fn wait_first_state(
    started: Instant,
    routes: &RouteState,
    pool: &UpstreamPool,
    quarantine: &QuarantineService,
) {
    let first_state = async {
        routes.wait_first_table().await;
        pool.wait_first_upstream().await;
        quarantine.wait_loaded().await;
    };
    timeout_at(started + START_WAIT_LIMIT, first_state)
        .await
        .ok();
}
