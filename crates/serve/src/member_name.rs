//! Names of the members of the group that shares the work. A name says how to reach its process,
//! so that the list of members is all that instances need to know of each other.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use amaranth_wire::id::{DataCentreId, InstanceId};

/// One run of one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberName {
    /// Its instance.
    pub instance: InstanceId,
    /// Tells this run from earlier ones.
    pub run: u32,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its size among the instances, in hundredths of a core.
    pub weight: u32,
    /// Where it runs.
    pub data_centre: DataCentreId,
}

/// A text that is not a member's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseMemberError(pub String);

impl fmt::Display for ParseMemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a member's name: {:?}", self.0)
    }
}

impl std::error::Error for ParseMemberError {}

/// Result of reading a name.
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
