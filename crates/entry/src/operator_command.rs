//! Commands of operators: accepted, rejected, or unknown with an id to ask again.

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
use crate::operator_peers::{PeerQuestion, SilentInstance, ask_all, ask_some};
use crate::operator_query::parse_text;

/// Longest wait until a command is decided.
const DECIDE_LIMIT: Duration = Duration::from_secs(5);
/// How long an accepted command's answer waits until it is in force everywhere.
const IN_FORCE_WAIT: Duration = Duration::from_secs(2);
/// Wait between two looks at the instances that lag behind.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
const COMMAND_LIMITS: BodyLimits = BodyLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(5),
};

/// A command as it is sent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandCall {
    /// Names the command; sent again with the same id it acts once.
    pub command: CommandId,
    /// The command in the operators' language.
    pub text: String,
}

/// How a command ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CommandOutcome {
    /// In force from its offset on.
    Accepted {
        /// The command.
        command: CommandId,
        /// Where it stands.
        offset: LogOffset,
        /// The revision that it made, if it changed a setting.
        revision: Option<ConfigRevision>,
        /// Instances on which it is in force.
        in_force: Vec<InstanceId>,
        /// Instances that are not that far yet.
        lagging: Vec<InstanceId>,
        /// Instances that did not answer.
        silent: Vec<SilentInstance>,
    },
    /// Without effect.
    Rejected {
        /// The command.
        command: CommandId,
        /// Why, and by whom where another command was first.
        reason: String,
        /// Where it stands; `None` if it never reached the log.
        offset: Option<LogOffset>,
    },
    /// Not decided as far as this instance knows. Ask again with the same id.
    Unknown {
        /// The command.
        command: CommandId,
        /// It does not stand before this offset.
        offset: LogOffset,
        /// What is known.
        reason: String,
    },
}

impl CommandOutcome {
    /// HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Rejected { .. } => ErrorKind::Conflict.row().status,
            Self::Unknown { .. } => ErrorKind::OutcomeUnknown.row().status,
        }
    }
}

/// Handles a command.
pub async fn command(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    let operator = identify(&context, &request)?;
    let call: CommandCall = read_json(request.into_body(), COMMAND_LIMITS).await?;
    let statement = parse_text(&call.text)?;
    operator.require(statement.role())?;
    context.check_available()?;
    let outcome = run(&context, &operator, &call.command, &statement).await?;
    Ok(answer::json(outcome.status(), &outcome))
}

/// Handles a question what became of a command.
pub async fn ask_again(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    identify(&context, &request)?.require(OperatorRole::Viewer)?;
    let unknown = |_| CallError::new(ErrorKind::NotFound, "not the id of a command");
    let command: CommandId = request.param(0).parse().map_err(unknown)?;
    let outcome = match decided(&context, &command) {
        Some(decided) => finish(&context, command, decided).await,
        None => unknown_outcome(&context, command, "not on the log so far"),
    };
    Ok(answer::json(outcome.status(), &outcome))
}

async fn run(
    context: &InstanceContext,
    operator: &OperatorIdentity,
    command: &CommandId,
    statement: &Statement,
) -> Result<CommandOutcome> {
    if let Some(decided) = decided(context, command) {
        return Ok(finish_again(context, command, statement, decided).await);
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
    let offset = match context.committer.submit(records, DECIDE_LIMIT).await {
        Ok(offset) => offset,
        Err(e @ (CommitError::NotAppended | CommitError::TooLarge)) => return Err(e.into()),
        Err(CommitError::Unknown) => {
            let reason = "the log has not confirmed this yet";
            return Ok(unknown_outcome(context, command.clone(), reason));
        }
    };
    context.state.wait_folded(offset, DECIDE_LIMIT).await;
    Ok(match decided(context, command) {
        Some(decided) => finish(context, command.clone(), decided).await,
        None => unknown_outcome(
            context,
            command.clone(),
            "on the log, not read back in time",
        ),
    })
}

/// A decision as the fold has it.
struct DecidedCommand {
    offset: LogOffset,
    text: String,
    verdict: Verdict,
}

fn decided(context: &InstanceContext, command: &CommandId) -> Option<DecidedCommand> {
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

/// The answer to a command that was decided before it came, unless the id was another's.
async fn finish_again(
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
    finish(context, command.clone(), decided).await
}

/// Whether a decided text can stem from the statement. A missing revision is filled in by the
/// instance, and ending a drain is recorded as undoing its plan.
fn is_same_command(statement: &Statement, decided: &str) -> bool {
    let text = statement.to_string();
    match statement {
        Statement::Set { revision: None, .. } => decided.starts_with(&text),
        Statement::Undrain(_) => decided.starts_with("undo "),
        _ => text == decided,
    }
}

async fn finish(
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

/// Waits a while until every instance has folded past the offset.
async fn wait_in_force(
    context: &InstanceContext,
    offset: LogOffset,
) -> (Vec<InstanceId>, Vec<InstanceId>, Vec<SilentInstance>) {
    let question = PeerQuestion::progress();
    let mut answers = ask_all(context, &question).await;
    // A silent instance may have used up much time; those that lag are asked again all the same.
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
        sleep(LOOK_PERIOD).await;
        let silent = std::mem::take(&mut answers.silent);
        answers = ask_some(context, &question, &lagging).await;
        answers.silent.extend(silent);
    }
}

type Records = std::result::Result<Vec<LogRecord>, String>;

/// The records of a command, or why it makes no sense on this fleet.
fn build_records(
    context: &InstanceContext,
    operator: &OperatorIdentity,
    command: &CommandId,
    statement: &Statement,
) -> Records {
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
            check_target(context, target)?;
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
            upstreams: engines_of(context, tier)?,
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

fn check_target(
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

fn check_engine(context: &InstanceContext, name: &UpstreamId) -> std::result::Result<(), String> {
    let groups = context.config.fleet.upstreams.iter();
    let mut engines = groups.filter(|group| group.kind == UpstreamKind::Engine);
    match engines.any(|group| group.upstreams().iter().any(|u| u.upstream == *name)) {
        true => Ok(()),
        false => Err(format!("the settings name no engine {name}")),
    }
}

fn engines_of(
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
