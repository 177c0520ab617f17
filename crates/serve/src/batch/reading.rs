//! Reads of batch jobs, the same at every instance.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::job_book::BookedJob;
use amaranth_wire::batch_entry::ItemEnd;
use amaranth_wire::id::{ItemId, JobId};
use http::StatusCode;
use tokio::time::{Instant, timeout_at};

use crate::answer::{Answer, GiveUp, json, plain};
use crate::batch::board::JobBoard;
use crate::call::{CallerCodec, ResultPage};
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
    is_enough: impl Fn(&BookedJob) -> bool,
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
            GiveUp::Refused {
                retry_after_ms,
                why,
            }
            .answer()
        }
        _ => {
            log::info!("event=job_missing job={job}");
            GiveUp::NoRoute.answer()
        }
    }
}

/// Answers with the results from a position on; waits for the first of them.
pub async fn results(
    board: &JobBoard,
    log: &Arc<DurableLog>,
    codec: &CallerCodec,
    job: JobId,
    after: usize,
    wait: Duration,
) -> Answer {
    let deadline = Instant::now() + wait.min(MAX_WAIT);
    let mut changes = board.watch();
    match find(board, log, &job, |known| known.ends_len() >= after).await {
        JobSight::Known => {}
        sight => return missing(sight, &job),
    }
    loop {
        changes.borrow_and_update();
        let page = board.look(|book| {
            book.job(&job)
                .map(|known| page(known, after, codec.page_bytes))
        });
        let Some(page) = page else {
            return GiveUp::NoRoute.answer();
        };
        let waits = page.results.is_empty() && page.total > after;
        if !waits || timeout_at(deadline, changes.changed()).await.is_err() {
            return json((codec.write_page)(&page));
        }
    }
}

fn page(job: &BookedJob, after: usize, most: usize) -> ResultPage {
    let mut bytes = 0;
    let mut results: Vec<(ItemId, ItemEnd)> = Vec::new();
    for (item, end) in job.ends_from(after) {
        bytes += RESULT_OVERHEAD + text_bytes(end);
        if bytes > most && !results.is_empty() {
            break;
        }
        results.push((item.clone(), end.clone()));
    }
    ResultPage {
        total: job
            .submission()
            .map_or(0, |submission| submission.items.len()),
        next: after + results.len(),
        results,
    }
}

fn text_bytes(end: &ItemEnd) -> usize {
    match end {
        // Line feeds and quotes take two bytes each in an answer.
        ItemEnd::Succeeded(text) => {
            text.len()
                + text
                    .bytes()
                    .filter(|b| matches!(b, b'\n' | b'"' | b'\\'))
                    .count()
        }
        ItemEnd::Errored => 0,
    }
}

/// Answers with the body of an item.
pub async fn item(board: &JobBoard, log: &Arc<DurableLog>, job: JobId, item: ItemId) -> Answer {
    match find(board, log, &job, |_| true).await {
        JobSight::Known => {}
        sight => return missing(sight, &job),
    }
    let body = board.look(|book| {
        let submitted = book.job(&job)?.item(&item)?;
        Some(submitted.body.clone())
    });
    match body {
        Some(body) => plain(StatusCode::OK, body),
        None => GiveUp::NoRoute.answer(),
    }
}

/// Whether a job is on the log; an answer if it is not, or can't be known.
pub async fn check(board: &JobBoard, log: &Arc<DurableLog>, job: &JobId) -> Option<Answer> {
    match find(board, log, job, |_| true).await {
        JobSight::Known => None,
        sight => Some(missing(sight, job)),
    }
}
