//! Bounds the number of callers' connections. At the limit, the connection that has been idle longest is
//! closed for a new one: an ordinary caller sends its request at once, and is never that one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_net::state_lock::StateMutex;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::caller_stream::{LinkPhase, PhaseClock};
use crate::memory_account::record_limited;

/// Interval at which a connection that became idle is looked for while none was.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(20);

#[derive(Default)]
struct OpenLinks {
    links: HashMap<u64, OpenLink>,
    next: u64,
}

struct OpenLink {
    clock: PhaseClock,
    closing: CancellationToken,
}

/// The open connections of callers.
pub struct ConnectionSlots {
    most: usize,
    open: StateMutex<OpenLinks>,
    freed: Notify,
}

impl ConnectionSlots {
    /// Creates slots for this many connections.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            open: StateMutex::default(),
            freed: Notify::new(),
        }
    }

    /// Waits until another connection may be served, and closes an idle one if there are too many.
    pub async fn take(self: &Arc<Self>) -> ConnectionSlot {
        loop {
            if let Some(slot) = self.try_take() {
                return slot;
            }
            self.close_idle();
            // A connection may also become idle, which isn't notified.
            let _ = timeout(IDLE_CHECK_PERIOD, self.freed.notified()).await;
        }
    }

    fn try_take(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut open = self.open.lock();
        if open.links.len() >= self.most {
            return None;
        }
        let (clock, closing) = (PhaseClock::new(), CancellationToken::new());
        let number = open.next;
        open.next += 1;
        let link = OpenLink {
            clock: clock.clone(),
            closing: closing.clone(),
        };
        open.links.insert(number, link);
        Some(ConnectionSlot {
            clock,
            closing,
            number,
            slots: self.clone(),
        })
    }

    /// Asks the connection that has been idle longest to close.
    fn close_idle(&self) {
        let open = self.open.lock();
        let idle = open.links.values().filter_map(|link| {
            let start = link.clock.waiting()?;
            let is_open = start.phase == LinkPhase::Idle && !link.closing.is_cancelled();
            is_open.then_some((start.since, &link.closing))
        });
        if let Some((_, closing)) = idle.min_by_key(|(since, _)| *since) {
            record_limited("connections", "more connections than allowed");
            closing.cancel();
        }
    }
}

/// The place of one connection; freed when dropped.
pub struct ConnectionSlot {
    /// Phases of the connection.
    pub clock: PhaseClock,
    /// Cancelled when the connection is to close once it is idle.
    pub closing: CancellationToken,
    number: u64,
    slots: Arc<ConnectionSlots>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.open.lock().links.remove(&self.number);
        self.slots.freed.notify_one();
    }
}
