//! Relays an event stream in complete events, and resumes it at another upstream after a failure if
//! the route allows it.

use std::time::Duration;

use amaranth_kernel::attempt_plan::AnswerProgress;
use amaranth_kernel::event_sequence::{EventStep, StreamPosition};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use tokio::time::{Instant, timeout_at};

use crate::answer::{BrokenBody, RequestFailure};
use crate::attempt::{BrokenAnswer, FailedAttempt};
use crate::connection_pool::OpenAnswer;
use crate::event_reader::EventReader;
use crate::forward_run::{ForwardRun, PlacedAnswer, UpstreamSilence, WatchEnd, error_answer};
use crate::memory_account::MemoryAccount;
use crate::request_trace::RequestTrace;
use crate::upstream_pool::UpstreamPermit;

/// The event stream of one request.
pub struct StreamRelay {
    run: ForwardRun,
    reader: StreamReader,
    head: AnswerHead,
    request_started: Instant,
    trace: RequestTrace,
}

/// Status and headers of an answer.
pub type AnswerHead = (StatusCode, HeaderMap);

/// Reads complete events from the upstream that serves the stream.
struct StreamReader {
    source: Option<(OpenAnswer, UpstreamPermit)>,
    events: EventReader,
    account: MemoryAccount,
    /// When the last event was complete, or the upstream's answer began. Bytes that complete no event
    /// don't count.
    last_heard: Instant,
    deadline: Instant,
    position: StreamPosition,
    /// Failure found behind events that are relayed first.
    broken: Option<BrokenAnswer>,
}

/// Result of reading what has arrived of a stream.
enum ReadStep {
    /// Complete events to relay.
    Events(Bytes),
    /// More bytes are needed for a complete event.
    More,
    /// The stream ended after a complete event.
    End,
    /// The stream failed, with the reason.
    Broken(BrokenAnswer),
}

