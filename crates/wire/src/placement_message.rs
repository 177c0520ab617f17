//! Datagrams between instances about places at upstreams.

use serde::{Deserialize, Serialize};

use crate::id::{UpstreamGroupId, UpstreamId};

/// What one instance has in flight at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCount {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
    /// Time that a usual online request takes there, in milliseconds; 0 where it is not known.
    pub service_ms: u32,
}

/// All that one instance has in flight.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightCounts {
    /// By upstream, without zeros.
    pub rows: Vec<InFlightCount>,
    /// Number of its next question.
    pub next_question: u64,
    /// Earlier questions whose places are not among the rows yet.
    pub open_questions: Vec<u64>,
}

impl InFlightCounts {
    /// Whether a place that was granted for a question is among the rows, or was given back.
    pub fn covers(&self, question: u64) -> bool {
        question < self.next_question && !self.open_questions.contains(&question)
    }
}

/// Who asks for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The instance's member name.
    pub member: String,
    /// Number of the question among this member's.
    pub number: u64,
    /// What for.
    pub demand: PlacementDemand,
}

/// What a place is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementDemand {
    /// A request whose first event or answer is due after so many milliseconds.
    Online {
        /// What is left of its objective, in milliseconds.
        objective_ms: u64,
    },
    /// A batch item, which can wait.
    Batch,
}

/// The answer to an instance that asks for a place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlacementReply {
    /// A place at this upstream.
    Granted {
        /// The upstream.
        upstream: UpstreamId,
        /// Its load in requests before this one.
        load: f64,
    },
    /// No place that would serve it in time.
    Refused {
        /// When there should be one, in milliseconds.
        retry_after_ms: u64,
    },
    /// No upstream is known that may get it.
    NoUpstream,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// All that an instance has in flight; replaces what it said before.
    Counts {
        /// The instance's member name.
        member: String,
        /// Grows with each message of a member.
        sequence: u64,
        /// What it has in flight.
        counts: InFlightCounts,
    },
    /// Asks for a place.
    Ask {
        /// The question.
        question: PlacementRequest,
        /// The group.
        group: UpstreamGroupId,
        /// Upstreams that it may not be.
        excluded: Vec<UpstreamId>,
    },
    /// Answers a question.
    Reply {
        /// Number of the question.
        number: u64,
        /// The answer.
        reply: PlacementReply,
    },
    /// Asks the receiver to let a batch item at this upstream give way.
    GiveWay {
        /// The upstream.
        upstream: UpstreamId,
    },
}

/// Result of reading a datagram.
pub type Result<T> = std::result::Result<T, rmp_serde::decode::Error>;

impl PlacementMessage {
    /// Reads a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes)
    }

    /// The message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("messages hold no maps or unknown lengths")
    }
}
