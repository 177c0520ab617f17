//! What callers ask and what upstreams answer, in the core's own terms. An adapter supplies the
//! functions that read and write its protocol.

use std::time::Duration;

use amaranth_kernel::route_table::RouteTable;
use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_wire::batch_entry::SubmittedItem;
use amaranth_wire::id::{ItemId, JobId, RequestId, UpstreamId};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, StatusCode};

/// What a forwarded request says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallMarks {
    /// Its id; each attempt of a caller has its own.
    pub request: RequestId,
    /// How long its caller waits, in milliseconds.
    pub patience_ms: Option<u64>,
}

/// A caller's call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerCall {
    /// A request to forward, or a batch job to take, as its route says.
    Forward(CallMarks),
    /// The results of a job.
    ReadJob {
        /// The job.
        job: JobId,
        /// Position of the first result.
        after: usize,
        /// How long the answer may wait for a result.
        wait: Duration,
    },
    /// The body of an item.
    ReadItem {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemId,
    },
    /// The end of a job.
    EndJob {
        /// The job.
        job: JobId,
    },
    /// Not a call of the protocol.
    Malformed(String),
}

/// A page of a job's results.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<(ItemId, ItemOutcome)>,
}

/// How an item ended, as its caller reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemOutcome {
    /// With its whole output.
    Succeeded(String),
    /// Without.
    Errored,
}

/// The items of a job and the bodies of their requests, in the same order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemList {
    /// The items.
    pub items: Vec<SubmittedItem>,
    /// The bodies.
    pub bodies: Vec<Vec<u8>>,
}

/// Reads calls and writes answers.
#[derive(Debug, Clone, Copy)]
pub struct CallerCodec {
    /// Reads a call from its head.
    pub read_call: fn(&Parts) -> CallerCall,
    /// Reads the items of a job.
    pub read_items: fn(&Bytes) -> std::result::Result<ItemList, String>,
    /// Writes a page of results.
    pub write_page: fn(&ResultPage) -> Bytes,
    /// Most bytes of the results of a page.
    pub page_bytes: usize,
}

/// What an upstream is told with an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMarks<'a> {
    /// The id of the request or item.
    pub request: &'a str,
    /// Whom the attempt is for.
    pub upstream: &'a UpstreamId,
    /// How long its answer is of use; none for work without a deadline.
    pub remaining: Option<Duration>,
    /// The last event that is already there.
    pub resume_after: Option<u64>,
}

/// What an upstream reports of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerMarks {
    /// The id of the request that it answers.
    pub request: Option<String>,
    /// Whether it proves that the request did not run.
    pub not_run: bool,
    /// Whether another upstream than the expected one answered.
    pub wrong_upstream: bool,
    /// Load of the upstream.
    pub load: Option<LoadReport>,
}

/// Writes attempts and reads their answers.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCodec {
    /// Sets the headers of an attempt.
    pub mark: fn(&mut HeaderMap, &AttemptMarks<'_>),
    /// Reads the head of an answer.
    pub read_answer: fn(StatusCode, &HeaderMap) -> AnswerMarks,
}

/// An upstream with its announcement.
pub type NamedNotice = (UpstreamId, UpstreamNotice);

/// How an adapter's protocol is read and written.
#[derive(Clone, Copy)]
pub struct ProtocolCodecs {
    /// Callers.
    pub caller: CallerCodec,
    /// Upstreams.
    pub upstream: UpstreamCodec,
    /// Reads a configuration entry; `None` for keys that hold something else.
    pub read_configuration: fn(&str, &[u8]) -> std::result::Result<Option<RouteTable>, String>,
    /// Reads an upstream's announcement.
    pub read_notice: fn(&str, &[u8]) -> std::result::Result<NamedNotice, String>,
}
