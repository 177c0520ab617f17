//! Operator queries. Each answer names the instances that answered, those that did not, and the
//! log offset up to which it is valid.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::decision_log::{Decision, Verdict};
use amaranth_kernel::language::query::{QueryResult, QueryRow, ShowQuery, evaluate};
use amaranth_kernel::language::statement::Statement;
use amaranth_kernel::language::table::{QueryTable, TableScope, find_table};
use amaranth_kernel::language::{self, parse};
use amaranth_kernel::plan_state::PlanState;
use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, read_json};
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{CommandId, InstanceId, JobId, LogOffset};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use volo_http::response::Response;

use crate::batch_view;
use crate::context::{InstanceContext, Result};
use crate::operator_access::identify;
use crate::operator_peers::{PeerAnswers, PeerQuery, SilentInstance, local_rows, query_all};

const QUERY_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(5),
};

/// Request body of a query.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryCall {
    text: String,
}

/// An instance that answered, with its fold offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Next offset that it will fold.
    pub folded: LogOffset,
}

/// Answer to a `show` query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShowAnswer {
    /// Selected columns and rows.
    pub result: QueryResult,
    /// Every entry before this offset is reflected in every row.
    pub offset: LogOffset,
    /// Milliseconds since the answering instance last saw the head of the log; `None` if never.
    pub log_age_ms: Option<u64>,
    /// Whether the rows derive from the log alone, so that every instance has the same.
    pub folded: bool,
    /// Instances that answered.
    pub answered: Vec<AnsweredInstance>,
    /// Instances that did not answer; their rows are missing.
    pub silent: Vec<SilentInstance>,
}

/// Parses a statement; a syntax error becomes `InvalidRequest`.
pub fn parse_text(text: &str) -> Result<Statement> {
    parse(text).map_err(|e: language::LanguageError| {
        CallError::new(ErrorKind::InvalidRequest, e.to_string())
    })
}

/// Runs a `show` or `explain` query.
///
/// Fails with `InvalidRequest` if the statement is a command.
pub async fn query(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let operator = identify(&context, &request)?;
    let call: QueryCall = read_json(request.into_body(), QUERY_LIMITS).await?;
    let statement = parse_text(&call.text)?;
    operator.require(statement.role())?;
    match statement {
        Statement::Show(query) => Ok(answer::json(200, &show(&context, &query).await?)),
        Statement::Explain(id) => Ok(answer::json(200, &explain(&context, &id).await)),
        _ => {
            let message = "this changes something: send it as a command";
            Err(CallError::new(ErrorKind::InvalidRequest, message))
        }
    }
}

async fn show(context: &InstanceContext, query: &ShowQuery) -> Result<ShowAnswer> {
    let table = find_table(&query.table).ok_or_else(|| {
        let message = format!("no table is named {:?}", query.table);
        CallError::new(ErrorKind::InvalidRequest, message)
    })?;
    if table.scope != TableScope::Instance {
        return show_folded(context, query, table);
    }
    let peer_query = PeerQuery::new(table.name);
    let answers = query_all(context, &peer_query).await;
    Ok(merge_answers(context, query, table, answers))
}

/// Answers from the folded state; `NotReady` if this instance does not have it in full.
fn show_folded(
    context: &InstanceContext,
    query: &ShowQuery,
    table: &QueryTable,
) -> Result<ShowAnswer> {
    let known = match table.scope {
        TableScope::Jobs => context.check_available().is_ok(),
        _ => context.state.changes().is_complete(),
    };
    if !known {
        let message = "this instance has not read enough of the log; ask another";
        return Err(CallError::new(ErrorKind::NotReady, message));
    }
    let peer_query = PeerQuery::new(table.name);
    let own = local_rows(context, &peer_query);
    let answers = PeerAnswers {
        answered: vec![own],
        silent: Vec::new(),
    };
    Ok(merge_answers(context, query, table, answers))
}

/// Merges the instances' rows, then filters and sorts them by the query.
fn merge_answers(
    context: &InstanceContext,
    query: &ShowQuery,
    table: &QueryTable,
    answers: PeerAnswers,
) -> ShowAnswer {
    let answered = answers.answered.iter();
    let answered: Vec<_> = answered
        .map(|rows| AnsweredInstance {
            instance: rows.instance.clone(),
            folded: match table.scope {
                TableScope::Changes => rows.covered,
                _ => rows.folded,
            },
        })
        .collect();
    let offset = answered.iter().map(|row| row.folded).min();
    let rows: Vec<QueryRow> = answers.answered.into_iter().flat_map(|a| a.rows).collect();
    ShowAnswer {
        result: evaluate(query, table.fields, rows),
        offset: offset.unwrap_or_default(),
        log_age_ms: context.relay.log_age_ms(),
        folded: table.scope != TableScope::Instance,
        answered,
        silent: answers.silent,
    }
}

/// Collects what is known of an id as a batch, plan, command or request.
async fn explain(context: &InstanceContext, id: &str) -> Value {
    let mut found = json!({
        "id": id,
        "offset": context.state.folded(),
        "log_age_ms": context.relay.log_age_ms(),
    });
    if let Some(batch) = explain_batch(context, id) {
        found["batch"] = batch;
    }
    explain_command(context, id, &mut found);
    let peer_query = PeerQuery::new("requests").with_request(id);
    let answers = query_all(context, &peer_query).await;
    let rows = answers.answered.into_iter().flat_map(|a| a.rows);
    let requests: Vec<_> = rows.collect();
    let not_found = ["batch", "plan", "command"]
        .iter()
        .all(|key| found.get(*key).is_none());
    found["known"] = json!(!not_found || !requests.is_empty());
    found["requests"] = json!(requests);
    found["silent"] = json!(answers.silent);
    found
}

fn explain_batch(context: &InstanceContext, id: &str) -> Option<Value> {
    let job: JobId = id.parse().ok()?;
    let shard = context.state.shard_for(&job);
    let state = shard.get(&job)?;
    Some(batch_view::job_json(&job, state))
}

fn explain_command(context: &InstanceContext, id: &str, found: &mut Value) {
    let Ok(command) = id.parse::<CommandId>() else {
        return;
    };
    let changes = context.state.changes();
    if let Some(decision) = changes.core().decisions.get(&command) {
        found["command"] = decision_json(decision);
    }
    if let Some(plan) = changes.core().plans.get(&command) {
        found["plan"] = plan_json(plan);
    }
}

fn decision_json(decision: &Decision) -> Value {
    let (outcome, reason) = match &decision.verdict {
        Verdict::Accepted { .. } => ("accepted", None),
        Verdict::Rejected { reason } => ("rejected", Some(reason)),
    };
    json!({
        "text": decision.text,
        "author": decision.author,
        "offset": decision.offset,
        "time_ms": decision.time_ms,
        "outcome": outcome,
        "reason": reason,
    })
}

fn plan_json(plan: &PlanState) -> Value {
    json!({
        "text": plan.spec.to_string(),
        "author": plan.author,
        "state": plan.phase,
        "reason": plan.reason,
        "driver_epoch": plan.epoch,
        "steps": plan.steps,
    })
}
