//! Runs the items that this instance owns, and deletes jobs that are kept no longer.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_kernel::job_table::TrackedJob;
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BatchEntry, ItemEnd};
use amaranth_wire::id::{ItemId, JobId};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::batch::blobs::BlobStore;
use crate::batch::board::JobBoard;
use crate::batch::commit::BatchCommitter;
use crate::batch::item_run::{ItemPath, ItemRun, ItemRunEnd, ItemStart, RouteFinders, StartCheck};
use crate::batch::progress::{ProgressLog, RunProgress};
use crate::batch::shards::ShardHold;
use crate::log_access::NewEntry;

/// Longest time between two looks for items to start.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Items that run here at once. Each holds a connection and its output so far, at most about
/// 100 KB together.
const MAX_RUNNING: usize = 96;
/// Pause before an end is appended again.
const APPEND_PAUSE: Duration = Duration::from_millis(300);

/// What the worker needs of the configuration.
pub struct WorkerConfig {
    /// Finds the route of a job by its host and path.
    pub find_route: RouteFinders,
    /// How long a job is readable after its submission.
    pub retention: Duration,
}

/// Runs items.
pub struct BatchWorker {
    board: Arc<JobBoard>,
    shards: Arc<ShardHold>,
    log: ProgressLog,
    path: Arc<ItemPath>,
    config: WorkerConfig,
    running: Arc<Mutex<HashMap<JobId, RunningJob>>>,
    tasks: TaskTracker,
}

#[derive(Default)]
struct RunningJob {
    items: HashSet<ItemId>,
    cancel: CancellationToken,
}

impl BatchWorker {
    /// A worker on these parts.
    pub fn new(
        board: Arc<JobBoard>,
        shards: Arc<ShardHold>,
        log: ProgressLog,
        path: Arc<ItemPath>,
        config: WorkerConfig,
    ) -> Self {
        Self {
            board,
            shards,
            log,
            path,
            config,
            running: Arc::default(),
            tasks: TaskTracker::new(),
        }
    }

