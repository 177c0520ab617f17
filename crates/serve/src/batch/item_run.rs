//! Runs one item of a batch job: retries attempts until the item succeeds or fails for good.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::attempt_plan::{AnswerProgress, FailureCause, FailureProof};
use amaranth_kernel::item_order::WaitingItem;
use amaranth_kernel::refused_items::ItemFit;
use amaranth_kernel::route_table::{RouteKind, RouteRule};
use amaranth_net::clock::unix_ms;
use amaranth_net::telemetry::quote;
use amaranth_wire::id::{ConfigRevision, PromptPartId, RequestId, UpstreamGroupId};
use amaranth_wire::placement_message::PlacementDemand;
use http::{Method, StatusCode};
use rand::RngExt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep, timeout};

use crate::attempt::{
    AttemptEnd, AttemptLimits, BrokenAnswer, FailedAttempt, ForwardRequest, attempt, join_parts,
};
use crate::batch::held_items::HeldItem;
use crate::batch::item_context::{ItemContext, RefusalLimit, RouteFinder, StartCheck};
use crate::batch::item_head::ItemHead;
use crate::batch::item_output::{IDLE_TIMEOUT, read_output};
use crate::batch::pending_item::{LoadedRequest, PendingItem};
use crate::batch::progress::{HeldOutput, RunProgress};
use crate::batch::retry_delay::RetryDelay;
use crate::connection_pool::OpenAnswer;
use crate::quarantine_service::LostRequest;
use crate::route_state::RouteLookup;
use crate::upstream_pool::{PoolStep, UpstreamPermit};

/// Attempts to read the output of an earlier run, before the item starts from the beginning.
const MAX_OUTPUT_READS: u32 = 5;
/// Interval at which a held item is checked.
const HOLD_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// State of one item's run.
pub struct ItemRun {
    context: Arc<ItemContext>,
    pending: PendingItem,
    request: Option<LoadedRequest>,
    find_route: RouteFinder,
    may_start: StartCheck,
    progress: Arc<RunProgress>,
    failures: u32,
    failed_reads: u32,
    /// Whether the item was set aside since it last ran.
    was_refused: bool,
    /// Whether the item may have run in this run. The end of the run would lose its output and its failures.
    has_run: bool,
    /// Refusals in this run.
    refusals: u32,
    /// Refusals in a row after which the item is set aside.
    allowed_refusals: RefusalLimit,
    /// Delay after an attempt that is lost before the first event.
    loss_delay: RetryDelay,
    /// Shared parts of the item's prompt; empty before its request is read.
    shared_parts: Vec<PromptPartId>,
    held: Option<HeldItem>,
    /// Whether it was logged that the item waits for a newer configuration.
    wait_logged: bool,
}

/// How an item's run ended.
pub enum ItemRunEnd {
    /// The upstream answered completely; holds the complete output.
    Succeeded(HeldOutput),
    /// The item failed for good.
    Errored,
    /// The item was left to another instance before it ran.
    NotStarted,
    /// Upstreams refused the item, which hasn't run yet, again and again.
    Refused(ItemFit),
}

enum ItemStep {
    End(ItemRunEnd),
    Retry,
    RetryLater,
    /// An upstream refused the item as not run.
    RetryAfterRefusal(ItemFit),
    /// An upstream ended the connection before the first event.
    RetryAfterLoss,
    /// The item's prompt crashes upstreams.
    Hold,
}

impl ItemRun {
    /// Creates a run that has made no attempts.
    pub fn new(
        context: Arc<ItemContext>,
        pending: PendingItem,
        find_route: RouteFinder,
        may_start: StartCheck,
        progress: Arc<RunProgress>,
    ) -> Self {
        Self {
            context,
            pending,
            request: None,
            find_route,
            may_start,
            progress,
            failures: 0,
            failed_reads: 0,
            was_refused: false,
            has_run: false,
            refusals: 0,
            allowed_refusals: Box::new(|_| u32::MAX),
            loss_delay: RetryDelay::default(),
            shared_parts: Vec::new(),
            held: None,
            wait_logged: false,
        }
    }

    /// Sets whether upstreams have refused the item before, and after how many refusals its run ends.
    pub fn with_refusals(self, was_refused: bool, allowed_refusals: RefusalLimit) -> Self {
        Self {
            was_refused,
            allowed_refusals,
            ..self
        }
    }

