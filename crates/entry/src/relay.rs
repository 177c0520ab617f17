//! Relays the events of one upstream's stream to the caller.

use std::borrow::Cow;

use amaranth_kernel::retry::AttemptFailure;
use amaranth_kernel::stream_assembly::{EventAction, StreamAssembly, StreamEvent};
use amaranth_net::clock::steady_ms;
use bytes::{Bytes, BytesMut};
use eventsource_stream::Event;
use futures_util::StreamExt;
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
    Whole,
    /// The caller left.
    CallerGone,
    /// The stream can't be sent on.
    Failed(AttemptFailure),
}

/// The parts of a chunk that decide whether it is sent on.
#[derive(Deserialize)]
struct ChunkHead<'a> {
    #[serde(default, borrow)]
    id: Cow<'a, str>,
    #[serde(default, borrow)]
    choices: Option<&'a RawValue>,
    #[serde(default, borrow)]
    error: Option<&'a RawValue>,
}

/// What the caller has of a streamed answer.
#[derive(Debug, Default)]
pub struct RelayedAnswer {
    /// Its tokens.
    pub assembly: StreamAssembly,
    /// When they came.
    pub times: RequestTimes,
    /// Its events, where they are to be kept.
    pub kept: Option<BytesMut>,
    /// The answer's name as the caller knows it; an answer generated again goes on under it.
    id: Option<String>,
}

impl RelayedAnswer {
    /// Nothing sent yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Collects the events, so that they can be kept.
    pub fn with_kept_events(mut self) -> Self {
        self.kept = Some(BytesMut::new());
        self
    }
}

/// The end marker, sent when the answer is whole and kept.
pub fn end_piece() -> Bytes {
    data_piece(END_MARKER)
}

/// Sends on what the caller does not have yet, up to the end marker.
pub async fn relay(
    mut events: EventReader,
    relayed: &mut RelayedAnswer,
    responder: &mut CallerResponder,
    arrived_ms: u64,
) -> RelayEnd {
    loop {
        let event = match responder.wait(events.next()).await {
            None => return RelayEnd::CallerGone,
            Some(None) => return RelayEnd::Failed(AttemptFailure::Broken),
            Some(Some(Err(failure))) => return RelayEnd::Failed(failure),
            Some(Some(Ok(event))) => event,
        };
        let piece = match take_event(&event, &mut relayed.assembly, &mut relayed.id) {
            Err(failure) => return RelayEnd::Failed(failure),
            Ok((EventAction::Skip, _)) => continue,
            Ok((EventAction::Finish, _)) => return RelayEnd::Whole,
            Ok((EventAction::Forward, data)) => data,
        };
        relayed.times.record_token(arrived_ms, steady_ms());
        if let Some(kept) = &mut relayed.kept {
            kept.extend_from_slice(&piece);
        }
        if !responder.send(piece).await {
            return RelayEnd::CallerGone;
        }
    }
}

fn take_event(
    event: &Event,
    assembly: &mut StreamAssembly,
    relayed_id: &mut Option<String>,
) -> std::result::Result<(EventAction, Bytes), AttemptFailure> {
    let wrong = |e| {
        log::warn!("event=stream_refused error={:?}", format!("{e}"));
        AttemptFailure::WrongStream
    };
    if event.data == END_MARKER {
        let step = assembly.accept(StreamEvent::End).map_err(wrong)?;
        return Ok((step, data_piece(END_MARKER)));
    }
    let head: ChunkHead<'_> =
        serde_json::from_str(&event.data).map_err(|_| AttemptFailure::WrongStream)?;
    if head.error.is_some() {
        return Err(AttemptFailure::WrongStream);
    }
    let token = StreamEvent::Token {
        index: event.id.parse().ok(),
        answer: &head.id,
        content: head.choices.map_or("", RawValue::get),
    };
    let step = assembly.accept(token).map_err(wrong)?;
    let known = relayed_id.get_or_insert_with(|| head.id.clone().into_owned());
    if *known == head.id {
        return Ok((step, data_piece(&event.data)));
    }
    Ok((step, data_piece(&renamed(&event.data, known))))
}

/// A chunk under another name of its answer.
fn renamed(data: &str, id: &str) -> String {
    let mut chunk: Value = serde_json::from_str(data).unwrap_or_default();
    chunk["id"] = id.into();
    chunk.to_string()
}

fn data_piece(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
