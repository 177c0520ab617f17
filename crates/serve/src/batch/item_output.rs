//! Reads the output of a batch item from an upstream's answer.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::event_sequence::{EventStep, StreamPosition};
use amaranth_wire::id::PromptPartId;
use tokio::time::{Instant, timeout_at};

use crate::attempt::BrokenAnswer;
use crate::batch::item_context::ItemContext;
use crate::batch::progress::RunProgress;
use crate::connection_pool::OpenAnswer;
use crate::event_reader::EventReader;
use crate::upstream_pool::UpstreamPermit;

/// Longest time without an event before an upstream's connection is closed. An engine that preempts an
/// item recomputes it from the start, which takes well under this.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Result of reading an output.
pub type Result<T> = std::result::Result<T, BrokenAnswer>;

/// Reads an upstream's answer to its end, and adds its events to the output of an item's run. Fails if the answer
/// isn't one that goes on from that output.
pub async fn read_output(
    context: &ItemContext,
    progress: &Arc<RunProgress>,
    shared_parts: &[PromptPartId],
    answer: &mut OpenAnswer,
    permit: &UpstreamPermit,
) -> Result<()> {
    let mut count = 0;
    let mut events = EventReader::new(&context.account);
    let last_event = progress.last_event();
    let mut position = StreamPosition {
        last_event,
        resumed: last_event.is_some(),
        has_events: false,
    };
    // Bytes that complete no event don't prove progress.
    let mut idle_deadline = Instant::now() + IDLE_TIMEOUT;
    loop {
        let chunk = match timeout_at(idle_deadline, answer.next_chunk()).await {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) if events.has_partial() => {
                return Err(BrokenAnswer::lost("stream ended within an event"));
            }
            Ok(Ok(None)) => {
                progress.check_end(count, answer.is_framed())?;
                context.quarantine.record_answer(shared_parts);
                return Ok(());
            }
            Ok(Err(e)) => return Err(e.into()),
            Err(_) => {
                let why = "idle timeout: no event from the upstream";
                return Err(BrokenAnswer::new(why));
            }
        };
        events.push(&chunk)?;
        while let Some(event) = events.next_event() {
            let step = position.check_event(&event);
            let step = step.map_err(|broken| BrokenAnswer::new(broken.0))?;
            // Comments and events of an earlier run are no progress.
            let (EventStep::Relay, Some(number)) = (step, event.id) else {
                continue;
            };
            idle_deadline = Instant::now() + IDLE_TIMEOUT;
            permit.record_events();
            events.accept();
            progress.add(number, &event.data())?;
            position.last_event = Some(number);
            position.has_events = true;
            count += 1;
            // An upstream that crashes on a request does so as it begins the answer.
            if count == 2 {
                context.quarantine.record_answer(shared_parts);
            }
        }
        progress.save_if_due();
    }
}
