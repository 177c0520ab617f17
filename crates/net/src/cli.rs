//! Command-line handling shared by all programs.

use std::fmt;

use crate::exit_codes::ExitCode;

/// Version of the system, which all programs share.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Reason why a command line is invalid.
#[derive(Debug)]
pub enum UsageError {
    /// Error of the parser.
    Parse(lexopt::Error),
    /// A required option is missing.
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

/// Action that a command line requests.
#[derive(Debug)]
pub enum CliAction<T> {
    /// Run with these options.
    Run(T),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Performs the requested action. A usage error is printed as one line on stderr.
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

/// Prints an error as one line on stderr and returns the exit code for failures.
pub fn fail(program: &str, error: &impl fmt::Display) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::Failure
}
