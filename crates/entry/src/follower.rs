//! Reads the log from where the fold stands and folds what comes.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::cursor::EntryVerdict;
use amaranth_net::telemetry::quote;
use amaranth_wire::platform::{RawEntry, ReadReply};
use amaranth_wire::record::{BatchEntry, RecordBatch};
use tokio::time::sleep;

use crate::context::InstanceContext;
use crate::log_relay;

/// Wait after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Follows the log until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    tokio::select! {
        () = follow(&context) => {}
        () = context.stop.cancelled() => {}
    }
}

async fn follow(context: &InstanceContext) {
    loop {
        let from = context.state.folded();
        match context.log.follow(from).await {
            Ok(reply) => fold_reply(context, &reply),
            Err(e) => {
                log::debug!("event=log_read_failed error={}", quote(&e.to_string()));
                log_relay::catch_up(context).await;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Folds what a read gave.
pub fn fold_reply(context: &InstanceContext, reply: &ReadReply) {
    context.state.note_log_time(reply.now_ms);
    context.state.lose_before(reply.oldest);
    context.relay.note_read(reply);
    reply
        .entries
        .iter()
        .for_each(|entry| fold_entry(context, entry));
    if context.state.folded() >= reply.head && !context.is_ready() {
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
    let entry = BatchEntry {
        offset: raw.offset,
        time_ms: raw.time_ms,
        batch,
    };
    let verdict = context.state.fold(&entry);
    if verdict == EntryVerdict::Gap {
        log::error!("event=log_gap offset={}", raw.offset);
    }
}
