//! Calls that come to an instance before it knows its first configuration and upstreams.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::route_state::RouteState;
use crate::upstream_pool::UpstreamPool;

/// How long after its start an instance lets calls wait. It has both after some 30 ms (200 ms from
/// a peer), and balancers send to a restarted process before they have asked whether it is ready.
pub const START_WAIT_LIMIT: Duration = Duration::from_millis(300);

/// Waits for the first configuration and upstreams. Ends at once later than the start: calls that
/// find either missing then are refused with the reason.
pub async fn wait_first_state(started: Instant, routes: &RouteState, pool: &UpstreamPool) {
    let first_state = async {
        routes.wait_first_table().await;
        pool.wait_first_upstream().await;
    };
    timeout_at(started + START_WAIT_LIMIT, first_state)
        .await
        .ok();
}
