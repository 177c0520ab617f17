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

/// Path of questions to a peer: `POST`, [`PeerQuestion`]; the answer is a [`PeerRows`].
pub const PEER_ROWS_PATH: &str = "/peer/rows";
/// Longest wait for a peer.
const PEER_LIMIT: Duration = Duration::from_secs(2);
/// Peers that are asked at once.
const ASKED_AT_ONCE: usize = 64;
const QUESTION_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(2),
};

/// A question to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerQuestion {
    /// The table whose rows are wanted; `None` asks only how far the peer is.
    pub table: Option<String>,
    /// Only what was decided on the requests of this id, ended ones included.
    #[serde(default)]
    pub request: Option<String>,
}

impl PeerQuestion {
    /// Asks for the rows of a table.
    pub fn new(table: impl Into<String>) -> Self {
        Self {
            table: Some(table.into()),
            request: None,
        }
    }

    /// Asks only how far the peer is.
    pub fn progress() -> Self {
        Self {
            table: None,
            request: None,
        }
    }

    /// Asks for the requests of one id instead.
    pub fn with_request(mut self, id: impl Into<String>) -> Self {
        self.request = Some(id.into());
        self
    }
}

/// A peer's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerRows {
    /// The peer.
    pub instance: InstanceId,
    /// The next offset that it will fold.
    pub folded: LogOffset,
    /// Every entry before this offset is in force there.
    pub covered: LogOffset,
    /// The configuration revision in force there.
    pub revision: ConfigRevision,
    /// Its rows of the table.
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

/// What the instances answered.
#[derive(Debug, Clone, Default)]
pub struct PeerAnswers {
    /// Those that answered, this one included.
    pub answered: Vec<PeerRows>,
    /// Those that did not.
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
    /// Addresses of some other instances, in random order.
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

/// Every other instance of the settings and the list, with its address where one is known.
fn known_peers(context: &InstanceContext) -> BTreeMap<InstanceId, Option<SocketAddr>> {
    let me = &context.config.instance;
    let settings = context.config.fleet.instances.iter();
    let mut peers: BTreeMap<_, _> = settings
        .map(|row| {
            let fixed = (row.listen.port() != 0).then_some(row.listen);
            (row.name.clone(), fixed)
        })
        .collect();
    for row in context.members.all() {
        let address = row.address.parse().ok();
        peers.insert(row.instance, address);
    }
    peers.remove(me);
    peers
}

/// What this instance answers itself.
pub fn own_rows(context: &InstanceContext, question: &PeerQuestion) -> PeerRows {
    let table = question.table.as_deref();
    let rows = match &question.request {
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

/// Handles a question of a peer.
pub async fn answer_question(
    context: Arc<InstanceContext>,
    request: RouteRequest,
) -> Result<Response> {
    let question: PeerQuestion = read_json(request.into_body(), QUESTION_LIMITS).await?;
    Ok(answer::message_pack(&own_rows(&context, &question)))
}

/// Asks every instance.
pub async fn ask_all(context: &InstanceContext, question: &PeerQuestion) -> PeerAnswers {
    let peers = known_peers(context);
    ask(context, question, peers).await
}

/// Asks some instances again.
pub async fn ask_some(
    context: &InstanceContext,
    question: &PeerQuestion,
    names: &BTreeSet<InstanceId>,
) -> PeerAnswers {
    let mut peers = known_peers(context);
    peers.retain(|name, _| names.contains(name));
    ask(context, question, peers).await
}

async fn ask(
    context: &InstanceContext,
    question: &PeerQuestion,
    peers: BTreeMap<InstanceId, Option<SocketAddr>>,
) -> PeerAnswers {
    let mut answers = PeerAnswers {
        answered: vec![own_rows(context, question)],
        silent: Vec::new(),
    };
    let calls = peers.into_iter().map(|(name, address)| async move {
        let answer = ask_one(context, question, &name, address).await;
        (name, answer)
    });
    let mut calls = stream::iter(calls).buffer_unordered(ASKED_AT_ONCE);
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

async fn ask_one(
    context: &InstanceContext,
    question: &PeerQuestion,
    name: &InstanceId,
    address: Option<SocketAddr>,
) -> std::result::Result<PeerRows, String> {
    let address = address.ok_or("not on the platform's list")?;
    let body = serde_json::to_vec(question).expect("questions always encode");
    let call = HttpCall::post(address, PEER_ROWS_PATH).with_body(body);
    let limits = CallLimits::new(PEER_LIMIT);
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
