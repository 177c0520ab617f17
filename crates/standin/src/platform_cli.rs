//! Command line of `amaranth-platform`.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_net::cli::{self, CliAction, Result};
use amaranth_net::exit_codes::ExitCode;
use amaranth_net::telemetry;
use amaranth_wire::unit::{EventRate, TimeSpan};
use lexopt::prelude::*;

use crate::log_store::LogLimits;
use crate::platform::{PlatformState, router};
use crate::serving::{ServedRouter, run_until_signal};

const PROGRAM: &str = "amaranth-platform";
const HELP: &str = "\
Stand-in for the platform: an append-only log and a lagging list of instances.

Usage: amaranth-platform [OPTIONS]

Options:
      --listen <IP:PORT>      Where to listen [default: 127.0.0.1:0]
      --append-rate <RATE>    Appends that the log takes [default: 300/s]
      --retention <TIME>      How long entries are kept [default: 24h]
      --list-lag <TIME>       How late the list shows changes [default: 1s]
  -h, --help                  Print help
  -V, --version               Print version

Exit codes: 0 success, 1 failure, 2 wrong command line.
";
/// Largest entry that the log takes, in bytes.
pub const ENTRY_BYTES: usize = (1 << 20) + (64 << 10);

struct PlatformOptions {
    listen: SocketAddr,
    append_rate: EventRate,
    retention: TimeSpan,
    list_lag: TimeSpan,
}

/// Runs the program.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<PlatformOptions>> {
    let mut options = PlatformOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        append_rate: EventRate::per_second(300),
        retention: TimeSpan::from_millis(86_400_000),
        list_lag: TimeSpan::from_millis(1_000),
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => options.listen = parser.value()?.parse()?,
            Long("append-rate") => options.append_rate = parser.value()?.parse()?,
            Long("retention") => options.retention = parser.value()?.parse()?,
            Long("list-lag") => options.list_lag = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CliAction::Run(options))
}

fn start(options: PlatformOptions) -> ExitCode {
    telemetry::init_logs();
    let limits = LogLimits {
        appends_per_second: options.append_rate.as_per_second(),
        retention_ms: options.retention.as_millis(),
        entry_bytes: ENTRY_BYTES,
    };
    let state = PlatformState::new(limits, options.list_lag.as_millis());
    run_until_signal(PROGRAM, options.listen, |_| ServedRouter {
        router: router(Arc::new(state)),
        on_accept: None,
    })
}
