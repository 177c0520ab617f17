//! Command line of `amaranth-load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use amaranth_net::cli::{self, CliAction, Result, UsageError};
use amaranth_net::exit_codes::ExitCode;
use amaranth_net::telemetry;
use amaranth_wire::unit::{EventRate, TimeSpan};
use lexopt::prelude::*;

use crate::load_call::LoadTarget;
use crate::load_report::LoadReport;
use crate::load_run::{self, LoadPlan, LoadShape};

const PROGRAM: &str = "amaranth-load";
const HELP: &str = "\
Streamed calls on one address, or on two in turns; every token is checked.

Usage: amaranth-load --target <IP:PORT> [OPTIONS]

Options:
      --target <IP:PORT>      An engine stand-in or an instance; given again, they take turns
      --through <IP:PORT>     A second address that is compared with the first
      --model <NAME>          The model to ask for [default: sketch-llm]
      --tier <NAME>           Tier that is named to the second address [default: none]
      --key <TEXT>            Caller's key that is sent to the second address [default: none]
      --concurrency <COUNT>   Callers that each make one call after another [default: 1]
      --rate <RATE>           Calls at random times instead, such as 40/s
      --tokens <COUNT>        Tokens of each answer [default: 16]
      --prompt-bytes <COUNT>  Bytes of each prompt [default: 64]
      --time <TIME>           Time of the whole run, at most 10min [default: 10s]
      --turn <TIME>           Time of one turn [default: 1s]
      --calls <COUNT>         Most calls of the whole run [default: 1000000]
      --watch <ID>            Process whose use of processor and memory is measured
      --report <FILE>         Write the report as JSON
  -h, --help                  Print help
  -V, --version               Print version

Exit codes: 0 success, 1 failure, 2 wrong command line, 4 an answer was wrong.
";
/// Upper bound on the duration of a run.
const MAX_TIME: Duration = Duration::from_secs(600);

struct LoadOptions {
    plan: LoadPlan,
    report: Option<PathBuf>,
}

/// Parsed arguments, before the targets are put together.
struct LoadArgs {
    targets: Vec<SocketAddr>,
    through: Option<SocketAddr>,
    model: String,
    tier: Option<String>,
    key: Option<String>,
    plan: LoadPlan,
    report: Option<PathBuf>,
}

/// Runs the program.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<LoadOptions>> {
    let mut args = LoadArgs {
        targets: Vec::new(),
        through: None,
        model: "sketch-llm".to_owned(),
        tier: None,
        key: None,
        plan: LoadPlan {
            targets: Vec::new(),
            shape: LoadShape::Closed(1),
            tokens: 16,
            prompt_bytes: 64,
            time: Duration::from_secs(10),
            turn: Duration::from_secs(1),
            calls: 1_000_000,
            monitored_process: None,
        },
        report: None,
    };
    let span = |parser: &mut lexopt::Parser| -> Result<_> {
        Ok(parser.value()?.parse::<TimeSpan>()?.duration())
    };
    while let Some(arg) = parser.next()? {
        let plan = &mut args.plan;
        match arg {
            Long("target") => args.targets.push(parser.value()?.parse()?),
            Long("through") => args.through = Some(parser.value()?.parse()?),
            Long("model") => args.model = parser.value()?.string()?,
            Long("tier") => args.tier = Some(parser.value()?.string()?),
            Long("key") => args.key = Some(parser.value()?.string()?),
            Long("concurrency") => plan.shape = LoadShape::Closed(parser.value()?.parse()?),
            Long("rate") => {
                let rate: EventRate = parser.value()?.parse()?;
                plan.shape = LoadShape::Open(rate.as_per_second().max(1) as f64);
            }
            Long("tokens") => plan.tokens = parser.value()?.parse()?,
            Long("prompt-bytes") => plan.prompt_bytes = parser.value()?.parse()?,
            Long("time") => plan.time = span(&mut parser)?.min(MAX_TIME),
            Long("turn") => plan.turn = span(&mut parser)?,
            Long("calls") => plan.calls = parser.value()?.parse()?,
            Long("watch") => plan.monitored_process = Some(parser.value()?.parse()?),
            Long("report") => args.report = Some(parser.value()?.into()),
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CliAction::Run(args.into_options()?))
}

impl LoadArgs {
    fn into_options(mut self) -> Result<LoadOptions> {
        let Some((&first, others)) = self.targets.split_first() else {
            return Err(UsageError::Missing("--target"));
        };
        let direct = LoadTarget::new("direct", first, &self.model);
        let others = others.iter().copied();
        let targets = &mut self.plan.targets;
        targets.push(others.fold(direct, LoadTarget::with_address));
        if let Some(through) = self.through {
            let mut target = LoadTarget::new("through", through, &self.model);
            if let Some(tier) = &self.tier {
                target = target.with_header("amaranth-tier", tier);
            }
            if let Some(key) = &self.key {
                target = target.with_header("authorization", &format!("Bearer {key}"));
            }
            targets.push(target);
        }
        Ok(LoadOptions {
            plan: self.plan,
            report: self.report,
        })
    }
}

fn start(options: LoadOptions) -> ExitCode {
    telemetry::init_logs();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return cli::fail(PROGRAM, &e),
    };
    let result = runtime.block_on(load_run::run(&options.plan));
    let report = LoadReport::new(&result);
    print!("{}", report.table());
    if let Some(path) = &options.report {
        let text = serde_json::to_string_pretty(&report).expect("reports always encode");
        if let Err(e) = std::fs::write(path, text + "\n") {
            return cli::fail(PROGRAM, &format!("{}: {e}", path.display()));
        }
    }
    match report.correct {
        true => ExitCode::Success,
        false => ExitCode::BrokenPromise,
    }
}
