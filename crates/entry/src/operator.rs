//! Operator endpoints for the instance report and the configuration.

use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::decision_log::Verdict;
use amaranth_net::answer;
use amaranth_net::body::read_json;
use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{CommandId, ConfigRevision};
use amaranth_wire::record::LogRecord;
use amaranth_wire::role::OperatorRole;
use serde::Deserialize;
use serde_json::{Map, Value, json};
use volo_http::response::Response;

use crate::accept::online_limits;
use crate::context::{InstanceContext, Result};
use crate::operator_access::identify;

/// Timeout for the append of a proposal, and for its decision.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of a configuration proposal. `author` counts only in a fleet without operator keys.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigCall {
    command: CommandId,
    author: String,
    expected: ConfigRevision,
    name: String,
    value: Value,
}

/// Answers with the readiness, fold offset and configuration revision of this instance.
pub async fn show_instance(context: Arc<InstanceContext>, _: RouteRequest) -> Result<Response> {
    Ok(answer::json(200, &context.report()))
}

/// Answers with the configuration in force on this instance.
pub async fn show_config(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    identify(&context, &request)?.require(OperatorRole::Viewer)?;
    let config = context.state.config();
    let values: Map<String, Value> = config
        .values()
        .map(|(name, setting)| (name.clone(), setting.value.clone()))
        .collect();
    let body = json!({
        "instance": context.config.instance,
        "revision": config.revision(),
        "values": values,
    });
    Ok(answer::json(200, &body))
}

/// Appends a configuration proposal and answers with its decision.
///
/// Fails with `Conflict` if it is rejected, and with `OutcomeUnknown` if it is not folded in time.
pub async fn set_config(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let operator = identify(&context, &request)?;
    operator.require(OperatorRole::Admin)?;
    context.check_available()?;
    let limits = online_limits(&context);
    let call: ConfigCall = read_json(request.into_body(), limits).await?;
    let record = LogRecord::ConfigProposed {
        command: call.command.clone(),
        author: match context.config.fleet.operators.is_empty() {
            true => call.author,
            false => operator.name,
        },
        expected: call.expected,
        name: call.name,
        value: call.value.to_string(),
    };
    let offset = context
        .committer
        .submit(vec![record], DECISION_TIMEOUT)
        .await?;
    if !context.state.wait_folded(offset, DECISION_TIMEOUT).await {
        let message = "the command is on the log but was not read back in time";
        return Err(CallError::new(ErrorKind::OutcomeUnknown, message));
    }
    decision_answer(&context, &call.command)
}

/// Builds the answer from a folded decision.
fn decision_answer(context: &InstanceContext, command: &CommandId) -> Result<Response> {
    let changes = context.state.changes();
    let conflict = |message: String| Err(CallError::new(ErrorKind::Conflict, message));
    let Some(decision) = changes.core().decisions.get(command) else {
        return conflict("the command was decided too long ago".to_owned());
    };
    match &decision.verdict {
        Verdict::Accepted { revision } => {
            let offset = decision.offset;
            let body = json!({"accepted": true, "offset": offset, "revision": revision});
            Ok(answer::json(200, &body))
        }
        Verdict::Rejected { reason } => conflict(reason.clone()),
    }
}
