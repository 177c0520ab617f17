//! Datagrams between instances about the placement of requests on upstreams.

use serde::{Deserialize, Serialize};

use crate::id::{PromptPartId, TeamId, UpstreamGroupId, UpstreamId};
use crate::peer_message::PeerMessage;
use crate::quarantine_message::QuarantineMessage;
use crate::quota_message::QuotaMessage;

/// Requests that one instance has in flight at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCount {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
    /// Typical service time of an online request there, in milliseconds; 0 if unknown.
    pub service_ms: u32,
    /// How long work takes there at the moment, as last reported; not sent for upstreams that don't
    /// report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<SpeedReport>,
}

/// How long work takes at an upstream at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Time that work takes, in percent of what is usual there.
    pub percent: u32,
    /// Milliseconds since the upstream reported it.
    pub age_ms: u32,
}

/// All requests that one instance has in flight.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCounts {
    /// Counts by upstream, without those that have none and whose speed is usual or unknown.
    pub rows: Vec<InFlightCount>,
    /// Number of the instance's next placement request.
    #[serde(rename = "next_question")]
    pub next_request: u64,
    /// Numbers of earlier placement requests that are not counted in `rows` yet.
    #[serde(rename = "open_questions")]
    pub open_requests: Vec<u64>,
    /// What is known of the prompts of the requests; not sent if nothing is, as older versions can't read
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompts: Option<PromptReport>,
}

/// What an instance tells of the prompts of its requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptReport {
    /// Tokens of the requests in flight, of the upstream of each row of the counts.
    pub tokens: Vec<u64>,
    /// Times to first events since the last report.
    pub first_events: Vec<FirstEventSample>,
}

/// Time to the first event of a request that found a free slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstEventSample {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Tokens that were expected to need prefill.
    pub uncached_tokens: u32,
    /// Microseconds from the placement to the first event.
    pub first_event_us: u32,
}

impl InFlightCounts {
    /// Returns whether the slot that was granted for a placement request is counted in `rows` or
    /// was released again.
    pub fn covers(&self, request: u64) -> bool {
        request < self.next_request && !self.open_requests.contains(&request)
    }
}

/// Asks for an upstream to which a request can be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Member name of the requesting instance.
    pub member: String,
    /// Number of this placement request, counted by the member.
    pub number: u64,
    /// Kind of work to place.
    pub demand: PlacementDemand,
    /// Whose work it is and how large. Not sent if nothing of it is known, as older versions can't read
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<RequestWork>,
}

/// Whose work a request is, and how large.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestWork {
    /// Team of the caller; `None` if it has none.
    pub team: Option<TeamId>,
    /// Rank of the request, 0 for the most urgent.
    pub priority: u32,
    /// Size and parts of its prompt.
    pub prompt: PromptShape,
}

impl RequestWork {
    /// The work of a request that was sent before. It isn't charged to its team again, and competes as the
    /// most urgent request without a team, as refusing it would waste the work done.
    pub fn into_repeated(self) -> Self {
        Self {
            team: None,
            priority: 0,
            ..self
        }
    }
}

/// Size and parts of a request's prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// Parts that other requests may have, too, in their order.
    pub shared: Vec<PromptPart>,
    /// The last part, which belongs to the request or its session.
    pub own: Option<PromptPart>,
    /// Tokens of the whole prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// Most tokens of the answer; 0 if unknown.
    pub output_tokens: u32,
}

impl PromptShape {
    /// Ids of the parts that other requests may have, too, in their order.
    pub fn shared_ids(&self) -> Vec<PromptPartId> {
        self.shared.iter().map(|part| part.id.clone()).collect()
    }

    /// Tokens that the request takes at most, as far as they are stated.
    pub fn total_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Name of the part.
    pub id: PromptPartId,
    /// Its size.
    pub tokens: u32,
}

/// Kind of work to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementDemand {
    /// An online request, whose first event or response has a time objective.
    Online {
        /// Time left until the objective, in milliseconds.
        objective_ms: u64,
    },
    /// A batch item, which can wait.
    Batch,
}

/// Reply to a placement request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlacementReply {
    /// A slot was granted at this upstream.
    Granted {
        /// The upstream.
        upstream: UpstreamId,
        /// Load of the upstream without this request, in requests.
        load: f64,
        /// What is expected of the request's prompt there; only sent for requests that state theirs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected: Option<ExpectedStart>,
    },
    /// No upstream would serve the request in time.
    Refused {
        /// Estimated time until a slot is available, in milliseconds.
        retry_after_ms: u64,
    },
    /// No eligible upstream is known.
    NoUpstream,
}

/// What an allocator expects of a request's prompt at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedStart {
    /// Tokens that are held there and need no prefill.
    pub kept_tokens: u32,
    /// Tokens that need prefill.
    pub uncached_tokens: u32,
    /// Microseconds of prefill that the held tokens save; 0 while the rate is unknown.
    pub saved_us: u32,
    /// Microseconds until the first event; 0 while the rate is unknown.
    pub first_event_us: u32,
    /// Time that work takes there at the moment, in percent of what is usual.
    pub speed_percent: u32,
}

/// An upstream that is leaving, identified by its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it started, in milliseconds of Unix time.
    pub started_ms: u64,
}

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// Reports all in-flight requests of an instance; replaces its earlier report.
    Counts {
        /// Member name of the reporting instance.
        member: String,
        /// Sequence number, which increases with each report of the member.
        sequence: u64,
        /// In-flight requests by upstream.
        counts: InFlightCounts,
    },
    /// Requests an upstream for an online request or a batch item.
    #[serde(rename = "Ask")]
    Request {
        /// Requesting instance and kind of work.
        #[serde(rename = "question")]
        request: PlacementRequest,
        /// Group whose upstreams can take the request.
        group: UpstreamGroupId,
        /// Upstreams of the group that must not be chosen.
        excluded: Vec<UpstreamId>,
    },
    /// Replies to a placement request.
    Reply {
        /// Number of the placement request.
        number: u64,
        /// Result of the placement.
        reply: PlacementReply,
    },
    /// Asks the receiver to preempt one of its batch items at this upstream.
    #[serde(rename = "GiveWay")]
    Preempt {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// About prompts that crash upstreams.
    Quarantine(QuarantineMessage),
    /// Upstreams that told the sender in an answer that they leave.
    Leaving(Vec<LeavingUpstream>),
    /// About state that instances copy from each other.
    Peer(PeerMessage),
    /// About the requests of a team. Not sent without a limit, as older versions can't read it.
    Quota(QuotaMessage),
}

/// Result of decoding a datagram.
pub type Result<T> = std::result::Result<T, rmp_serde::decode::Error>;

impl PlacementMessage {
    /// Decodes a datagram from MessagePack.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the message as a datagram in MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("messages hold no maps or unknown lengths")
    }
}
