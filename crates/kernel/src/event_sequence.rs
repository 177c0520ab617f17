//! Checks that the events of a stream follow each other, also across upstreams, and that its end is
//! that of a complete stream.

use crate::event_framing::FramedEvent;

/// How a stream is read at its current upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamPosition {
    /// Id of the last event that the caller has; `None` before the first.
    pub last_event: Option<u64>,
    /// Whether another upstream began the stream.
    pub resumed: bool,
    /// Whether the current upstream has sent an event that the caller has.
    pub has_events: bool,
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventStep {
    /// Relay it.
    Relay,
    /// Leave it out: the caller already has it, or it says nothing.
    Skip,
}

/// Error: the stream can't go on from the current upstream, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenSequence(pub String);

/// Result of a check.
pub type Result<T> = std::result::Result<T, BrokenSequence>;

impl StreamPosition {
    /// Decides what to do with the next event. One without an id is no part of a stream, unless it is a
    /// comment; comments before an upstream's first event are skipped. A resumed stream may begin with events that the caller has.
    pub fn check_event(&self, event: &FramedEvent) -> Result<EventStep> {
        let Some(id) = event.id else {
            return match (event.is_comment(), self.has_events) {
                (true, true) => Ok(EventStep::Relay),
                (true, false) => Ok(EventStep::Skip),
                (false, _) => Err(BrokenSequence("an event has no id".to_owned())),
            };
        };
        match self.last_event {
            Some(last) if self.resumed && !self.has_events && id <= last => Ok(EventStep::Skip),
            Some(last) if last.checked_add(1) != Some(id) => {
                Err(BrokenSequence(format!("event {id} follows {last}")))
            }
            _ => Ok(EventStep::Relay),
        }
    }

    /// Checks the end of a stream after a complete event. A resumed stream without a new event says
    /// nothing about its completeness.
    pub fn check_end(&self) -> Result<()> {
        match self.last_event {
            Some(last) if self.resumed && !self.has_events => {
                Err(BrokenSequence(format!("no event follows {last}")))
            }
            _ => Ok(()),
        }
    }
}
