//! HTTP routes of an instance.

use std::sync::Arc;

use amaranth_net::route::{RouteRequest, handler};
use amaranth_net::{answer, telemetry};
use amaranth_wire::batch_slots::{BATCH_SLOTS_PATH, ONLINE_NOTICE_PATH};
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::gossip::GOSSIP_PATH;
use amaranth_wire::message::RESULT_STORE_PATH;
use amaranth_wire::service_level::SERVICE_LEVELS_PATH;
use http::HeaderValue;
use http::header::ALLOW;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::{MethodRouter, any, get, post};

use crate::call_counter::instrumented;
use crate::context::{InstanceContext, Result};
use crate::{
    accept, batch_intake, batch_view, files, gossip, kept_results, keyed_call, log_reader,
    log_relay, models, operator, operator_command, operator_peers, operator_query, service_levels,
    slot_coordinator, state_source,
};

/// The router for callers, operators, peers and probes.
pub fn router(context: &Arc<InstanceContext>) -> Router {
    let router = caller_routes(context, Router::new());
    let router = operator_routes(context, router);
    let router = peer_routes(context, router);
    router
        .route(
            "/livez",
            allow_methods(context, "GET", get(handler(context, live))),
        )
        .route(
            "/readyz",
            allow_methods(context, "GET", get(handler(context, ready))),
        )
        .route(
            "/metrics",
            allow_methods(context, "GET", get(handler(context, metrics))),
        )
        .fallback(handler(context, instrumented(unknown_path)))
}

/// Routes for callers.
fn caller_routes(context: &Arc<InstanceContext>, router: Router) -> Router {
    let completion = || post(handler(context, instrumented(accept::completion)));
    let submit = post(handler(context, instrumented(batch_intake::submit)));
    let batches = submit.get(handler(context, instrumented(batch_view::list)));
    let batch = get(handler(context, instrumented(batch_view::show)));
    let results = get(handler(context, instrumented(batch_view::results)));
    let cancel = post(handler(context, instrumented(batch_view::cancel)));
    let store = post(handler(context, instrumented(files::store)));
    let file = get(handler(context, instrumented(files::show)));
    let content = get(handler(context, instrumented(files::content)));
    let all_models = get(handler(context, instrumented(models::list)));
    let model = get(handler(context, instrumented(models::show)));
    let service = any(handler(context, instrumented(accept::service)));
    let show_result = get(handler(context, instrumented(keyed_call::show)));
    router
        .route(
            "/v1/requests/{id}",
            allow_methods(context, "GET", show_result),
        )
        .route(
            "/v1/chat/completions",
            allow_methods(context, "POST", completion()),
        )
        .route(
            "/v1/completions",
            allow_methods(context, "POST", completion()),
        )
        .route("/v1/services/{tier}/{*path}", service)
        .route("/v1/models", allow_methods(context, "GET", all_models))
        .route("/v1/models/{id}", allow_methods(context, "GET", model))
        .route("/v1/files", allow_methods(context, "POST", store))
        .route("/v1/files/{id}", allow_methods(context, "GET", file))
        .route(
            "/v1/files/{id}/content",
            allow_methods(context, "GET", content),
        )
        .route("/v1/batches", allow_methods(context, "GET, POST", batches))
        .route("/v1/batches/{id}", allow_methods(context, "GET", batch))
        .route(
            "/v1/batches/{id}/results",
            allow_methods(context, "GET", results),
        )
        .route(
            "/v1/batches/{id}/cancel",
            allow_methods(context, "POST", cancel),
        )
}

