//! Datagrams between instances about the limits on the requests of teams.

use serde::{Deserialize, Serialize};

use crate::id::TeamId;

/// What a counting member decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaReply {
    /// The request is within the limit, and counted.
    Granted,
    /// The request is over the limit.
    Exceeded {
        /// Time after which there may be room, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Content of a datagram about the requests of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks whether a request is within its team's limit.
    Take {
        /// Number of the question, counted by the sender.
        number: u64,
        /// The team.
        team: TeamId,
    },
    /// Replies to a question.
    Reply {
        /// Number of the question.
        number: u64,
        /// The decision.
        reply: QuotaReply,
        /// Whether the counting member has counted for a whole window.
        settled: bool,
        /// Recent usage by all instances, in percent of the limit's rate.
        load_percent: u32,
    },
    /// Returns a request that was granted and not run.
    Return {
        /// The team.
        team: TeamId,
    },
    /// Asks for a sign of life. Older versions can't read it and log it.
    Ping,
    /// Answers [`Ping`](Self::Ping).
    Pong,
}
