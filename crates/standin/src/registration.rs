//! Periodic registration of an upstream in the platform's list.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_wire::engine::ListedUpstream;
use amaranth_wire::platform::UPSTREAM_LIST_PATH;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reports the row that `row` returns until `stop` is cancelled.
pub async fn report_until_stopped(
    platform: SocketAddr,
    row: impl Fn() -> ListedUpstream,
    stop: CancellationToken,
) {
    let client = HttpClient::new(REPORT_TIMEOUT);
    while !stop.is_cancelled() {
        let body = serde_json::to_vec(&row()).expect("rows always encode");
        let call = HttpCall::post(platform, UPSTREAM_LIST_PATH).with_body(body);
        if let Err(e) = client.fetch(call, CallLimits::new(REPORT_TIMEOUT)).await {
            log::debug!("event=list_report_failed error={:?}", e.to_string());
        }
        tokio::select! {
            () = sleep(REPORT_INTERVAL) => {}
            () = stop.cancelled() => {}
        }
    }
}
