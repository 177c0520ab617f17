//! Messages between instances about parts of prompts that crash upstreams, and the rules that they
//! agree on.

use serde::{Deserialize, Serialize};

use crate::id::{PromptPartId, RequestId, UpstreamId};

/// A request whose upstream crashed before an event of its answer arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// Upstream that crashed.
    pub upstream: UpstreamId,
    /// Id of the request.
    pub request: RequestId,
    /// Shared parts of its prompt that the reporter has not seen answered of late.
    pub parts: Vec<PromptPartId>,
    /// Whether the head of the answer had arrived. Otherwise the request may have been waiting while
    /// another one crashed the upstream.
    pub begun: bool,
    /// Time from sending the request until this report, in milliseconds; 0 in reports of older versions.
    #[serde(default)]
    pub age_ms: u64,
}

/// Refuses requests whose prompts have all of some parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRule {
    /// The parts, sorted. They are several while no request shows which of them is to blame.
    pub parts: Vec<PromptPartId>,
    /// When the rule expires, in milliseconds of Unix time.
    pub until_ms: u64,
    /// The last test whether the parts still crash upstreams. Members of former versions send none, and
    /// can't decode it in a datagram.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub test: Option<RuleTest>,
    /// An answer to a request with the parts refutes the rule from this time on, in milliseconds of Unix
    /// time; `None` in rules of older versions. Datagrams don't carry it, as older versions can't decode it
    /// there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refuted_from_ms: Option<u64>,
}

/// When an upstream last answered a request with a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The part.
    pub part: PromptPartId,
    /// Time since the answer, in milliseconds.
    pub age_ms: u64,
}

/// Lets one request or item through that a rule refuses. Of several with the same number, the first on
/// the log counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleTest {
    /// Number of the test, counted from 1 for each rule.
    pub number: u32,
    /// Tests of the rule that may have run, with this one.
    pub spent: u32,
    /// When the test was granted, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Name of the member that may run it.
    pub member: String,
    /// Whether that member has given it back unused.
    pub returned: bool,
}

impl QuarantineRule {
    /// The rule as datagrams carry it.
    pub fn for_datagram(&self) -> Self {
        Self {
            refuted_from_ms: None,
            ..self.clone()
        }
    }

    /// Whether the rule refuses requests whose prompts have these parts. A rule without parts refuses
    /// none.
    pub fn matches(&self, parts: &[PromptPartId]) -> bool {
        !self.parts.is_empty() && self.parts.iter().all(|part| parts.contains(part))
    }
}

/// Result of decoding a rule.
pub type Result<T> = std::result::Result<T, rmp_serde::decode::Error>;

impl QuarantineRule {
    /// Decodes a rule from MessagePack.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes)
    }

    /// Encodes the rule in MessagePack, with names.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("rules hold no maps or unknown lengths")
    }
}

/// Content of a datagram about quarantined prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// Reports a lost request to the instances that judge.
    Lost(LossReport),
    /// Asks which of these parts upstreams have answered.
    Accused(Vec<PromptPartId>),
    /// Says that upstreams have answered requests with these parts of late.
    #[serde(rename = "Survived")]
    Answered(Vec<PromptPartId>),
    /// Says when upstreams answered requests with parts, if that was longer ago. Older versions can't read it
    /// and log it.
    AnsweredEarlier(Vec<PartAnswer>),
    /// Puts a rule in force.
    InForce(QuarantineRule),
    /// Tells the instances that judge from when on an answer refutes a rule. Older versions can't read it and
    /// log it.
    RefutedFrom {
        /// Parts of the rule.
        parts: Vec<PromptPartId>,
        /// Milliseconds of Unix time.
        unix_ms: u64,
    },
    /// Ends the rule with these parts.
    Ended(Vec<PromptPartId>),
    /// Asks for a test of the rule with these parts, as a request or an item waits for its end.
    TestWanted {
        /// Parts of the rule.
        parts: Vec<PromptPartId>,
        /// Name of the member that asks.
        member: String,
    },
}
