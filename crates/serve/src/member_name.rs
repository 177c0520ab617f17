//! Names of the members of the group that shares the work. A name contains the address of its
//! process, so that instances need nothing but the list of members to reach each other.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use amaranth_wire::id::{DataCentreId, InstanceId};

/// Identity and address of one run of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberName {
    /// Instance that the process runs on.
    pub instance: InstanceId,
    /// Distinguishes this run from earlier ones.
    pub run: u32,
    /// Address at which the process receives datagrams.
    pub address: SocketAddr,
    /// Capacity in hundredths of a core.
    pub weight: u32,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
}

/// Error of parsing a member's name; holds the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseMemberError(pub String);

impl fmt::Display for ParseMemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid member name: {:?}", self.0)
    }
}

impl std::error::Error for ParseMemberError {}

/// Result of parsing a name.
pub type Result<T> = std::result::Result<T, ParseMemberError>;

impl fmt::Display for MemberName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            instance,
            run,
            address,
            weight,
            data_centre,
        } = self;
        write!(f, "{instance}/{run:08x}/{address}/{weight}/{data_centre}")
    }
}

impl FromStr for MemberName {
    type Err = ParseMemberError;

    fn from_str(text: &str) -> Result<Self> {
        parse(text).ok_or_else(|| ParseMemberError(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<MemberName> {
    let mut parts = text.split('/');
    let name = MemberName {
        instance: parts.next()?.parse().ok()?,
        run: u32::from_str_radix(parts.next()?, 16).ok()?,
        address: parts.next()?.parse().ok()?,
        weight: parts.next()?.parse().ok()?,
        data_centre: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(name)
}
