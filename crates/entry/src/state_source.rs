//! Where an instance gets state from that it cannot fold entry by entry: a peer, or the newest
//! state on the log.

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

/// Path on which an instance hands its folded state to a peer.
pub const STATE_PATH: &str = "/v1/peer/state";
/// Longest wait for a peer's state.
const PEER_LIMIT: CallLimits = CallLimits::new(Duration::from_secs(5));
/// Peers that are asked.
const ASKED_PEERS: usize = 3;
/// Entries of one read of the log.
const READ_MAX: usize = 1_024;

/// Hands the folded state to a peer.
pub async fn hand_over(context: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    context.check_available()?;
    let (_, image) = context.state.image();
    Ok(answer::bytes(200, answer::MESSAGE_PACK, image))
}

/// Takes over the newest of some peers' states. False if no peer has any.
pub async fn take_from_peers(context: &InstanceContext) -> bool {
    let own = &context.config.instance;
    let mut peers = context.members.all();
    peers.retain(|peer| peer.instance != *own && peer.state == ListedState::Live);
    if !peers.is_empty() {
        let first = rand::random_range(0..peers.len());
        peers.rotate_left(first);
    }
    let mut taken = false;
    for peer in peers.iter().take(ASKED_PEERS) {
        let Ok(address) = peer.address.parse() else {
            continue;
        };
        let call = HttpCall::get(address, STATE_PATH);
        if let Ok((200, image)) = context.client.fetch(call, PEER_LIMIT).await {
            taken |= restore(context, &image, peer.instance.as_str());
        }
    }
    taken
}

/// Takes over the newest state on the log, or goes on from its oldest entry if there is none.
pub async fn take_from_log(context: &InstanceContext, oldest: LogOffset) {
    let mut parts = CheckpointAssembler::default();
    let mut next = oldest;
    while let Ok(reply) = context.log.read_now(next, READ_MAX).await {
        let Some(last) = reply.entries.last() else {
            break;
        };
        next = last.offset.next();
        reply.entries.iter().for_each(|raw| gather(&mut parts, raw));
    }
    let usable = parts.latest().filter(|(name, _)| name.as_of >= oldest);
    if usable.is_some_and(|(_, image)| restore(context, image, "log")) {
        return;
    }
    log::error!("event=state_incomplete oldest={oldest}");
    context.state.lose_before(oldest);
}

fn gather(parts: &mut CheckpointAssembler, raw: &RawEntry) {
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
        Ok(()) => log::info!("event=state_taken source={source} folded={folded}"),
        Err(e) => {
            let error = quote(&e.to_string());
            log::error!("event=state_rejected source={source} error={error}");
        }
    }
    restored.is_ok()
}
