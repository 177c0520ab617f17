//! Passes an event stream on, whole events at a time, and goes on at another upstream after a
//! break where the route allows it.

use amaranth_kernel::attempt_plan::FailureProof;
use amaranth_kernel::event_framing::EventFraming;
use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, timeout_at};

use crate::answer::{BrokenBody, GiveUp};
use crate::connection_pool::OpenAnswer;
use crate::forward_run::ForwardRun;
use crate::request_trace::RequestTrace;
use crate::upstream_pool::UpstreamReservation;

/// A stream of one request.
pub struct StreamRelay {
    run: ForwardRun,
    source: Option<(OpenAnswer, UpstreamReservation)>,
    framing: EventFraming,
    last_event: Option<u64>,
    opened: Instant,
    resumed: bool,
    trace: RequestTrace,
}

/// What comes next on a stream.
enum RelayStep {
    /// Events to pass on.
    Events(Bytes),
    /// More bytes are needed.
    More,
    /// The stream is whole.
    End,
    /// The stream broke off.
    Broken(String),
}

/// Result of relaying.
pub type Result<T> = std::result::Result<T, BrokenBody>;

impl StreamRelay {
    /// A stream whose head is there.
    pub fn new(
        run: ForwardRun,
        answer: OpenAnswer,
        reservation: UpstreamReservation,
        trace: RequestTrace,
    ) -> Self {
        let opened = run.started();
        Self {
            run,
            source: Some((answer, reservation)),
            framing: EventFraming::new(),
            last_event: None,
            opened,
            resumed: false,
            trace,
        }
    }

    /// The next events to pass on; `None` at the end of the stream.
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
                    if let Err(give_up) = self.resume(&why).await {
                        self.trace
                            .end(give_up.outcome(), &give_up.reason(), self.run.count());
                        return Some(Err(BrokenBody(why)));
                    }
                }
            }
        }
    }

    async fn step(&mut self) -> RelayStep {
        let silence_deadline = self.run.silence_deadline();
        let Some((answer, _)) = &mut self.source else {
            return RelayStep::Broken("no source".to_owned());
        };
        match timeout_at(silence_deadline, answer.next_chunk()).await {
            Ok(Ok(Some(chunk))) => match self.framing.push(&chunk) {
                Ok(()) => self.whole_events(),
                Err(_) => RelayStep::Broken("an event is too long".to_owned()),
            },
            Ok(Ok(None)) if self.framing.has_partial() => {
                RelayStep::Broken("the stream ends within an event".to_owned())
            }
            Ok(Ok(None)) => RelayStep::End,
            Ok(Err(e)) => RelayStep::Broken(e.to_string()),
            Err(_) => RelayStep::Broken("no event in time".to_owned()),
        }
    }

    /// Takes the whole events out. After a resumption, events that the caller has are left out
    /// and a gap is a break.
    fn whole_events(&mut self) -> RelayStep {
        let mut events = BytesMut::new();
        while let Some(event) = self.framing.next_event() {
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
        if let Some((answer, reservation)) = self.source.take() {
            let took = self.opened.elapsed().as_secs_f64() * 1000.0;
            reservation.note_success((!self.resumed).then_some(took));
            answer.finish();
        }
        self.trace.end("served", "", self.run.count());
    }

    async fn resume(&mut self, why: &str) -> std::result::Result<(), GiveUp> {
        let (answer, reservation) = self.source.take().ok_or(GiveUp::Late)?;
        // Closes the connection, which cancels the run there.
        drop(answer);
        reservation.note_failure();
        let upstream = reservation.upstream.clone();
        drop(reservation);
        self.framing = EventFraming::new();
        loop {
            self.run
                .note_failure(upstream.clone(), FailureProof::MayHaveRun, why)?;
            let (answer, reservation) = self.run.open(self.last_event).await?;
            if answer.status().is_success() {
                self.resumed = true;
                self.trace
                    .resumed(reservation.upstream.as_str(), self.last_event);
                self.source = Some((answer, reservation));
                return Ok(());
            }
        }
    }
}
