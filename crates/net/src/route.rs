//! Route handlers with shared state: functions of the state and the request that return a response
//! or a [`CallError`].

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

/// Request as passed to a handler.
pub struct RouteRequest {
    params: Vec<String>,
    peer: Option<SocketAddr>,
    request: Request,
}

impl RouteRequest {
    /// Returns the path parameter at this index; empty if there is none.
    pub fn param(&self, index: usize) -> &str {
        self.params.get(index).map_or("", String::as_str)
    }

    /// Returns the client's address, if known.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Decodes the query string.
    pub fn query<T: DeserializeOwned>(&self) -> Result<T> {
        let query = self.request.uri().query().unwrap_or("");
        serde_urlencoded::from_str(query)
            .map_err(|e| CallError::new(ErrorKind::InvalidRequest, format!("invalid query: {e}")))
    }

    /// Returns the path with the query, as the client sent them.
    pub fn path(&self) -> &str {
        let uri = self.request.uri();
        uri.path_and_query().map_or("/", |path| path.as_str())
    }

    /// Returns the request method.
    pub fn method(&self) -> &Method {
        self.request.method()
    }

    /// Returns the request headers.
    pub fn headers(&self) -> &HeaderMap {
        self.request.headers()
    }

    /// Returns a header's value; `None` if it is missing or not ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers().get(name)?.to_str().ok()
    }

    /// Returns the body, which has not been read yet.
    pub fn into_body(self) -> Body {
        self.request.into_body()
    }
}

/// Binds a handler to its state. The result can be registered as a route of the server.
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
