//! Answers callers' reads of batch jobs; every instance can answer them.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::job_table::TrackedJob;
use amaranth_kernel::memory_budget::MemoryUse;
use amaranth_wire::batch_entry::{BlobRef, ItemEnd, ItemRequest, ItemRequests, SubmittedItem};
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::{ItemId, JobId};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};

use crate::answer::{Answer, RequestFailure, json, plain};
use crate::batch::blobs::BlobStore;
use crate::batch::replica::JobReplica;
use crate::call::{CallerCodec, ItemOutcome, ResultPage};
use crate::log_access::DurableLog;
use crate::memory_account::{MemoryAccount, OverBudget};

/// Longest wait for a result within one read request.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Milliseconds after which a caller may retry when the log could not be read.
const UNAVAILABLE_RETRY_MS: u64 = 300;
/// Encoded bytes of a result besides its text.
const RESULT_OVERHEAD: usize = 128;

/// Result of looking up a job.
enum JobLookup {
    Known,
    /// The job is not on the log, or belongs to another team.
    Missing,
    /// The log could not be read.
    Unavailable(String),
}

async fn look_up(
    replica: &JobReplica,
    log: &Arc<DurableLog>,
    job: &JobId,
    caller: &CallerIdentity,
    is_enough: impl Fn(&TrackedJob) -> bool,
) -> JobLookup {
    let may_use = |known: &TrackedJob| {
        let submission = known.submission();
        submission.is_some_and(|submission| caller.may_use_job_of(&submission.caller))
    };
    let is_known = || replica.with_table(|table| table.job(job).is_some_and(may_use));
    let enough = || replica.with_table(|table| table.job(job).is_some_and(&is_enough));
    if replica.is_loaded() && enough() {
        return match is_known() {
            true => JobLookup::Known,
            false => JobLookup::Missing,
        };
    }
    if !replica.is_loaded() {
        return JobLookup::Unavailable("the log was not read yet".to_owned());
    }
    match replica.catch_up(log).await {
        Ok(()) if is_known() => JobLookup::Known,
        Ok(()) => JobLookup::Missing,
        Err(e) => JobLookup::Unavailable(e.to_string()),
    }
}

fn lookup_failure(lookup: JobLookup, job: &JobId) -> Answer {
    match lookup {
        JobLookup::Unavailable(why) => {
            log::info!("event=job_lookup_failed job={job} why={why:?}");
            let retry_after_ms = UNAVAILABLE_RETRY_MS;
            RequestFailure::Refused {
                retry_after_ms,
                why,
            }
            .answer()
        }
        _ => {
            log::info!("event=job_not_found job={job}");
            RequestFailure::NoRoute.answer()
        }
    }
}

/// A read that needs more memory than there is can be repeated.
fn refuse_read(over: OverBudget, job: &JobId) -> Answer {
    let failure = RequestFailure::from(over);
    log::info!(
        "event=job_read_refused job={job} why={:?}",
        failure.reason()
    );
    failure.answer()
}

/// Reads jobs, results and bodies for callers.
pub struct JobReader {
    /// Jobs read from the log.
    pub replica: Arc<JobReplica>,
    /// Read for jobs and ends that the replica does not have yet.
    pub log: Arc<DurableLog>,
    /// Stores bodies and outputs.
    pub blobs: Arc<BlobStore>,
    /// Protocol of the callers.
    pub codec: CallerCodec,
    /// Memory held for callers.
    pub account: MemoryAccount,
}

/// The ends that a page returns, without their outputs.
struct PlannedPage {
    total: usize,
    /// Upper bound of its size.
    bytes: usize,
    ends: Vec<(ItemId, ItemEnd)>,
}

impl JobReader {
    /// Answers with the results from position `after`; waits up to `wait` for the first of them.
    pub async fn results(
        &self,
        job: JobId,
        after: usize,
        wait: Duration,
        caller: &CallerIdentity,
    ) -> Answer {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut changes = self.replica.watch();
        match look_up(&self.replica, &self.log, &job, caller, |known| {
            known.ends_len() >= after
        })
        .await
        {
            JobLookup::Known => {}
            lookup => return lookup_failure(lookup, &job),
        }
        loop {
            changes.borrow_and_update();
            let limit = self.codec.page_bytes;
            let planned = self
                .replica
                .with_table(|table| table.job(&job).map(|known| plan_page(known, after, limit)));
            let Some(planned) = planned else {
                return RequestFailure::NoRoute.answer();
            };
            let waits = planned.ends.is_empty() && planned.total > after;
            if !waits || timeout_at(deadline, changes.changed()).await.is_err() {
                return self.write_page(&job, planned, after).await;
            }
        }
    }

