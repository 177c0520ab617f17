//! Takes batch jobs and their ends: acknowledged once they are on the log.

use std::sync::Arc;
use std::time::Duration;

use amaranth_net::clock::unix_ms;
use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, ItemBodies, SubmittedJob};
use amaranth_wire::id::JobId;
use http::StatusCode;
use serde_bytes::ByteBuf;
use tokio::time::{Instant, sleep};

use crate::answer::{Answer, RequestFailure, json, plain};
use crate::batch::blobs::BlobStore;
use crate::batch::board::JobBoard;
use crate::batch::commit::BatchCommitter;
use crate::call::ItemList;
use crate::log_access::LogError;

/// Time in which an append is tried again before the caller is answered: callers of batch jobs
/// wait 4 s for an acknowledgement.
const ACCEPT_LIMIT: Duration = Duration::from_millis(3_300);
/// Part of that time in which the bodies must be on the log.
const BODIES_LIMIT: Duration = Duration::from_millis(2_000);
/// Pause between two tries of an append.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Pause that a caller is told when the log can't take a job, in milliseconds.
const LOG_PAUSE_MS: u64 = 700;

enum AppendEnd {
    Done,
    NotDone(String),
    Unknown(String),
}

/// Appends an entry until it is on the log, the job is known some other way, or time runs out.
async fn append(
    committer: &BatchCommitter,
    entry: &BatchEntry,
    started: Instant,
    is_known: impl Fn() -> bool,
) -> AppendEnd {
    let mut unknown = None;
    loop {
        let why = match committer.append(entry, true).await {
            Ok(_) => return AppendEnd::Done,
            Err(LogError::NotDone(why)) => why,
            Err(e) => {
                unknown = Some(e.to_string());
                e.to_string()
            }
        };
        if is_known() {
            return AppendEnd::Done;
        }
        if started.elapsed() + RETRY_PAUSE >= ACCEPT_LIMIT {
            return match unknown {
                Some(why) => AppendEnd::Unknown(why),
                None => AppendEnd::NotDone(why),
            };
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// What taking a job needs.
pub struct JobIntake {
    /// The jobs that are known.
    pub board: Arc<JobBoard>,
    /// Appends to the log.
    pub committer: BatchCommitter,
    /// Keeps bodies.
    pub blobs: Arc<BlobStore>,
}

/// A job as it was received.
pub struct ReceivedJob {
    /// Its name.
    pub job: JobId,
    /// Host that it was sent to.
    pub host: String,
    /// Path that it was sent to.
    pub path: String,
    /// Its items.
    pub list: ItemList,
}

impl JobIntake {
    /// Takes a job.
    pub async fn submit(&self, received: ReceivedJob) -> Answer {
        let id = received.job.clone();
        let is_known = || self.board.look(|book| book.job(&id).is_some());
        if is_known() {
            log::info!("event=job_accepted job={id} known=true");
            return plain(StatusCode::ACCEPTED, "");
        }
        let items = received.list.items.len();
        let started = Instant::now();
        let end = match self.keep_bodies(received, started).await {
            Ok(job) => {
                append(
                    &self.committer,
                    &BatchEntry::Submitted(job),
                    started,
                    is_known,
                )
                .await
            }
            // Nothing refers to the bodies, so the job is not accepted whatever became of them.
            Err(e) => AppendEnd::NotDone(e.to_string()),
        };
        let ms = started.elapsed().as_millis();
        let give_up = match end {
            AppendEnd::Done => {
                log::info!("event=job_accepted job={id} known=false items={items} ms={ms}");
                return plain(StatusCode::ACCEPTED, "");
            }
            AppendEnd::NotDone(why) => RequestFailure::Refused {
                retry_after_ms: LOG_PAUSE_MS,
                why,
            },
            AppendEnd::Unknown(why) => RequestFailure::Failed(why),
        };
        let reason = quote(&give_up.reason());
        let outcome = give_up.outcome();
        log::warn!("event=job_not_accepted job={id} outcome={outcome} why={reason} ms={ms}");
        give_up.answer()
    }

    async fn keep_bodies(
        &self,
        received: ReceivedJob,
        started: Instant,
    ) -> Result<SubmittedJob, LogError> {
        let bodies = received.list.bodies.into_iter().map(ByteBuf::from);
        let bodies = rmp_serde::to_vec(&ItemBodies(bodies.collect()));
        let bodies = bodies.map_err(|e| LogError::NotDone(e.to_string()))?;
        loop {
            match self.blobs.put(&received.job, bodies.clone(), true).await {
                Ok(bodies) => {
                    return Ok(SubmittedJob {
                        job: received.job,
                        host: received.host,
                        path: received.path,
                        received_ms: unix_ms(),
                        items: received.list.items,
                        bodies,
                    });
                }
                Err(e) if started.elapsed() + RETRY_PAUSE >= BODIES_LIMIT => return Err(e),
                Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }
}

/// Ends a job that is known.
pub async fn end(board: &JobBoard, committer: &BatchCommitter, job: JobId) -> Answer {
    let is_ended = || board.look(|book| book.job(&job).is_some_and(|job| job.is_ended()));
    if is_ended() {
        return json("{}");
    }
    let entry = BatchEntry::Ended { job: job.clone() };
    match append(committer, &entry, Instant::now(), is_ended).await {
        AppendEnd::Done => {
            log::info!("event=job_ended job={job}");
            json("{}")
        }
        AppendEnd::NotDone(why) | AppendEnd::Unknown(why) => {
            log::warn!("event=job_not_ended job={job} why={}", quote(&why));
            RequestFailure::Failed(why).answer()
        }
    }
}
