//! Keeps recent log entries and relays them to instances that cannot read the log.
//!
//! Entries keep their offsets and times, so that folding relayed entries gives the same state as
//! folding the log. A peer too far behind for the buffered entries fetches a snapshot of
//! configuration and plans instead.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::change_state::ChangeSnapshot;
use amaranth_net::answer;
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_net::clock::steady_ms;
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::{RawEntry, ReadReply};
use serde::{Deserialize, Serialize};
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};
use crate::follower;

/// Path of the relay: `GET`, `from` in the query, [`ReadReply`].
pub const PEER_LOG_PATH: &str = "/peer/log";
/// Path of the snapshot of configuration and plans: `GET`, [`ChangeSnapshot`].
pub const PEER_CHANGES_PATH: &str = "/peer/changes";
/// Most bytes of entries that are buffered for peers.
const BUFFER_BYTES: usize = 8 << 20;
/// Largest size of the entries in one answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Timeout of a query to a peer.
const PEER_LIMIT: Duration = Duration::from_millis(500);
/// Most peers that are asked before the log is tried again.
const MAX_PEERS: usize = 3;

#[derive(Debug, Default)]
struct RelayBuffer {
    entries: VecDeque<RawEntry>,
    bytes: usize,
    log_now_ms: u64,
    head_seen_ms: Option<u64>,
}

/// The most recently read entries.
#[derive(Debug, Default)]
pub struct LogRelay {
    buffer: Mutex<RelayBuffer>,
}

/// Entries that an instance relays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayReply {
    /// Milliseconds since the sender last saw the head of the log; `None` if it never did.
    pub head_age_ms: Option<u64>,
    /// The entries, with the offsets and times of the log.
    pub reply: ReadReply,
}

#[derive(Debug, Deserialize)]
struct RelayQuery {
    from: u64,
}

impl LogRelay {
    /// Keeps the entries of a read from the log or from a peer.
    pub fn record_read(&self, RelayReply { head_age_ms, reply }: &RelayReply) {
        let mut buffer = self.buffer.lock().expect("not poisoned");
        buffer.log_now_ms = buffer.log_now_ms.max(reply.now_ms);
        for entry in &reply.entries {
            buffer.push(entry);
        }
        let next = buffer.entries.back().map(|entry| entry.offset.next());
        if reply.entries.is_empty() || next >= Some(reply.head) {
            let seen_ms = head_age_ms.map(|age| steady_ms().saturating_sub(age));
            buffer.head_seen_ms = buffer.head_seen_ms.max(seen_ms);
        }
    }

    /// Milliseconds since the head of the log was last seen, directly or through a peer.
    pub fn log_age_ms(&self) -> Option<u64> {
        let buffer = self.buffer.lock().expect("not poisoned");
        let head_seen_ms = buffer.head_seen_ms?;
        Some(steady_ms().saturating_sub(head_seen_ms))
    }

    /// The buffered entries from an offset on; none if the first of them is no longer buffered.
    pub fn read(&self, from: LogOffset) -> RelayReply {
        let head_age_ms = self.log_age_ms();
        let buffer = self.buffer.lock().expect("not poisoned");
        let first = buffer.entries.front().map(|entry| entry.offset);
        let next = buffer.entries.back().map(|entry| entry.offset.next());
        let reaches = first.is_some_and(|first| first <= from);
        let skip = first.map_or(0, |first| from.0.saturating_sub(first.0) as usize);
        let mut bytes = 0;
        let wanted = buffer.entries.iter().skip(skip).take_while(|entry| {
            let fits = bytes == 0 || bytes + entry.bytes.len() <= ANSWER_BYTES;
            bytes += entry.bytes.len();
            reaches && fits
        });
        let reply = ReadReply {
            // Entries that this instance no longer keeps may still be on the log.
            oldest: LogOffset(0),
            head: next.unwrap_or_default(),
            now_ms: buffer.log_now_ms,
            entries: wanted.cloned().collect(),
        };
        RelayReply { head_age_ms, reply }
    }
}

impl RelayBuffer {
    fn push(&mut self, entry: &RawEntry) {
        let next = self.entries.back().map(|last| last.offset.next());
        if next.is_some_and(|next| entry.offset < next) {
            return;
        }
        if next.is_some_and(|next| entry.offset > next) {
            self.entries.clear();
            self.bytes = 0;
        }
        self.bytes += entry.bytes.len();
        self.entries.push_back(entry.clone());
        while self.bytes > BUFFER_BYTES {
            let dropped = self.entries.pop_front();
            self.bytes -= dropped.map_or(0, |entry| entry.bytes.len());
        }
    }
}

/// Handles a peer's query for recent entries.
pub async fn entries(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let query: RelayQuery = request.query()?;
    let reply = context.relay.read(LogOffset(query.from));
    Ok(answer::message_pack(&reply))
}

/// Handles a peer's query for the snapshot of configuration and plans.
pub async fn changes(context: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    let snapshot = context.state.changes().snapshot();
    match snapshot {
        Some(snapshot) => Ok(answer::json(200, &snapshot)),
        None => {
            let message = "the state of this instance is not complete";
            Err(CallError::new(ErrorKind::NotReady, message))
        }
    }
}

/// Fetches entries, or else a snapshot, from peers until one had something new.
pub async fn catch_up(context: &InstanceContext) {
    for (_, address) in context.members.peer_addresses(context, MAX_PEERS) {
        if catch_up_from(context, address).await {
            return;
        }
    }
}

/// Fetches from one peer. Returns whether it had something new.
async fn catch_up_from(context: &InstanceContext, address: SocketAddr) -> bool {
    let from = context.state.folded();
    let limits = CallLimits::new(PEER_LIMIT);
    let call = HttpCall::get(address, format!("{PEER_LOG_PATH}?from={from}"));
    let fetched = context.client.fetch_message::<RelayReply>(call, limits);
    let Ok(relayed) = fetched.await else {
        return false;
    };
    let reply = &relayed.reply;
    if reply.head <= from {
        return false;
    }
    if !reply.entries.is_empty() {
        metrics::counter!("amaranth_log_relayed_entries_total")
            .increment(reply.entries.len() as u64);
        follower::fold_reply(context, &relayed);
        return true;
    }
    let call = HttpCall::get(address, PEER_CHANGES_PATH);
    let snapshot = context.client.fetch_json::<ChangeSnapshot>(call, limits);
    match snapshot.await {
        Ok(snapshot) => context.state.install_changes(snapshot),
        Err(_) => false,
    }
}
