//! Command line of `amaranth-ctl`.

use std::io::{BufRead, IsTerminal, Write, stdin, stdout};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use amaranth_kernel::language::completion::complete;
use amaranth_net::cli::{self, CliAction, Result, UsageError};
use amaranth_net::exit_codes::ExitCode;
use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::id::CommandId;
use amaranth_wire::unit::TimeSpan;
use lexopt::prelude::*;
use tokio::runtime::Runtime;

use crate::client::OperatorClient;
use crate::prompt::{LinePrompt, PromptLine};
use crate::session::{OperatorSession, OutputFormat, StatementResult};
use crate::shell_completion::{self, ShellKind};

const PROGRAM: &str = "amaranth-ctl";
/// Environment variable with the operator's key.
const KEY_VARIABLE: &str = "AMARANTH_KEY";
const HELP: &str = "\
Command-line client for operators: queries and controls the instances.

Usage: amaranth-ctl --instance <IP:PORT>... [OPTIONS] [-e <STATEMENT>]...

Without -e, statements are read from stdin, one a line; on a terminal there is a prompt.

Options:
  -e <STATEMENT>              Run a statement; may be given more than once
      --instance <IP:PORT>    Address of an instance; several are tried in order
      --settings <FILE>       Take the instances from the fleet's settings
      --key-file <FILE>       File with the operator's key, in place of AMARANTH_KEY
      --json                  Write answers as JSON, one a line
      --watch <TIME>          Repeat the statements, such as every 2s
      --command-id <ID>       Id of the first command, to retry an earlier one
      --completions <SHELL>   Print the completion script for bash or zsh
  -h, --help                  Print help
  -V, --version               Print version

Exit codes: 0 success, 1 failure, 2 wrong command line or statement, 3 wrong settings,
5 rejected, 6 outcome unknown: retry with the same id.
";

#[derive(Default)]
struct CtlOptions {
    statements: Vec<String>,
    instances: Vec<SocketAddr>,
    settings: Option<PathBuf>,
    key_file: Option<PathBuf>,
    json: bool,
    watch: Option<TimeSpan>,
    command: Option<CommandId>,
    completions: Option<ShellKind>,
    complete: Option<String>,
}

/// Parses the process's arguments, runs the program and returns its exit code.
pub fn run() -> ExitCode {
    cli::dispatch(PROGRAM, HELP, parse(lexopt::Parser::from_env()), start)
}

fn parse(mut parser: lexopt::Parser) -> Result<CliAction<CtlOptions>> {
    let mut options = CtlOptions::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Short('e') => options.statements.push(parser.value()?.string()?),
            Long("instance") => options.instances.push(parser.value()?.parse()?),
            Long("settings") => options.settings = Some(PathBuf::from(parser.value()?)),
            Long("key-file") => options.key_file = Some(PathBuf::from(parser.value()?)),
            Long("json") => options.json = true,
            Long("watch") => options.watch = Some(parser.value()?.parse()?),
            Long("command-id") => options.command = Some(parser.value()?.parse()?),
            Long("completions") => options.completions = Some(parser.value()?.parse()?),
            Long("complete") => options.complete = Some(parser.value()?.string()?),
            Short('h') | Long("help") => return Ok(CliAction::Help),
            Short('V') | Long("version") => return Ok(CliAction::Version),
            other => return Err(other.unexpected().into()),
        }
    }
    let needs_instances = options.completions.is_none() && options.complete.is_none();
    if needs_instances && options.instances.is_empty() && options.settings.is_none() {
        return Err(UsageError::Missing("--instance or --settings"));
    }
    Ok(CliAction::Run(options))
}

fn start(options: CtlOptions) -> ExitCode {
    if let Some(shell) = options.completions {
        print!("{}", shell_completion::script(shell));
        return ExitCode::Success;
    }
    if let Some(text) = &options.complete {
        let (word_start, words) = complete(text);
        words
            .iter()
            .for_each(|word| println!("{}{word}", &text[..word_start]));
        return ExitCode::Success;
    }
    let session = match open_session(&options) {
        Ok(session) => session,
        Err(code) => return code,
    };
    match Runtime::new() {
        Ok(runtime) => run_session(&runtime, &options, session),
        Err(e) => cli::fail(PROGRAM, &e),
    }
}

