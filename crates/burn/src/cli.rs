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
/// Environment variable with the operator's key.
const KEY_VARIABLE: &str = "AMARANTH_KEY";
const HELP: &str = "\
Report on service-level burn: how fast each tier uses up its budget, and why.

Usage: amaranth-burn [OPTIONS] [FILE]...

Reports come from instances, from saved files, or from both together.

Options:
      --settings <FILE>       Query every instance that the platform of these settings lists
      --instance <IP:PORT>    Query this instance; may be given more than once
      --key-file <FILE>       File with the operator's key, in place of AMARANTH_KEY
      --save <FILE>           Save the collected reports as JSON
      --format <FORMAT>       text or json [default: text]
      --svg <FILE>            Write a plot of the last 6 hours
      --check                 Check the settings and exit
  -h, --help                  Print help
  -V, --version               Print version

Exit codes: 0 success, 1 failure or no report at all, 2 wrong command line, 3 wrong settings.
";

/// Output format of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportFormat {
    Text,
    Json,
}

/// Error for an unknown output format.
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
    key_file: Option<PathBuf>,
    save: Option<PathBuf>,
    svg: Option<PathBuf>,
    format: ReportFormat,
    check: bool,
}

/// Parses the process's arguments, runs the program and returns its exit code.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<BurnOptions>> {
    let mut options = BurnOptions {
        settings: None,
        instances: Vec::new(),
        files: Vec::new(),
        key_file: None,
        save: None,
        svg: None,
        format: ReportFormat::Text,
        check: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => options.settings = Some(PathBuf::from(parser.value()?)),
            Long("instance") => options.instances.push(parser.value()?.parse()?),
            Long("key-file") => options.key_file = Some(PathBuf::from(parser.value()?)),
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
    let key = read_key(options)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut collected = runtime.block_on(async {
        let mut instances = match platform {
            Some(platform) => collect::list_instances(platform).await?,
            None => Vec::new(),
        };
        let given = options
            .instances
            .iter()
            .map(|at| ("instance".to_owned(), at.to_string()));
        instances.extend(given);
        Ok::<_, collect::CollectError>(collect::fetch_reports(instances, key.as_deref()).await)
    })?;
    for file in &options.files {
        collected.reports.extend(collect::load_reports(file)?);
    }
    Ok(collected)
}

fn read_key(options: &BurnOptions) -> collect::Result<Option<String>> {
    let key = match &options.key_file {
        None => std::env::var(KEY_VARIABLE).ok(),
        Some(path) => {
            let file = path.display().to_string();
            let key = std::fs::read_to_string(path);
            Some(key.map_err(|e| collect::CollectError::File(file, e))?)
        }
    };
    Ok(key.map(|key| key.trim().to_owned()))
}

fn print_report(options: &BurnOptions, collected: &CollectedReports) -> ExitCode {
    if collected.reports.is_empty() {
        for missing in &collected.missing {
            eprintln!("{PROGRAM}: {}: {}", missing.source, missing.reason);
        }
        return cli::fail(
            PROGRAM,
            &"no report was collected from any instance or file",
        );
    }
    if let Some(path) = &options.save
        && let Err(e) = collect::save_reports(path, &collected.reports)
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
