//! Client of the platform's log.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_kernel::commit::AppendOutcome;
use amaranth_net::client::{CallLimits, HttpCall, HttpClient, HttpError};
use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::{AppendReply, LOG_APPEND_PATH, LOG_READ_PATH, ReadReply};

/// Timeout of connecting to the log.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Timeout of an append.
const APPEND_LIMIT: Duration = Duration::from_secs(2);
/// How long a read waits at the log for new entries.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Timeout of a read, beyond the time for which it waits at the log.
const READ_SLACK: Duration = Duration::from_secs(2);
/// Most entries of one read.
const READ_MAX: usize = 1_024;
/// Statuses that mean that nothing was appended.
const REFUSED_STATUSES: [u16; 2] = [429, 503];
/// Status that means that the entry is too large.
const TOO_LARGE_STATUS: u16 = 413;

/// Result of a read.
pub type Result<T> = std::result::Result<T, HttpError>;

/// Appends to and reads from the log. Appends and reads use separate connections.
#[derive(Clone)]
pub struct LogClient {
    address: SocketAddr,
    appends: HttpClient,
    reads: HttpClient,
}

impl LogClient {
    /// Creates a client of the log at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            appends: HttpClient::new(CONNECT_LIMIT),
            reads: HttpClient::new(CONNECT_LIMIT),
        }
    }

    /// Appends one entry. The outcome is `Unknown` unless the log gives a definite answer or the
    /// call was not sent.
    pub async fn append(&self, bytes: Vec<u8>) -> AppendOutcome {
        let call = HttpCall::post(self.address, LOG_APPEND_PATH).with_body(bytes);
        match self
            .appends
            .fetch(call, CallLimits::new(APPEND_LIMIT))
            .await
        {
            Ok((200, body)) => match serde_json::from_slice::<AppendReply>(&body) {
                Ok(reply) => AppendOutcome::Appended(reply.offset),
                Err(_) => AppendOutcome::Unknown,
            },
            Ok((TOO_LARGE_STATUS, _)) => AppendOutcome::TooLarge,
            Ok((status, _)) if REFUSED_STATUSES.contains(&status) => AppendOutcome::Refused,
            Ok(_) => AppendOutcome::Unknown,
            Err(e) if e.is_unsent() => AppendOutcome::Refused,
            Err(_) => AppendOutcome::Unknown,
        }
    }

    /// Reads entries from an offset on, waiting up to 2 s for the first.
    pub async fn follow(&self, from: LogOffset) -> Result<ReadReply> {
        self.read(from, READ_MAX, READ_WAIT).await
    }

    /// Reads entries from an offset on, without waiting.
    pub async fn read_now(&self, from: LogOffset, max: usize) -> Result<ReadReply> {
        self.read(from, max, Duration::ZERO).await
    }

    async fn read(&self, from: LogOffset, max: usize, wait: Duration) -> Result<ReadReply> {
        let wait_ms = wait.as_millis();
        let path = format!("{LOG_READ_PATH}?from={from}&max={max}&wait_ms={wait_ms}");
        let call = HttpCall::get(self.address, path);
        let limits = CallLimits::new(wait + READ_SLACK);
        self.reads.fetch_message(call, limits).await
    }
}
