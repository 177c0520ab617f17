//! Takes batch jobs and their ends: acknowledged once they are on the log.

use std::time::Duration;

use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, SubmittedJob};
use amaranth_wire::id::JobId;
use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::answer::{Answer, GiveUp, json, plain};
use crate::batch::board::JobBoard;
use crate::batch::commit::BatchCommitter;
use crate::log_access::LogError;

/// Time in which an append is tried again before the caller is answered: callers of batch jobs
/// wait 4 s for an acknowledgement.
const ACCEPT_LIMIT: Duration = Duration::from_millis(3_300);
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
    is_known: impl Fn() -> bool,
) -> AppendEnd {
    let started = Instant::now();
    let mut unknown = None;
    loop {
        let why = match committer.append(entry, true).await {
            Ok(()) => return AppendEnd::Done,
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

/// Takes a job.
pub async fn submit(board: &JobBoard, committer: &BatchCommitter, job: SubmittedJob) -> Answer {
    let id = job.job.clone();
    let is_known = || board.look(|book| book.job(&id).is_some());
    if is_known() {
        log::info!("event=job_accepted job={id} known=true");
        return plain(StatusCode::ACCEPTED, "");
    }
    let items = job.items.len();
    let started = Instant::now();
    let end = append(committer, &BatchEntry::Submitted(job), is_known).await;
    let ms = started.elapsed().as_millis();
    let give_up = match end {
        AppendEnd::Done => {
            log::info!("event=job_accepted job={id} known=false items={items} ms={ms}");
            return plain(StatusCode::ACCEPTED, "");
        }
        AppendEnd::NotDone(why) => GiveUp::Refused {
            retry_after_ms: LOG_PAUSE_MS,
            why,
        },
        AppendEnd::Unknown(why) => GiveUp::Failed(why),
    };
    let reason = quote(&give_up.reason());
    log::warn!(
        "event=job_not_accepted job={id} outcome={} why={reason} ms={ms}",
        give_up.outcome()
    );
    give_up.answer()
}

/// Ends a job that is known.
pub async fn end(board: &JobBoard, committer: &BatchCommitter, job: JobId) -> Answer {
    let is_ended = || board.look(|book| book.job(&job).is_some_and(|job| job.is_ended()));
    if is_ended() {
        return json("{}");
    }
    let entry = BatchEntry::Ended { job: job.clone() };
    match append(committer, &entry, is_ended).await {
        AppendEnd::Done => {
            log::info!("event=job_ended job={job}");
            json("{}")
        }
        AppendEnd::NotDone(why) | AppendEnd::Unknown(why) => {
            log::warn!("event=job_not_ended job={job} why={}", quote(&why));
            GiveUp::Failed(why).answer()
        }
    }
}
