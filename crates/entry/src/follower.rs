//! Reads the log from the next offset to fold, and folds the entries.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::cursor::EntryVerdict;
use amaranth_net::telemetry::quote;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::LogOffset;
use amaranth_wire::platform::RawEntry;
use amaranth_wire::record::{RecordBatch, RecordEntry};
use tokio::time::sleep;

use crate::context::{InstanceContext, Result};
use crate::log_relay::{self, RelayReply};
use crate::state_source;

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest time for which a query waits until this instance reaches the head of the log. A relay
/// that fails costs its followers one read of at most 3 s.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// Follows the log until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    tokio::select! {
        () = follow(&context) => {}
        () = context.stop.cancelled() => {}
    }
}

async fn follow(context: &InstanceContext) {
    loop {
        let from = context.state.folded();
        match context.reader.follow(context, from).await {
            Ok(relayed) if relayed.reply.oldest > from => {
                recover(context, relayed.reply.oldest).await;
            }
            Ok(relayed) => fold_reply(context, &relayed),
            Err(e) => {
                log::debug!("event=log_read_failed error={}", quote(&e.message));
                start_from_peers(context).await;
                log_relay::catch_up(context).await;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Restores the state from peers or a checkpoint after the log dropped entries not yet folded.
async fn recover(context: &InstanceContext, oldest: LogOffset) {
    let from = context.state.folded();
    log::warn!("event=unfolded_entries_dropped folded={from} oldest={oldest}");
    if !state_source::restore_from_peers(context).await || context.state.folded() < oldest {
        state_source::restore_from_log(context, oldest).await;
    }
}

/// Restores the state from peers, so that an instance that starts while the log is down can serve.
async fn start_from_peers(context: &InstanceContext) {
    if !context.has_caught_up() && state_source::restore_from_peers(context).await {
        context.set_caught_up();
    }
}

/// Waits until the current head of the log is folded, so that everything that another instance has
/// reported is known here.
pub async fn catch_up_to_head(context: &InstanceContext) -> Result<()> {
    let from = context.state.folded();
    let unavailable = |e| CallError::new(ErrorKind::LogUnavailable, format!("{e}"));
    let reply = context.log.read_now(from, 1).await.map_err(unavailable)?;
    if reply.head <= from {
        return Ok(());
    }
    let last = LogOffset(reply.head.0 - 1);
    match context.state.wait_folded(last, CATCH_UP_LIMIT).await {
        true => Ok(()),
        false => {
            let message = format!(
                "this instance is behind the log, at {from} of {}",
                reply.head
            );
            Err(CallError::new(ErrorKind::NotReady, message))
        }
    }
}

/// Folds the entries of a read and records the state of the log that it reports.
pub fn fold_reply(context: &InstanceContext, relayed: &RelayReply) {
    let reply = &relayed.reply;
    context.state.record_log_time(reply.now_ms);
    context.state.record_oldest(reply.oldest);
    context.relay.record_read(relayed);
    reply
        .entries
        .iter()
        .for_each(|entry| fold_entry(context, entry));
    if context.state.folded() >= reply.head {
        context.set_caught_up();
    }
}

fn fold_entry(context: &InstanceContext, raw: &RawEntry) {
    let batch = match RecordBatch::decode(&raw.bytes) {
        Ok(batch) => batch,
        Err(e) => {
            let error = quote(&e.to_string());
            log::warn!("event=entry_rejected offset={} error={error}", raw.offset);
            let reason = e.to_string();
            return context.state.reject(raw.offset, raw.time_ms, &reason);
        }
    };
    let entry = RecordEntry {
        offset: raw.offset,
        time_ms: raw.time_ms,
        batch,
    };
    let verdict = context.state.fold(&entry);
    if verdict == EntryVerdict::Gap {
        log::error!("event=entry_gap_found offset={}", raw.offset);
    }
}
