//! Accepts online requests: reads and validates them and derives their ids.

use std::sync::Arc;

use amaranth_net::body::{BodyLimits, read_all};
use amaranth_net::clock::steady_ms;
use amaranth_net::route::RouteRequest;
use amaranth_settings::tier::TierSettings;
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::engine::prefix_hashes;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{RequestId, TeamId};
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};
use volo_http::response::Response;

use crate::batch_intake::{DEADLINE_HEADER, KEY_HEADER, parse_key};
use crate::batch_upload::hex;
use crate::context::{InstanceContext, Result};
use crate::request_run;

/// Header that names a tier, instead of the first that serves the model.
pub const TIER_HEADER: &str = "amaranth-tier";
/// Header that says whether the request may be run more than once.
pub const REPEATABLE_HEADER: &str = "amaranth-repeatable";

/// Number of blocks at the start of a prompt that are hashed for routing.
const PREFIX_BLOCKS: usize = 4;

/// The fields of a request that routing needs.
#[derive(Debug, Deserialize)]
struct RequestHead {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Vec<MessageHead>,
}

#[derive(Debug, Deserialize)]
struct MessageHead {
    #[serde(default)]
    content: Value,
}

impl RequestHead {
    /// Hash of the first `PREFIX_BLOCKS` blocks of the prompt, `None` if it has no whole block.
    fn prefix(&self) -> Option<u64> {
        let contents = self.messages.iter().map(|message| &message.content);
        let texts: Vec<_> = contents
            .chain([&self.prompt])
            .filter_map(Value::as_str)
            .collect();
        let hashes = prefix_hashes(&texts.join("\n"));
        hashes
            .get(..hashes.len().min(PREFIX_BLOCKS))?
            .last()
            .copied()
    }
}

/// An accepted online request.
#[derive(Debug, Clone)]
pub struct OnlineRequest {
    /// Method of the call to the upstream.
    pub method: Method,
    /// Path and query of the call to the upstream.
    pub path: String,
    /// Headers of the call to the upstream.
    pub headers: HeaderMap,
    /// The tier that serves it.
    pub tier: TierSettings,
    /// Kind of the upstreams that serve it.
    pub kind: UpstreamKind,
    /// Team of the caller.
    pub team: TeamId,
    /// Hash of the start of the prompt, where it is long enough to be cached.
    pub prefix: Option<u64>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// Request id, a hash of the team and the caller's idempotency key.
    pub key: Option<RequestId>,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// When it arrived, in milliseconds of the steady clock.
    pub arrived_ms: u64,
    /// When its answer must be complete, in milliseconds of the steady clock.
    pub deadline_ms: u64,
}

impl OnlineRequest {
    /// SHA-256 of tier, method, path and body: requests with the same digest are the same.
    pub fn digest(&self) -> String {
        let mut digest = Sha256::new();
        digest.update(format!(
            "{} {} {}\n",
            self.tier.name, self.method, self.path
        ));
        digest.update(&self.body);
        hex(&digest.finalize())
    }
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
    context.check_takes_work()?;
    let accepted = accept_completion(&context, request).await?;
    request_run::answer(context, accepted).await
}

/// Handles a call to an upstream of the kind service.
pub async fn service(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    context.check_takes_work()?;
    let accepted = accept_service(&context, request).await?;
    request_run::answer(context, accepted).await
}

async fn accept_completion(
    context: &InstanceContext,
    request: RouteRequest,
) -> Result<OnlineRequest> {
    let requested_tier = request.header(TIER_HEADER).map(str::to_owned);
    let options = RequestOptions::read(context, &request)?;
    let path = request.path().to_owned();
    let body = read_all(request.into_body(), online_limits(context)).await?;
    let head: RequestHead = serde_json::from_slice(&body)
        .map_err(|e| CallError::new(ErrorKind::InvalidRequest, format!("invalid request: {e}")))?;
    let tier = find_tier(context, requested_tier.as_deref(), &head.model)?;
    check_kind(context, tier, UpstreamKind::Engine)?;
    let mut accepted = options.accept(context, tier, body);
    accepted.path = path;
    accepted.stream = head.stream;
    accepted.prefix = head.prefix();
    Ok(accepted)
}

