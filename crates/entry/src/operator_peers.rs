//! Queries between instances, and the time at which each peer last answered one.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::language::query::QueryRow;
use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, read_json};
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_net::clock::unix_ms;
use amaranth_net::route::RouteRequest;
use amaranth_wire::id::{ConfigRevision, InstanceId, LogOffset};
use futures_util::StreamExt;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};
use crate::membership::MemberTable;
use crate::operator_rows;

/// Path of peer queries: `POST`, [`PeerQuery`]; the answer is a [`PeerRows`].
pub const PEER_ROWS_PATH: &str = "/peer/rows";
/// Timeout for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent queries to peers.
const MAX_CONCURRENT_QUERIES: usize = 64;
const QUERY_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(2),
};

/// Request body of a query to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerQuery {
    /// Table whose rows are requested; `None` requests only the peer's offsets and revision.
    pub table: Option<String>,
    /// If set, requests the decisions on requests with this id, ended ones included, instead of
    /// the table's rows.
    #[serde(default)]
    pub request: Option<String>,
}

impl PeerQuery {
    /// Queries the rows of a table.
    pub fn new(table: impl Into<String>) -> Self {
        Self {
            table: Some(table.into()),
            request: None,
        }
    }

    /// Queries only the peer's offsets and revision.
    pub fn progress() -> Self {
        Self {
            table: None,
            request: None,
        }
    }

    /// Restricts the query to requests with this id.
    pub fn with_request(mut self, id: impl Into<String>) -> Self {
        self.request = Some(id.into());
        self
    }
}

/// Answer of an instance to a query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerRows {
    /// The answering instance.
    pub instance: InstanceId,
    /// Next offset that it will fold.
    pub folded: LogOffset,
    /// Every entry before this offset is in force on that instance.
    pub covered: LogOffset,
    /// Configuration revision in force on that instance.
    pub revision: ConfigRevision,
    /// Rows of the queried table or request.
    pub rows: Vec<QueryRow>,
}

/// An instance that did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentInstance {
    /// The instance.
    pub instance: InstanceId,
    /// When it last answered the instance that asked, Unix milliseconds; `None` if never.
    pub last_heard_ms: Option<u64>,
    /// Why it did not answer.
    pub reason: String,
}

/// Answers of all queried instances, both lists sorted by instance.
#[derive(Debug, Clone, Default)]
pub struct PeerAnswers {
    /// Answers received, including this instance's own.
    pub answered: Vec<PeerRows>,
    /// Instances that did not answer.
    pub silent: Vec<SilentInstance>,
}

/// Times at which each peer last answered a query, Unix milliseconds.
#[derive(Debug, Default)]
pub struct PeerContacts {
    last_contacts: Mutex<HashMap<InstanceId, u64>>,
}

impl PeerContacts {
    /// Records a contact with an instance at the current time.
    pub fn record_contact(&self, instance: &InstanceId) {
        let mut last_contacts = self.last_contacts.lock().expect("not poisoned");
        last_contacts.insert(instance.clone(), unix_ms());
    }

    /// Time of the last contact, Unix milliseconds; `None` if there was none since the start.
    pub fn last_heard_ms(&self, instance: &InstanceId) -> Option<u64> {
        let last_contacts = self.last_contacts.lock().expect("not poisoned");
        last_contacts.get(instance).copied()
    }
}

impl MemberTable {
    /// Up to `max` other instances with known addresses, in random order.
    pub fn peer_addresses(
        &self,
        context: &InstanceContext,
        max: usize,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let mut peers: Vec<_> = known_peers(context).into_iter().collect();
        peers.sort_by_cached_key(|_| rand::random::<u64>());
        let with_address =
            |(name, address): (InstanceId, Option<SocketAddr>)| Some((name, address?));
        peers
            .into_iter()
            .filter_map(with_address)
            .take(max)
            .collect()
    }
}

