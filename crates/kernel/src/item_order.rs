//! Order in which the batch items of one instance get the slots of one group of upstreams.
//!
//! After an outage, or when many jobs arrive at once, more items wait than the upstreams can finish
//! in time. In the order of arrival each would then start shortly before or after it is due, and all
//! would be late. Items that can still be in time go first; the others get a fixed share of the
//! slots, so that they end, too.

/// Of this many slots, one goes to the oldest item that can no longer be in time, or was refused.
const LATE_ITEM_PERIOD: u64 = 5;

/// An item that waits for a slot. Times are Unix milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingItem {
    /// When its job was received.
    pub received_ms: u64,
    /// When its result is due.
    pub due_ms: u64,
    /// Whether it was set aside since it last ran. Those that no upstream can take ask again and again, and
    /// count as late.
    pub was_refused: bool,
}

/// Returns the index of the item that gets the next slot; `None` if none waits. `expected_run_ms` is
/// the time that a run takes, and `turn` counts the slots that were assigned before.
pub fn next_item(
    items: &[WaitingItem],
    now_ms: u64,
    expected_run_ms: u64,
    turn: u64,
) -> Option<usize> {
    let finish_ms = now_ms.saturating_add(expected_run_ms);
    let indexed = || items.iter().enumerate();
    let is_late = |item: &WaitingItem| item.was_refused || item.due_ms < finish_ms;
    let in_time = indexed()
        .filter(|(_, item)| !is_late(item))
        .min_by_key(|(_, item)| (item.due_ms, item.received_ms));
    let late = indexed()
        .filter(|(_, item)| is_late(item))
        .min_by_key(|(_, item)| item.received_ms);
    let is_late_turn = turn % LATE_ITEM_PERIOD == LATE_ITEM_PERIOD - 1;
    let (first, second) = match is_late_turn {
        true => (late, in_time),
        false => (in_time, late),
    };
    first.or(second).map(|(index, _)| index)
}
