//! Splits a byte stream into server-sent events, byte for byte, and reads their ids.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event in bytes, and of what comes between two events of an answer; longer input is not
/// taken for an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, as received, with empty lines before it and its terminating empty line.
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

    /// Whether there is a `data` line.
    pub fn has_data(&self) -> bool {
        let text = String::from_utf8_lossy(&self.bytes);
        text.lines().any(|line| field_value(line, "data").is_some())
    }

    /// Whether all lines are comments.
    pub fn is_comment(&self) -> bool {
        let text = String::from_utf8_lossy(&self.bytes);
        text.lines()
            .all(|line| line.is_empty() || line.starts_with(':'))
    }
}

/// Error: the bytes since the last event of the answer exceed the maximum size of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

/// Result of adding bytes.
pub type Result<T> = std::result::Result<T, OversizedEvent>;

/// Buffers received bytes until an event is complete. Each byte is searched once for the end of its line,
/// whatever the bytes are and however they are cut.
#[derive(Debug, Default)]
pub struct EventFraming {
    pending: BytesMut,
    /// Bytes in which all ends of lines were found.
    scanned: usize,
    /// Where the current line begins.
    line_start: usize,
    /// Whether a line before the current one isn't empty. Empty lines before it belong to the next event.
    has_line: bool,
    /// Bytes received since the last event that was accepted.
    unaccepted: usize,
}

impl EventFraming {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes. Fails if they exceed the maximum size of an event since the last one that was
    /// accepted.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        self.pending.extend_from_slice(bytes);
        self.unaccepted += bytes.len();
        match self.unaccepted > MAX_EVENT_BYTES {
            true => Err(OversizedEvent),
            false => Ok(()),
        }
    }

    /// Removes the next complete event from the buffer.
    pub fn next_event(&mut self) -> Option<FramedEvent> {
        while let Some(length) = line_length(&self.pending[self.scanned..]) {
            let end = self.scanned + length;
            let is_empty = matches!(&self.pending[self.line_start..end], b"\n" | b"\r\n");
            (self.scanned, self.line_start) = (end, end);
            match (is_empty, self.has_line) {
                (true, true) => return Some(self.take_event()),
                (true, false) => {}
                (false, _) => self.has_line = true,
            }
        }
        self.scanned = self.pending.len();
        None
    }

    /// Records that the last event is a part of the answer. Without such events, the bytes that may be
    /// received are limited.
    pub fn accept(&mut self) {
        self.unaccepted = self.pending.len();
    }

    /// Number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.pending.len()
    }

    /// Whether bytes of an incomplete event are buffered. Empty lines aren't one.
    pub fn has_partial(&self) -> bool {
        let is_line_break = |byte: &u8| matches!(byte, b'\n' | b'\r');
        !self.pending.iter().all(is_line_break)
    }

    /// Removes what is left at the end of the input: empty lines after the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.take(self.pending.len())
    }

    fn take_event(&mut self) -> FramedEvent {
        let bytes = self.take(self.scanned);
        let text = String::from_utf8_lossy(&bytes);
        let id = text.lines().find_map(|line| field_value(line, "id"));
        let id = id.and_then(|id| id.trim().parse().ok());
        FramedEvent { bytes, id }
    }

    fn take(&mut self, length: usize) -> Bytes {
        (self.scanned, self.line_start, self.has_line) = (0, 0, false);
        self.pending.split_to(length).freeze()
    }
}

/// Length of the first line with its line feed; `None` if it isn't complete.
fn line_length(bytes: &[u8]) -> Option<usize> {
    let at = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(at + 1)
}

fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
