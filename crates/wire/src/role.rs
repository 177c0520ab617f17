//! Operator roles.

use std::fmt;
use std::str::FromStr;

/// Permissions of an operator. Each role includes the permissions of the roles before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Run queries.
    Viewer,
    /// Start and cancel batches, drain, roll models, swap engine roles and undo changes.
    Operator,
    /// Change the configuration.
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

/// The string is not the name of a role.
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
