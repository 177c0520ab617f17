//! Accepts batch jobs and requests to end them. Both are acknowledged once they are on the log.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::token_quota::QuotaDecision;
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, ItemRequests, JobQuota, SubmittedJob};
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::{ConfigRevision, JobId};
use bytes::Bytes;
use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::answer::{Answer, RequestFailure, json, plain};
use crate::batch::blobs::BlobStore;
use crate::batch::commit::BatchCommitter;
use crate::batch::replica::JobReplica;
use crate::call::ItemList;
use crate::log_access::{DurableLog, LogError};

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

fn refused(why: String) -> RequestFailure {
    RequestFailure::Refused {
        retry_after_ms: RETRY_AFTER_MS,
        why,
    }
}

fn over_quota(
    retry_after_ms: Option<u64>,
    quota: &JobQuota,
    tokens: u64,
    waiting: u64,
) -> RequestFailure {
    let limit = quota.max_tokens.unwrap_or(u64::MAX);
    let scope = &quota.scope;
    let why = match retry_after_ms {
        Some(_) => format!("{scope}: {tokens} tokens beside {waiting} that wait, of {limit}"),
        None => format!("{scope}: {tokens} tokens are more than the limit of {limit}"),
    };
    RequestFailure::OverQuota {
        retry_after_ms,
        why,
    }
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
    /// Read for the decision on a job with a quota.
    pub log: Arc<DurableLog>,
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
    /// Limit on waiting tokens in force here.
    pub quota: JobQuota,
    /// Configuration that it was received under.
    pub revision: ConfigRevision,
    /// Who submitted it.
    pub caller: CallerIdentity,
}

/// The log's decision on a submission.
enum SubmissionState {
    Accepted,
    Rejected,
    /// The entry was not read back yet.
    Unread,
}

impl JobIntake {
    /// Stores a job on the log and answers its caller; a known job is accepted again.
    pub async fn submit(&self, received: ReceivedJob) -> Answer {
        let id = received.job.clone();
        let items = received.list.items.len();
        let started = Instant::now();
        let owner = self.owner(&id);
        let known = owner.is_some();
        let outcome = match owner {
            Some(owner) if received.caller.may_use_job_of(&owner) => Ok(()),
            Some(_) => Err(RequestFailure::Malformed("the job id is in use".to_owned())),
            None => self.accept(received, started).await,
        };
        let ms = started.elapsed().as_millis();
        let Err(failure) = outcome else {
            log::info!("event=job_accepted job={id} known={known} items={items} ms={ms}");
            return plain(StatusCode::ACCEPTED, "");
        };
        let reason = quote(&failure.reason());
        let outcome = failure.outcome();
        log::warn!("event=job_not_accepted job={id} outcome={outcome} why={reason} ms={ms}");
        failure.answer()
    }

    /// Who submitted a job; `None` if the job isn't known.
    fn owner(&self, job: &JobId) -> Option<CallerIdentity> {
        self.replica
            .with_table(|table| Some(table.job(job)?.submission()?.caller.clone()))
    }

    fn is_known(&self, job: &JobId) -> bool {
        self.replica.with_table(|table| table.job(job).is_some())
    }

    async fn accept(&self, received: ReceivedJob, started: Instant) -> Result<(), RequestFailure> {
        let (id, quota) = (received.job.clone(), received.quota.clone());
        let tokens = received.list.tokens();
        if quota.max_tokens.is_some() && self.check_quota(&id, &quota, tokens).await? {
            return Ok(());
        }
        // No entry refers to the bodies, so the job is not accepted even if they were stored.
        let job = self.store_bodies(received, started).await?;
        let call = job.call;
        let entry = BatchEntry::Submitted(job);
        let is_known = || self.is_known(&id);
        match append_with_retries(&self.committer, &entry, started, is_known).await {
            AppendOutcome::Done if quota.max_tokens.is_none() => Ok(()),
            AppendOutcome::Done => {
                self.await_decision(&id, call, &quota, tokens, started)
                    .await
            }
            AppendOutcome::NotDone(why) => Err(refused(why)),
            AppendOutcome::Unknown(why) => Err(RequestFailure::Failed(why)),
        }
    }

    /// Refuses a job that does not fit by all that is on the log now, before anything is stored.
    /// Returns whether the job is known meanwhile, and so accepted.
    async fn check_quota(
        &self,
        job: &JobId,
        quota: &JobQuota,
        tokens: u64,
    ) -> Result<bool, RequestFailure> {
        if !self.replica.is_loaded() {
            return Err(refused("the log was not read yet".to_owned()));
        }
        if self.quota_failure(quota, tokens).is_none() {
            return Ok(false);
        }
        let caught_up = self.replica.catch_up(&self.log).await;
        caught_up.map_err(|e| refused(e.to_string()))?;
        if self.is_known(job) {
            return Ok(true);
        }
        self.quota_failure(quota, tokens).map_or(Ok(false), Err)
    }

    /// Reads the log until it has decided on an appended submission.
    async fn await_decision(
        &self,
        job: &JobId,
        call: u64,
        quota: &JobQuota,
        tokens: u64,
        started: Instant,
    ) -> Result<(), RequestFailure> {
        loop {
            let read = self.replica.catch_up(&self.log).await;
            match self.submission_state(job, call) {
                SubmissionState::Accepted => return Ok(()),
                SubmissionState::Rejected => {
                    let failure = self.quota_failure(quota, tokens);
                    // Room that is free by now was not when the log decided.
                    return Err(failure
                        .unwrap_or_else(|| over_quota(Some(RETRY_AFTER_MS), quota, tokens, 0)));
                }
                SubmissionState::Unread => {}
            }
            if started.elapsed() + RETRY_DELAY >= ACCEPT_LIMIT {
                let why = read.map_or_else(|e| e.to_string(), |()| "not read back".to_owned());
                return Err(RequestFailure::Failed(why));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn submission_state(&self, job: &JobId, call: u64) -> SubmissionState {
        self.replica.with_table(|table| {
            if table.job(job).is_some() {
                SubmissionState::Accepted
            } else if table.is_rejected(call) {
                SubmissionState::Rejected
            } else {
                SubmissionState::Unread
            }
        })
    }

    /// The refusal of a job that does not fit now; `None` if it fits.
    fn quota_failure(&self, quota: &JobQuota, tokens: u64) -> Option<RequestFailure> {
        self.replica.with_table(|table| {
            let usage = table.usage();
            let retry_after_ms = match usage.decide(quota, tokens) {
                QuotaDecision::Fits => return None,
                QuotaDecision::NeverFits => None,
                QuotaDecision::Exceeded { missing } => {
                    Some(usage.retry_after_ms(&quota.scope, missing, steady_ms()))
                }
            };
            let waiting = usage.waiting(&quota.scope);
            Some(over_quota(retry_after_ms, quota, tokens, waiting))
        })
    }

    async fn store_bodies(
        &self,
        received: ReceivedJob,
        started: Instant,
    ) -> Result<SubmittedJob, RequestFailure> {
        let requests = ItemRequests::Requests(received.list.requests);
        let bodies = rmp_serde::to_vec(&requests);
        let bodies = Bytes::from(bodies.map_err(|e| refused(e.to_string()))?);
        if !self.blobs.fits_append(bodies.len()) {
            return Err(RequestFailure::TooLarge);
        }
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
                        quota: Some(received.quota),
                        call: rand::random_range(1..=u64::MAX),
                        revision: received.revision,
                        caller: received.caller,
                    });
                }
                Err(e) if started.elapsed() + RETRY_DELAY >= BODIES_LIMIT => {
                    return Err(refused(e.to_string()));
                }
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
