//! Fault injection, liveness and metrics routes shared by the engine and service stand-ins.

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

/// Size limit and read timeout for request bodies of upstream stand-ins.
pub const BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 20,
    time: Duration::from_secs(30),
};
/// Path for reading and replacing the active faults.
pub const FAULTS_PATH: &str = "/faults";

/// Active faults, and the gate that applies them to connections.
#[derive(Debug, Default)]
pub struct FaultInjector {
    /// Delays answers on silent connections.
    pub gate: Arc<ConnectionGate>,
    faults: Mutex<EngineFaults>,
    calls: AtomicU64,
}

impl FaultInjector {
    /// Returns a copy of the active faults.
    pub fn faults(&self) -> EngineFaults {
        self.faults.lock().expect("not poisoned").clone()
    }

    /// Replaces the active faults and applies those that concern connections.
    pub fn set_faults(&self, faults: EngineFaults) {
        log::info!("event=faults_set faults={:?}", format!("{faults:?}"));
        self.gate.set_frozen(faults.freeze);
        if faults.silence_existing {
            self.gate.silence_existing();
        }
        *self.faults.lock().expect("not poisoned") = faults;
    }

    /// Applies faults before a request runs: waits while its connection is silent, then returns
    /// the active faults or an injected error.
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

    async fn replace_faults(&self, request: RouteRequest) -> answer::Result<Response> {
        let faults: EngineFaults = read_json(request.into_body(), BODY_LIMITS).await?;
        if !(faults.slow_factor.is_finite() && faults.slow_factor > 0.0) {
            let message = "slow_factor must be above 0";
            return Err(CallError::new(ErrorKind::InvalidRequest, message));
        }
        self.set_faults(faults);
        Ok(answer::empty(204))
    }
}

/// An answer whose body fails at once, so that the connection breaks without a reply.
pub fn broken_connection() -> Response {
    let error = CallError::new(ErrorKind::Internal, "reply lost by a fault");
    let lost: Result<Frame<Bytes>, BoxError> = Err(error.into());
    let body = stream::once(std::future::ready(lost));
    answer::stream(200, answer::TEXT, Body::from_stream(body))
}

/// Builds the routes that all upstream stand-ins have.
pub fn common_routes(injector: &Arc<FaultInjector>) -> Router {
    let faults = handler(injector, |injector, _| async move {
        Ok(answer::json(200, &injector.faults()))
    });
    let replace_faults = handler(injector, |injector, request| async move {
        injector.replace_faults(request).await
    });
    let live = handler(injector, |injector, request| async move {
        injector.gate.waiter(request.peer()).wait().await;
        Ok(answer::bytes(200, answer::TEXT, "live\n"))
    });
    Router::new()
        .route(FAULTS_PATH, get(faults).post(replace_faults))
        .route("/livez", get(live))
        .route("/metrics", get(handler(injector, show_metrics)))
}

async fn show_metrics(_: Arc<FaultInjector>, _: RouteRequest) -> answer::Result<Response> {
    let text = telemetry::render_metrics();
    Ok(answer::bytes(200, answer::TEXT, text))
}