    async fn write_page(&self, job: &JobId, planned: PlannedPage, after: usize) -> Answer {
        let mut guard = self.account.guard(MemoryUse::Results);
        if let Err(over) = guard.grow(planned.bytes) {
            return refuse_read(over, job);
        }
        let mut results = Vec::new();
        for (item, end) in planned.ends {
            let outcome = match end {
                ItemEnd::Errored => ItemOutcome::Errored,
                ItemEnd::Succeeded(blob) => match self.blobs.get(&blob).await {
                    Ok(text) => ItemOutcome::Succeeded(String::from_utf8_lossy(&text).into_owned()),
                    Err(e) if results.is_empty() => {
                        return lookup_failure(JobLookup::Unavailable(e.to_string()), job);
                    }
                    Err(e) => {
                        log::info!(
                            "event=result_page_truncated job={job} item={item} why={:?}",
                            e.to_string()
                        );
                        break;
                    }
                },
            };
            results.push((item, outcome));
        }
        let page = (self.codec.write_page)(&ResultPage {
            total: planned.total,
            next: after + results.len(),
            results,
        });
        json(guard.into_bytes(page))
    }

    /// Answers with the body of an item.
    pub async fn item_body(&self, job: JobId, item: ItemId, caller: &CallerIdentity) -> Answer {
        match look_up(&self.replica, &self.log, &job, caller, |_| true).await {
            JobLookup::Known => {}
            lookup => return lookup_failure(lookup, &job),
        }
        let location = self.replica.with_table(|table| {
            let submission = table.job(&job)?.submission()?;
            let index = submission.items.iter().position(|known| known.id == item)?;
            let item = submission.items[index].clone();
            Some((submission.bodies.clone(), index, item))
        });
        let Some((bodies, index, item)) = location else {
            return RequestFailure::NoRoute.answer();
        };
        let mut guard = self.account.guard(MemoryUse::Results);
        if let Err(over) = guard.grow(bodies.bytes as usize) {
            return refuse_read(over, &job);
        }
        match read_request(&self.blobs, &bodies, index, &item).await {
            Ok(request) => plain(StatusCode::OK, guard.into_bytes(request.body.into_vec())),
            Err(why) => lookup_failure(JobLookup::Unavailable(why), &job),
        }
    }

    /// Returns `None` if the job is on the log, else the answer to send.
    pub async fn check_known(&self, job: &JobId, caller: &CallerIdentity) -> Option<Answer> {
        match look_up(&self.replica, &self.log, job, caller, |_| true).await {
            JobLookup::Known => None,
            lookup => Some(lookup_failure(lookup, job)),
        }
    }
}

/// Selects the ends that fit a page, at least one if there is any.
fn plan_page(job: &TrackedJob, after: usize, max_bytes: usize) -> PlannedPage {
    let mut bytes = 0;
    let mut ends: Vec<(ItemId, ItemEnd)> = Vec::new();
    for (item, end) in job.ends_from(after) {
        let result_bytes = output_bytes(end).saturating_add(RESULT_OVERHEAD);
        if result_bytes.saturating_add(bytes) > max_bytes && !ends.is_empty() {
            break;
        }
        bytes = result_bytes.saturating_add(bytes);
        ends.push((item.clone(), end.clone()));
    }
    PlannedPage {
        total: job
            .submission()
            .map_or(0, |submission| submission.items.len()),
        bytes,
        ends,
    }
}

/// Upper bound of an output's bytes in an answer: escaped line feeds and quotes take two each.
fn output_bytes(end: &ItemEnd) -> usize {
    match end {
        ItemEnd::Succeeded(blob) => blob.bytes.saturating_mul(2) as usize,
        ItemEnd::Errored => 0,
    }
}

/// Reads the request of an item by its index in the job.
pub async fn read_request(
    blobs: &BlobStore,
    bodies: &BlobRef,
    index: usize,
    item: &SubmittedItem,
) -> Result<ItemRequest, String> {
    let bytes = blobs.get(bodies).await.map_err(|e| e.to_string())?;
    let requests: ItemRequests = rmp_serde::from_slice(&bytes).map_err(|e| e.to_string())?;
    let request = requests.into_request(index, item);
    request.ok_or_else(|| "item index is out of range".to_owned())
}
