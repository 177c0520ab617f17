//! Command line of `amaranth-local`.

use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use amaranth_net::cli::{self, CliAction, Result, UsageError};
use amaranth_net::exit_codes::ExitCode;
use amaranth_net::telemetry;
use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::unit::TimeSpan;
use lexopt::prelude::*;

use crate::local_fleet::LocalFleet;
use crate::local_report::LocalReport;
use crate::local_run;
use crate::serving::wait_for_signal;

const PROGRAM: &str = "amaranth-local";
const HELP: &str = "\
A whole fleet in one process on loopback, driven with online and batch work and checked.

Usage: amaranth-local <SETTINGS> [OPTIONS]

Options:
      --time <TIME>      About how long to run, 10s to 10min [default: 15s]
      --report <FILE>    Write the report as JSON
      --serve            Print the addresses and serve until interrupted instead
      --check            Check the settings and exit
  -h, --help             Print help
  -V, --version          Print version

Logs go to stderr; RUST_LOG filters them [default: warn].

Exit codes: 0 success, 1 failure, 2 wrong command line, 3 wrong settings, 4 a promise was broken.
";
/// Bounds on the duration of a run. Observing a leaving upstream takes most of the shortest run.
const TIME_BOUNDS: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(600));

struct LocalOptions {
    settings: PathBuf,
    time: Duration,
    report: Option<PathBuf>,
    serve: bool,
    check: bool,
}

/// Runs the program.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<LocalOptions>> {
    let mut settings = None;
    let mut options = LocalOptions {
        settings: PathBuf::new(),
        time: Duration::from_secs(15),
        report: None,
        serve: false,
        check: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("time") => {
                let time: TimeSpan = parser.value()?.parse()?;
                options.time = time.duration().clamp(TIME_BOUNDS.0, TIME_BOUNDS.1);
            }
            Long("report") => options.report = Some(parser.value()?.into()),
            Long("serve") => options.serve = true,
            Long("check") => options.check = true,
            Value(path) if settings.is_none() => settings = Some(PathBuf::from(path)),
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    options.settings = settings.ok_or(UsageError::Missing("the settings file"))?;
    Ok(CliAction::Run(options))
}

fn start(options: LocalOptions) -> ExitCode {
    let settings = match FleetSettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            errors.iter().for_each(|e| eprintln!("{PROGRAM}: {e}"));
            return ExitCode::Settings;
        }
    };
    if options.check {
        return ExitCode::Success;
    }
    telemetry::init_logs_at("warn");
    telemetry::init_metrics();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return cli::fail(PROGRAM, &e),
    };
    let code = match runtime.block_on(run_fleet(settings, &options)) {
        Ok(code) => code,
        Err(e) => cli::fail(PROGRAM, &e),
    };
    runtime.shutdown_background();
    code
}

async fn run_fleet(settings: FleetSettings, options: &LocalOptions) -> std::io::Result<ExitCode> {
    let fleet = LocalFleet::start(settings).await?;
    if options.serve {
        print_addresses(&fleet);
        wait_for_signal().await;
        fleet.stop();
        return Ok(ExitCode::Success);
    }
    let report = local_run::run(&fleet, options.time).await;
    fleet.stop();
    print!("{}", report.table());
    write_report(options, &report)?;
    Ok(match report.all_checks_passed() {
        true => ExitCode::Success,
        false => ExitCode::BrokenPromise,
    })
}

fn write_report(options: &LocalOptions, report: &LocalReport) -> std::io::Result<()> {
    let Some(path) = &options.report else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(report).expect("reports always encode");
    std::fs::write(path, text + "\n")
}

/// Prints every address. Errors are ignored, since the reader may close the pipe early.
fn print_addresses(fleet: &Arc<LocalFleet>) {
    let mut text = format!("listening {}\n", fleet.pick_instance().address);
    text += &format!("platform {}\n", fleet.settings.platform.address);
    for instance in fleet.instances() {
        text += &format!("instance {} {}\n", instance.name, instance.address);
    }
    for group in &fleet.settings.upstreams {
        for upstream in group.upstreams() {
            let address = upstream.address.map_or_else(String::new, |a| a.to_string());
            text += &format!("upstream {} {address}\n", upstream.upstream);
        }
    }
    let mut stdout = std::io::stdout();
    let _ = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
}
