//! Registry of this instance's online requests: those in progress, and the events of recent ones
//! for the operator's `explain` query.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

use amaranth_kernel::language::query::QueryRow;
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{InstanceId, TeamId, TierId, UpstreamId};
use serde_json::{Value, json};

use crate::accept::OnlineRequest;

/// Number of ended requests that are retained.
const ENDED_LIMIT: usize = 1_024;
/// Number of events that are retained per request.
const EVENT_LIMIT: usize = 32;

/// Phase of an online request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPhase {
    /// Waiting for room at an upstream.
    Waiting,
    /// Sent to an upstream.
    Running,
    /// Ended, with any outcome.
    Ended,
}

impl fmt::Display for RequestPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Ended => "ended",
        })
    }
}

#[derive(Debug, Clone)]
struct RequestEntry {
    id: String,
    tier: TierId,
    team: TeamId,
    phase: RequestPhase,
    upstream: Option<UpstreamId>,
    arrived_ms: u64,
    events: Vec<(u64, String)>,
}

#[derive(Debug, Default)]
struct RegistryState {
    next: u64,
    in_progress: HashMap<u64, RequestEntry>,
    ended: VecDeque<RequestEntry>,
}

/// Shared registry of the requests of one instance; clones share their contents.
#[derive(Debug, Clone, Default)]
pub struct RequestRegistry {
    state: Arc<Mutex<RegistryState>>,
}

/// Handle that records the events of one request. Dropping it marks the request as ended.
#[derive(Debug)]
pub struct RequestHandle {
    registry: RequestRegistry,
    number: u64,
}

impl RequestRegistry {
    fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().expect("not poisoned")
    }

    /// Registers an accepted request. A request without an idempotency key gets a random id.
    pub fn register(&self, request: &OnlineRequest) -> RequestHandle {
        let random = || format!("req-{:016x}", rand::random::<u64>());
        let key = request.key.as_ref().map(|key| key.to_string());
        let entry = RequestEntry {
            id: key.unwrap_or_else(random),
            tier: request.tier.name.clone(),
            team: request.team.clone(),
            phase: RequestPhase::Waiting,
            upstream: None,
            arrived_ms: request.arrived_ms,
            events: Vec::new(),
        };
        let mut state = self.state();
        let number = state.next;
        state.next += 1;
        state.in_progress.insert(number, entry);
        RequestHandle {
            registry: self.clone(),
            number,
        }
    }

    /// One query row for each request in progress.
    pub fn rows(&self, instance: &InstanceId) -> Vec<QueryRow> {
        let state = self.state();
        let rows = state.in_progress.values().map(|entry| entry.row(instance));
        rows.collect()
    }

    /// Rows with the events of all requests with this id, including ended ones.
    pub fn explain(&self, instance: &InstanceId, id: &str) -> Vec<QueryRow> {
        let state = self.state();
        let all = state.ended.iter().chain(state.in_progress.values());
        let found = all.filter(|entry| entry.id == id);
        let rows = found.map(|entry| {
            let mut row = entry.row(instance);
            let events = entry.events.iter().map(|(at_ms, text)| {
                let after_ms = at_ms.saturating_sub(entry.arrived_ms);
                json!({"after_ms": after_ms, "event": text})
            });
            row.insert("events".to_owned(), events.collect());
            row
        });
        rows.collect()
    }
}

impl RequestEntry {
    fn row(&self, instance: &InstanceId) -> QueryRow {
        let row = json!({
            "instance": instance,
            "request": self.id,
            "tier": self.tier,
            "team": self.team,
            "state": self.phase.to_string(),
            "upstream": self.upstream,
            "age_ms": steady_ms().saturating_sub(self.arrived_ms),
        });
        match row {
            Value::Object(row) => row,
            _ => QueryRow::new(),
        }
    }

    fn record_event(&mut self, event: String) {
        if self.events.len() < EVENT_LIMIT {
            self.events.push((steady_ms(), event));
        }
    }
}

impl RequestHandle {
    fn with_entry(&self, update: impl FnOnce(&mut RequestEntry)) {
        if let Some(entry) = self.registry.state().in_progress.get_mut(&self.number) {
            update(entry);
        }
    }

    /// Records that the request was sent to an upstream.
    pub fn record_sent(&self, upstream: &UpstreamId) {
        self.with_entry(|entry| {
            entry.phase = RequestPhase::Running;
            entry.upstream = Some(upstream.clone());
            entry.record_event(format!("sent to {upstream}"));
        });
    }

    /// Records an event.
    pub fn record_event(&self, event: String) {
        self.with_entry(|entry| entry.record_event(event));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let mut state = self.registry.state();
        let Some(mut entry) = state.in_progress.remove(&self.number) else {
            return;
        };
        entry.phase = RequestPhase::Ended;
        state.ended.push_back(entry);
        if state.ended.len() > ENDED_LIMIT {
            state.ended.pop_front();
        }
    }
}
