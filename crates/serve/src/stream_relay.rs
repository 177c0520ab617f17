//! Relays an event stream in complete events, and resumes it at another upstream after a failure if
//! the route allows it.

use amaranth_kernel::attempt_plan::FailureProof;
use amaranth_kernel::event_framing::EventFraming;
use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, timeout_at};

use crate::answer::{BrokenBody, RequestFailure};
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
    Broken(String),
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
            source: Some((answer, permit)),
            framing: EventFraming::new(),
            silence_deadline,
            last_event: None,
            request_started,
            resumed: false,
            trace,
        }
    }

    /// Returns the next events to relay; `None` at the end of the stream.
    pub async fn next_events(&mut self) -> Option<Result<Bytes>> {
        loop {
            match self.step().await {
                RelayStep::Events(events) => return Some(Ok(events)),
                RelayStep::More => {}
                RelayStep::End => {
                    self.finish();
                    return None;
                }
                RelayStep::Broken(why) => {
                    if let Err(failure) = self.resume(&why).await {
                        self.trace
                            .end(failure.outcome(), &failure.reason(), self.run.count());
                        return Some(Err(BrokenBody(why)));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        let Some((answer, _)) = &mut self.source else {
            return RelayStep::Broken("no upstream to read from".to_owned());
        };
        match timeout_at(self.silence_deadline, answer.next_chunk()).await {
            Ok(Ok(Some(chunk))) => match self.framing.push(&chunk) {
                Ok(()) => self.complete_events(),
                Err(_) => RelayStep::Broken("an event exceeds the size limit".to_owned()),
            },
            Ok(Ok(None)) if self.framing.has_partial() => {
                RelayStep::Broken("the stream ended within an event".to_owned())
            }
            Ok(Ok(None)) => RelayStep::End,
            Ok(Err(e)) => RelayStep::Broken(e.to_string()),
            Err(_) => RelayStep::Broken("no event before the silence deadline".to_owned()),
        }
    }

    /// Returns the complete events received so far. After a resumption, events that the caller
    /// already has are skipped, and a gap in the ids fails the stream.
    fn complete_events(&mut self) -> RelayStep {
        let mut events = BytesMut::new();
        while let Some(event) = self.framing.next_event() {
            self.silence_deadline = self.run.silence_deadline();
            if let (Some(id), Some(last)) = (event.id, self.last_event) {
                if self.resumed && id <= last {
                    continue;
                }
                if self.resumed && id > last + 1 {
                    return RelayStep::Broken(format!("event {id} follows {last}"));
                }
            }
            self.last_event = event.id.or(self.last_event);
            events.extend_from_slice(&event.bytes);
        }
        if events.is_empty() {
            return RelayStep::More;
        }
        self.trace.first_event();
        RelayStep::Events(events.freeze())
    }

    fn finish(&mut self) {
        if let Some((answer, permit)) = self.source.take() {
            let took = self.request_started.elapsed().as_secs_f64() * 1000.0;
            permit.record_success((!self.resumed).then_some(took));
            answer.finish();
        }
        self.trace.end("served", "", self.run.count());
    }

    async fn resume(&mut self, why: &str) -> std::result::Result<(), RequestFailure> {
        let (answer, permit) = self.source.take().ok_or(RequestFailure::Late)?;
        // Closes the connection, which cancels the request at the upstream.
        drop(answer);
        permit.record_failure();
        let upstream = permit.upstream.clone();
        drop(permit);
        self.framing = EventFraming::new();
        loop {
            self.run
                .record_failure(upstream.clone(), FailureProof::MayHaveRun, why)?;
            let (answer, permit) = self.run.open(self.last_event).await?;
            if answer.status().is_success() {
                self.resumed = true;
                self.trace
                    .resumed(permit.upstream.as_str(), self.last_event);
                self.source = Some((answer, permit));
                self.silence_deadline = self.run.silence_deadline();
                return Ok(());
            }
        }
    }
}
