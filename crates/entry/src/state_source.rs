//! Restores state that can no longer be folded entry by entry, from a peer or from the newest
//! checkpoint on the log.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::retention::{CheckpointAssembler, CheckpointName};
use amaranth_net::answer;
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_net::route::RouteRequest;
use amaranth_net::telemetry::quote;
use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::{ListedState, RawEntry};
use amaranth_wire::record::{LogRecord, RecordBatch};
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};

/// Path on which an instance serves its folded state to peers.
pub const STATE_PATH: &str = "/v1/peer/state";
/// Timeout of fetching a peer's state.
const PEER_LIMIT: CallLimits = CallLimits::new(Duration::from_secs(5));
/// Most peers that are asked for their state.
const MAX_PEERS: usize = 3;
/// Most entries of one read of the log.
const READ_MAX: usize = 1_024;

/// Handles a peer's query for the folded state.
pub async fn serve_state(context: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    context.check_available()?;
    let (_, image) = context.state.image();
    Ok(answer::bytes(200, answer::MESSAGE_PACK, image))
}

/// Restores the newest of some peers' states. False if no peer answers with a valid one.
pub async fn restore_from_peers(context: &InstanceContext) -> bool {
    let own = &context.config.instance;
    let mut peers = context.members.all();
    peers.retain(|peer| peer.instance != *own && peer.state == ListedState::Live);
    if !peers.is_empty() {
        let first = rand::random_range(0..peers.len());
        peers.rotate_left(first);
    }
    let mut any_restored = false;
    for peer in peers.iter().take(MAX_PEERS) {
        let Ok(address) = peer.address.parse() else {
            continue;
        };
        let call = HttpCall::get(address, STATE_PATH);
        if let Ok((200, image)) = context.client.fetch(call, PEER_LIMIT).await {
            any_restored |= restore(context, &image, peer.instance.as_str());
        }
    }
    any_restored
}

/// Restores the newest checkpoint on the log, or goes on from the oldest entry if there is none.
pub async fn restore_from_log(context: &InstanceContext, oldest: LogOffset) {
    let mut parts = CheckpointAssembler::default();
    let mut next = oldest;
    while let Ok(reply) = context.log.read_now(next, READ_MAX).await {
        let Some(last) = reply.entries.last() else {
            break;
        };
        next = last.offset.next();
        reply
            .entries
            .iter()
            .for_each(|raw| add_checkpoint_parts(&mut parts, raw));
    }
    let usable = parts.latest().filter(|(name, _)| name.as_of >= oldest);
    if usable.is_some_and(|(_, image)| restore(context, image, "log")) {
        return;
    }
    log::error!("event=state_truncated oldest={oldest}");
    context.state.skip_lost_entries(oldest);
}

fn add_checkpoint_parts(parts: &mut CheckpointAssembler, raw: &RawEntry) {
    let Ok(batch) = RecordBatch::decode(&raw.bytes) else {
        return;
    };
    for record in &batch.records {
        if let LogRecord::StateCheckpoint {
            as_of,
            part,
            parts: count,
            bytes,
        } = record
        {
            let name = CheckpointName {
                as_of: *as_of,
                writer: batch.writer,
            };
            parts.add_part(name, *part, *count, bytes);
        }
    }
}

fn restore(context: &InstanceContext, image: &[u8], source: &str) -> bool {
    let restored = context.state.restore(image);
    let folded = context.state.folded();
    match &restored {
        Ok(()) => log::info!("event=state_restored source={source} folded={folded}"),
        Err(e) => {
            let error = quote(&e.to_string());
            log::error!("event=state_rejected source={source} error={error}");
        }
    }
    restored.is_ok()
}