    /// Makes attempts until the item has ended.
    pub async fn run(mut self) -> ItemRunEnd {
        loop {
            match self.run_once().await {
                ItemStep::End(end) => return end,
                ItemStep::Retry => {}
                ItemStep::RetryLater => RetryDelay::default().wait().await,
                ItemStep::RetryAfterRefusal(fit) => {
                    self.refusals += 1;
                    if !self.has_run && self.refusals >= (self.allowed_refusals)(fit) {
                        return ItemRunEnd::Refused(fit);
                    }
                    RetryDelay::default().wait().await;
                }
                ItemStep::RetryAfterLoss => {
                    self.loss_delay.wait().await;
                    self.loss_delay.double();
                }
                ItemStep::Hold => self.hold().await,
            }
        }
    }

    /// Waits while the item's prompt crashes upstreams. A quarantine may end before the job's
    /// deadline.
    async fn hold(&mut self) {
        if self.held.is_none() {
            self.held = Some(self.context.held_items.add(&self.pending.job));
            let (job, item) = (&self.pending.job, &self.pending.item.id);
            let parts = join_parts(&self.shared_parts);
            log::info!("event=item_held job={job} item={item} parts={parts}");
        }
        sleep(HOLD_CHECK_PERIOD).await;
        if !self.is_quarantined() {
            self.held = None;
        }
    }

    fn is_quarantined(&self) -> bool {
        self.context.quarantine.is_held(&self.shared_parts)
    }

    async fn run_once(&mut self) -> ItemStep {
        if !self.context.replica.is_fresh() {
            return ItemStep::RetryLater;
        }
        let pending = &self.pending;
        let route = match (self.find_route)(pending.revision, &pending.host, &pending.path) {
            RouteLookup::Found(route) => route,
            RouteLookup::NotLoaded => return ItemStep::RetryLater,
            RouteLookup::Outdated(known) => {
                self.log_waiting(known);
                return ItemStep::RetryLater;
            }
            RouteLookup::NotFound(revision) => {
                self.log_errored(&format!("route removed from the configuration {revision}"));
                return ItemStep::End(ItemRunEnd::Errored);
            }
        };
        if self.is_past_deadline(&route) {
            self.log_errored("job deadline passed");
            return ItemStep::End(ItemRunEnd::Errored);
        }
        if self.is_quarantined() {
            return ItemStep::Hold;
        }
        let Some(group) = route.pick_group(rand::rng().random()) else {
            return ItemStep::RetryLater;
        };
        self.drop_large_request();
        let waiting = self.waiting_item(&route);
        let Some((permit, _run_slot)) = self.acquire_permit(group, waiting).await else {
            return ItemStep::Retry;
        };
        if !self.progress.has_started() && !(self.may_start)() {
            return ItemStep::End(ItemRunEnd::NotStarted);
        }
        let preempted = permit.preempted();
        match preempted
            .run_until_cancelled(self.attempt(permit, &route, group))
            .await
        {
            Some(step) => step,
            // Dropping the attempt closed its connection; its output so far is kept.
            None => ItemStep::Retry,
        }
    }

    /// Logs once that the configuration in force is older than that of the item's job.
    fn log_waiting(&mut self, known: ConfigRevision) {
        if std::mem::replace(&mut self.wait_logged, true) {
            return;
        }
        let (job, item, needed) = (
            &self.pending.job,
            &self.pending.item.id,
            self.pending.revision,
        );
        log::info!(
            "event=item_waits_for_configuration job={job} item={item} revision={needed} known={known}"
        );
    }

    fn waiting_item(&self, route: &RouteRule) -> WaitingItem {
        let received_ms = self.pending.received_ms;
        let target_ms = match route.kind {
            RouteKind::Batch {
                completion_target_ms,
                ..
            } => completion_target_ms,
            _ => u64::MAX,
        };
        WaitingItem {
            received_ms,
            due_ms: received_ms.saturating_add(target_ms),
            was_refused: self.was_refused,
        }
    }

    /// Waits for the item's turn and requests a permit; delays if none is granted. The slot of this
    /// instance is held for as long as the item runs.
    async fn acquire_permit(
        &self,
        group: &UpstreamGroupId,
        waiting: WaitingItem,
    ) -> Option<(UpstreamPermit, OwnedSemaphorePermit)> {
        let context = &self.context;
        let _turn = context.queue.take_turn(group, waiting).await;
        if let Ok(run_slot) = context.run_slots.clone().try_acquire_owned() {
            let placed = context
                .placement
                .acquire(group, PlacementDemand::Batch, None, &[])
                .await;
            if let PoolStep::Send(permit) = placed {
                return Some((permit, run_slot));
            }
        }
        RetryDelay::default().wait().await;
        None
    }

