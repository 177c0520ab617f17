//! Command line of `amaranth-burn`.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use amaranth_net::cli::{self, CliAction, Result, UsageError};
use amaranth_net::exit_codes::ExitCode;
use amaranth_settings::fleet::FleetSettings;
use lexopt::prelude::*;

use crate::collect::{self, CollectedReports};
use crate::history::FleetHistory;
use crate::plot;
use crate::report::BurnReport;

const PROGRAM: &str = "amaranth-burn";
const HELP: &str = "\
Report on service-level burn: how fast each tier uses up its budget, and why.

Usage: amaranth-burn [OPTIONS] [FILE]...

Reports come from instances, from saved files, or from both together.

Options:
      --settings <FILE>       Ask every instance that the platform of these settings lists
      --instance <IP:PORT>    Ask this instance; may be given more than once
      --save <FILE>           Save the reports for later
      --format <FORMAT>       text or json [default: text]
      --svg <FILE>            Write a plot of the last 6 hours
      --check                 Check the settings and exit
  -h, --help                  Print help
  -V, --version               Print version

Exit codes: 0 success, 1 failure or no report at all, 2 wrong command line, 3 wrong settings.
";

/// How the report is printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportFormat {
    Text,
    Json,
}

/// The text is not a format.
#[derive(Debug)]
struct UnknownFormatError;

impl fmt::Display for UnknownFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected text or json")
    }
}

impl std::error::Error for UnknownFormatError {}

impl FromStr for ReportFormat {
    type Err = UnknownFormatError;

    fn from_str(text: &str) -> std::result::Result<Self, UnknownFormatError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownFormatError),
        }
    }
}

struct BurnOptions {
    settings: Option<PathBuf>,
    instances: Vec<SocketAddr>,
    files: Vec<PathBuf>,
    save: Option<PathBuf>,
    svg: Option<PathBuf>,
    format: ReportFormat,
    check: bool,
}

/// Runs the program.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<BurnOptions>> {
    let mut options = BurnOptions {
        settings: None,
        instances: Vec::new(),
        files: Vec::new(),
        save: None,
        svg: None,
        format: ReportFormat::Text,
        check: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => options.settings = Some(PathBuf::from(parser.value()?)),
            Long("instance") => options.instances.push(parser.value()?.parse()?),
            Long("save") => options.save = Some(PathBuf::from(parser.value()?)),
            Long("svg") => options.svg = Some(PathBuf::from(parser.value()?)),
            Long("format") => options.format = parser.value()?.parse()?,
            Long("check") => options.check = true,
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            Value(file) => options.files.push(PathBuf::from(file)),
            other => return Err(other.unexpected().into()),
        }
    }
    let sources = [options.instances.is_empty(), options.files.is_empty()];
    if options.settings.is_none() && (options.check || sources == [true, true]) {
        return Err(UsageError::Missing("--settings, --instance or a file"));
    }
    Ok(CliAction::Run(options))
}

fn start(options: BurnOptions) -> ExitCode {
    let platform = match &options.settings {
        None => None,
        Some(path) => match FleetSettings::load(path) {
            Ok(fleet) => Some(fleet.platform.address),
            Err(errors) => {
                errors.iter().for_each(|e| eprintln!("{PROGRAM}: {e}"));
                return ExitCode::Settings;
            }
        },
    };
    if options.check {
        return ExitCode::Success;
    }
    match collect_all(&options, platform) {
        Ok(collected) => print_report(&options, &collected),
        Err(e) => cli::fail(PROGRAM, &e),
    }
}

fn collect_all(
    options: &BurnOptions,
    platform: Option<SocketAddr>,
) -> std::result::Result<CollectedReports, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut collected = runtime.block_on(async {
        let mut instances = match platform {
            Some(platform) => collect::listed(platform).await?,
            None => Vec::new(),
        };
        let named = options
            .instances
            .iter()
            .map(|at| ("instance".to_owned(), at.to_string()));
        instances.extend(named);
        Ok::<_, collect::CollectError>(collect::ask(instances).await)
    })?;
    for file in &options.files {
        collected.reports.extend(collect::load(file)?);
    }
    Ok(collected)
}

fn print_report(options: &BurnOptions, collected: &CollectedReports) -> ExitCode {
    if collected.reports.is_empty() {
        for missing in &collected.missing {
            eprintln!("{PROGRAM}: {}: {}", missing.source, missing.reason);
        }
        return cli::fail(PROGRAM, &"no instance and no file gave a report");
    }
    if let Some(path) = &options.save
        && let Err(e) = collect::save(path, &collected.reports)
    {
        return cli::fail(PROGRAM, &e);
    }
    let history = FleetHistory::new(&collected.reports);
    let report = BurnReport::new(collected, &history);
    if let Some(path) = &options.svg
        && let Err(e) = plot::write(path, &history, report.last_minute())
    {
        return cli::fail(PROGRAM, &e);
    }
    match options.format {
        ReportFormat::Text => print!("{}", report.to_text()),
        ReportFormat::Json => print!("{}", report.to_json()),
    }
    ExitCode::Success
}
