//! Runs the items that this instance owns, and deletes jobs after their retention time.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::job_table::{JobTable, TrackedJob};
use amaranth_kernel::refused_items::{ItemFit, RefusedItems};
use amaranth_kernel::start_limit::{StartLimit, StartPass};
use amaranth_net::clock::{steady_ms, unix_ms};
use amaranth_net::state_lock::StateMutex;
use amaranth_wire::batch_entry::{BlobRef, SubmittedJob};
use amaranth_wire::id::{ItemId, JobId, UpstreamGroupId};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::batch::item_context::{ItemContext, MAX_RUNNING_ITEMS, RouteFinder, StartCheck};
use crate::batch::item_end::{commit_end, store_output};
use crate::batch::item_run::{ItemRun, ItemRunEnd};
use crate::batch::pending_item::PendingItem;
use crate::batch::progress::{ProgressWriter, RunProgress};
use crate::batch::replica::JobReplica;
use crate::batch::shards::ShardAssignment;
use crate::log_access::NewEntry;
use crate::panic_guard::contain_async;
use crate::route_state::RouteLookup;

/// Longest time between two scans for items to start.
const SCAN_PERIOD: Duration = Duration::from_millis(500);
/// Most items that are started here for the same groups of upstreams: as many as may run. Those that wait
/// for a slot need little memory.
const MAX_STARTED_ITEMS: usize = MAX_RUNNING_ITEMS;
/// How long the records of a rejected submission are kept: far longer than an append that got no
/// reply may take, so that a late one is rejected, too.
const REJECTION_RETENTION: Duration = Duration::from_secs(30);

/// Configuration of a batch worker.
pub struct WorkerConfig {
    /// Finds the route of a job.
    pub find_route: RouteFinder,
    /// How long a job can be read after its submission.
    pub retention: Duration,
}

/// Starts pending items of this instance's shards and appends their ends to the log.
pub struct BatchWorker {
    replica: Arc<JobReplica>,
    shards: Arc<ShardAssignment>,
    writer: ProgressWriter,
    context: Arc<ItemContext>,
    config: WorkerConfig,
    running: Arc<StateMutex<HashMap<JobId, RunningJob>>>,
    refused: Arc<StateMutex<RefusedItems<ItemKey>>>,
    tasks: TaskTracker,
}

type ItemKey = (JobId, ItemId);

#[derive(Default)]
struct RunningJob {
    items: HashSet<ItemId>,
    cancel: CancellationToken,
}

impl BatchWorker {
    /// Creates a worker that runs nothing yet.
    pub fn new(
        replica: Arc<JobReplica>,
        shards: Arc<ShardAssignment>,
        writer: ProgressWriter,
        context: Arc<ItemContext>,
        config: WorkerConfig,
    ) -> Self {
        Self {
            replica,
            shards,
            writer,
            context,
            config,
            running: Arc::default(),
            refused: Arc::default(),
            tasks: TaskTracker::new(),
        }
    }