    /// When the item is given up, in milliseconds of Unix time; `None` if its route isn't one of jobs.
    fn give_up_ms(&self, route: &RouteRule) -> Option<u64> {
        match route.kind {
            RouteKind::Batch { give_up_ms, .. } => {
                Some(self.pending.received_ms.saturating_add(give_up_ms))
            }
            _ => None,
        }
    }

    fn is_past_deadline(&self, route: &RouteRule) -> bool {
        let give_up_ms = self.give_up_ms(route);
        give_up_ms.is_some_and(|give_up_ms| unix_ms() > give_up_ms)
    }

    /// Compares the item with the memory of the upstreams that may serve it.
    fn fit(&self, route: &RouteRule) -> ItemFit {
        let groups = route.shares.iter().map(|share| &share.group);
        let memories = groups.map(|group| (self.context.memory_tokens)(group));
        ItemFit::new(self.pending.item.tokens, memories)
    }

    /// Keeps no large body while the item waits for its turn.
    fn drop_large_request(&mut self) {
        self.request.take_if(|loaded| loaded.is_large());
    }

    /// Reads the body and the output of an earlier run. That output may have been deleted: after
    /// [`MAX_OUTPUT_READS`] failed reads the item starts from the beginning.
    async fn load_input(&mut self) -> Result<(), String> {
        if self.request.is_none() {
            self.request = Some(LoadedRequest::load(&self.context, &self.pending).await?);
        }
        let Some(saved_output) = self.pending.saved_output.clone() else {
            return Ok(());
        };
        let reserved = self.progress.reserve(saved_output.text.bytes as usize);
        reserved.map_err(|over| over.to_string())?;
        self.pending.saved_output = None;
        let read = self.context.blobs.get(&saved_output.text).await;
        let text = read
            .map_err(|e| e.to_string())
            .and_then(|bytes| String::from_utf8(bytes.to_vec()).map_err(|e| e.to_string()));
        match text {
            Ok(text) => {
                let (job, item, after) = (
                    &self.pending.job,
                    &self.pending.item.id,
                    saved_output.last_event,
                );
                log::info!("event=item_resumed job={job} item={item} after={after}");
                self.has_run = true;
                self.progress.resume(saved_output.last_event, text);
                Ok(())
            }
            Err(why) => {
                self.failed_reads += 1;
                self.pending.saved_output =
                    (self.failed_reads < MAX_OUTPUT_READS).then_some(saved_output);
                Err(why)
            }
        }
    }

    async fn attempt(
        &mut self,
        permit: UpstreamPermit,
        route: &RouteRule,
        group: &UpstreamGroupId,
    ) -> ItemStep {
        if let Err(why) = self.load_input().await {
            self.log_failed_attempt("none", &why);
            return ItemStep::RetryLater;
        }
        self.progress.save_if_due();
        let Some(request) = self.build_request() else {
            self.log_errored("invalid request id or header");
            return ItemStep::End(ItemRunEnd::Errored);
        };
        self.shared_parts = request.shared_parts.clone();
        if self.context.quarantine.is_held_at_send(&self.shared_parts) {
            return ItemStep::Hold;
        }
        let limits = AttemptLimits {
            head_deadline: Instant::now() + IDLE_TIMEOUT,
            remaining: None,
            resume_after: self.progress.last_event(),
        };
        let context = self.context.clone();
        match attempt(
            &context.placement.pool,
            &context.codec,
            permit,
            &request,
            limits,
        )
        .await
        {
            AttemptEnd::Answer(answer, permit) => {
                (self.has_run, self.was_refused) = (true, false);
                self.handle_answer(*answer, permit, route, group).await
            }
            AttemptEnd::Failed(failed) if failed.proof == FailureProof::NotRun => {
                ItemStep::RetryAfterRefusal(self.fit(route))
            }
            AttemptEnd::Failed(failed) if failed.proof == FailureProof::Unreachable => {
                ItemStep::RetryLater
            }
            AttemptEnd::Failed(failed) => {
                self.has_run = true;
                self.log_failed_attempt(failed.upstream.as_str(), &failed.why);
                self.handle_loss(&failed).await
            }
        }
    }

