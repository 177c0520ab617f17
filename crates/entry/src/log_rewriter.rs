//! Rewrites entries that are still needed before the log drops them, and writes checkpoints. One
//! instance does this; two at once do no harm.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::hashing::rendezvous_order;
use amaranth_kernel::ledger::{JobState, SHARD_COUNT};
use amaranth_kernel::retention::{CHECKPOINT_PART_BYTES, RetentionView};
use amaranth_net::telemetry::quote;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{JobId, LogOffset, ShardId};
use amaranth_wire::message::JobPhase;
use amaranth_wire::record::{ItemOutcome, LogRecord};
use tokio::time::sleep;

use crate::context::{InstanceContext, Result};
use crate::item_reader::ItemPiece;

/// Interval between checks for entries that the log is about to drop.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of appending and folding one record.
const COMMIT_LIMIT: Duration = Duration::from_secs(10);
/// Approximate size of the results in one record, in bytes.
const RECORD_BYTES: usize = 512 << 10;

/// Entries that a job needs and that are due to be rewritten.
struct JobNeeds {
    job: JobId,
    pieces: Vec<ItemPiece>,
    results: Vec<LogOffset>,
}

/// Rewrites entries until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = context.stop.cancelled() => return,
        }
        if !context.is_ready() || !is_rewriter(&context) {
            continue;
        }
        if let Err(e) = rewrite_expiring(&context).await {
            log::warn!("event=log_rewrite_failed error={}", quote(&e.message));
        }
    }
}

fn is_rewriter(context: &InstanceContext) -> bool {
    let live = context.members.live();
    // The key has to be the same on every instance.
    let order = rendezvous_order(b"carrier", &live, |instance| instance.as_str());
    order.first() == Some(&&context.config.instance)
}

async fn rewrite_expiring(context: &InstanceContext) -> Result<()> {
    let configured_ms = context.config.fleet.platform.retention.as_millis();
    let Some(view) = context.state.retention(configured_ms) else {
        return Ok(());
    };
    for shard in (0..SHARD_COUNT).map(ShardId) {
        for needs in shard_needs(context, view, shard) {
            rewrite_job(context, needs).await?;
        }
    }
    let last = context.state.last_checkpoint();
    let last_ms = last.map(|as_of| context.state.time_of(as_of));
    if view.is_checkpoint_due(last_ms) {
        write_checkpoint(context).await?;
    }
    Ok(())
}

fn shard_needs(context: &InstanceContext, view: RetentionView, shard: ShardId) -> Vec<JobNeeds> {
    let ledger = context.state.shard(shard);
    let jobs = ledger.jobs();
    let needs = jobs.map(|(job, state)| job_needs(context, view, job, state));
    needs
        .filter(|needs| !needs.pieces.is_empty() || !needs.results.is_empty())
        .collect()
}

fn job_needs(
    context: &InstanceContext,
    view: RetentionView,
    job: &JobId,
    state: &JobState,
) -> JobNeeds {
    let old = |offset: LogOffset| context.state.time_of(offset) < view.rewrite_before_ms();
    // The items of a cancelled job without results are not needed any more.
    let cancelled = state.phase() == JobPhase::Cancelled && state.results.is_empty();
    let pieces = state.ranges.iter().filter(|r| old(r.offset) && !cancelled);
    let pieces = pieces.map(|range| ItemPiece {
        job: job.clone(),
        upload: state.upload,
        range: *range,
    });
    // A copy replaces the first entries of the job, so all up to the last old one are copied.
    let old_results = state.results.iter().rposition(|entry| old(entry.offset));
    let results = state
        .results
        .iter()
        .take(old_results.map_or(0, |at| at + 1));
    JobNeeds {
        job: job.clone(),
        pieces: pieces.collect(),
        results: results.map(|entry| entry.offset).collect(),
    }
}

async fn rewrite_job(context: &InstanceContext, needs: JobNeeds) -> Result<()> {
    let (pieces, entries) = (needs.pieces.len(), needs.results.len());
    for piece in needs.pieces {
        let range = piece.range;
        let items = context
            .items
            .items(&piece, range.first..range.first + range.count)
            .await?;
        let record = LogRecord::ItemsCarried {
            job: piece.job,
            upload: piece.upload,
            first: range.first,
            items,
        };
        append(context, record).await?;
    }
    rewrite_results(context, &needs.job, &needs.results).await?;
    log::info!(
        "event=job_rewritten job={} pieces={pieces} result_entries={entries}",
        needs.job
    );
    Ok(())
}

/// Copies the results in these entries, which are the job's first.
async fn rewrite_results(
    context: &InstanceContext,
    job: &JobId,
    entries: &[LogOffset],
) -> Result<()> {
    let Some(through) = entries.last().copied() else {
        return Ok(());
    };
    let copy = rand::random();
    let mut seen = HashSet::new();
    let (mut part, mut bytes, mut outcomes) = (0, 0, Vec::new());
    for offset in entries {
        for outcome in context.items.outcomes(*offset, job, &(0..u32::MAX)).await? {
            // Only the first result of an item is valid.
            if seen.insert(outcome.index) {
                bytes += outcome.body.len();
                outcomes.push(outcome);
            }
        }
        let last = *offset == through;
        if bytes < RECORD_BYTES && !last {
            continue;
        }
        for outcomes in split_outcomes(std::mem::take(&mut outcomes)) {
            let record = LogRecord::ResultsCarried {
                job: job.clone(),
                copy,
                through,
                part,
                last: false,
                outcomes,
            };
            append(context, record).await?;
            part += 1;
        }
        bytes = 0;
    }
    let record = LogRecord::ResultsCarried {
        job: job.clone(),
        copy,
        through,
        part,
        last: true,
        outcomes: Vec::new(),
    };
    append(context, record).await
}

/// Splits results into parts that fit into one entry each.
fn split_outcomes(outcomes: Vec<ItemOutcome>) -> Vec<Vec<ItemOutcome>> {
    let mut parts: Vec<Vec<ItemOutcome>> = Vec::new();
    let mut bytes = RECORD_BYTES;
    for outcome in outcomes {
        if bytes + outcome.body.len() > RECORD_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += outcome.body.len();
        parts.last_mut().expect("just pushed").push(outcome);
    }
    parts
}

async fn write_checkpoint(context: &InstanceContext) -> Result<()> {
    let (as_of, image) = context.state.image();
    let chunks: Vec<_> = image.chunks(CHECKPOINT_PART_BYTES).collect();
    let parts = chunks.len() as u32;
    for (part, bytes) in (0..).zip(chunks) {
        let record = LogRecord::StateCheckpoint {
            as_of,
            part,
            parts,
            bytes: bytes.to_vec(),
        };
        append(context, record).await?;
    }
    let bytes = image.len();
    log::info!("event=checkpoint_written as_of={as_of} parts={parts} bytes={bytes}");
    Ok(())
}

async fn append(context: &InstanceContext, record: LogRecord) -> Result<()> {
    let offset = context.committer.submit(vec![record], COMMIT_LIMIT).await?;
    match context.state.wait_folded(offset, COMMIT_LIMIT).await {
        true => Ok(()),
        false => Err(CallError::new(
            ErrorKind::OutcomeUnknown,
            "the rewritten record was not read back in time",
        )),
    }
}
