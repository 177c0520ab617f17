//! Accepts batch jobs and requests to end them. Both are acknowledged once they are on the log.

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
use crate::batch::commit::BatchCommitter;
use crate::batch::replica::JobReplica;
use crate::call::ItemList;
use crate::log_access::LogError;

/// Time limit for retried appends before the caller is answered: callers of batch jobs wait 4 s for
/// an acknowledgement.
const ACCEPT_LIMIT: Duration = Duration::from_millis(3_300);
/// Part of [`ACCEPT_LIMIT`] within which the bodies must be on the log.
const BODIES_LIMIT: Duration = Duration::from_millis(2_000);
/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Milliseconds after which a caller may retry when the log could not store its job.
const RETRY_AFTER_MS: u64 = 700;

enum AppendOutcome {
    Done,
    NotDone(String),
    Unknown(String),
}

/// Retries an append until it succeeds, `is_known` finds the entry on the log, or time runs out.
async fn append_with_retries(
    committer: &BatchCommitter,
    entry: &BatchEntry,
    started: Instant,
    is_known: impl Fn() -> bool,
) -> AppendOutcome {
    let mut unknown = None;
    loop {
        let why = match committer.append(entry, true).await {
            Ok(_) => return AppendOutcome::Done,
            Err(LogError::NotDone(why)) => why,
            Err(e) => {
                unknown = Some(e.to_string());
                e.to_string()
            }
        };
        if is_known() {
            return AppendOutcome::Done;
        }
        if started.elapsed() + RETRY_DELAY >= ACCEPT_LIMIT {
            return match unknown {
                Some(why) => AppendOutcome::Unknown(why),
                None => AppendOutcome::NotDone(why),
            };
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Accepts jobs from callers.
pub struct JobIntake {
    /// Jobs read from the log.
    pub replica: Arc<JobReplica>,
    /// Appends job entries.
    pub committer: BatchCommitter,
    /// Stores the bodies of items.
    pub blobs: Arc<BlobStore>,
}

/// A job as a caller submitted it.
pub struct ReceivedJob {
    /// Identifier of the job.
    pub job: JobId,
    /// Host that it was sent to.
    pub host: String,
    /// Path that it was sent to.
    pub path: String,
    /// Items and their bodies.
    pub list: ItemList,
}

impl JobIntake {
    /// Stores a job on the log and answers its caller; a known job is accepted again.
    pub async fn submit(&self, received: ReceivedJob) -> Answer {
        let id = received.job.clone();
        let is_known = || self.replica.with_table(|table| table.job(&id).is_some());
        if is_known() {
            log::info!("event=job_accepted job={id} known=true");
            return plain(StatusCode::ACCEPTED, "");
        }
        let items = received.list.items.len();
        let started = Instant::now();
        let outcome = match self.store_bodies(received, started).await {
            Ok(job) => {
                append_with_retries(
                    &self.committer,
                    &BatchEntry::Submitted(job),
                    started,
                    is_known,
                )
                .await
            }
            // No entry refers to the bodies, so the job is not accepted even if they were stored.
            Err(e) => AppendOutcome::NotDone(e.to_string()),
        };
        let ms = started.elapsed().as_millis();
        let give_up = match outcome {
            AppendOutcome::Done => {
                log::info!("event=job_accepted job={id} known=false items={items} ms={ms}");
                return plain(StatusCode::ACCEPTED, "");
            }
            AppendOutcome::NotDone(why) => RequestFailure::Refused {
                retry_after_ms: RETRY_AFTER_MS,
                why,
            },
            AppendOutcome::Unknown(why) => RequestFailure::Failed(why),
        };
        let reason = quote(&give_up.reason());
        let outcome = give_up.outcome();
        log::warn!("event=job_not_accepted job={id} outcome={outcome} why={reason} ms={ms}");
        give_up.answer()
    }

    async fn store_bodies(
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
                Err(e) if started.elapsed() + RETRY_DELAY >= BODIES_LIMIT => return Err(e),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }
}

/// Ends a job that is on the log.
pub async fn end_job(replica: &JobReplica, committer: &BatchCommitter, job: JobId) -> Answer {
    let is_ended = || replica.with_table(|table| table.job(&job).is_some_and(|job| job.is_ended()));
    if is_ended() {
        return json("{}");
    }
    let entry = BatchEntry::Ended { job: job.clone() };
    match append_with_retries(committer, &entry, Instant::now(), is_ended).await {
        AppendOutcome::Done => {
            log::info!("event=job_ended job={job}");
            json("{}")
        }
        AppendOutcome::NotDone(why) | AppendOutcome::Unknown(why) => {
            log::warn!("event=job_not_ended job={job} why={}", quote(&why));
            RequestFailure::Failed(why).answer()
        }
    }
}
