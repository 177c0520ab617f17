//! Sources of the query tables' rows on this instance.

use amaranth_kernel::decision_log::Verdict;
use amaranth_kernel::language::query::QueryRow;
use amaranth_kernel::ledger::{JobState, SHARD_COUNT};
use amaranth_kernel::plan_state::StepPhase;
use amaranth_wire::id::{JobId, ShardId};
use amaranth_wire::message::JobPhase;
use serde_json::{Value, json};

use crate::context::InstanceContext;

/// Source of one table's rows, registered at link time with `inventory::submit!`.
pub struct RowSource {
    /// Name of the table.
    pub table: &'static str,
    /// Builds the rows from this instance's state.
    pub rows: fn(&InstanceContext) -> Vec<QueryRow>,
}

inventory::collect!(RowSource);

/// This instance's rows of a table; empty if the table has no source.
pub fn rows(context: &InstanceContext, table: &str) -> Vec<QueryRow> {
    let source = inventory::iter::<RowSource>().find(|source| source.table == table);
    source.map_or_else(Vec::new, |source| (source.rows)(context))
}

inventory::submit! { RowSource {
    table: "requests", rows: |context| context.requests.rows(&context.config.instance),
} }
inventory::submit! { RowSource { table: "upstreams", rows: upstreams } }
inventory::submit! { RowSource { table: "instances", rows: instances } }
inventory::submit! { RowSource { table: "tiers", rows: tiers } }
inventory::submit! { RowSource { table: "batches", rows: batches } }
inventory::submit! { RowSource { table: "items", rows: items } }
inventory::submit! { RowSource { table: "teams", rows: teams } }
inventory::submit! { RowSource { table: "config", rows: config } }
inventory::submit! { RowSource { table: "plans", rows: plans } }
inventory::submit! { RowSource { table: "steps", rows: steps } }
inventory::submit! { RowSource { table: "refusals", rows: refusals } }
inventory::submit! { RowSource { table: "audit", rows: audit } }

/// Converts a JSON object to a row.
fn row(cells: Value) -> QueryRow {
    match cells {
        Value::Object(cells) => cells,
        _ => QueryRow::new(),
    }
}

fn upstreams(context: &InstanceContext) -> Vec<QueryRow> {
    let all = context.upstreams.all();
    all.map(|(group, state)| {
        let in_flight = state.in_flight();
        let withheld = context.upstreams.is_withheld(&state.upstream);
        let sample = state.sample();
        let phase = match (withheld, in_flight) {
            (false, _) => "serving",
            (true, 0) => "drained",
            (true, _) => "draining",
        };
        row(json!({
            "instance": context.config.instance,
            "upstream": state.upstream,
            "group": group,
            "address": state.address.to_string(),
            "in_flight": in_flight,
            "state": phase,
            "requests": sample.requests,
            "errors": sample.errors,
            "total_ms": sample.total_ms,
        }))
    })
    .collect()
}

fn instances(context: &InstanceContext) -> Vec<QueryRow> {
    let report = context.report();
    let listed = context.members.address(&report.instance);
    let state = match (context.is_leaving(), report.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "starting",
    };
    vec![row(json!({
        "instance": report.instance,
        "data_centre": context.config.data_centre,
        "address": listed.map(|address| address.to_string()),
        "state": state,
        "folded": report.folded,
        "revision": report.revision,
        "log_age_ms": context.relay.log_age_ms(),
    }))]
}

fn tiers(context: &InstanceContext) -> Vec<QueryRow> {
    let config = context.state.config();
    let tiers = context.config.fleet.tiers.iter();
    tiers
        .map(|tier| {
            let set = config.number(&format!("tier.{}.queue_limit", tier.name));
            row(json!({
                "instance": context.config.instance,
                "tier": tier.name,
                "group": tier.upstreams,
                "batch": tier.batch,
                "repeatable": tier.repeatable,
                "queue_limit": set.unwrap_or(u64::from(tier.queue_limit)),
                "deadline_ms": tier.deadline.as_millis(),
            }))
        })
        .collect()
}

/// Calls `visit` for every job of every shard, locking one shard at a time.
fn for_each_job(context: &InstanceContext, mut visit: impl FnMut(&JobId, &JobState)) {
    for shard in (0..SHARD_COUNT).map(ShardId) {
        let ledger = context.state.shard(shard);
        ledger.jobs().for_each(|(job, state)| visit(job, state));
    }
}