fn open_session(options: &CtlOptions) -> std::result::Result<OperatorSession, ExitCode> {
    let mut instances = options.instances.clone();
    if let Some(settings) = &options.settings {
        instances.extend(listed_instances(settings)?);
    }
    let mut client = OperatorClient::new(instances);
    if let Some(key) = read_key(options)? {
        client = client.with_key(key.trim());
    }
    let format = match options.json {
        true => OutputFormat::Json,
        false => OutputFormat::Table,
    };
    let session = OperatorSession::new(client).with_format(format);
    Ok(session.with_command_id(options.command.clone()))
}

/// Returns the addresses of the configured instances that listen on a fixed port.
fn listed_instances(settings: &Path) -> std::result::Result<Vec<SocketAddr>, ExitCode> {
    let fleet = FleetSettings::load(settings).map_err(|errors| {
        errors.iter().for_each(|e| eprintln!("{PROGRAM}: {e}"));
        ExitCode::Settings
    })?;
    let addresses = fleet.instances.iter().map(|instance| instance.listen);
    Ok(addresses.filter(|address| address.port() != 0).collect())
}

fn read_key(options: &CtlOptions) -> std::result::Result<Option<String>, ExitCode> {
    match &options.key_file {
        Some(file) => match std::fs::read_to_string(file) {
            Ok(key) => Ok(Some(key)),
            Err(e) => Err(cli::fail(PROGRAM, &format!("{}: {e}", file.display()))),
        },
        None => Ok(std::env::var(KEY_VARIABLE).ok()),
    }
}

fn run_session(runtime: &Runtime, options: &CtlOptions, mut session: OperatorSession) -> ExitCode {
    if options.statements.is_empty() {
        return match stdin().is_terminal() {
            true => run_prompt(runtime, &mut session),
            false => run_script(runtime, &mut session, stdin().lock()),
        };
    }
    loop {
        let code = run_statements(runtime, &mut session, options.statements.iter());
        let Some(period) = options.watch else {
            return code;
        };
        runtime.block_on(tokio::time::sleep(period.duration()));
    }
}

/// Runs statements until one fails.
fn run_statements<'a>(
    runtime: &Runtime,
    session: &mut OperatorSession,
    statements: impl Iterator<Item = &'a String>,
) -> ExitCode {
    for statement in statements {
        let code = run_statement(runtime, session, statement);
        if code != ExitCode::Success {
            return code;
        }
    }
    ExitCode::Success
}

/// Runs a script until a statement fails. Skips empty lines and lines that start with `#`.
fn run_script(runtime: &Runtime, session: &mut OperatorSession, script: impl BufRead) -> ExitCode {
    for line in script.lines() {
        let line = match line {
            Ok(line) => line,
            Err(e) => return cli::fail(PROGRAM, &e),
        };
        let statement = line.trim();
        if statement.is_empty() || statement.starts_with('#') {
            continue;
        }
        let code = run_statement(runtime, session, statement);
        if code != ExitCode::Success {
            return code;
        }
    }
    ExitCode::Success
}

fn run_prompt(runtime: &Runtime, session: &mut OperatorSession) -> ExitCode {
    let mut prompt = match LinePrompt::new() {
        Ok(prompt) => prompt,
        Err(e) => return cli::fail(PROGRAM, &e),
    };
    loop {
        match prompt.read() {
            Ok(PromptLine::Text(line)) if line.trim().is_empty() => {}
            Ok(PromptLine::Text(line)) if line.trim() == "exit" => return ExitCode::Success,
            Ok(PromptLine::Text(line)) => {
                run_statement(runtime, session, line.trim());
            }
            Ok(PromptLine::Cancelled) => {}
            Ok(PromptLine::EndOfInput) => return ExitCode::Success,
            Err(e) => return cli::fail(PROGRAM, &e),
        }
    }
}

fn run_statement(runtime: &Runtime, session: &mut OperatorSession, statement: &str) -> ExitCode {
    let StatementResult {
        output,
        error,
        code,
    } = runtime.block_on(session.run(statement));
    print!("{output}");
    let _ = stdout().flush();
    if let Some(error) = error {
        eprintln!("{error}");
    }
    code
}
