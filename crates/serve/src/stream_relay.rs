//! Relays an event stream in complete events, and resumes it at another upstream after a failure if
//! the route allows it.

use amaranth_kernel::attempt_plan::AnswerProgress;
use amaranth_kernel::event_framing::EventFraming;
use amaranth_kernel::event_sequence::{EventStep, StreamPosition};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::answer::{BrokenBody, RequestFailure};
use crate::attempt::{BrokenAnswer, FailedAttempt};
use crate::connection_pool::OpenAnswer;
use crate::forward_run::ForwardRun;
use crate::request_trace::RequestTrace;
use crate::upstream_pool::UpstreamPermit;

/// The event stream of one request.
pub struct StreamRelay {
    run: ForwardRun,
    source: Option<(OpenAnswer, UpstreamPermit)>,
    framing: EventFraming,
    /// When the upstream is abandoned unless another event is complete. Bytes that complete no event
    /// don't move it.
    silence_deadline: Instant,
    last_event: Option<u64>,
    /// Whether the current upstream has sent an event.
    has_events: bool,
    /// Failure found behind events that are relayed first.
    broken: Option<BrokenAnswer>,
    head: (StatusCode, HeaderMap),
    request_started: Instant,
    resumed: bool,
    trace: RequestTrace,
}

/// Result of reading from a stream.
enum RelayStep {
    /// Complete events to relay.
    Events(Bytes),
    /// More bytes are needed for a complete event.
    More,
    /// The stream ended after a complete event.
    End,
    /// The stream failed, with the reason.
    Broken(BrokenAnswer),
}

/// Result of relaying events.
pub type Result<T> = std::result::Result<T, BrokenBody>;

impl StreamRelay {
    /// Creates a relay for an answer whose head was received.
    pub fn new(
        run: ForwardRun,
        answer: OpenAnswer,
        permit: UpstreamPermit,
        trace: RequestTrace,
    ) -> Self {
        let request_started = run.started();
        let silence_deadline = run.silence_deadline();
        Self {
            run,
            head: (answer.status(), answer.headers().clone()),
            source: Some((answer, permit)),
            framing: EventFraming::new(),
            silence_deadline,
            last_event: None,
            has_events: false,
            broken: None,
            request_started,
            resumed: false,
            trace,
        }
    }