    /// Runs until the token is cancelled, then hands running items over to their next owner.
    pub async fn run(self, stop: CancellationToken) {
        let mut changes = self.replica.watch();
        while !stop.is_cancelled() {
            changes.borrow_and_update();
            self.cancel_ended_jobs();
            self.forget_ended_refusals();
            for pending in self.startable_items() {
                self.start_item(pending, &stop);
            }
            self.delete_expired_job();
            self.delete_rejected_job();
            // The wait ends early when the jobs change; a stop is seen in the loop's condition.
            let changed = timeout(SCAN_PERIOD, changes.changed());
            stop.run_until_cancelled(changed).await;
        }
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Cancels the running items of jobs that their callers ended.
    fn cancel_ended_jobs(&self) {
        let running = self.running.lock();
        for (id, job) in running.iter() {
            let ended = self
                .replica
                .with_table(|table| table.job(id).is_some_and(|job| job.is_ended()));
            if ended && !job.cancel.is_cancelled() {
                log::info!(
                    "event=job_runs_cancelled job={id} items={}",
                    job.items.len()
                );
                job.cancel.cancel();
            }
        }
    }

    /// Forgets the refused items of jobs that have ended.
    fn forget_ended_refusals(&self) {
        let mut refused = self.refused.lock();
        self.replica.with_table(|table| {
            let is_open = |job: &TrackedJob| !job.is_ended() && !job.is_complete();
            refused.retain(|(id, _)| table.job(id).is_some_and(is_open));
        });
    }

    /// Returns the items to start, oldest jobs first, up to the limit of each set of groups.
    fn startable_items(&self) -> Vec<PendingItem> {
        if !self.replica.has_progress() {
            return Vec::new();
        }
        let running = self.running.lock();
        let refused = self.refused.lock();
        let (now_ms, steady_now_ms) = (unix_ms(), steady_ms());
        let passes = match refused.is_empty() {
            true => &[StartPass::Fresh][..],
            false => &StartPass::ALL[..],
        };
        let takes = |pass: StartPass, id: &JobId, item: &ItemId| {
            if refused.is_empty() {
                return true;
            }
            let key = (id.clone(), item.clone());
            pass.takes(refused.contains(&key)) && refused.is_due(&key, steady_now_ms)
        };
        self.replica.with_table(|table| {
            let mut limit = self.count_started(table, &running, &refused);
            let open = table
                .jobs()
                .filter(|(_, job)| !job.is_ended() && !job.is_complete());
            let submitted = open.filter_map(|(id, job)| Some((id, job, job.submission()?)));
            let mut submitted: Vec<_> = submitted.collect();
            submitted.sort_by_key(|(_, _, submission)| submission.received_ms);
            let mut startable = Vec::new();
            let mut chosen = HashSet::new();
            let jobs = passes.iter().flat_map(|pass| {
                let jobs = submitted.iter();
                jobs.map(move |(id, job, submission)| (*pass, *id, *job, *submission))
            });
            for (pass, id, job, submission) in jobs {
                let groups = self.groups(submission);
                let running_job = running.get(id);
                let known_for =
                    Duration::from_millis(now_ms.saturating_sub(submission.received_ms));
                for (index, item) in submission.items.iter().enumerate() {
                    if !limit.has_room(&groups, pass) {
                        break;
                    }
                    let is_running = running_job.is_some_and(|job| job.items.contains(&item.id));
                    if job.is_item_done(&item.id)
                        || is_running
                        || !self.shards.may_run(item.id.as_str(), known_for)
                        || is_claimed(job, &item.id, &self.shards)
                        || !takes(pass, id, &item.id)
                        || !chosen.insert((id, index))
                    {
                        continue;
                    }
                    limit.count(groups.clone(), 1);
                    if pass != StartPass::Fresh {
                        limit.count_returned(groups.clone(), 1);
                    }
                    startable.push(pending_item(job, submission, index));
                }
            }
            startable
        })
    }

    /// Counts the items that wait or run here, without those that are held back.
    fn count_started(
        &self,
        table: &JobTable,
        running: &HashMap<JobId, RunningJob>,
        refused: &RefusedItems<ItemKey>,
    ) -> StartLimit<Vec<UpstreamGroupId>> {
        let mut limit = StartLimit::new(MAX_STARTED_ITEMS);
        for (id, job) in running {
            let submission = table.job(id).and_then(|job| job.submission());
            let groups = submission.map(|submission| self.groups(submission));
            let held = self.context.held_items.count(id);
            let started = job.items.len().saturating_sub(held);
            let groups = groups.unwrap_or_default();
            if !refused.is_empty() {
                let was_refused = |item: &&ItemId| refused.contains(&(id.clone(), (*item).clone()));
                let returned = job.items.iter().filter(was_refused).count();
                limit.count_returned(groups.clone(), returned);
            }
            limit.count(groups, started);
        }
        limit
    }

    /// Groups that the items of a job can be sent to; none while its route is not known.
    fn groups(&self, submission: &SubmittedJob) -> Vec<UpstreamGroupId> {
        let find_route = &self.config.find_route;
        match find_route(submission.revision, &submission.host, &submission.path) {
            RouteLookup::Found(route) => {
                let shares = route.shares.iter();
                shares.map(|share| share.group.clone()).collect()
            }
            RouteLookup::NotLoaded | RouteLookup::Outdated(_) | RouteLookup::NotFound(_) => {
                Vec::new()
            }
        }
    }

    /// Creates the check that an item may still be started here.
    fn start_check(&self, id: &JobId, item: &ItemId) -> StartCheck {
        let (replica, shards) = (self.replica.clone(), self.shards.clone());
        let (id, item) = (id.clone(), item.clone());
        Box::new(move || {
            let is_open = |job: &TrackedJob| !job.is_item_done(&item);
            let is_free = |job: &TrackedJob| is_open(job) && !is_claimed(job, &item, &shards);
            shards.may_run(item.as_str(), Duration::ZERO)
                && replica.has_progress()
                && replica.with_table(|table| table.job(&id).is_some_and(is_free))
        })
    }

    fn start_item(&self, pending: PendingItem, stop: &CancellationToken) {
        let mut running = self.running.lock();
        let job = running.entry(pending.job.clone()).or_default();
        job.items.insert(pending.item.id.clone());
        let cancel = job.cancel.clone();
        drop(running);
        let (id, item) = (pending.job.clone(), pending.item.id.clone());
        let find_route = self.config.find_route.clone();
        let progress = Arc::new(RunProgress::new(
            id.clone(),
            item.clone(),
            self.writer.clone(),
        ));
        let may_start = self.start_check(&id, &item);
        let context = self.context.clone();
        let refused = self.refused.clone();
        let (limits, key) = (self.refused.clone(), (id.clone(), item.clone()));
        let was_refused = self.refused.lock().contains(&key);
        let allowed_refusals = Box::new(move |fit| limits.lock().allowed_refusals(&key, fit));
        let run = ItemRun::new(context, pending, find_route, may_start, progress.clone())
            .with_refusals(was_refused, allowed_refusals);
        let (committer, replica) = (self.writer.committer.clone(), self.replica.clone());
        let blobs = self.writer.blobs.clone();
        let (running, stop) = (self.running.clone(), stop.clone());
        let (job, name) = (id.clone(), item.clone());
        let run = async move {
            match stop
                .run_until_cancelled(cancel.run_until_cancelled(run.run()))
                .await
            {
                None => progress.hand_over().await,
                Some(None) => progress.delete().await,
                Some(Some(ItemRunEnd::NotStarted)) => {}
                Some(Some(ItemRunEnd::Refused(fit))) => set_aside(&refused, (id, item), fit),
                Some(Some(end)) => {
                    refused.lock().remove(&(id.clone(), item.clone()));
                    let finish = async {
                        let end = store_output(&blobs, &progress, &id, end).await;
                        commit_end(&committer, &replica, &id, &item, end).await;
                        progress.delete().await;
                    };
                    cancel.run_until_cancelled(finish).await;
                }
            }
        };
        self.tasks.spawn(async move {
            if let Err(why) = contain_async(run).await {
                log::error!("event=item_panicked job={job} item={name} why={why:?}");
            }
            remove_run(&running, &job, &name);
        });
    }

    /// Deletes the records of one job whose retention time is over.
    fn delete_expired_job(&self) {
        let now_ms = unix_ms();
        let retention_ms = self.config.retention.as_millis() as u64;
        let expired = self.replica.with_table(|table| {
            let expired = table.jobs().filter(|(id, job)| {
                let received_ms = job
                    .submission()
                    .map_or(now_ms, |submission| submission.received_ms);
                let age_ms = now_ms.saturating_sub(received_ms);
                let open = !job.is_ended() && !job.is_complete();
                !open
                    && age_ms > retention_ms
                    && !table.has_rejection_before(job.last_offset())
                    && self.shards.may_run(id.as_str(), Duration::MAX)
            });
            expired.map(|(id, _)| id.clone()).next()
        });
        let Some(id) = expired else {
            return;
        };
        let refs = self
            .replica
            .with_table(|table| table.job(&id).map(|job| job.blobs()).unwrap_or_default());
        let keys = self.replica.keys(&id);
        log::info!("event=job_deleted job={id} records={}", keys.len());
        self.delete_progress(&id);
        self.delete_records(id, keys, refs);
    }

    /// Deletes what is left of a job's progress, after instances that ended before they did so.
    fn delete_progress(&self, id: &JobId) {
        let keys = self.replica.progress_keys(id).into_iter();
        let records: Vec<_> = keys.map(|key| NewEntry { key, value: None }).collect();
        if records.is_empty() {
            return;
        }
        let (committer, id) = (self.writer.progress_committer.clone(), id.clone());
        self.tasks.spawn(async move {
            if let Err(e) = committer.append_records(records, false).await {
                log::warn!(
                    "event=job_progress_not_deleted job={id} error={:?}",
                    e.to_string()
                );
            }
        });
    }

    /// Deletes the records of one rejected submission that is old enough.
    fn delete_rejected_job(&self) {
        let now_ms = steady_ms();
        let retention_ms = REJECTION_RETENTION.as_millis() as u64;
        let expired = self.replica.with_table(|table| {
            let mut expired = table.rejected().filter(|rejected| {
                let id = rejected.job.job.as_str();
                now_ms.saturating_sub(rejected.read_ms) > retention_ms
                    && self.shards.may_run(id, Duration::MAX)
            });
            expired.next().map(|rejected| rejected.job.clone())
        });
        let Some(job) = expired else {
            return;
        };
        let keys = self.replica.rejected_keys(job.call);
        log::info!(
            "event=rejected_job_deleted job={} records={}",
            job.job,
            keys.len()
        );
        self.delete_records(job.job, keys, vec![job.bodies]);
    }

    /// Deletes blobs and records of a job in the background.
    fn delete_records(&self, id: JobId, keys: Vec<String>, refs: Vec<BlobRef>) {
        let records = keys.into_iter();
        let records: Vec<_> = records.map(|key| NewEntry { key, value: None }).collect();
        let committer = self.writer.committer.clone();
        let blobs = self.writer.blobs.clone();
        self.tasks.spawn(async move {
            // Blobs go first: while the job's own records exist, a failed deletion is retried.
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

fn pending_item(job: &TrackedJob, submission: &SubmittedJob, index: usize) -> PendingItem {
    let item = &submission.items[index];
    PendingItem {
        job: submission.job.clone(),
        item: item.clone(),
        index,
        bodies: submission.bodies.clone(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        received_ms: submission.received_ms,
        revision: submission.revision,
        caller: submission.caller.clone(),
        saved_output: job.partial_output(&item.id).cloned(),
    }
}

/// Whether another live instance has claimed an item.
fn is_claimed(job: &TrackedJob, item: &ItemId, shards: &ShardAssignment) -> bool {
    let is_alive = |member: &str| shards.is_member(member);
    job.is_claimed(item, shards.member(), is_alive, steady_ms())
}

/// Leaves an item to be started again after a pause, which lets others start.
fn set_aside(refused: &StateMutex<RefusedItems<ItemKey>>, key: ItemKey, fit: ItemFit) {
    let (job, item) = key.clone();
    let pause_ms = refused.lock().set_aside(key, fit, steady_ms());
    metrics::counter!("items_set_aside_total").increment(1);
    log::info!("event=item_set_aside job={job} item={item} fit={fit:?} pause_ms={pause_ms}");
}

fn remove_run(running: &StateMutex<HashMap<JobId, RunningJob>>, id: &JobId, item: &ItemId) {
    let mut running = running.lock();
    if let Some(job) = running.get_mut(id) {
        job.items.remove(item);
        if job.items.is_empty() {
            running.remove(id);
        }
    }
}
