//! Command line of `amaranth-entry`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use amaranth_kernel::plugin::{routing_policy, routing_policy_names};
use amaranth_net::cli::{self, CliAction, Result, UsageError};
use amaranth_net::exit_codes::ExitCode;
use amaranth_net::telemetry;
use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::id::InstanceId;
use lexopt::prelude::*;

use crate::config::EntryConfig;
use crate::process;

const PROGRAM: &str = "amaranth-entry";
const HELP: &str = "\
One instance: serves callers, peers and operators.

Usage: amaranth-entry --settings <FILE> --instance <NAME> [OPTIONS]

Options:
      --settings <FILE>       Settings of the fleet, JSON with comments
      --instance <NAME>       Which instance of the fleet this is
      --listen <IP:PORT>      Where to listen, in place of the settings
      --check                 Check the settings and exit
  -h, --help                  Print help
  -V, --version               Print version

Logs go to stderr; RUST_LOG filters them.

Exit codes: 0 success, 1 failure, 2 wrong command line, 3 wrong settings.
";

struct EntryOptions {
    settings: PathBuf,
    instance: InstanceId,
    listen: Option<SocketAddr>,
    check: bool,
}

/// Parses the command line and runs the instance until it stops.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<EntryOptions>> {
    let mut settings = None;
    let mut instance = None;
    let mut listen = None;
    let mut check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("instance") => instance = Some(parser.value()?.parse()?),
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("check") => check = true,
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CliAction::Run(EntryOptions {
        settings: settings.ok_or(UsageError::Missing("--settings"))?,
        instance: instance.ok_or(UsageError::Missing("--instance"))?,
        listen,
        check,
    }))
}

fn start(options: EntryOptions) -> ExitCode {
    let fleet = match FleetSettings::load(&options.settings) {
        Ok(fleet) => Arc::new(fleet),
        Err(errors) => {
            errors.iter().for_each(|e| eprintln!("{PROGRAM}: {e}"));
            return ExitCode::Settings;
        }
    };
    let Some(mut config) = EntryConfig::new(fleet, &options.instance) else {
        eprintln!(
            "{PROGRAM}: the settings have no instance {}",
            options.instance
        );
        return ExitCode::Settings;
    };
    if routing_policy(&config.fleet.routing).is_none() {
        let (given, known) = (&config.fleet.routing, routing_policy_names().join(", "));
        eprintln!("{PROGRAM}: unknown routing policy {given:?}, expected one of {known}");
        return ExitCode::Settings;
    }
    if options.check {
        return ExitCode::Success;
    }
    config.listen = options.listen.unwrap_or(config.listen);
    telemetry::init_logs();
    telemetry::init_metrics();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return cli::fail(PROGRAM, &e),
    };
    match runtime.block_on(process::run(config)) {
        Ok(()) => ExitCode::Success,
        Err(e) => cli::fail(PROGRAM, &e),
    }
}