    async fn handle_answer(
        &mut self,
        mut answer: OpenAnswer,
        permit: UpstreamPermit,
        route: &RouteRule,
        group: &UpstreamGroupId,
    ) -> ItemStep {
        let status = answer.status();
        if status == StatusCode::UNPROCESSABLE_ENTITY {
            self.log_errored("upstream answered 422");
            permit.record_success(None);
            return ItemStep::End(ItemRunEnd::Errored);
        }
        if !status.is_success() {
            self.failures += 1;
            let why = format!("answered {}", status.as_u16());
            self.log_failed_attempt(permit.upstream.as_str(), &why);
            if status == StatusCode::INTERNAL_SERVER_ERROR && self.failures >= route.max_attempts {
                self.log_errored("too many failed attempts");
                return ItemStep::End(ItemRunEnd::Errored);
            }
            return ItemStep::RetryLater;
        }
        let (started, last_before) = (Instant::now(), self.progress.last_event());
        let give_up_ms = self.give_up_ms(route).unwrap_or(u64::MAX);
        let time_left = Duration::from_millis(give_up_ms.saturating_sub(unix_ms()));
        let (context, parts) = (&self.context, &self.shared_parts);
        let read = read_output(context, &self.progress, parts, &mut answer, &permit);
        let read = timeout(time_left, read).await;
        let read = read.unwrap_or_else(|_| Err(BrokenAnswer::new("the job's deadline passed")));
        match read {
            Ok(()) => {
                permit.record_success(None);
                if last_before.is_none() {
                    let run_ms = started.elapsed().as_millis() as f64;
                    self.context.queue.record_run(group, run_ms);
                }
                answer.finish();
                ItemStep::End(ItemRunEnd::Succeeded(self.progress.take_output()))
            }
            Err(broken) => {
                permit.record_failure();
                self.log_failed_attempt(permit.upstream.as_str(), &broken.why);
                let failed = FailedAttempt::from_broken(&permit, broken);
                let failed = failed.with_progress(AnswerProgress::Head);
                let last_event = self.progress.last_event();
                let has_progress = last_event.is_some() && last_event != last_before;
                match self.handle_loss(&failed).await {
                    // An upstream may send what is no answer at once, again and again.
                    ItemStep::Retry if !has_progress => ItemStep::RetryLater,
                    step => step,
                }
            }
        }
    }

    /// Reports a failed attempt whose upstream may have crashed, unless an upstream has answered the
    /// item in part.
    async fn handle_loss(&self, failed: &FailedAttempt) -> ItemStep {
        if failed.cause != FailureCause::ConnectionLost || self.progress.last_event().is_some() {
            return ItemStep::Retry;
        }
        let id = self.pending.item.id.as_str().parse::<RequestId>();
        let address = self.context.placement.pool.address(&failed.upstream);
        if let (Ok(request), Some(address)) = (id, address) {
            let lost = LostRequest {
                request: &request,
                parts: &self.shared_parts,
                failed,
                address,
            };
            self.context.quarantine.report_loss(lost).await;
        }
        ItemStep::RetryAfterLoss
    }

    fn build_request(&self) -> Option<ForwardRequest> {
        let input = self.request.as_ref()?;
        let head = ItemHead::new(&input.request, &self.pending.host).ok()?;
        Some(ForwardRequest {
            id: self.pending.item.id.as_str().parse().ok()?,
            method: Method::POST,
            path: head.path,
            caller: self.pending.caller.clone(),
            shared_parts: (self.context.codec.read_prompt)(&head.headers).shared_ids(),
            work: None,
            headers: head.headers,
            body: input.body.clone(),
            may_return: true,
        })
    }

    fn log_failed_attempt(&self, upstream: &str, why: &str) {
        log::info!(
            "event=item_attempt_failed job={} item={} upstream={upstream} why={} last_event={:?} output_bytes={} failures={}",
            self.pending.job,
            self.pending.item.id,
            quote(why),
            self.progress.last_event(),
            self.progress.output_bytes(),
            self.failures,
        );
    }

    fn log_errored(&self, why: &str) {
        log::info!(
            "event=item_errored job={} item={} why={}",
            self.pending.job,
            self.pending.item.id,
            quote(why)
        );
    }
}
