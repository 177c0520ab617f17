//! Operator commands. The outcome is accepted, rejected, or unknown with an id to query later.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::decision_log::Verdict;
use amaranth_kernel::language::statement::{DrainTarget, Statement};
use amaranth_net::answer;
use amaranth_net::body::{BodyLimits, read_json};
use amaranth_net::route::RouteRequest;
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::change::PlanSpec;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::id::{CommandId, ConfigRevision, InstanceId, LogOffset, TierId, UpstreamId};
use amaranth_wire::record::LogRecord;
use amaranth_wire::role::OperatorRole;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use volo_http::response::Response;

use crate::committer::CommitError;
use crate::context::{InstanceContext, Result};
use crate::operator_access::{OperatorIdentity, identify};
use crate::operator_peers::{PeerQuery, SilentInstance, query_all, query_some};
use crate::operator_query::parse_text;

/// Timeout for the append of a command, and for its decision.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the answer to an accepted command waits for it to be in force on every instance.
const IN_FORCE_WAIT: Duration = Duration::from_secs(2);
/// Delay between two queries of the lagging instances.
const POLL_PERIOD: Duration = Duration::from_millis(100);
const COMMAND_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(5),
};

/// Request body of a command.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandCall {
    /// Idempotency key: a command sent again with the same id acts once.
    pub command: CommandId,
    /// Statement in the operators' language.
    pub text: String,
}

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CommandOutcome {
    /// Accepted; in force from its offset on.
    Accepted {
        /// The command.
        command: CommandId,
        /// Its offset on the log.
        offset: LogOffset,
        /// Configuration revision that it created, if it changed a setting.
        revision: Option<ConfigRevision>,
        /// Instances on which it is in force.
        in_force: Vec<InstanceId>,
        /// Instances that answered but had not folded it yet.
        lagging: Vec<InstanceId>,
        /// Instances that did not answer.
        silent: Vec<SilentInstance>,
    },
    /// Rejected, without effect.
    Rejected {
        /// The command.
        command: CommandId,
        /// Why, and the author of the conflicting command if there is one.
        reason: String,
        /// Its offset on the log; `None` if it was never appended.
        offset: Option<LogOffset>,
    },
    /// No decision is known to this instance. Query again with the same id.
    Unknown {
        /// The command.
        command: CommandId,
        /// The command is not on the log before this offset.
        offset: LogOffset,
        /// Why the outcome is unknown.
        reason: String,
    },
}

impl CommandOutcome {
    /// HTTP status of the answer: 200, or that of `Conflict` or `OutcomeUnknown`.
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Rejected { .. } => ErrorKind::Conflict.row().status,
            Self::Unknown { .. } => ErrorKind::OutcomeUnknown.row().status,
        }
    }
}

/// Executes a command and answers with its outcome.
pub async fn command(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let operator = identify(&context, &request)?;
    let call: CommandCall = read_json(request.into_body(), COMMAND_LIMITS).await?;
    let statement = parse_text(&call.text)?;
    operator.require(statement.role())?;
    context.check_available()?;
    let outcome = execute(&context, &operator, &call.command, &statement).await?;
    Ok(answer::json(outcome.status(), &outcome))
}

/// Answers with the outcome of an earlier command.
pub async fn command_status(
    context: Arc<InstanceContext>,
    request: RouteRequest,
) -> Result<Response> {
    identify(&context, &request)?.require(OperatorRole::Viewer)?;
    let unknown = |_| CallError::new(ErrorKind::NotFound, "not the id of a command");
    let command: CommandId = request.param(0).parse().map_err(unknown)?;
    let outcome = match find_decision(&context, &command) {
        Some(decided) => decided_outcome(&context, command, decided).await,
        None => unknown_outcome(&context, command, "not on the log so far"),
    };
    Ok(answer::json(outcome.status(), &outcome))
}

/// Appends a command's records and waits for the decision, unless it was decided before.
async fn execute(
    context: &InstanceContext,
    operator: &OperatorIdentity,
    command: &CommandId,
    statement: &Statement,
) -> Result<CommandOutcome> {
    if let Some(decided) = find_decision(context, command) {
        return Ok(repeated_outcome(context, command, statement, decided).await);
    }
    let records = match build_records(context, operator, command, statement) {
        Ok(records) => records,
        Err(reason) => {
            return Ok(CommandOutcome::Rejected {
                command: command.clone(),
                reason: format!("{reason} (checked by {})", context.config.instance),
                offset: None,
            });
        }
    };
    let offset = match context.committer.submit(records, DECISION_TIMEOUT).await {
        Ok(offset) => offset,
        Err(e @ (CommitError::NotAppended | CommitError::TooLarge)) => return Err(e.into()),
        Err(CommitError::Unknown) => {
            let reason = "the log has not confirmed this yet";
            return Ok(unknown_outcome(context, command.clone(), reason));
        }
    };
    context.state.wait_folded(offset, DECISION_TIMEOUT).await;
    Ok(match find_decision(context, command) {
        Some(decided) => decided_outcome(context, command.clone(), decided).await,
        None => unknown_outcome(
            context,
            command.clone(),
            "on the log, not read back in time",
        ),
    })
}

