//! Exit codes of every program.

use std::process;

/// Outcome of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The program completed without error.
    Success,
    /// The program failed while running.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The settings are invalid; nothing was started.
    Settings,
    /// A guarantee of the system was violated during a checked run.
    BrokenPromise,
    /// An operator command was rejected.
    Rejected,
    /// The outcome of an operator command is unknown.
    Unknown,
}

impl ExitCode {
    /// Returns the exit status of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Settings => 3,
            Self::BrokenPromise => 4,
            Self::Rejected => 5,
            Self::Unknown => 6,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.code())
    }
}
