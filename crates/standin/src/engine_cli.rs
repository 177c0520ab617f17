//! Command line of `amaranth-engine`.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_net::cli::{self, CliAction, Result};
use amaranth_net::exit_codes::ExitCode;
use amaranth_net::telemetry;
use amaranth_settings::upstream::UpstreamKind;
use amaranth_wire::unit::TimeSpan;
use lexopt::prelude::*;

use crate::engine::EngineProfile;
use crate::service::ServiceProfile;
use crate::serving::run_until_signal;
use crate::upstream_start::{start_engine, start_service};

const PROGRAM: &str = "amaranth-engine";
const HELP: &str = "\
Stand-in for an upstream: a model engine or a plain service.

Usage: amaranth-engine [OPTIONS]

Options:
      --listen <IP:PORT>        Where to listen [default: 127.0.0.1:0]
      --kind <WORD>             `engine` or `service` [default: engine]
      --name <NAME>             Its name on the list and in metrics [default: engine]
      --platform <IP:PORT>      Platform whose list it reports to [default: none]
      --model <NAME>            The model that it serves first [default: sketch-llm]
      --model-version <TEXT>    Version of that model [default: 1]
      --step <TIME>             Time of one step with a single stream [default: 10ms]
      --step-growth <SHARE>     Growth of the step for each further stream [default: 0.02]
      --speed <FACTOR>          Relative speed [default: 1.0]
      --slots <COUNT>           Streams that run at once; others wait [default: 16]
      --prefill <TIME>          Time to prefill one KiB of uncached prompt [default: 2ms]
      --cache-blocks <COUNT>    Blocks of 64 bytes in the prefix cache [default: 4096]
      --event-lag <TIME>        How late cache events are published [default: 200ms]
      --event-loss <PERCENT>    Cache events that are lost [default: 5]
      --report-lag <TIME>       How late load reports are [default: 500ms]
      --hold <TIME>             How long a named stream is kept without reader [default: 10s]
      --transfer <TIME>         Time to export or import one KiB of text [default: 1ms]
      --order-time <TIME>       Time that an order takes [default: 200ms]
      --weights <IP:PORT>       Weight store that models are read from [default: none]
      --fencing <WORD>          Old fencing numbers are `checked` or `ignored` [default: checked]
      --time <TIME>             Time of one call of a service [default: 20ms]
  -h, --help                    Print help
  -V, --version                 Print version

Faults are switched on by a POST to /faults.

Exit codes: 0 success, 1 failure, 2 wrong command line.
";

struct EngineOptions {
    listen: SocketAddr,
    kind: UpstreamKind,
    platform: Option<SocketAddr>,
    profile: EngineProfile,
    call_time: Duration,
}

/// Runs the program.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<EngineOptions>> {
    let mut options = EngineOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        kind: UpstreamKind::Engine,
        platform: None,
        profile: EngineProfile::default(),
        call_time: ServiceProfile::default().time,
    };
    let span = |parser: &mut lexopt::Parser| -> Result<_> {
        Ok(parser.value()?.parse::<TimeSpan>()?.duration())
    };
    while let Some(arg) = parser.next()? {
        let profile = &mut options.profile;
        match arg {
            Long("listen") => options.listen = parser.value()?.parse()?,
            Long("kind") => options.kind = parser.value()?.parse()?,
            Long("platform") => options.platform = Some(parser.value()?.parse()?),
            Long("time") => options.call_time = span(&mut parser)?,
            Long("name") => profile.name = parser.value()?.parse()?,
            Long("model") => profile.model = parser.value()?.parse()?,
            Long("model-version") => profile.version = parser.value()?.string()?,
            Long("step") => profile.speed.step = span(&mut parser)?,
            Long("step-growth") => profile.speed.step_growth = parser.value()?.parse()?,
            Long("speed") => profile.speed.speed = parser.value()?.parse()?,
            Long("slots") => profile.speed.slots = parser.value()?.parse()?,
            Long("prefill") => profile.speed.prefill_per_kib = span(&mut parser)?,
            Long("cache-blocks") => profile.cache.blocks = parser.value()?.parse()?,
            Long("event-lag") => profile.cache.event_lag_ms = span(&mut parser)?.as_millis() as u64,
            Long("event-loss") => profile.cache.event_loss_percent = parser.value()?.parse()?,
            Long("report-lag") => profile.report_lag = span(&mut parser)?,
            Long("hold") => profile.stream_retention = span(&mut parser)?,
            Long("transfer") => profile.transfer_per_kib = span(&mut parser)?,
            Long("order-time") => profile.order_time = span(&mut parser)?,
            Long("weights") => profile.weights = Some(parser.value()?.parse()?),
            Long("fencing") => {
                profile.checks_fencing = parser.value()?.parse_with(parse_fencing)?
            }
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CliAction::Run(options))
}

fn parse_fencing(text: &str) -> std::result::Result<bool, &'static str> {
    match text {
        "checked" => Ok(true),
        "ignored" => Ok(false),
        _ => Err("expected `checked` or `ignored`"),
    }
}

fn start(options: EngineOptions) -> ExitCode {
    telemetry::init_logs();
    telemetry::init_metrics();
    let listen = options.listen;
    run_until_signal(PROGRAM, listen, |stop| match options.kind {
        UpstreamKind::Engine => start_engine(options.profile, options.platform, stop).served,
        UpstreamKind::Service => {
            let profile = ServiceProfile {
                name: options.profile.name,
                time: options.call_time,
                slots: options.profile.speed.slots,
                report_lag: options.profile.report_lag,
            };
            start_service(profile, options.platform, stop).served
        }
    })
}
