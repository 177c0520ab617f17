//! Accepts online requests: reads, checks and names them.

use std::sync::Arc;

use amaranth_net::body::{BodyLimits, read_all};
use amaranth_net::route::RouteRequest;
use amaranth_settings::tier::TierSettings;
use amaranth_wire::error::{CallError, ErrorKind};
use bytes::Bytes;
use serde::Deserialize;
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};
use crate::relay;

/// Header that names a tier in place of the model's first.
pub const TIER_HEADER: &str = "amaranth-tier";

/// The parts of a request that decide where it goes.
#[derive(Debug, Deserialize)]
struct RequestHead {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// An accepted online request.
#[derive(Debug, Clone)]
pub struct OnlineRequest {
    /// Path and query at the upstream.
    pub path: String,
    /// The tier that serves it.
    pub tier: TierSettings,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// The body as the caller sent it.
    pub body: Bytes,
}

/// Limits on the bodies of online requests.
pub fn online_limits(context: &InstanceContext) -> BodyLimits {
    let bodies = &context.config.fleet.bodies;
    BodyLimits {
        bytes: bodies.online.as_bytes() as usize,
        time: bodies.time.duration(),
    }
}

/// Handles a completion call of a caller.
pub async fn completion(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.check_started()?;
    context.callers.team(&request)?;
    let accepted = accept(&context, request).await?;
    relay::answer(context, accepted).await
}

async fn accept(context: &InstanceContext, request: RouteRequest) -> Result<OnlineRequest> {
    let path = request.path().to_owned();
    let named_tier = request.header(TIER_HEADER).map(str::to_owned);
    let body = read_all(request.into_body(), online_limits(context)).await?;
    let head: RequestHead = serde_json::from_slice(&body)
        .map_err(|e| CallError::new(ErrorKind::InvalidRequest, format!("invalid request: {e}")))?;
    let tier = find_tier(context, named_tier.as_deref(), &head.model)?;
    Ok(OnlineRequest {
        path,
        tier: tier.clone(),
        stream: head.stream,
        body,
    })
}

/// The tier that a request names, or the first that serves its model.
pub fn find_tier<'a>(
    context: &'a InstanceContext,
    named: Option<&str>,
    model: &str,
) -> Result<&'a TierSettings> {
    let unknown = |what: String| CallError::new(ErrorKind::UnknownTarget, what);
    let Some(named) = named else {
        let tier = context.upstreams.tier_of_model(model);
        return tier.ok_or_else(|| unknown(format!("no tier serves the model {model:?}")));
    };
    let name = named.parse().ok();
    let tier = name.and_then(|name| context.config.fleet.tier(&name));
    tier.ok_or_else(|| unknown(format!("no tier is named {named:?}")))
}
