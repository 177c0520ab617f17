//! Command line of `amaranth-engine`.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_net::cli::{self, CliAction, Result};
use amaranth_net::exit_codes::ExitCode;
use amaranth_net::telemetry;
use amaranth_wire::unit::TimeSpan;
use lexopt::prelude::*;

use crate::engine::{EngineModel, EngineState, router};
use crate::serving::run_until_signal;

const PROGRAM: &str = "amaranth-engine";
const HELP: &str = "\
Stand-in for a model engine.

Usage: amaranth-engine [OPTIONS]

Options:
      --listen <IP:PORT>      Where to listen [default: 127.0.0.1:0]
      --model <NAME>          The model that it serves [default: sketch-llm]
      --step <TIME>           Time of one step with a single stream [default: 10ms]
      --step-growth <SHARE>   Growth of the step for each further stream [default: 0.02]
      --speed <FACTOR>        Relative speed [default: 1.0]
  -h, --help                  Print help
  -V, --version               Print version

Exit codes: 0 success, 1 failure, 2 wrong command line.
";

struct EngineOptions {
    listen: SocketAddr,
    engine: EngineModel,
}

/// Runs the program.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<EngineOptions>> {
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut model = "sketch-llm".to_owned();
    let mut step = TimeSpan::from_millis(10);
    let mut step_growth = 0.02;
    let mut speed = 1.0;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => listen = parser.value()?.parse()?,
            Long("model") => model = parser.value()?.string()?,
            Long("step") => step = parser.value()?.parse()?,
            Long("step-growth") => step_growth = parser.value()?.parse()?,
            Long("speed") => speed = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    let engine = EngineModel {
        model,
        step: step.duration(),
        step_growth,
        speed,
    };
    Ok(CliAction::Run(EngineOptions { listen, engine }))
}

fn start(options: EngineOptions) -> ExitCode {
    telemetry::init_logs();
    let state = EngineState::new(options.engine);
    run_until_signal(PROGRAM, options.listen, |_| router(Arc::new(state)))
}