async fn accept_service(context: &InstanceContext, request: RouteRequest) -> Result<OnlineRequest> {
    let options = RequestOptions::read(context, &request)?;
    let tier = find_tier(context, Some(request.param(0)), "")?.clone();
    check_kind(context, &tier, UpstreamKind::Service)?;
    let method = request.method().clone();
    let path = service_path(request.path());
    let content_type = request.headers().get(CONTENT_TYPE).cloned();
    let body = read_all(request.into_body(), online_limits(context)).await?;
    let mut accepted = options.accept(context, &tier, body);
    accepted.method = method;
    accepted.path = path;
    if let Some(content_type) = content_type {
        accepted.headers.insert(CONTENT_TYPE, content_type);
    }
    Ok(accepted)
}

/// Refuses completions for services, and service calls to engines, whose own paths callers must
/// not reach.
fn check_kind(context: &InstanceContext, tier: &TierSettings, kind: UpstreamKind) -> Result<()> {
    let group = context.config.fleet.group(&tier.upstreams);
    if group.is_some_and(|group| group.kind == kind) {
        return Ok(());
    }
    let message = format!(
        "the upstreams of tier {} are not of the kind {kind}",
        tier.name
    );
    Err(CallError::new(ErrorKind::UnknownTarget, message))
}

/// The part of a path after `/v1/services/{tier}`.
fn service_path(path: &str) -> String {
    let rest = path.splitn(5, '/').nth(4).unwrap_or("");
    format!("/{rest}")
}

/// Options that a caller sets in headers.
struct RequestOptions {
    team: TeamId,
    key: Option<String>,
    repeatable: Option<bool>,
    deadline_in_ms: Option<u64>,
    arrived_ms: u64,
}

impl RequestOptions {
    fn read(context: &InstanceContext, request: &RouteRequest) -> Result<Self> {
        Ok(Self {
            team: context.callers.team(request)?,
            key: parse_key(request)?.map(str::to_owned),
            repeatable: parse_header(request, REPEATABLE_HEADER, "true or false")?,
            deadline_in_ms: parse_header(request, DEADLINE_HEADER, "a number of milliseconds")?,
            arrived_ms: steady_ms(),
        })
    }

    fn accept(self, context: &InstanceContext, tier: &TierSettings, body: Bytes) -> OnlineRequest {
        let group = context.config.fleet.group(&tier.upstreams);
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static(amaranth_net::answer::JSON);
        headers.insert(CONTENT_TYPE, json);
        let key = self.key.map(|key| request_id(&self.team, &key));
        if let Some(key) = &key {
            let value =
                HeaderValue::from_str(key.as_str()).expect("hexadecimal is a valid header value");
            headers.insert(HeaderName::from_static(KEY_HEADER), value);
        }
        let deadline_in_ms = self.deadline_in_ms.unwrap_or(tier.deadline.as_millis());
        OnlineRequest {
            method: Method::POST,
            path: String::new(),
            headers,
            kind: group.map_or(UpstreamKind::Engine, |group| group.kind),
            team: self.team,
            prefix: None,
            stream: false,
            body,
            key,
            repeatable: self.repeatable.unwrap_or(tier.repeatable),
            arrived_ms: self.arrived_ms,
            deadline_ms: self.arrived_ms.saturating_add(deadline_in_ms),
            tier: tier.clone(),
        }
    }
}

/// Derives a request id from team and key, the same on every instance.
pub fn request_id(team: &TeamId, key: &str) -> RequestId {
    let digest = hex(&Sha256::digest(format!("request\n{team}\n{key}")));
    let id = format!("req_{}", &digest[..32]);
    id.parse().expect("hexadecimal is a valid identifier")
}

fn parse_header<T: std::str::FromStr>(
    request: &RouteRequest,
    name: &str,
    expected: &str,
) -> Result<Option<T>> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let value = value.to_str().ok().and_then(|text| text.parse().ok());
    let value = value.ok_or_else(|| {
        let message = format!("{name} must be {expected}");
        CallError::new(ErrorKind::InvalidRequest, message)
    })?;
    Ok(Some(value))
}

/// Finds the tier that a request names, or else the first that serves its model.
pub fn find_tier<'a>(
    context: &'a InstanceContext,
    requested_tier: Option<&str>,
    model: &str,
) -> Result<&'a TierSettings> {
    let unknown = |what: String| CallError::new(ErrorKind::UnknownTarget, what);
    let Some(requested_tier) = requested_tier else {
        let tier = context.upstreams.tier_of_model(model);
        return tier.ok_or_else(|| unknown(format!("no tier serves the model {model:?}")));
    };
    let name = requested_tier.parse().ok();
    let tier = name.and_then(|name| context.config.fleet.tier(&name));
    tier.ok_or_else(|| unknown(format!("no tier is named {requested_tier:?}")))
}