/// Every other instance in the settings or on the platform's list, with its address if known. The
/// list takes precedence; port 0 in the settings means unknown.
fn known_peers(context: &InstanceContext) -> BTreeMap<InstanceId, Option<SocketAddr>> {
    let own_name = &context.config.instance;
    let settings = context.config.fleet.instances.iter();
    let mut peers: BTreeMap<_, _> = settings
        .map(|row| {
            let configured = (row.listen.port() != 0).then_some(row.listen);
            (row.name.clone(), configured)
        })
        .collect();
    for row in context.members.all() {
        let address = row.address.parse().ok();
        peers.insert(row.instance, address);
    }
    peers.remove(own_name);
    peers
}

/// Answers a query from this instance's own state.
pub fn local_rows(context: &InstanceContext, query: &PeerQuery) -> PeerRows {
    let table = query.table.as_deref();
    let rows = match &query.request {
        Some(id) => context.requests.explain(&context.config.instance, id),
        None => table.map_or_else(Vec::new, |table| operator_rows::rows(context, table)),
    };
    let changes = context.state.changes();
    PeerRows {
        instance: context.config.instance.clone(),
        folded: context.state.folded(),
        covered: changes.covered(),
        revision: changes.core().config.revision(),
        rows,
    }
}

/// Handles a query of a peer.
pub async fn answer_query(
    context: Arc<InstanceContext>,
    request: RouteRequest,
) -> Result<Response> {
    let query: PeerQuery = read_json(request.into_body(), QUERY_LIMITS).await?;
    Ok(answer::message_pack(&local_rows(&context, &query)))
}

/// Queries every instance concurrently, including this one.
pub async fn query_all(context: &InstanceContext, query: &PeerQuery) -> PeerAnswers {
    let peers = known_peers(context);
    query_peers(context, query, peers).await
}

/// Queries the named instances, and always this one.
pub async fn query_some(
    context: &InstanceContext,
    query: &PeerQuery,
    names: &BTreeSet<InstanceId>,
) -> PeerAnswers {
    let mut peers = known_peers(context);
    peers.retain(|name, _| names.contains(name));
    query_peers(context, query, peers).await
}

/// Queries the given peers and merges their answers with this instance's own.
async fn query_peers(
    context: &InstanceContext,
    query: &PeerQuery,
    peers: BTreeMap<InstanceId, Option<SocketAddr>>,
) -> PeerAnswers {
    let mut answers = PeerAnswers {
        answered: vec![local_rows(context, query)],
        silent: Vec::new(),
    };
    let calls = peers.into_iter().map(|(name, address)| async move {
        let answer = query_peer(context, query, &name, address).await;
        (name, answer)
    });
    let mut calls = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_QUERIES);
    while let Some((instance, answer)) = calls.next().await {
        match answer {
            Ok(rows) => answers.answered.push(rows),
            Err(reason) => answers.silent.push(SilentInstance {
                last_heard_ms: context.peer_contacts.last_heard_ms(&instance),
                instance,
                reason,
            }),
        }
    }
    answers.answered.sort_by(|a, b| a.instance.cmp(&b.instance));
    answers.silent.sort_by(|a, b| a.instance.cmp(&b.instance));
    answers
}

/// Queries one peer and checks that the answer comes from the expected instance.
async fn query_peer(
    context: &InstanceContext,
    query: &PeerQuery,
    name: &InstanceId,
    address: Option<SocketAddr>,
) -> std::result::Result<PeerRows, String> {
    let address = address.ok_or("not on the platform's list")?;
    let body = serde_json::to_vec(query).expect("queries always encode");
    let call = HttpCall::post(address, PEER_ROWS_PATH).with_body(body);
    let limits = CallLimits::new(PEER_TIMEOUT);
    let rows: PeerRows = match context.client.fetch_message(call, limits).await {
        Ok(rows) => rows,
        Err(e) => return Err(e.to_string()),
    };
    context.peer_contacts.record_contact(&rows.instance);
    match rows.instance == *name {
        true => Ok(rows),
        false => Err(format!("{} answers at its address", rows.instance)),
    }
}
