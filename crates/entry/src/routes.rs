//! The paths that an instance serves.

use std::sync::Arc;

use amaranth_net::route::{RouteRequest, handler};
use amaranth_net::{answer, telemetry};
use amaranth_wire::error::{CallError, ErrorKind};
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{any, get, post};

use crate::context::{InstanceContext, Result};
use crate::{accept, batch_intake, batch_view, operator, state_source};

/// The server of an instance.
pub fn router(context: &Arc<InstanceContext>) -> Router {
    Router::new()
        .route(
            "/v1/chat/completions",
            post(handler(context, accept::completion)),
        )
        .route(
            "/v1/completions",
            post(handler(context, accept::completion)),
        )
        .route("/v1/batches", post(handler(context, batch_intake::submit)))
        .route("/v1/batches/{id}", get(handler(context, batch_view::show)))
        .route(
            "/v1/batches/{id}/results",
            get(handler(context, batch_view::results)),
        )
        .route(
            "/v1/batches/{id}/cancel",
            post(handler(context, batch_view::cancel)),
        )
        .route(
            state_source::STATE_PATH,
            get(handler(context, state_source::hand_over)),
        )
        .route(
            "/v1/operator/instance",
            get(handler(context, operator::instance)),
        )
        .route(
            "/v1/operator/config",
            get(handler(context, operator::show_config))
                .post(handler(context, operator::set_config)),
        )
        .route("/livez", get(handler(context, live)))
        .route("/readyz", get(handler(context, ready)))
        .route("/metrics", get(handler(context, metrics)))
        .route("/{*path}", any(handler(context, unknown)))
}

async fn live(_: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    Ok(answer::bytes(200, answer::TEXT, "live\n"))
}

async fn ready(context: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    match context.is_ready() {
        true => Ok(answer::bytes(200, answer::TEXT, "ready\n")),
        false => Err(CallError::new(ErrorKind::NotReady, "not ready")),
    }
}

async fn metrics(_: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    Ok(answer::bytes(
        200,
        answer::TEXT,
        telemetry::render_metrics(),
    ))
}

async fn unknown(_: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let message = format!("no such path: {}", request.path());
    Err(CallError::new(ErrorKind::NotFound, message))
}