fn batches(context: &InstanceContext) -> Vec<QueryRow> {
    let mut rows = Vec::new();
    for_each_job(context, |job, state| {
        let report = state.report(job);
        rows.push(row(json!({
            "batch": job,
            "team": state.team,
            "tier": state.tier,
            "state": report.phase,
            "total": report.total,
            "completed": report.completed,
            "failed": report.failed,
            "submitted_ms": state.submitted_ms,
            "deadline_ms": state.deadline_ms,
        })));
    });
    rows
}

/// Items without a result. Results are available only through the batch API.
fn items(context: &InstanceContext) -> Vec<QueryRow> {
    let mut rows = Vec::new();
    for_each_job(context, |job, state| {
        let item_state = match state.phase() {
            JobPhase::InProgress => "missing",
            JobPhase::Cancelled => "cancelled",
            JobPhase::Completed => return,
        };
        for item in state.finished.missing() {
            rows.push(row(json!({
                "batch": job,
                "item": item,
                "tier": state.tier,
                "state": item_state,
            })));
        }
    });
    rows
}

fn teams(context: &InstanceContext) -> Vec<QueryRow> {
    let mut counts = std::collections::BTreeMap::new();
    for_each_job(context, |_, state| {
        let count: &mut (u64, u64) = counts.entry(state.team.clone()).or_default();
        count.0 += 1;
        count.1 += u64::from(state.phase() == JobPhase::InProgress);
    });
    let rows = counts.into_iter().map(|(team, (batches, running))| {
        row(json!({"team": team, "batches": batches, "running": running}))
    });
    rows.collect()
}

fn config(context: &InstanceContext) -> Vec<QueryRow> {
    let config = context.state.config();
    let rows = config.values().map(|(name, setting)| {
        row(json!({
            "name": name,
            "value": setting.value,
            "revision": setting.revision,
            "author": setting.author,
            "offset": setting.offset,
        }))
    });
    rows.collect()
}

fn plans(context: &InstanceContext) -> Vec<QueryRow> {
    let changes = context.state.changes();
    let rows = changes.core().plans.all().map(|(command, plan)| {
        row(json!({
            "plan": command,
            "text": plan.spec.to_string(),
            "author": plan.author,
            "state": plan.phase,
            "finished": plan.finished_count(),
            "total": plan.steps.len(),
            "reason": plan.reason,
            "offset": plan.offset,
        }))
    });
    rows.collect()
}

fn steps(context: &InstanceContext) -> Vec<QueryRow> {
    let changes = context.state.changes();
    let plans = changes.core().plans.all();
    let rows = plans.flat_map(|(command, plan)| {
        plan.steps.iter().map(move |(upstream, phase)| {
            let state = match phase {
                StepPhase::Waiting => "waiting",
                StepPhase::Started { .. } => "started",
                StepPhase::Finished { .. } => "finished",
                StepPhase::Restored { .. } => "restored",
            };
            row(json!({"plan": command, "upstream": upstream, "state": state}))
        })
    });
    rows.collect()
}

fn refusals(context: &InstanceContext) -> Vec<QueryRow> {
    let changes = context.state.changes();
    let rejected = changes.core().decisions.rejected();
    let rows = rejected.map(|(command, decision)| {
        let reason = match &decision.verdict {
            Verdict::Rejected { reason } => reason.as_str(),
            Verdict::Accepted { .. } => "",
        };
        row(json!({
            "command": command,
            "text": decision.text,
            "author": decision.author,
            "reason": reason,
            "time_ms": decision.time_ms,
            "offset": decision.offset,
        }))
    });
    rows.collect()
}

fn audit(context: &InstanceContext) -> Vec<QueryRow> {
    let changes = context.state.changes();
    let accepted = changes.core().decisions.accepted();
    let rows = accepted.map(|(command, decision)| {
        let revision = match &decision.verdict {
            Verdict::Accepted { revision } => *revision,
            Verdict::Rejected { .. } => None,
        };
        row(json!({
            "command": command,
            "text": decision.text,
            "author": decision.author,
            "revision": revision,
            "time_ms": decision.time_ms,
            "offset": decision.offset,
        }))
    });
    rows.collect()
}