/// Routes for operators.
fn operator_routes(context: &Arc<InstanceContext>, router: Router) -> Router {
    let instance = get(handler(context, instrumented(operator::show_instance)));
    let config = get(handler(context, instrumented(operator::show_config)));
    let config = config.post(handler(context, instrumented(operator::set_config)));
    let query = post(handler(context, instrumented(operator_query::query)));
    let command = post(handler(context, instrumented(operator_command::command)));
    let command_status = get(handler(
        context,
        instrumented(operator_command::command_status),
    ));
    let levels = get(handler(context, instrumented(service_levels::show)));
    router
        .route(SERVICE_LEVELS_PATH, allow_methods(context, "GET", levels))
        .route(
            "/v1/operator/instance",
            allow_methods(context, "GET", instance),
        )
        .route(
            "/v1/operator/config",
            allow_methods(context, "GET, POST", config),
        )
        .route("/v1/operator/query", allow_methods(context, "POST", query))
        .route(
            "/v1/operator/command",
            allow_methods(context, "POST", command),
        )
        .route(
            "/v1/operator/commands/{id}",
            allow_methods(context, "GET", command_status),
        )
}

/// Routes for peers.
fn peer_routes(context: &Arc<InstanceContext>, router: Router) -> Router {
    let exchange = post(handler(context, gossip::handle));
    let slots = post(handler(context, slot_coordinator::handle_slot_request));
    let notice = post(handler(context, slot_coordinator::handle_online_notice));
    let state = get(handler(context, state_source::serve_state));
    let keeper = post(handler(context, kept_results::serve));
    let keeper = allow_methods(context, "POST", keeper);
    let router = router.route(format!("{RESULT_STORE_PATH}/{{id}}"), keeper);
    let follow = get(handler(context, log_reader::serve));
    let entries = get(handler(context, log_relay::entries));
    let changes = get(handler(context, log_relay::changes));
    let rows = post(handler(context, operator_peers::answer_query));
    router
        .route(
            state_source::STATE_PATH,
            allow_methods(context, "GET", state),
        )
        .route(BATCH_SLOTS_PATH, allow_methods(context, "POST", slots))
        .route(ONLINE_NOTICE_PATH, allow_methods(context, "POST", notice))
        .route(GOSSIP_PATH, allow_methods(context, "POST", exchange))
        .route(
            log_reader::PEER_FOLLOW_PATH,
            allow_methods(context, "GET", follow),
        )
        .route(
            log_relay::PEER_LOG_PATH,
            allow_methods(context, "GET", entries),
        )
        .route(
            log_relay::PEER_CHANGES_PATH,
            allow_methods(context, "GET", changes),
        )
        .route(
            operator_peers::PEER_ROWS_PATH,
            allow_methods(context, "POST", rows),
        )
}

/// Answers all other methods with 405 and an `Allow` header.
fn allow_methods(
    context: &Arc<InstanceContext>,
    allowed: &'static str,
    route: MethodRouter,
) -> MethodRouter {
    let refuse = move |_, request| refuse_method(request, allowed);
    route.fallback(handler(context, instrumented(refuse)))
}

async fn refuse_method(request: RouteRequest, allowed: &'static str) -> Result<Response> {
    let message = format!("{} takes {allowed}", request.path());
    let error = CallError::new(ErrorKind::MethodNotAllowed, message);
    let mut response = answer::error(&error);
    let allowed = HeaderValue::from_static(allowed);
    response.headers_mut().insert(ALLOW, allowed);
    Ok(response)
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

async fn metrics(context: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    set_gauges(&context);
    let text = telemetry::render_metrics();
    Ok(answer::bytes(200, answer::TEXT, text))
}

/// Sets the gauges that are computed only when the metrics are read.
fn set_gauges(context: &InstanceContext) {
    let report = context.report();
    let gauges = [
        ("amaranth_ready", f64::from(u8::from(report.ready))),
        ("amaranth_folded_offset", report.folded.0 as f64),
        ("amaranth_config_revision", report.revision.0 as f64),
        (
            "amaranth_calls_in_progress",
            context.calls.in_progress() as f64,
        ),
        ("amaranth_work_in_progress", context.work.len() as f64),
        (
            "amaranth_pools_abandoned",
            context.client.abandoned() as f64,
        ),
    ];
    for (name, value) in gauges {
        metrics::gauge!(name).set(value);
    }
}

async fn unknown_path(_: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let message = format!("no such path: {}", request.path());
    Err(CallError::new(ErrorKind::NotFound, message))
}
