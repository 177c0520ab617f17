//! Splits a byte stream into numbered server-sent events without changing a byte.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; what is longer is not an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event, as received, with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FramedEvent {
    /// The bytes.
    pub bytes: Bytes,
    /// Its number, where it has one.
    pub id: Option<u64>,
}

impl FramedEvent {
    /// The event's data; several data lines are joined by line feeds.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines = text.lines().filter_map(|line| field(line, "data"));
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// An event stream that is longer than allowed without a blank line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

/// Result of taking in bytes.
pub type Result<T> = std::result::Result<T, OversizedEvent>;

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventFraming {
    pending: BytesMut,
    scanned: usize,
}

impl EventFraming {
    /// A stream of which nothing was received.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.pending.extend_from_slice(bytes);
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(OversizedEvent),
            false => Ok(()),
        }
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<FramedEvent> {
        let Some(end) = event_end(&self.pending, self.scanned) else {
            // A blank line may span two pieces by at most three bytes.
            self.scanned = self.pending.len().saturating_sub(3);
            return None;
        };
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = 0;
        let text = String::from_utf8_lossy(&bytes);
        let id = text.lines().find_map(|line| field(line, "id"));
        let id = id.and_then(|id| id.trim().parse().ok());
        Some(FramedEvent { bytes, id })
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = &bytes[from..];
    let ends = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()];
    let found = ends.iter().filter_map(|end| {
        let at = rest.windows(end.len()).position(|window| window == *end)?;
        Some(from + at + end.len())
    });
    found.min()
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