    /// Runs until the token is cancelled; items that run then are handed over to their next owner.
    pub async fn run(self, stop: CancellationToken) {
        let mut changes = self.board.watch();
        while !stop.is_cancelled() {
            changes.borrow_and_update();
            self.cancel_ended();
            for start in self.startable() {
                self.start(start, &stop);
            }
            self.delete_old();
            // The pause ends early when the board changes; a stop is seen on the next turn.
            let changed = timeout(LOOK_PERIOD, changes.changed());
            stop.run_until_cancelled(changed).await;
        }
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Stops the runs of jobs that their callers ended.
    fn cancel_ended(&self) {
        let running = self.running.lock().expect("not poisoned");
        for (id, job) in running.iter() {
            let ended = self
                .board
                .look(|book| book.job(id).is_some_and(|job| job.is_ended()));
            if ended && !job.cancel.is_cancelled() {
                log::info!(
                    "event=job_runs_cancelled job={id} items={}",
                    job.items.len()
                );
                job.cancel.cancel();
            }
        }
    }

    /// Items that wait for their first run, the oldest jobs first.
    fn startable(&self) -> Vec<ItemStart> {
        let running = self.running.lock().expect("not poisoned");
        let count: usize = running.values().map(|job| job.items.len()).sum();
        let room = MAX_RUNNING.saturating_sub(count);
        let now_ms = unix_ms();
        self.board.look(|book| {
            let open = book
                .jobs()
                .filter(|(_, job)| !job.is_ended() && !job.is_complete());
            let submitted = open.filter_map(|(id, job)| Some((id, job, job.submission()?)));
            let mut submitted: Vec<_> = submitted.collect();
            submitted.sort_by_key(|(_, _, submission)| submission.received_ms);
            let items = submitted.into_iter().flat_map(|(id, job, submission)| {
                let runs = running.get(id);
                let known_for =
                    Duration::from_millis(now_ms.saturating_sub(submission.received_ms));
                let items = submission.items.iter().enumerate();
                let waiting = items.filter(move |(_, item)| {
                    !job.is_item_done(&item.id)
                        && !runs.is_some_and(|runs| runs.items.contains(&item.id))
                        && self.shards.may_run(item.id.as_str(), known_for)
                        && !is_claimed(job, &item.id, &self.shards)
                });
                waiting.map(move |(index, item)| ItemStart {
                    job: id.clone(),
                    item: item.clone(),
                    index,
                    bodies: submission.bodies.clone(),
                    host: submission.host.clone(),
                    path: submission.path.clone(),
                    received_ms: submission.received_ms,
                    kept: job.partial_output(&item.id).cloned(),
                })
            });
            items.take(room).collect()
        })
    }

    /// Tells later whether an item is still this instance's to start.
    fn start_check(&self, id: &JobId, item: &ItemId) -> StartCheck {
        let (board, shards) = (self.board.clone(), self.shards.clone());
        let (id, item) = (id.clone(), item.clone());
        Box::new(move || {
            let is_open = |job: &TrackedJob| !job.is_item_done(&item);
            let is_free = |job: &TrackedJob| is_open(job) && !is_claimed(job, &item, &shards);
            shards.may_run(item.as_str(), Duration::ZERO)
                && board.look(|book| book.job(&id).is_some_and(is_free))
        })
    }

    fn start(&self, start: ItemStart, stop: &CancellationToken) {
        let mut running = self.running.lock().expect("not poisoned");
        let job = running.entry(start.job.clone()).or_default();
        job.items.insert(start.item.id.clone());
        let cancel = job.cancel.clone();
        drop(running);
        let (id, item) = (start.job.clone(), start.item.id.clone());
        let find_route = (self.config.find_route)(&start.host, &start.path);
        let progress = Arc::new(RunProgress::new(id.clone(), item.clone(), self.log.clone()));
        let may_start = self.start_check(&id, &item);
        let path = self.path.clone();
        let run = ItemRun::new(path, start, find_route, may_start, progress.clone());
        let (committer, board) = (self.log.committer.clone(), self.board.clone());
        let blobs = self.log.blobs.clone();
        let (running, stop) = (self.running.clone(), stop.clone());
        self.tasks.spawn(async move {
            match stop
                .run_until_cancelled(cancel.run_until_cancelled(run.run()))
                .await
            {
                None => progress.hand_over().await,
                Some(None | Some(ItemRunEnd::Left)) => {}
                Some(Some(end)) => {
                    let keep = async {
                        let end = keep_output(&blobs, &id, end).await;
                        commit(&committer, &board, &id, &item, end).await;
                    };
                    cancel.run_until_cancelled(keep).await;
                }
            }
            forget_run(&running, &id, &item);
        });
    }

    /// Deletes the records of jobs whose time to be read is over.
    fn delete_old(&self) {
        let now_ms = unix_ms();
        let retention_ms = self.config.retention.as_millis() as u64;
        let old = self.board.look(|book| {
            let old = book.jobs().filter(|(id, job)| {
                let received_ms = job
                    .submission()
                    .map_or(now_ms, |submission| submission.received_ms);
                let age_ms = now_ms.saturating_sub(received_ms);
                let open = !job.is_ended() && !job.is_complete();
                !open && age_ms > retention_ms && self.shards.may_run(id.as_str(), Duration::MAX)
            });
            old.map(|(id, _)| id.clone()).next()
        });
        let Some(id) = old else {
            return;
        };
        let records = self.board.keys(&id).into_iter();
        let records: Vec<_> = records.map(|key| NewEntry { key, value: None }).collect();
        let committer = self.log.committer.clone();
        let blobs = self.log.blobs.clone();
        let refs = self
            .board
            .look(|book| book.job(&id).map(|job| job.blobs()).unwrap_or_default());
        log::info!("event=job_deleted job={id} records={}", records.len());
        self.tasks.spawn(async move {
            // The job is found as long as its own records stand, and is deleted again then.
            let deleted = match blobs.delete(&refs).await {
                Ok(()) => committer.append_records(records, false).await.map(|_| ()),
                Err(e) => Err(e),
            };
            if let Err(e) = deleted {
                log::warn!("event=job_not_deleted job={id} error={:?}", e.to_string());
            }
        });
    }
}

/// Whether another instance runs an item.
fn is_claimed(job: &TrackedJob, item: &ItemId, shards: &ShardHold) -> bool {
    let is_alive = |member: &str| shards.is_member(member);
    job.is_claimed(item, shards.member(), is_alive, steady_ms())
}

fn forget_run(running: &Mutex<HashMap<JobId, RunningJob>>, id: &JobId, item: &ItemId) {
    let mut running = running.lock().expect("not poisoned");
    if let Some(job) = running.get_mut(id) {
        job.items.remove(item);
        if job.items.is_empty() {
            running.remove(id);
        }
    }
}

/// Appends an item's output until it is on the log.
async fn keep_output(blobs: &BlobStore, job: &JobId, end: ItemRunEnd) -> ItemEnd {
    let ItemRunEnd::Succeeded(text) = end else {
        return ItemEnd::Errored;
    };
    loop {
        match blobs.put(job, text.clone().into_bytes(), false).await {
            Ok(blob) => return ItemEnd::Succeeded(blob),
            Err(e) => {
                log::info!(
                    "event=output_not_kept job={job} why={}",
                    quote(&e.to_string())
                );
                sleep(APPEND_PAUSE).await;
            }
        }
    }
}

/// Appends an item's end until it is on the log. A try whose outcome is unknown may have been
/// done: the next one has a key of its own, and the first on the log counts.
async fn commit(
    committer: &BatchCommitter,
    board: &JobBoard,
    job: &JobId,
    item: &ItemId,
    end: ItemEnd,
) {
    let entry = BatchEntry::ItemEnded {
        job: job.clone(),
        item: item.clone(),
        end,
    };
    let is_done = || board.look(|book| book.job(job).is_some_and(|job| job.is_item_done(item)));
    let succeeded = matches!(
        &entry,
        BatchEntry::ItemEnded {
            end: ItemEnd::Succeeded(_),
            ..
        }
    );
    log::info!("event=item_ended job={job} item={item} succeeded={succeeded}");
    while let Err(e) = committer.append(&entry, false).await {
        let reason = e.to_string();
        log::info!(
            "event=item_end_not_appended job={job} item={item} why={}",
            quote(&reason)
        );
        sleep(APPEND_PAUSE).await;
        if is_done() {
            return;
        }
    }
    wait_until_known(board, is_done).await;
}

/// Longest wait for an end that was appended to be read back; until then its item must not be
/// started again.
const READ_BACK_LIMIT: Duration = Duration::from_secs(10);

async fn wait_until_known(board: &JobBoard, is_done: impl Fn() -> bool) {
    let mut changes = board.watch();
    let known = async {
        while !is_done() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    if timeout(READ_BACK_LIMIT, known).await.is_err() {
        log::warn!(
            "event=item_end_not_read_back limit_s={}",
            READ_BACK_LIMIT.as_secs()
        );
    }
}
