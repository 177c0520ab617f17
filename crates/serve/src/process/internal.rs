//! Listeners and tasks of an instance that serve no callers.

use std::sync::Arc;
use std::time::Duration;

use amaranth_net::telemetry;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{DEFAULT_LIMITS, ServeConfig};
use crate::answer::plain;
use crate::gateway::Gateway;
use crate::listener;
use crate::memory_account::MemoryAccount;
use crate::peer_state::{PEER_STATE_PATH, TopicCopies};
use crate::placement_service::PlacementService;
use crate::upstream_pool::UpstreamPool;

/// Interval at which expired idle connections are dropped.
const IDLE_SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which the gauges of held memory are set.
const MEMORY_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Answers readiness probes and reads of metrics until the token is cancelled.
pub(super) async fn serve_probes(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    config: ServeConfig,
    stop: CancellationToken,
) {
    let config = Arc::new(config);
    let answer = move |call: Request<Incoming>| {
        let (gateway, config) = (gateway.clone(), config.clone());
        async move {
            let path = call.uri().path();
            if path == config.readiness_path {
                gateway.readiness()
            } else if path == config.metrics_path {
                plain(StatusCode::OK, telemetry::render_metrics())
            } else {
                plain(StatusCode::NOT_FOUND, "")
            }
        }
    };
    listener::serve(
        listener,
        || DEFAULT_LIMITS,
        answer,
        TaskTracker::new(),
        stop,
    )
    .await;
}

/// Answers reads of state by other instances until the token is cancelled.
pub(super) async fn serve_control(
    listener: TcpListener,
    placement: Arc<PlacementService>,
    copies: Arc<TopicCopies>,
    stop: CancellationToken,
) {
    let answer = move |call: Request<Incoming>| {
        let (placement, copies) = (placement.clone(), copies.clone());
        async move {
            match call.uri().path() {
                PEER_STATE_PATH => copies.answer(&placement.members()),
                _ => plain(StatusCode::NOT_FOUND, ""),
            }
        }
    };
    listener::serve(
        listener,
        || DEFAULT_LIMITS,
        answer,
        TaskTracker::new(),
        stop,
    )
    .await;
}

/// Sets the gauges of the memory held for callers and items until the token is cancelled.
pub(super) async fn report_memory(account: MemoryAccount, stop: CancellationToken) {
    let wait = || stop.run_until_cancelled(sleep(MEMORY_REPORT_PERIOD));
    while wait().await.is_some() {
        account.report();
    }
}

/// Drops expired idle connections until the token is cancelled.
pub(super) async fn sweep_connections(pool: Arc<UpstreamPool>, stop: CancellationToken) {
    let wait = || stop.run_until_cancelled(sleep(IDLE_SWEEP_PERIOD));
    while wait().await.is_some() {
        pool.connection_pool.sweep();
    }
}
