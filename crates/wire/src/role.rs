//! Roles of operators.

use std::fmt;
use std::str::FromStr;

/// What an operator may do. Each role may do what the ones before it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Ask.
    Viewer,
    /// Start, cancel, drain, roll, swap and undo.
    Operator,
    /// Change settings.
    Admin,
}

impl fmt::Display for OperatorRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Viewer => "viewer",
            Self::Operator => "operator",
            Self::Admin => "admin",
        })
    }
}

/// The text is not the name of a role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownRoleError;

impl fmt::Display for UnknownRoleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected \"viewer\", \"operator\" or \"admin\"")
    }
}

impl std::error::Error for UnknownRoleError {}

impl FromStr for OperatorRole {
    type Err = UnknownRoleError;

    fn from_str(text: &str) -> Result<Self, UnknownRoleError> {
        match text {
            "viewer" => Ok(Self::Viewer),
            "operator" => Ok(Self::Operator),
            "admin" => Ok(Self::Admin),
            _ => Err(UnknownRoleError),
        }
    }
}
