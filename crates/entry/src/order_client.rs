//! HTTP client for the engines' control interface: orders and status reads.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_wire::engine::{EngineOrder, EngineStatus, ORDERS_PATH, STATUS_PATH};

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the answer to an order. An order that was sent can still arrive within this time.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading an engine's status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP status with which an engine rejects a stale fencing token.
const FENCED_STATUS: u16 = 409;

/// Outcome of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Taken,
    /// Rejected: the engine has seen a higher fencing token.
    Fenced,
    /// Rejected for another reason, or never sent.
    Refused,
    /// The engine may have accepted it; its status must be read to find out.
    Unknown,
}

/// Sends orders to engines and reads their status.
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
    /// Creates a client with its own connection pool.
    pub fn new() -> Self {
        Self {
            http: HttpClient::new(CONNECT_TIMEOUT),
        }
    }

    /// Sends an order once and classifies the answer.
    pub async fn post_order(&self, address: SocketAddr, order: &EngineOrder) -> OrderOutcome {
        let body = serde_json::to_vec(order).expect("orders always encode");
        let call = HttpCall::post(address, ORDERS_PATH).with_body(body);
        match self.http.fetch(call, CallLimits::new(ORDER_TIMEOUT)).await {
            Ok((status, _)) if (200..300).contains(&status) => OrderOutcome::Taken,
            Ok((FENCED_STATUS, _)) => OrderOutcome::Fenced,
            Ok((status, _)) if status < 500 => OrderOutcome::Refused,
            Ok(_) => OrderOutcome::Unknown,
            Err(e) if e.is_unsent() => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    /// Reads an engine's status; `None` if the call or its decoding fails.
    pub async fn read_status(&self, address: SocketAddr) -> Option<EngineStatus> {
        let call = HttpCall::get(address, STATUS_PATH);
        let limits = CallLimits::new(STATUS_TIMEOUT);
        self.http.fetch_json(call, limits).await.ok()
    }
}
