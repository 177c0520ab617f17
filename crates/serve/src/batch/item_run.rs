//! One item of a batch job: attempts until it has an end.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::event_framing::EventFraming;
use amaranth_kernel::route_table::{RouteKind, RouteRule};
use amaranth_net::clock::unix_ms;
use amaranth_net::telemetry::quote;
use amaranth_wire::batch_entry::{BlobRef, PartialOutput, SubmittedItem};
use amaranth_wire::id::{JobId, UpstreamGroupId};
use amaranth_wire::placement_message::PlacementDemand;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use rand::RngExt;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};

use crate::attempt::{AttemptEnd, AttemptLimits, ForwardRequest, attempt};
use crate::batch::blobs::BlobStore;
use crate::batch::board::JobBoard;
use crate::batch::progress::RunProgress;
use crate::batch::reading::body_of;
use crate::call::UpstreamCodec;
use crate::connection_pool::OpenAnswer;
use crate::placement_service::PlacementService;
use crate::route_state::RouteLookup;
use crate::upstream_pool::{PoolStep, UpstreamPermit};

/// Longest silence of an upstream before its connection is given up: an engine that preempts an
/// item reads it again from the start, which takes well under this.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);
/// Tries to read what an earlier run has brought, before the item starts anew.
const MAX_KEPT_READS: u32 = 5;
/// Pause after a try that found no room, from half to one and a half of it.
const ROOM_PAUSE: Duration = Duration::from_millis(100);

/// Finds the route of an item in the configuration in force.
pub type RouteFinder = Arc<dyn Fn() -> RouteLookup + Send + Sync>;

/// Makes the finder of a job's route, by its host and path.
pub type RouteFinders = Arc<dyn Fn(&str, &str) -> RouteFinder + Send + Sync>;

/// What running items needs.
pub struct ItemPath {
    /// Finds places at upstreams.
    pub places: Arc<PlacementService>,
    /// How they are spoken to.
    pub codec: UpstreamCodec,
    /// Bodies and outputs.
    pub blobs: Arc<BlobStore>,
    /// Tells whether ends of jobs would be known here.
    pub board: Arc<JobBoard>,
    /// Held by the item that looks for a place: items take turns in the order of their start.
    pub turn: Mutex<()>,
}

/// An item that waits for its first run.
pub struct ItemStart {
    /// Its job.
    pub job: JobId,
    /// The item.
    pub item: SubmittedItem,
    /// Its place in the job.
    pub index: usize,
    /// Where the bodies of the job's items lie.
    pub bodies: BlobRef,
    /// Host of the route.
    pub host: String,
    /// Path that the job was sent to.
    pub path: String,
    /// When the job was received, in milliseconds of Unix time.
    pub received_ms: u64,
    /// What an earlier run has brought.
    pub kept: Option<PartialOutput>,
}

/// Tells whether an item that did not run yet may still be started here.
pub type StartCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// One item that runs.
pub struct ItemRun {
    path: Arc<ItemPath>,
    start: ItemStart,
    body: Option<Bytes>,
    find_route: RouteFinder,
    may_start: StartCheck,
    progress: Arc<RunProgress>,
    failures: u32,
    failed_reads: u32,
}

/// How an item ended, with its output.
pub enum ItemRunEnd {
    /// With its whole output.
    Succeeded(String),
    /// Without.
    Errored,
    /// It was left to another instance before it ran.
    Left,
}

async fn pause() {
    let factor = rand::rng().random_range(0.5..1.5);
    sleep(ROOM_PAUSE.mul_f64(factor)).await;
}

enum ItemStep {
    End(ItemRunEnd),
    Again,
    Wait,
}

impl ItemRun {
    /// An item that was not run yet.
    pub fn new(
        path: Arc<ItemPath>,
        start: ItemStart,
        find_route: RouteFinder,
        may_start: StartCheck,
        progress: Arc<RunProgress>,
    ) -> Self {
        Self {
            path,
            start,
            body: None,
            find_route,
            may_start,
            progress,
            failures: 0,
            failed_reads: 0,
        }
    }

    /// Runs until the item has an end.
    pub async fn run(mut self) -> ItemRunEnd {
        loop {
            match self.step().await {
                ItemStep::End(end) => return end,
                ItemStep::Again => {}
                ItemStep::Wait => pause().await,
            }
        }
    }

    async fn step(&mut self) -> ItemStep {
        if !self.path.board.is_fresh() {
            return ItemStep::Wait;
        }
        let route = match (self.find_route)() {
            RouteLookup::Found(route) => route,
            RouteLookup::NotLoaded => return ItemStep::Wait,
            RouteLookup::NotFound => {
                self.note_end("the route is gone");
                return ItemStep::End(ItemRunEnd::Errored);
            }
        };
        if self.is_given_up(&route) {
            self.note_end("given up");
            return ItemStep::End(ItemRunEnd::Errored);
        }
        let Some(group) = route.pick_group(rand::rng().random()) else {
            return ItemStep::Wait;
        };
        let Some(place) = self.find_place(group).await else {
            return ItemStep::Again;
        };
        if !self.progress.has_started() && !(self.may_start)() {
            return ItemStep::End(ItemRunEnd::Left);
        }
        let gives_way = place.preempted();
        match gives_way
            .run_until_cancelled(self.attempt(place, &route))
            .await
        {
            Some(step) => step,
            // The attempt's connection is closed; what it brought is kept.
            None => ItemStep::Again,
        }
    }

    /// Waits for its turn and looks for a place; pauses if there is none.
    async fn find_place(&self, group: &UpstreamGroupId) -> Option<UpstreamPermit> {
        let _turn = self.path.turn.lock().await;
        match self
            .path
            .places
            .acquire(group, PlacementDemand::Batch, &[])
            .await
        {
            PoolStep::Send(place) => Some(place),
            PoolStep::Refuse { .. } | PoolStep::NoUpstream => {
                pause().await;
                None
            }
        }
    }

