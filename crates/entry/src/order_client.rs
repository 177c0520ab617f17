//! Orders to engines, and reading their state back.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_wire::engine::{EngineOrder, EngineStatus, ORDERS_PATH, STATUS_PATH};

/// Longest wait for a connection to an engine.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for the answer to an order. An order that was sent can land until then.
pub const ORDER_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for an engine's state.
const STATUS_LIMIT: Duration = Duration::from_secs(1);
/// Status with which an engine refuses an old fencing number.
const FENCED_STATUS: u16 = 409;

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Provably not taken.
    Refused,
    /// It may have been taken; the engine's state will tell.
    Unknown,
}

/// Calls of the engines' control interface.
#[derive(Clone)]
pub struct OrderClient {
    http: HttpClient,
}

impl Default for OrderClient {
    fn default() -> Self {
        Self::new()
    }
}

impl OrderClient {
    /// A client with connections of its own.
    pub fn new() -> Self {
        Self {
            http: HttpClient::new(CONNECT_LIMIT),
        }
    }

    /// Gives an order.
    pub async fn order(&self, address: SocketAddr, order: &EngineOrder) -> OrderOutcome {
        let body = serde_json::to_vec(order).expect("orders always encode");
        let call = HttpCall::post(address, ORDERS_PATH).with_body(body);
        match self.http.fetch(call, CallLimits::new(ORDER_LIMIT)).await {
            Ok((status, _)) if (200..300).contains(&status) => OrderOutcome::Taken,
            Ok((FENCED_STATUS, _)) => OrderOutcome::Fenced,
            Ok((status, _)) if status < 500 => OrderOutcome::Refused,
            Ok(_) => OrderOutcome::Unknown,
            Err(e) if e.is_unsent() => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    /// Reads an engine's state; `None` when it does not answer.
    pub async fn status(&self, address: SocketAddr) -> Option<EngineStatus> {
        let call = HttpCall::get(address, STATUS_PATH);
        let limits = CallLimits::new(STATUS_LIMIT);
        self.http.fetch_json(call, limits).await.ok()
    }
}