/// Decision on a command, copied from the folded state.
struct DecidedCommand {
    offset: LogOffset,
    text: String,
    verdict: Verdict,
}

/// Looks up the decision on a command in the folded state.
fn find_decision(context: &InstanceContext, command: &CommandId) -> Option<DecidedCommand> {
    let changes = context.state.changes();
    let decision = changes.core().decisions.get(command)?;
    Some(DecidedCommand {
        offset: decision.offset,
        text: decision.text.clone(),
        verdict: decision.verdict.clone(),
    })
}

fn unknown_outcome(context: &InstanceContext, command: CommandId, reason: &str) -> CommandOutcome {
    CommandOutcome::Unknown {
        command,
        offset: context.state.changes().covered(),
        reason: reason.to_owned(),
    }
}

/// Outcome of a repeated command; rejected if its id belongs to a different command.
async fn repeated_outcome(
    context: &InstanceContext,
    command: &CommandId,
    statement: &Statement,
    decided: DecidedCommand,
) -> CommandOutcome {
    if !is_same_command(statement, &decided.text) {
        return CommandOutcome::Rejected {
            command: command.clone(),
            reason: format!("the id was used for: {}", decided.text),
            offset: Some(decided.offset),
        };
    }
    decided_outcome(context, command.clone(), decided).await
}

/// Whether a recorded text can result from the statement. A missing revision is filled in by the
/// instance, and ending a drain is recorded as undoing its plan.
fn is_same_command(statement: &Statement, decided: &str) -> bool {
    let text = statement.to_string();
    match statement {
        Statement::Set { revision: None, .. } => decided.starts_with(&text),
        Statement::Undrain(_) => decided.starts_with("undo "),
        _ => text == decided,
    }
}

/// Builds the outcome of a decision, waiting for an accepted command to be in force.
async fn decided_outcome(
    context: &InstanceContext,
    command: CommandId,
    decided: DecidedCommand,
) -> CommandOutcome {
    let offset = decided.offset;
    let revision = match decided.verdict {
        Verdict::Accepted { revision } => revision,
        Verdict::Rejected { reason } => {
            return CommandOutcome::Rejected {
                command,
                reason,
                offset: Some(offset),
            };
        }
    };
    let (in_force, lagging, silent) = wait_in_force(context, offset).await;
    CommandOutcome::Accepted {
        command,
        offset,
        revision,
        in_force,
        lagging,
        silent,
    }
}

/// Waits up to `IN_FORCE_WAIT` until every instance that answers has folded past the offset.
/// Returns the instances in force, lagging and silent.
async fn wait_in_force(
    context: &InstanceContext,
    offset: LogOffset,
) -> (Vec<InstanceId>, Vec<InstanceId>, Vec<SilentInstance>) {
    let query = PeerQuery::progress();
    let mut answers = query_all(context, &query).await;
    // The deadline starts here because a silent instance can use up much of the first query's time.
    let deadline = Instant::now() + IN_FORCE_WAIT;
    let mut in_force: BTreeSet<InstanceId> = BTreeSet::new();
    loop {
        let mut lagging = BTreeSet::new();
        for peer in &answers.answered {
            let set = match peer.covered > offset {
                true => &mut in_force,
                false => &mut lagging,
            };
            set.insert(peer.instance.clone());
        }
        if lagging.is_empty() || Instant::now() >= deadline {
            let silent = answers.silent;
            return (
                in_force.into_iter().collect(),
                lagging.into_iter().collect(),
                silent,
            );
        }
        sleep(POLL_PERIOD).await;
        let silent = std::mem::take(&mut answers.silent);
        answers = query_some(context, &query, &lagging).await;
        answers.silent.extend(silent);
    }
}

type RecordsResult = std::result::Result<Vec<LogRecord>, String>;

