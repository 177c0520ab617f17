//! Exit codes of every program.

use std::process;

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// All went well.
    Success,
    /// The program failed while running.
    Failure,
    /// The command line is wrong.
    Usage,
    /// The settings are wrong; nothing was started.
    Settings,
    /// A promise was broken during a checked run.
    BrokenPromise,
    /// An operator command was rejected.
    Rejected,
    /// The fate of an operator command is unknown.
    Unknown,
}

impl ExitCode {
    /// The number that the process exits with.
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
