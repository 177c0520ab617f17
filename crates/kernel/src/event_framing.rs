//! Splits a byte stream into server-sent events, byte for byte, and reads their ids.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event in bytes; longer input is not taken for an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, as received, with its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FramedEvent {
    /// Raw bytes of the event.
    pub bytes: Bytes,
    /// The `id` field, if it is a number.
    pub id: Option<u64>,
}

impl FramedEvent {
    /// The event's `data` lines, joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines = text.lines().filter_map(|line| field_value(line, "data"));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Whether all lines are comments.
    pub fn is_comment(&self) -> bool {
        let text = String::from_utf8_lossy(&self.bytes);
        text.lines()
            .all(|line| line.is_empty() || line.starts_with(':'))
    }
}

/// Error: the buffered bytes exceed the maximum size of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

/// Result of adding bytes.
pub type Result<T> = std::result::Result<T, OversizedEvent>;

/// Buffers received bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventFraming {
    pending: BytesMut,
    scanned: usize,
}

impl EventFraming {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes. Fails if the buffer then exceeds the maximum size of an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.pending.extend_from_slice(bytes);
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(OversizedEvent),
            false => Ok(()),
        }
    }

    /// Removes the next complete event from the buffer.
    pub fn next_event(&mut self) -> Option<FramedEvent> {
        let Some(end) = event_end(&self.pending, self.scanned) else {
            // Up to three bytes of a terminator may already have arrived.
            self.scanned = self.pending.len().saturating_sub(3);
            return None;
        };
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = 0;
        let text = String::from_utf8_lossy(&bytes);
        let id = text.lines().find_map(|line| field_value(line, "id"));
        let id = id.and_then(|id| id.trim().parse().ok());
        Some(FramedEvent { bytes, id })
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = &bytes[from..];
    let terminators = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()];
    let found = terminators.iter().filter_map(|terminator| {
        let at = rest
            .windows(terminator.len())
            .position(|window| window == *terminator)?;
        Some(from + at + terminator.len())
    });
    found.min()
}

fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
