//! Reads of batch jobs, the same at every instance.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::job_table::TrackedJob;
use amaranth_wire::batch_entry::{BlobRef, ItemBodies, ItemEnd};
use amaranth_wire::id::{ItemId, JobId};
use http::StatusCode;
use serde_bytes::ByteBuf;
use tokio::time::{Instant, timeout_at};

use crate::answer::{Answer, RequestFailure, json, plain};
use crate::batch::blobs::BlobStore;
use crate::batch::board::JobBoard;
use crate::call::{CallerCodec, ItemOutcome, ResultPage};
use crate::log_access::DurableLog;

/// Longest wait for a result within one read.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Pause that a caller is told when this instance can't be sure, in milliseconds.
const UNSURE_PAUSE_MS: u64 = 300;
/// Bytes of a result besides its text.
const RESULT_OVERHEAD: usize = 128;

/// What is known of a job.
enum JobSight {
    Known,
    /// It is not on the log.
    Missing,
    /// The log could not be read.
    Unsure(String),
}

async fn find(
    board: &JobBoard,
    log: &Arc<DurableLog>,
    job: &JobId,
    is_enough: impl Fn(&TrackedJob) -> bool,
) -> JobSight {
    let is_known = || board.look(|book| book.job(job).is_some());
    let enough = || board.look(|book| book.job(job).is_some_and(&is_enough));
    if board.is_loaded() && enough() {
        return JobSight::Known;
    }
    if !board.is_loaded() {
        return JobSight::Unsure("the log was not read yet".to_owned());
    }
    match board.catch_up(log).await {
        Ok(()) if is_known() => JobSight::Known,
        Ok(()) => JobSight::Missing,
        Err(e) => JobSight::Unsure(e.to_string()),
    }
}

fn missing(sight: JobSight, job: &JobId) -> Answer {
    match sight {
        JobSight::Unsure(why) => {
            log::info!("event=job_unsure job={job} why={why:?}");
            let retry_after_ms = UNSURE_PAUSE_MS;
            RequestFailure::Refused {
                retry_after_ms,
                why,
            }
            .answer()
        }
        _ => {
            log::info!("event=job_missing job={job}");
            RequestFailure::NoRoute.answer()
        }
    }
}

/// What reading jobs needs.
pub struct JobReader {
    /// The jobs that are known.
    pub board: Arc<JobBoard>,
    /// The log, for what is not known yet.
    pub log: Arc<DurableLog>,
    /// Bodies and outputs.
    pub blobs: Arc<BlobStore>,
    /// How callers speak.
    pub codec: CallerCodec,
}

/// The ends from a position on, without their outputs.
struct PlannedPage {
    total: usize,
    ends: Vec<(ItemId, ItemEnd)>,
}

impl JobReader {
    /// Answers with the results from a position on; waits for the first of them.
    pub async fn results(&self, job: JobId, after: usize, wait: Duration) -> Answer {
        let deadline = Instant::now() + wait.min(MAX_WAIT);
        let mut changes = self.board.watch();
        match find(&self.board, &self.log, &job, |known| {
            known.ends_len() >= after
        })
        .await
        {
            JobSight::Known => {}
            sight => return missing(sight, &job),
        }
        loop {
            changes.borrow_and_update();
            let most = self.codec.page_bytes;
            let planned = self
                .board
                .look(|book| book.job(&job).map(|known| plan(known, after, most)));
            let Some(planned) = planned else {
                return RequestFailure::NoRoute.answer();
            };
            let waits = planned.ends.is_empty() && planned.total > after;
            if !waits || timeout_at(deadline, changes.changed()).await.is_err() {
                return self.write(&job, planned, after).await;
            }
        }
    }

    async fn write(&self, job: &JobId, planned: PlannedPage, after: usize) -> Answer {
        let mut results = Vec::new();
        for (item, end) in planned.ends {
            let outcome = match end {
                ItemEnd::Errored => ItemOutcome::Errored,
                ItemEnd::Succeeded(blob) => match self.blobs.get(&blob).await {
                    Ok(text) => ItemOutcome::Succeeded(String::from_utf8_lossy(&text).into_owned()),
                    Err(e) if results.is_empty() => {
                        return missing(JobSight::Unsure(e.to_string()), job);
                    }
                    Err(e) => {
                        log::info!(
                            "event=page_cut_short job={job} item={item} why={:?}",
                            e.to_string()
                        );
                        break;
                    }
                },
            };
            results.push((item, outcome));
        }
        json((self.codec.write_page)(&ResultPage {
            total: planned.total,
            next: after + results.len(),
            results,
        }))
    }

    /// Answers with the body of an item.
    pub async fn item(&self, job: JobId, item: ItemId) -> Answer {
        match find(&self.board, &self.log, &job, |_| true).await {
            JobSight::Known => {}
            sight => return missing(sight, &job),
        }
        let place = self.board.look(|book| {
            let submission = book.job(&job)?.submission()?;
            let index = submission.items.iter().position(|known| known.id == item)?;
            Some((submission.bodies.clone(), index))
        });
        let Some((bodies, index)) = place else {
            return RequestFailure::NoRoute.answer();
        };
        match body_of(&self.blobs, &bodies, index).await {
            Ok(body) => plain(StatusCode::OK, body),
            Err(why) => missing(JobSight::Unsure(why), &job),
        }
    }

    /// Whether a job is on the log; an answer if it is not, or can't be known.
    pub async fn check(&self, job: &JobId) -> Option<Answer> {
        match find(&self.board, &self.log, job, |_| true).await {
            JobSight::Known => None,
            sight => Some(missing(sight, job)),
        }
    }
}

/// The ends that fit a page, at least one if there is one.
fn plan(job: &TrackedJob, after: usize, most: usize) -> PlannedPage {
    let mut bytes = 0;
    let mut ends: Vec<(ItemId, ItemEnd)> = Vec::new();
    for (item, end) in job.ends_from(after) {
        bytes += RESULT_OVERHEAD + output_bytes(end);
        if bytes > most && !ends.is_empty() {
            break;
        }
        ends.push((item.clone(), end.clone()));
    }
    PlannedPage {
        total: job
            .submission()
            .map_or(0, |submission| submission.items.len()),
        ends,
    }
}

/// Most bytes of an output in an answer: line feeds and quotes take two each.
fn output_bytes(end: &ItemEnd) -> usize {
    match end {
        ItemEnd::Succeeded(blob) => 2 * blob.bytes as usize,
        ItemEnd::Errored => 0,
    }
}

/// Reads the body of an item by its place in the job.
pub async fn body_of(blobs: &BlobStore, bodies: &BlobRef, index: usize) -> Result<Vec<u8>, String> {
    let bytes = blobs.get(bodies).await.map_err(|e| e.to_string())?;
    let bodies: ItemBodies = rmp_serde::from_slice(&bytes).map_err(|e| e.to_string())?;
    let body = bodies.0.into_iter().nth(index);
    body.map(ByteBuf::into_vec)
        .ok_or_else(|| "no such body".to_owned())
}
