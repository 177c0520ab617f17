//! Names of the members of the group that shares the work. A name contains the address of its
//! process, so that instances need nothing but the list of members to reach each other.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::id::{DataCentreId, InstanceId};
use tokio::time::Instant;

/// Time for which a replaced list of members is remembered. Instances read of a change within 3 s, and what
/// they are asked to count lasts for a window of 5 s; the rest is a margin.
const FORMER_LIST_LIFETIME: Duration = Duration::from_secs(10);
/// Number of replaced lists that are remembered: a few restarts within their lifetime.
const MAX_FORMER_LISTS: usize = 4;

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

impl MemberName {
    /// First number of what this run counts. A reply to an earlier process at the same address has
    /// another number.
    pub fn first_number(&self) -> u64 {
        u64::from(self.run) << u32::BITS
    }
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

/// The members with the largest capacity.
pub fn largest(members: &[MemberName]) -> impl Iterator<Item = &MemberName> {
    let weight = members.iter().map(|member| member.weight).max();
    members
        .iter()
        .filter(move |member| Some(member.weight) == weight)
}

/// The members of the group, one run of each process. The store lists a killed process until its time is
/// over, together with the one that was started in its place; both have one address and one part in the work.
#[derive(Debug)]
pub struct MemberRuns {
    current: Vec<MemberName>,
    /// Runs that are still listed, and that another one has followed.
    former: Vec<MemberName>,
}

impl MemberRuns {
    /// Starts with a list of this process only.
    pub fn new(own: MemberName) -> Self {
        Self {
            current: vec![own],
            former: Vec::new(),
        }
    }

    /// The latest run of each process.
    pub fn current(&self) -> &[MemberName] {
        &self.current
    }

    /// Applies a list of members, and returns the runs that were current before. Of several runs at an
    /// address the latest is this process, or else the one that was not listed before.
    pub fn apply_list(&mut self, listed: Vec<MemberName>, own: &MemberName) -> Vec<MemberName> {
        let lateness = |member: &MemberName| {
            let is_former = self.former.contains(member);
            (member == own, !is_former, !self.current.contains(member))
        };
        let mut latest: HashMap<SocketAddr, &MemberName> = HashMap::new();
        for member in &listed {
            match latest.entry(member.address) {
                Entry::Vacant(entry) => {
                    entry.insert(member);
                }
                Entry::Occupied(mut entry) if lateness(entry.get()) < lateness(member) => {
                    entry.insert(member);
                }
                Entry::Occupied(_) => {}
            }
        }
        let (current, former) = listed
            .iter()
            .cloned()
            .partition(|member| latest.get(&member.address) == Some(&member));
        self.former = former;
        std::mem::replace(&mut self.current, current)
    }

    /// Number of listed runs that another one has followed.
    pub fn former_count(&self) -> usize {
        self.former.len()
    }
}

/// Lists of members that were replaced shortly before.
#[derive(Debug, Default)]
pub struct FormerLists(Vec<(Instant, Arc<Vec<MemberName>>)>);

impl FormerLists {
    /// Remembers a list that is replaced now.
    pub fn push(&mut self, list: Vec<MemberName>) {
        self.forget_old();
        if self.0.len() >= MAX_FORMER_LISTS {
            self.0.remove(0);
        }
        self.0.push((Instant::now(), Arc::new(list)));
    }

    /// The lists in the order in which they were replaced.
    pub fn recent(&mut self) -> Vec<Arc<Vec<MemberName>>> {
        self.forget_old();
        self.0.iter().map(|(_, list)| list.clone()).collect()
    }

    fn forget_old(&mut self) {
        self.0
            .retain(|(replaced, _)| replaced.elapsed() < FORMER_LIST_LIFETIME);
    }
}