    /// Returns the next events to relay; `None` at the end of the stream.
    pub async fn next_events(&mut self) -> Option<Result<Bytes>> {
        loop {
            let step = match self.broken.take() {
                Some(broken) => RelayStep::Broken(broken),
                None => self.step().await,
            };
            match self.check_end(step) {
                RelayStep::Events(events) => return Some(Ok(events)),
                RelayStep::More => {}
                RelayStep::End => {
                    self.finish();
                    return None;
                }
                RelayStep::Broken(broken) => {
                    let why = broken.why.clone();
                    if let Err(failure) = self.resume(broken).await {
                        self.end_failed(&failure);
                        return Some(Err(BrokenBody(why)));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        let Some((answer, _)) = &mut self.source else {
            return RelayStep::Broken(BrokenAnswer::new("no upstream to read from"));
        };
        match timeout_at(self.silence_deadline, answer.next_chunk()).await {
            Ok(Ok(Some(chunk))) => match self.framing.push(&chunk) {
                Ok(()) => self.complete_events(),
                Err(_) => RelayStep::Broken(BrokenAnswer::new("an event exceeds the size limit")),
            },
            Ok(Ok(None)) if self.framing.has_partial() => {
                RelayStep::Broken(BrokenAnswer::lost("the stream ended within an event"))
            }
            Ok(Ok(None)) if !answer.is_framed() && self.last_event.is_none() => {
                RelayStep::Broken(BrokenAnswer::lost("the connection ended before an event"))
            }
            Ok(Ok(None)) => RelayStep::End,
            Ok(Err(e)) => RelayStep::Broken(e.into()),
            Err(_) => RelayStep::Broken(BrokenAnswer::new("no event before the silence deadline")),
        }
    }

    /// Returns the complete events received so far. After a resumption, events that the caller
    /// already has are skipped. What doesn't follow fails the stream after the events before it.
    fn complete_events(&mut self) -> RelayStep {
        let mut events = BytesMut::new();
        let mut position = self.position();
        while let Some(event) = self.framing.next_event() {
            self.silence_deadline = self.run.silence_deadline();
            match position.check_event(&event) {
                Ok(EventStep::Skip) => {}
                Ok(EventStep::Relay) => {
                    position.last_event = event.id.or(position.last_event);
                    position.has_events = true;
                    events.extend_from_slice(&event.bytes);
                }
                Err(broken) => {
                    self.broken = Some(BrokenAnswer::new(broken.0));
                    break;
                }
            }
        }
        if events.is_empty() {
            return match self.broken.take() {
                Some(broken) => RelayStep::Broken(broken),
                None => RelayStep::More,
            };
        }
        self.last_event = position.last_event;
        // An upstream that crashes on a request does so as it begins the answer.
        if self.has_events {
            self.run.record_answer();
        }
        self.has_events = true;
        self.record_head();
        self.trace.first_event();
        RelayStep::Events(events.freeze())
    }

    fn position(&self) -> StreamPosition {
        StreamPosition {
            last_event: self.last_event,
            resumed: self.resumed,
            has_events: self.has_events,
        }
    }

    /// Turns the end of a stream that may not be complete into a failure.
    fn check_end(&self, step: RelayStep) -> RelayStep {
        match (step, self.position().check_end()) {
            (RelayStep::End, Err(broken)) => RelayStep::Broken(BrokenAnswer::new(broken.0)),
            (step, _) => step,
        }
    }

    /// Status and headers of the upstream that sent the first event, or ended a stream without events.
    pub fn head(&self) -> (StatusCode, HeaderMap) {
        self.head.clone()
    }

    fn record_head(&mut self) {
        if let Some((answer, _)) = self.source.as_ref().filter(|_| !self.trace.has_begun()) {
            self.head = (answer.status(), answer.headers().clone());
        }
    }

    fn finish(&mut self) {
        self.record_head();
        if let Some((answer, permit)) = self.source.take() {
            let took = self.request_started.elapsed().as_secs_f64() * 1000.0;
            permit.record_success((!self.resumed).then_some(took));
            self.run.record_answer();
            answer.finish();
        }
        self.trace.end("served", "", self.run.count());
    }

    /// Logs the end of a stream that isn't complete. A failure after its first event cuts the answer.
    fn end_failed(&mut self, failure: &RequestFailure) {
        let outcome = match self.trace.has_begun() {
            true => "cut",
            false => failure.outcome(),
        };
        self.trace.end(outcome, &failure.reason(), self.run.count());
    }

    async fn resume(&mut self, broken: BrokenAnswer) -> std::result::Result<(), RequestFailure> {
        let (answer, permit) = self.source.take().ok_or(RequestFailure::Late)?;
        // Closes the connection, which cancels the request at the upstream.
        drop(answer);
        permit.record_failure();
        let progress = match self.has_events {
            true => AnswerProgress::Events,
            false => AnswerProgress::Head,
        };
        let failed = FailedAttempt::from_broken(permit.upstream.clone(), broken);
        let failed = failed.with_progress(progress);
        drop(permit);
        self.framing = EventFraming::new();
        loop {
            self.run.record_failure(failed.clone()).await?;
            let (answer, permit) = self.run.open(self.last_event).await?;
            if answer.may_be_events() {
                self.resumed = true;
                self.has_events = false;
                self.trace
                    .resumed(permit.upstream.as_str(), self.last_event);
                self.source = Some((answer, permit));
                self.silence_deadline = self.run.silence_deadline();
                return Ok(());
            }
        }
    }
}