/// What follows in a relayed stream.
enum RelayStep {
    /// Complete events to relay.
    Events(Bytes),
    /// Another upstream goes on.
    More,
    /// The stream ended after a complete event.
    End,
    /// The upstream that served the stream failed.
    Failed(FailedAttempt),
    /// The stream has failed before.
    Closed,
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
        let head = answer_head(&answer);
        let reader = StreamReader::new(answer, permit, run.deadline(), run.account());
        Self {
            request_started: run.started(),
            run,
            reader,
            head,
            trace,
        }
    }

    /// Returns the next events to relay; `None` at the end of the stream.
    pub async fn next_events(&mut self) -> Option<Result<Bytes>> {
        loop {
            match self.next_step().await {
                RelayStep::Events(events) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                RelayStep::More => {}
                RelayStep::End => {
                    self.finish();
                    return None;
                }
                RelayStep::Closed => {
                    return Some(Err(BrokenBody("the stream has failed".to_owned())));
                }
                RelayStep::Failed(failed) => {
                    let why = failed.why.clone();
                    if let Err(failure) = self.resume(failed).await {
                        self.end_failed(&failure);
                        return Some(Err(BrokenBody(why)));
                    }
                }
            }
        }
    }

    /// Waits for events. A silent upstream is left for another one that takes the stream.
    async fn next_step(&mut self) -> RelayStep {
        let Some(silence) = self.reader.silence(self.run.silence_limit()) else {
            return RelayStep::Closed;
        };
        let last_event = self.reader.position.last_event;
        let events = self.reader.read_events();
        let judge = |_: &ForwardRun, step| match step {
            RelayStep::Failed(failed) => Err(failed),
            step => Ok(step),
        };
        let watched = self.run.watch(&silence, events, judge, last_event);
        let answer = match watched.await {
            WatchEnd::Heard(Ok(step)) => return step,
            WatchEnd::Heard(Err(failed)) => return RelayStep::Failed(failed),
            WatchEnd::Answered(answer) => Ok(*answer),
            WatchEnd::Left(successor) => {
                self.reader.close();
                self.run.await_answer(successor, last_event).await
            }
        };
        match answer.and_then(check_head) {
            Ok(answer) => {
                self.resume_from(answer);
                RelayStep::More
            }
            Err(failed) => RelayStep::Failed(failed),
        }
    }

    fn record_events(&mut self) {
        // An upstream that crashes on a request does so as it begins the answer.
        if self.reader.position.has_events {
            self.run.record_answer();
        }
        self.reader.position.has_events = true;
        self.record_head();
        self.record_first_event();
        self.trace.first_event();
    }

    /// Status and headers of the upstream that sent the first event, or ended a stream without events.
    pub fn head(&self) -> AnswerHead {
        self.head.clone()
    }

    fn record_head(&mut self) {
        if let Some((answer, _)) = self.reader.source.as_ref()
            && !self.trace.has_begun()
        {
            self.head = answer_head(answer);
        }
    }

    /// A stream that is resumed tells nothing of prefill.
    fn record_first_event(&self) {
        let is_first = !self.trace.has_begun() && !self.reader.position.resumed;
        if let Some((_, permit)) = self.reader.source.as_ref().filter(|_| is_first) {
            permit.record_first_event();
        }
    }

    fn finish(&mut self) {
        self.record_head();
        if let Some((answer, permit)) = self.reader.source.take() {
            let took = self.request_started.elapsed().as_secs_f64() * 1000.0;
            permit.record_success((!self.reader.position.resumed).then_some(took));
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

    /// Goes on at another upstream after one has failed.
    async fn resume(
        &mut self,
        mut failed: FailedAttempt,
    ) -> std::result::Result<(), RequestFailure> {
        loop {
            self.run.record_failure(failed).await?;
            match check_head(self.run.open(self.reader.position.last_event).await?) {
                Ok(answer) => {
                    self.resume_from(answer);
                    return Ok(());
                }
                Err(next) => failed = next,
            }
        }
    }

    fn resume_from(&mut self, (answer, permit): PlacedAnswer) {
        let last_event = self.reader.position.last_event;
        self.trace.resumed(permit.upstream.as_str(), last_event);
        self.reader.resume_from(answer, permit);
    }
}

fn answer_head(answer: &OpenAnswer) -> AnswerHead {
    (answer.status(), answer.headers().clone())
}

/// An answer that continues a stream must be one of events.
fn check_head((answer, permit): PlacedAnswer) -> std::result::Result<PlacedAnswer, FailedAttempt> {
    match answer.may_be_events() {
        true => Ok((answer, permit)),
        false => Err(error_answer(&answer, &permit)),
    }
}

impl StreamReader {
    fn new(
        answer: OpenAnswer,
        permit: UpstreamPermit,
        deadline: Instant,
        account: &MemoryAccount,
    ) -> Self {
        Self {
            source: Some((answer, permit)),
            events: EventReader::new(account),
            account: account.clone(),
            last_heard: Instant::now(),
            deadline,
            position: StreamPosition {
                last_event: None,
                resumed: false,
                has_events: false,
            },
            broken: None,
        }
    }

    /// The silence of the upstream; `None` without one.
    fn silence(&self, limit: Duration) -> Option<UpstreamSilence> {
        let (_, permit) = self.source.as_ref()?;
        Some(UpstreamSilence {
            upstream: permit.upstream.clone(),
            since: self.last_heard,
            limit,
            has_begun: self.position.has_events,
        })
    }

    /// Reads until an event is complete or the stream ends.
    async fn read_events(&mut self) -> RelayStep {
        loop {
            match self.read_chunk().await {
                ReadStep::Events(events) => return RelayStep::Events(events),
                ReadStep::More => {}
                ReadStep::End => return RelayStep::End,
                ReadStep::Broken(broken) => return self.fail(broken),
            }
        }
    }

    async fn read_chunk(&mut self) -> ReadStep {
        if let Some(broken) = self.broken.take() {
            return ReadStep::Broken(broken);
        }
        let Some((answer, _)) = &mut self.source else {
            return ReadStep::Broken(BrokenAnswer::new("no upstream to read from"));
        };
        match timeout_at(self.deadline, answer.next_chunk()).await {
            Ok(Ok(Some(chunk))) => match self.events.push(&chunk) {
                Ok(()) => self.complete_events(),
                Err(broken) => ReadStep::Broken(broken),
            },
            Ok(Ok(None)) if self.events.has_partial() => {
                ReadStep::Broken(BrokenAnswer::lost("the stream ended within an event"))
            }
            Ok(Ok(None)) if !answer.is_framed() && self.position.last_event.is_none() => {
                ReadStep::Broken(BrokenAnswer::lost("the connection ended before an event"))
            }
            Ok(Ok(None)) => match self.position.check_end() {
                Ok(()) => self.end(),
                Err(broken) => ReadStep::Broken(BrokenAnswer::new(broken.0)),
            },
            Ok(Err(e)) => ReadStep::Broken(e.into()),
            Err(_) => ReadStep::Broken(BrokenAnswer::new("the stream didn't end by the deadline")),
        }
    }

    /// Ends the stream, after empty lines that follow its last event.
    fn end(&mut self) -> ReadStep {
        let rest = self.events.take_rest();
        match self.position.has_events && !rest.is_empty() {
            true => ReadStep::Events(rest),
            false => ReadStep::End,
        }
    }

    /// Returns the complete events received so far. After a resumption, events that the caller
    /// already has are skipped. What doesn't follow fails the stream after the events before it.
    fn complete_events(&mut self) -> ReadStep {
        let mut events = BytesMut::new();
        let mut position = self.position;
        let heard_before = self.last_heard;
        while let Some(event) = self.events.next_event() {
            self.last_heard = Instant::now();
            match position.check_event(&event) {
                Ok(EventStep::Skip) => {}
                Ok(EventStep::Relay) => {
                    position.last_event = event.id.or(position.last_event);
                    position.has_events = true;
                    if event.id.is_some() {
                        self.events.accept();
                    }
                    events.extend_from_slice(&event.bytes);
                }
                Err(broken) => {
                    self.broken = Some(BrokenAnswer::new(broken.0));
                    break;
                }
            }
        }
        if let Some((_, permit)) = &self.source
            && self.last_heard != heard_before
        {
            permit.record_events();
        }
        if events.is_empty() {
            return match self.broken.take() {
                Some(broken) => ReadStep::Broken(broken),
                None => ReadStep::More,
            };
        }
        match self.events.hold(events.freeze()) {
            Ok(events) => {
                self.position.last_event = position.last_event;
                ReadStep::Events(events)
            }
            Err(broken) => ReadStep::Broken(broken),
        }
    }

    /// Closes the connection of a stream that failed, which cancels the request at the upstream.
    fn fail(&mut self, broken: BrokenAnswer) -> RelayStep {
        let Some((answer, permit)) = self.source.take() else {
            return RelayStep::Closed;
        };
        drop(answer);
        permit.record_failure();
        let progress = match self.position.has_events {
            true => AnswerProgress::Events,
            false => AnswerProgress::Head,
        };
        let failed = FailedAttempt::from_broken(&permit, broken);
        RelayStep::Failed(failed.with_progress(progress))
    }

    /// Closes the connection to an upstream that is left.
    fn close(&mut self) {
        self.source = None;
    }

    fn resume_from(&mut self, answer: OpenAnswer, permit: UpstreamPermit) {
        self.source = Some((answer, permit));
        self.events = EventReader::new(&self.account);
        self.last_heard = Instant::now();
        self.position.has_events = false;
        self.position.resumed = true;
        self.broken = None;
    }
}
