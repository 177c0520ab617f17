//! Relays the events of an upstream's stream to the caller.

use std::borrow::Cow;

use amaranth_kernel::event_framing::FramedEvent;
use amaranth_kernel::retry::AttemptFailure;
use amaranth_kernel::stream_assembly::{EventAction, StreamAssembly, StreamEvent};
use amaranth_net::clock::steady_ms;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::attempt::EventReader;
use crate::caller_responder::CallerResponder;
use crate::request_outcome::RequestTimes;

/// Data of the event that ends a stream.
const END_MARKER: &str = "[DONE]";

/// How relaying one stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEnd {
    /// The caller has every token.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The stream broke off or can't be relayed.
    Failed(AttemptFailure),
}

/// The fields of a chunk that decide whether it is forwarded.
#[derive(Deserialize)]
struct ChunkHead<'a> {
    #[serde(default, borrow)]
    id: Cow<'a, str>,
    #[serde(default, borrow)]
    choices: Option<&'a RawValue>,
    #[serde(default, borrow)]
    error: Option<&'a RawValue>,
}

/// The part of a streamed answer that was sent to the caller.
#[derive(Debug, Default)]
pub struct RelayedAnswer {
    /// Tokens that the caller has, and the position in the current stream.
    pub assembly: StreamAssembly,
    /// Times of the tokens and counts of attempts.
    pub times: RequestTimes,
    /// Its events, if the answer is to be stored.
    pub recorded_events: Option<BytesMut>,
    /// Id of the answer that the caller received first; a retried answer continues under it.
    id: Option<String>,
}

impl RelayedAnswer {
    /// Starts with nothing sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the events, so that the answer can be stored.
    pub fn with_recorded_events(mut self) -> Self {
        self.recorded_events = Some(BytesMut::new());
        self
    }
}

/// The end marker, which is sent when the answer is complete and stored.
pub fn end_event() -> Bytes {
    data_event(END_MARKER)
}

/// Forwards the events that the caller does not have yet, up to the end marker.
pub async fn relay(
    mut events: EventReader,
    relayed: &mut RelayedAnswer,
    caller: &mut CallerResponder,
    arrived_ms: u64,
) -> RelayEnd {
    loop {
        let event = match caller.wait(events.next_event()).await {
            None => return RelayEnd::CallerGone,
            Some(Ok(None)) => return RelayEnd::Failed(AttemptFailure::Broken),
            Some(Err(failure)) => return RelayEnd::Failed(failure),
            Some(Ok(Some(event))) => event,
        };
        let sse_event = match process_event(&event, &mut relayed.assembly, &mut relayed.id) {
            Err(failure) => return RelayEnd::Failed(failure),
            Ok((EventAction::Skip, _)) => continue,
            Ok((EventAction::Finish, _)) => return RelayEnd::Complete,
            Ok((EventAction::Forward, data)) => data,
        };
        relayed.times.record_token(arrived_ms, steady_ms());
        if let Some(recorded) = &mut relayed.recorded_events {
            recorded.extend_from_slice(&sse_event);
        }
        if !caller.send(sse_event).await {
            return RelayEnd::CallerGone;
        }
    }
}

fn process_event(
    event: &FramedEvent,
    assembly: &mut StreamAssembly,
    relayed_id: &mut Option<String>,
) -> std::result::Result<(EventAction, Bytes), AttemptFailure> {
    let malformed = |e| {
        log::warn!("event=stream_event_rejected error={:?}", format!("{e}"));
        AttemptFailure::WrongStream
    };
    let data = event.data();
    if data == END_MARKER {
        let step = assembly.accept(StreamEvent::End).map_err(malformed)?;
        return Ok((step, data_event(END_MARKER)));
    }
    let head: ChunkHead<'_> =
        serde_json::from_str(&data).map_err(|_| AttemptFailure::WrongStream)?;
    if head.error.is_some() {
        return Err(AttemptFailure::WrongStream);
    }
    let token = StreamEvent::Token {
        index: event.id.and_then(|id| id.try_into().ok()),
        answer: &head.id,
        content: head.choices.map_or("", RawValue::get),
    };
    let step = assembly.accept(token).map_err(malformed)?;
    let known = relayed_id.get_or_insert_with(|| head.id.clone().into_owned());
    if *known == head.id {
        return Ok((step, data_event(&data)));
    }
    Ok((step, data_event(&with_answer_id(&data, known))))
}

/// Replaces the answer id of a chunk.
fn with_answer_id(data: &str, id: &str) -> String {
    let mut chunk: Value = serde_json::from_str(data).unwrap_or_default();
    chunk["id"] = id.into();
    chunk.to_string()
}

fn data_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
