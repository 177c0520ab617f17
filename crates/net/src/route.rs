//! Handlers that share a state: a function of the state and the request that may fail with a
//! [`CallError`].

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_wire::error::{CallError, ErrorKind};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method};
use serde::de::DeserializeOwned;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::param::PathParamsVec;

use crate::answer;

/// Result of a handler.
pub type Result<T> = answer::Result<T>;

/// A request as handlers get it.
pub struct RouteRequest {
    params: Vec<String>,
    peer: Option<SocketAddr>,
    request: Request,
}

impl RouteRequest {
    /// The path's parameter at this position.
    pub fn param(&self, index: usize) -> &str {
        self.params.get(index).map_or("", String::as_str)
    }

    /// Address of the other end of the connection.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// The query, decoded.
    pub fn query<T: DeserializeOwned>(&self) -> Result<T> {
        let query = self.request.uri().query().unwrap_or("");
        serde_urlencoded::from_str(query)
            .map_err(|e| CallError::new(ErrorKind::InvalidRequest, format!("invalid query: {e}")))
    }

    /// Path and query as they were sent.
    pub fn path(&self) -> &str {
        let uri = self.request.uri();
        uri.path_and_query().map_or("/", |path| path.as_str())
    }

    /// Method.
    pub fn method(&self) -> &Method {
        self.request.method()
    }

    /// Headers.
    pub fn headers(&self) -> &HeaderMap {
        self.request.headers()
    }

    /// A header as text; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers().get(name)?.to_str().ok()
    }

    /// The body.
    pub fn into_body(self) -> Body {
        self.request.into_body()
    }
}

/// Binds a handler to its state, in the form that the server's routes take.
pub fn handler<S, F, Fut>(
    state: &Arc<S>,
    handle: F,
) -> impl Fn(PathParamsVec, Address, Request) -> BoxFuture<'static, Response>
+ Clone
+ Send
+ Sync
+ 'static
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, RouteRequest) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send + 'static,
{
    let state = state.clone();
    move |params, address, request| {
        let request = RouteRequest {
            params: params.iter().map(|(_, value)| value.to_string()).collect(),
            peer: address.ip_addr().copied(),
            request,
        };
        let handled = handle(state.clone(), request);
        async move { answer::from_result(handled.await) }.boxed()
    }
}
