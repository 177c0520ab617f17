//! Authentication and role check of operator calls.

use amaranth_net::route::RouteRequest;
use amaranth_wire::error::{CallError, ErrorKind};
use amaranth_wire::role::OperatorRole;
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

use crate::context::{InstanceContext, Result};

/// Name given to every caller when the settings name no operators.
const ANYONE: &str = "anyone";
const BEARER: &str = "Bearer ";

/// Authenticated operator of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// Name that is recorded as author of commands.
    pub name: String,
    /// Highest role that the operator has.
    pub role: OperatorRole,
}

impl OperatorIdentity {
    /// Fails with `Forbidden` if the operator's role is below `role`.
    pub fn require(&self, role: OperatorRole) -> Result<()> {
        if self.role >= role {
            return Ok(());
        }
        let message = format!("this needs the role {role}, {} is {}", self.name, self.role);
        Err(CallError::new(ErrorKind::Forbidden, message))
    }
}

/// Identifies the operator by the bearer key in the `authorization` header. Every key is compared,
/// each in constant time. Without operators in the settings every caller is an admin.
///
/// Fails with `Unauthorized` if the key is missing or unknown.
pub fn identify(context: &InstanceContext, request: &RouteRequest) -> Result<OperatorIdentity> {
    let operators = &context.config.fleet.operators;
    if operators.is_empty() {
        return Ok(OperatorIdentity {
            name: ANYONE.to_owned(),
            role: OperatorRole::Admin,
        });
    }
    let unauthorized = |message| CallError::new(ErrorKind::Unauthorized, message);
    let key = request
        .header("authorization")
        .and_then(|value| value.strip_prefix(BEARER));
    let key = key.ok_or_else(|| unauthorized("operator calls need a key"))?;
    let digest = Sha256::digest(key.as_bytes());
    let mut found = None;
    for operator in operators {
        let same: Choice = operator.key_sha256.0.as_slice().ct_eq(digest.as_slice());
        if bool::from(same) {
            found = Some(operator);
        }
    }
    let operator = found.ok_or_else(|| unauthorized("the key belongs to no operator"))?;
    Ok(OperatorIdentity {
        name: operator.name.clone(),
        role: operator.role,
    })
}