/// Builds the records of a command, or returns why it is invalid on this fleet.
fn build_records(
    context: &InstanceContext,
    operator: &OperatorIdentity,
    command: &CommandId,
    statement: &Statement,
) -> RecordsResult {
    let author = operator.name.clone();
    let command = command.clone();
    let plan = |spec: PlanSpec| LogRecord::PlanProposed {
        command: command.clone(),
        author: author.clone(),
        spec,
    };
    match statement {
        Statement::Set {
            name,
            value,
            revision,
        } => Ok(vec![LogRecord::ConfigProposed {
            expected: revision.unwrap_or_else(|| context.state.revision()),
            command,
            author,
            name: name.clone(),
            value: value.clone(),
        }]),
        Statement::Drain(target) => {
            check_drain_target(context, target)?;
            Ok(vec![plan(drain_spec(target))])
        }
        Statement::Undrain(target) => {
            let changes = context.state.changes();
            let drain = changes
                .core()
                .plans
                .find_drain(&drain_spec(target))
                .cloned();
            let drain = drain.ok_or_else(|| format!("{target} is not drained"))?;
            Ok(vec![LogRecord::PlanUndone {
                command,
                author,
                plan: drain,
            }])
        }
        Statement::Undo(undone) => Ok(vec![LogRecord::PlanUndone {
            command,
            author,
            plan: undone.clone(),
        }]),
        Statement::Roll {
            model,
            version,
            tier,
        } => Ok(vec![plan(PlanSpec::RollModel {
            upstreams: tier_engines(context, tier)?,
            tier: tier.clone(),
            model: model.clone(),
            version: version.clone(),
        })]),
        Statement::Swap { first, second } => {
            check_engine(context, first)?;
            check_engine(context, second)?;
            Ok(vec![plan(PlanSpec::SwapRoles {
                first: first.clone(),
                second: second.clone(),
            })])
        }
        Statement::Cancel(job) => {
            if context.state.shard_for(job).get(job).is_none() {
                return Err(format!("there is no batch {job}"));
            }
            let noted = LogRecord::CommandNoted {
                command: command.clone(),
                author,
                text: statement.to_string(),
            };
            let cancelled = LogRecord::JobCancelled {
                job: job.clone(),
                command,
            };
            Ok(vec![noted, cancelled])
        }
        Statement::Start { .. } => Err("a batch is submitted to /v1/batches".to_owned()),
        Statement::Show(_) | Statement::Explain(_) => Err("this is a query".to_owned()),
    }
}

fn drain_spec(target: &DrainTarget) -> PlanSpec {
    match target {
        DrainTarget::Upstream(upstream) => PlanSpec::DrainUpstream {
            upstream: upstream.clone(),
        },
        DrainTarget::Instance(instance) => PlanSpec::DrainInstance {
            instance: instance.clone(),
        },
    }
}

/// Fails if the settings do not name the drain target.
fn check_drain_target(
    context: &InstanceContext,
    target: &DrainTarget,
) -> std::result::Result<(), String> {
    let fleet = &context.config.fleet;
    let known = match target {
        DrainTarget::Upstream(name) => {
            let mut groups = fleet.upstreams.iter();
            groups.any(|group| group.upstreams().iter().any(|u| u.upstream == *name))
        }
        DrainTarget::Instance(name) => fleet.instance(name).is_some(),
    };
    match known {
        true => Ok(()),
        false => Err(format!("the settings name no {target}")),
    }
}

/// Fails if the settings do not name an upstream of kind `Engine` with this name.
fn check_engine(context: &InstanceContext, name: &UpstreamId) -> std::result::Result<(), String> {
    let groups = context.config.fleet.upstreams.iter();
    let mut engines = groups.filter(|group| group.kind == UpstreamKind::Engine);
    match engines.any(|group| group.upstreams().iter().any(|u| u.upstream == *name)) {
        true => Ok(()),
        false => Err(format!("the settings name no engine {name}")),
    }
}

/// Engines of a tier's upstream group.
fn tier_engines(
    context: &InstanceContext,
    tier: &TierId,
) -> std::result::Result<Vec<UpstreamId>, String> {
    let fleet = &context.config.fleet;
    let settings = fleet.tier(tier);
    let settings = settings.ok_or_else(|| format!("the settings name no tier {tier}"))?;
    let group = fleet.group(&settings.upstreams);
    let group = group.filter(|group| group.kind == UpstreamKind::Engine);
    let group = group.ok_or_else(|| format!("tier {tier} has no engines"))?;
    let upstreams = group.upstreams().into_iter();
    Ok(upstreams.map(|upstream| upstream.upstream).collect())
}
