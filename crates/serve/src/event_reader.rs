//! Reads the events of an upstream's answer. What is kept until an event is complete is held from the memory
//! account.

use amaranth_kernel::event_framing::{EventFraming, FramedEvent};
use amaranth_kernel::memory_budget::{MemoryUse, SMALL_BYTES};
use bytes::Bytes;

use crate::attempt::BrokenAnswer;
use crate::memory_account::{MemoryAccount, MemoryGuard};

/// Result of reading bytes.
pub type Result<T> = std::result::Result<T, BrokenAnswer>;

/// Splits the bytes of one answer into events.
pub struct EventReader {
    framing: EventFraming,
    account: MemoryAccount,
    /// Memory of the incomplete event.
    guard: MemoryGuard,
}

impl EventReader {
    /// Creates a reader that has read nothing.
    pub fn new(account: &MemoryAccount) -> Self {
        Self {
            framing: EventFraming::new(),
            account: account.clone(),
            guard: account.guard(MemoryUse::PartialEvent),
        }
    }

    /// Adds a chunk of the answer, after all events before it were removed. The chunk is in the buffer of its
    /// connection, so that what is left of it counts with the next one.
    pub fn push(&mut self, chunk: &[u8]) -> Result<()> {
        self.guard.resize(self.framing.buffered())?;
        let pushed = self.framing.push(chunk);
        pushed.map_err(|_| BrokenAnswer::new("no event within the size limit"))
    }

    /// Removes the next complete event.
    pub fn next_event(&mut self) -> Option<FramedEvent> {
        self.framing.next_event()
    }

    /// Records that the last event is a part of the answer.
    pub fn accept(&mut self) {
        self.framing.accept();
    }

    /// Whether an event is incomplete.
    pub fn has_partial(&self) -> bool {
        self.framing.has_partial()
    }

    /// Removes the empty lines after the last event.
    pub fn take_rest(&mut self) -> Bytes {
        self.framing.take_rest()
    }

    /// Holds the memory of large events until they are dropped. Small ones are accounted for when they wait in the
    /// caller's connection.
    pub fn hold(&self, events: Bytes) -> Result<Bytes> {
        if events.len() <= SMALL_BYTES {
            return Ok(events);
        }
        let mut guard = self.account.guard(MemoryUse::PartialEvent);
        guard.grow(events.len())?;
        Ok(guard.into_bytes(events))
    }
}
