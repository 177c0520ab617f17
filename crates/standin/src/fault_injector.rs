//! What the engine and the service share: faults by HTTP, silent connections, liveness, metrics.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_net::body::{BodyLimits, read_json};
use amaranth_net::route::{RouteRequest, handler};
use amaranth_net::{answer, telemetry};
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use bytes::Bytes;
use futures_util::stream;
use http_body::Frame;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::get;

use crate::connection_gate::ConnectionGate;
use crate::engine_faults::{EngineFaults, is_sampled};

/// Limits on the bodies that the stand-ins take.
pub const BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 20,
    time: Duration::from_secs(30),
};
/// Path that reads and replaces the faults in force.
pub const FAULTS_PATH: &str = "/faults";

/// Faults in force and their effect on connections.
#[derive(Debug, Default)]
pub struct FaultInjector {
    /// Silent connections.
    pub gate: Arc<ConnectionGate>,
    faults: Mutex<EngineFaults>,
    calls: AtomicU64,
}

impl FaultInjector {
    /// The faults in force.
    pub fn faults(&self) -> EngineFaults {
        self.faults.lock().expect("not poisoned").clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: EngineFaults) {
        log::info!("event=faults_set faults={:?}", format!("{faults:?}"));
        self.gate.set_frozen(faults.freeze);
        if faults.silence_existing {
            self.gate.silence_existing();
        }
        *self.faults.lock().expect("not poisoned") = faults;
    }

    /// Holds a request on a silent connection and refuses as the faults say, before anything
    /// runs.
    pub async fn admit(&self, request: &RouteRequest) -> answer::Result<EngineFaults> {
        self.gate.waiter(request.peer()).wait().await;
        let faults = self.faults();
        if faults.refuse {
            return Err(CallError::new(ErrorKind::NotReady, "refused by a fault"));
        }
        let number = self.calls.fetch_add(1, Ordering::Relaxed);
        if is_sampled(number, faults.error_percent) {
            let error = CallError::new(ErrorKind::Internal, "failed by a fault");
            return Err(error.with_ran(RanState::No));
        }
        Ok(faults)
    }

    async fn replace(&self, request: RouteRequest) -> answer::Result<Response> {
        let faults: EngineFaults = read_json(request.into_body(), BODY_LIMITS).await?;
        if !(faults.slow_factor.is_finite() && faults.slow_factor > 0.0) {
            let message = "slow_factor must be above 0";
            return Err(CallError::new(ErrorKind::InvalidRequest, message));
        }
        self.set(faults);
        Ok(answer::empty(204))
    }
}

/// An answer that breaks the connection in place of a reply.
pub fn broken_connection() -> Response {
    let error = CallError::new(ErrorKind::Internal, "reply lost by a fault");
    let lost: Result<Frame<Bytes>, BoxError> = Err(error.into());
    let body = stream::once(std::future::ready(lost));
    answer::stream(200, answer::TEXT, Body::from_stream(body))
}

/// The paths that every such stand-in has.
pub fn common_routes(injector: &Arc<FaultInjector>) -> Router {
    let faults = handler(injector, |injector, _| async move {
        Ok(answer::json(200, &injector.faults()))
    });
    let replace = handler(injector, |injector, request| async move {
        injector.replace(request).await
    });
    let live = handler(injector, |injector, request| async move {
        injector.gate.waiter(request.peer()).wait().await;
        Ok(answer::bytes(200, answer::TEXT, "live\n"))
    });
    Router::new()
        .route(FAULTS_PATH, get(faults).post(replace))
        .route("/livez", get(live))
        .route("/metrics", get(handler(injector, show_metrics)))
}

async fn show_metrics(_: Arc<FaultInjector>, _: RouteRequest) -> answer::Result<Response> {
    let text = telemetry::render_metrics();
    Ok(answer::bytes(200, answer::TEXT, text))
}
