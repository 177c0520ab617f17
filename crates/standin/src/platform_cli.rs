//! Command line of `amaranth-platform`.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_net::cli::{self, CliAction, Result};
use amaranth_net::exit_codes::ExitCode;
use amaranth_net::telemetry;
use amaranth_wire::unit::{ByteSize, EventRate, TimeSpan};
use lexopt::prelude::*;

use crate::log_store::LogLimits;
use crate::platform::{PlatformProfile, PlatformState, router};
use crate::serving::{ServedRouter, run_until_signal};
use crate::weight_store::WeightLimits;

const PROGRAM: &str = "amaranth-platform";
const HELP: &str = "\
Stand-in for the platform: an append-only log, lagging lists and a weight store.

Usage: amaranth-platform [OPTIONS]

Options:
      --listen <IP:PORT>      Where to listen [default: 127.0.0.1:0]
      --append-rate <RATE>    Appends that the log takes [default: 300/s]
      --retention <TIME>      How long entries are kept [default: 24h]
      --list-lag <TIME>       How late the lists show changes [default: 1s]
      --weights-size <SIZE>   Bytes of each model [default: 16MiB]
      --weights-rate <SIZE>   Bytes that all readers get in a second [default: 64MiB]
  -h, --help                  Print help
  -V, --version               Print version

Faults are switched on by a POST to /faults.

Exit codes: 0 success, 1 failure, 2 wrong command line.
";
/// Default limit on the size of a log entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = (1 << 20) + (64 << 10);

struct PlatformOptions {
    listen: SocketAddr,
    profile: PlatformProfile,
}

/// The profile that applies when no option is given.
pub fn default_profile() -> PlatformProfile {
    PlatformProfile {
        log: LogLimits {
            appends_per_second: 300,
            retention_ms: 86_400_000,
            max_entry_bytes: MAX_ENTRY_BYTES,
        },
        list_lag_ms: 1_000,
        weights: WeightLimits {
            model_bytes: 16 << 20,
            bytes_per_second: 64 << 20,
        },
    }
}

/// Runs the program.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<PlatformOptions>> {
    let mut options = PlatformOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        profile: default_profile(),
    };
    while let Some(arg) = parser.next()? {
        let profile = &mut options.profile;
        match arg {
            Long("listen") => options.listen = parser.value()?.parse()?,
            Long("append-rate") => {
                let rate: EventRate = parser.value()?.parse()?;
                profile.log.appends_per_second = rate.as_per_second();
            }
            Long("retention") => {
                let retention: TimeSpan = parser.value()?.parse()?;
                profile.log.retention_ms = retention.as_millis();
            }
            Long("list-lag") => {
                let lag: TimeSpan = parser.value()?.parse()?;
                profile.list_lag_ms = lag.as_millis();
            }
            Long("weights-size") => {
                let size: ByteSize = parser.value()?.parse()?;
                profile.weights.model_bytes = size.as_bytes();
            }
            Long("weights-rate") => {
                let rate: ByteSize = parser.value()?.parse()?;
                profile.weights.bytes_per_second = rate.as_bytes();
            }
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CliAction::Run(options))
}

fn start(options: PlatformOptions) -> ExitCode {
    telemetry::init_logs();
    telemetry::init_metrics();
    let state = Arc::new(PlatformState::new(options.profile));
    run_until_signal(PROGRAM, options.listen, |_| ServedRouter {
        router: router(state),
        on_accept: None,
    })
}