    fn is_given_up(&self, route: &RouteRule) -> bool {
        let RouteKind::Batch { give_up_ms, .. } = route.kind else {
            return false;
        };
        unix_ms() > self.start.received_ms.saturating_add(give_up_ms)
    }

    /// Reads the body and what an earlier run has brought. Without the latter, which may be gone,
    /// the item starts anew after some tries.
    async fn load(&mut self) -> Result<(), String> {
        if self.body.is_none() {
            let (bodies, index) = (&self.start.bodies, self.start.index);
            let body = body_of(&self.path.blobs, bodies, index).await?;
            self.body = Some(body.into());
        }
        let Some(kept) = self.start.kept.take() else {
            return Ok(());
        };
        let read = self.path.blobs.get(&kept.text).await;
        let text = read
            .map_err(|e| e.to_string())
            .and_then(|bytes| String::from_utf8(bytes.to_vec()).map_err(|e| e.to_string()));
        match text {
            Ok(text) => {
                let (job, item, after) = (&self.start.job, &self.start.item.id, kept.last_event);
                log::info!("event=item_resumed job={job} item={item} after={after}");
                self.progress.resume(kept.last_event, text);
                Ok(())
            }
            Err(why) => {
                self.failed_reads += 1;
                self.start.kept = (self.failed_reads < MAX_KEPT_READS).then_some(kept);
                Err(why)
            }
        }
    }

    async fn attempt(&mut self, place: UpstreamPermit, route: &RouteRule) -> ItemStep {
        if let Err(why) = self.load().await {
            self.note_break("none", &why);
            return ItemStep::Wait;
        }
        self.progress.tell();
        let Some(request) = self.request() else {
            self.note_end("the item names no request");
            return ItemStep::End(ItemRunEnd::Errored);
        };
        let limits = AttemptLimits {
            head_deadline: Instant::now() + SILENCE_LIMIT,
            remaining: None,
            resume_after: self.progress.last_event(),
        };
        let path = self.path.clone();
        match attempt(&path.places.pool, &path.codec, place, &request, limits).await {
            AttemptEnd::Answer(answer, place) => self.read(*answer, place, route).await,
            AttemptEnd::NotRun { .. } => ItemStep::Wait,
            AttemptEnd::Broken { why, upstream } => {
                self.note_break(upstream.as_str(), &why);
                ItemStep::Again
            }
        }
    }

    async fn read(
        &mut self,
        mut answer: OpenAnswer,
        place: UpstreamPermit,
        route: &RouteRule,
    ) -> ItemStep {
        let status = answer.status();
        if status == StatusCode::UNPROCESSABLE_ENTITY {
            self.note_end("the upstream can't do it");
            place.note_success(None);
            return ItemStep::End(ItemRunEnd::Errored);
        }
        if !status.is_success() {
            self.failures += 1;
            let why = format!("answered {}", status.as_u16());
            self.note_break(place.upstream.as_str(), &why);
            if status == StatusCode::INTERNAL_SERVER_ERROR && self.failures >= route.max_attempts {
                self.note_end("it failed too often");
                return ItemStep::End(ItemRunEnd::Errored);
            }
            return ItemStep::Wait;
        }
        match self.read_events(&mut answer).await {
            Ok(()) => {
                place.note_success(None);
                answer.finish();
                ItemStep::End(ItemRunEnd::Succeeded(self.progress.text()))
            }
            Err(why) => {
                place.note_failure();
                self.note_break(place.upstream.as_str(), &why);
                ItemStep::Again
            }
        }
    }

    async fn read_events(&mut self, answer: &mut OpenAnswer) -> Result<(), String> {
        let mut framing = EventFraming::new();
        loop {
            let chunk = match timeout(SILENCE_LIMIT, answer.next_chunk()).await {
                Ok(Ok(Some(chunk))) => chunk,
                Ok(Ok(None)) if framing.has_partial() => {
                    return Err("the stream ends within an event".to_owned());
                }
                Ok(Ok(None)) => return Ok(()),
                Ok(Err(e)) => return Err(e.to_string()),
                Err(_) => return Err("no event in time".to_owned()),
            };
            framing
                .push(&chunk)
                .map_err(|_| "an event is too long".to_owned())?;
            while let Some(event) = framing.next_event() {
                let last_event = self.progress.last_event();
                let due = last_event.map_or(event.id, |last| Some(last + 1));
                if event.id != due {
                    return Err(format!("event {:?} where {due:?} is due", event.id));
                }
                self.progress.add(event.id, event.data());
            }
            self.progress.tell();
        }
    }

    fn request(&self) -> Option<ForwardRequest> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.start.item.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.insert(name, HeaderValue::from_str(value).ok()?);
        }
        headers.insert(
            http::header::HOST,
            HeaderValue::from_str(&self.start.host).ok()?,
        );
        Some(ForwardRequest {
            id: self.start.item.id.as_str().parse().ok()?,
            method: Method::POST,
            path: self.start.item.path.clone(),
            headers,
            body: self.body.clone().unwrap_or_default(),
        })
    }

    fn note_break(&self, upstream: &str, why: &str) {
        log::info!(
            "event=item_attempt_failed job={} item={} upstream={upstream} why={} last_event={:?} failures={}",
            self.start.job,
            self.start.item.id,
            quote(why),
            self.progress.last_event(),
            self.failures,
        );
    }

    fn note_end(&self, why: &str) {
        log::info!(
            "event=item_errored job={} item={} why={}",
            self.start.job,
            self.start.item.id,
            quote(why)
        );
    }
}
