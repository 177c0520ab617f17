//! What the command lines of all programs share.

use std::fmt;

use crate::exit_codes::ExitCode;

/// Version of the whole system.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Why a command line was not understood.
#[derive(Debug)]
pub enum UsageError {
    /// The parser's own words.
    Parse(lexopt::Error),
    /// An option that must be given is missing.
    Missing(&'static str),
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parse(e) => write!(f, "{e}"),
            Self::Missing(option) => write!(f, "missing {option}"),
        }
    }
}

impl std::error::Error for UsageError {}

impl From<lexopt::Error> for UsageError {
    fn from(e: lexopt::Error) -> Self {
        Self::Parse(e)
    }
}

/// Result of parsing a command line.
pub type Result<T> = std::result::Result<T, UsageError>;

/// What a parsed command line asks for.
#[derive(Debug)]
pub enum CliAction<T> {
    /// Run with these options.
    Run(T),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Carries out what a command line asks for; usage errors are one line on stderr.
pub fn dispatch<T>(
    program: &str,
    help: &str,
    parsed: Result<CliAction<T>>,
    run: impl FnOnce(T) -> ExitCode,
) -> ExitCode {
    match parsed {
        Ok(CliAction::Run(options)) => run(options),
        Ok(CliAction::Help) => {
            print!("{help}");
            ExitCode::Success
        }
        Ok(CliAction::Version) => {
            println!("{program} {VERSION}");
            ExitCode::Success
        }
        Err(e) => {
            eprintln!("{program}: {e} (see {program} --help)");
            ExitCode::Usage
        }
    }
}

/// Prints a failure as one line on stderr.
pub fn fail(program: &str, error: &impl fmt::Display) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::Failure
}
