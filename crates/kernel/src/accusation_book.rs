//! Which upstreams several instances avoid, so that others need not find out by themselves.
//!
//! The load this answers: dozens of instances before an upstream that fails, refuses or is silent
//! while its health answers look good. Each instance alone loses a request or more to it, again
//! after every pause. One that is told by two others loses none.
//!
//! A fault that only some callers see stays with them: instances of one data centre speak for that
//! data centre only. An instance that avoids many upstreams at once is more likely at fault itself
//! and is not listened to.

use std::collections::{BTreeMap, HashMap, HashSet};

use amaranth_wire::id::{DataCentreId, UpstreamId};

/// How long an accusation counts, in milliseconds: a little over the first time for which an instance
/// takes an upstream out, so that one that works again is tried again.
const ACCUSATION_MS: u64 = 1_500;
/// Instances that must agree: one alone may have a fault of its own.
const MIN_ACCUSERS: usize = 2;
/// Share of a group's upstreams above which an instance that avoids them is not listened to.
const MAX_ACCUSED_SHARE: f64 = 0.34;

/// An instance that asks for a place.
#[derive(Debug, Clone, Copy)]
pub struct AccusingMember<'a> {
    /// Its member name.
    pub member: &'a str,
    /// Where it runs.
    pub data_centre: &'a DataCentreId,
}

#[derive(Debug)]
struct Accusation {
    data_centre: DataCentreId,
    until_ms: u64,
}

/// What instances avoid.
#[derive(Debug, Default)]
pub struct AccusationBook {
    accused: HashMap<UpstreamId, BTreeMap<String, Accusation>>,
    /// Suspects of each data centre when they were asked for last.
    known: HashMap<DataCentreId, Vec<UpstreamId>>,
}

impl AccusationBook {
    /// A book without accusations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes what an instance avoids of a group with so many upstreams.
    pub fn note(
        &mut self,
        accuser: AccusingMember<'_>,
        avoided: &[UpstreamId],
        group_len: usize,
        now_ms: u64,
    ) {
        let is_credible = avoided.len() as f64 <= group_len as f64 * MAX_ACCUSED_SHARE;
        if !is_credible {
            return;
        }
        for upstream in avoided {
            let accusation = Accusation {
                data_centre: accuser.data_centre.clone(),
                until_ms: now_ms + ACCUSATION_MS,
            };
            let accusers = self.accused.entry(upstream.clone()).or_default();
            accusers.insert(accuser.member.to_owned(), accusation);
        }
    }

    /// Upstreams that an instance of a data centre should not be sent to if there are others.
    pub fn suspects(&mut self, data_centre: &DataCentreId, now_ms: u64) -> Vec<UpstreamId> {
        self.accused.retain(|_, accusers| {
            accusers.retain(|_, accusation| accusation.until_ms > now_ms);
            !accusers.is_empty()
        });
        let accused = self.accused.iter();
        let suspects = accused.filter(|(_, accusers)| is_suspect(accusers, data_centre));
        let mut suspects: Vec<_> = suspects.map(|(upstream, _)| upstream.clone()).collect();
        suspects.sort();
        suspects
    }

    /// Whether the suspects of a data centre are others than when this was asked last.
    pub fn have_changed(&mut self, data_centre: &DataCentreId, suspects: &[UpstreamId]) -> bool {
        let known = self.known.entry(data_centre.clone()).or_default();
        let changed = known != suspects;
        if changed {
            *known = suspects.to_vec();
        }
        changed
    }
}

fn is_suspect(accusers: &BTreeMap<String, Accusation>, data_centre: &DataCentreId) -> bool {
    let places = accusers.values().map(|accusation| &accusation.data_centre);
    let near = places.clone().filter(|place| *place == data_centre).count();
    let data_centres: HashSet<_> = places.collect();
    near >= MIN_ACCUSERS || (data_centres.len() > 1 && accusers.len() >= MIN_ACCUSERS)
}
