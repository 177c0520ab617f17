//! Calls of callers and answers of upstreams, independent of the protocol. An adapter supplies the
//! functions that decode and encode its protocol.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_kernel::route_table::RouteTable;
use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_wire::batch_entry::{ItemRequest, SubmittedItem, total_tokens};
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::{ItemId, JobId, RequestId, UpstreamId};
use amaranth_wire::key_digest::KeyDigest;
use amaranth_wire::placement_message::PromptShape;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, StatusCode};

/// Metadata of a call to forward, read from its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallMetadata {
    /// Request id; a caller uses a new one for each of its attempts.
    pub request: RequestId,
    /// How long the caller waits for the answer, in milliseconds; `None` if it doesn't say.
    pub caller_timeout_ms: Option<u64>,
}

/// Whether the work of a call may have begun. It is in the call's extensions, so that whoever cuts the call
/// off knows what the answer may claim.
#[derive(Debug, Clone, Default)]
pub struct CallProgress {
    may_have_run: Arc<AtomicBool>,
}

impl CallProgress {
    /// Creates the progress of a call whose work has not begun.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream or the store is about to get the work.
    pub fn record_run(&self) {
        self.may_have_run.store(true, Ordering::Release);
    }

    /// Whether the work may have begun.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Acquire)
    }
}

/// A call, decoded from its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerCall {
    /// A request to forward or a batch job to accept, depending on its route.
    Forward(CallMetadata),
    /// Reads a page of a job's results.
    ReadJob {
        /// Id of the job.
        job: JobId,
        /// Position of the first result.
        after: usize,
        /// Longest time to wait for a result before answering.
        wait: Duration,
    },
    /// Reads the body of an item.
    ReadItem {
        /// Id of the job.
        job: JobId,
        /// Id of the item.
        item: ItemId,
    },
    /// Ends a job.
    EndJob {
        /// Id of the job.
        job: JobId,
    },
    /// Not a valid call, with the reason.
    Malformed(String),
}

/// Key that a call carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKey {
    /// None.
    Missing,
    /// Something that isn't a key.
    Malformed,
    /// A key with this digest.
    Present(KeyDigest),
}

/// A page of a job's results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result of the page, where the next one begins.
    pub next: usize,
    /// Results with the ids of their items.
    pub results: Vec<(ItemId, ItemOutcome)>,
}

/// Outcome of an item, as shown to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemOutcome {
    /// Ended with its complete output.
    Succeeded(String),
    /// Ended without a complete output.
    Errored,
}

/// The items of a job and their requests, in the same order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemList {
    /// Items in the order of submission.
    pub items: Vec<SubmittedItem>,
    /// Request of each item.
    pub requests: Vec<ItemRequest>,
}

impl ItemList {
    /// Tokens of all items.
    pub fn tokens(&self) -> u64 {
        total_tokens(&self.items)
    }
}

/// Decodes calls and encodes answers.
#[derive(Debug, Clone, Copy)]
pub struct CallerCodec {
    /// Decodes a call from its head.
    pub read_call: fn(&Parts) -> CallerCall,
    /// Reads the caller's key from a call's headers.
    pub read_key: fn(&HeaderMap) -> CallerKey,
    /// Decodes the items of a job from its body; an error gives the reason.
    pub read_items: fn(&Bytes) -> std::result::Result<ItemList, String>,
    /// Encodes a page of results.
    pub write_page: fn(&ResultPage) -> Bytes,
    /// Limit on the results of a page, in bytes.
    pub page_bytes: usize,
}

/// Metadata sent to an upstream with an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// Id of the request or item.
    pub request: &'a str,
    /// Upstream that is expected to answer.
    pub upstream: &'a UpstreamId,
    /// Remaining time until the deadline; `None` for work without one.
    pub remaining: Option<Duration>,
    /// Id of the last event already received, when a stream is resumed.
    pub resume_after: Option<u64>,
    /// Who sent it. If callers are checked, the upstream learns the team and never the key.
    pub caller: &'a CallerIdentity,
}

/// Load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Time that work takes there at the moment, in percent of what is usual; `None` if not reported.
    pub speed_percent: Option<u32>,
}

/// Metadata read from the head of an upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Id of the request that it answers; `None` if it names none.
    pub request: Option<String>,
    /// Whether the upstream states that the request didn't run.
    pub not_run: bool,
    /// Whether the process at the address isn't the expected upstream.
    pub wrong_upstream: bool,
    /// Whether the upstream says that it leaves and is to get no more requests.
    pub leaving: bool,
    /// Load of the upstream, if reported.
    pub load: Option<LoadReport>,
}

/// Encodes the metadata of attempts and decodes that of answers.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCodec {
    /// Writes an attempt's metadata into its headers.
    pub write_metadata: fn(&mut HeaderMap, &AttemptMetadata<'_>),
    /// Reads the metadata from the head of an answer.
    pub read_answer: fn(StatusCode, &HeaderMap) -> AnswerMetadata,
    /// Reads the size and the parts of a request's prompt.
    pub read_prompt: fn(&HeaderMap) -> PromptShape,
}

/// An upstream's id with its announcement.
pub type NamedNotice = (UpstreamId, UpstreamNotice);

/// Functions that decode and encode an adapter's protocol.
#[derive(Clone, Copy)]
pub struct ProtocolCodecs {
    /// Codec of the callers' protocol.
    pub caller: CallerCodec,
    /// Codec of the upstreams' protocol.
    pub upstream: UpstreamCodec,
    /// Decodes a configuration entry from its key and value; `None` for keys of other entries.
    pub read_configuration: fn(&str, &[u8]) -> std::result::Result<Option<RouteTable>, String>,
    /// Decodes an upstream's announcement from its key and value.
    pub read_notice: fn(&str, &[u8]) -> std::result::Result<NamedNotice, String>,
}
