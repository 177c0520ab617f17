//! Shares outlier detection between instances.
//!
//! An upstream may fail, refuse or hang while its health checks pass. Dozens of instances that
//! detect this separately each lose at least one request to it, again after every ejection; an
//! instance that learns of it from two others loses none.
//!
//! Instances of a single data centre are trusted for that data centre only, since the fault may be
//! on their path. An instance that avoids many upstreams at once is probably faulty itself, so its
//! reports are ignored.

use std::collections::{BTreeMap, HashMap, HashSet};

use amaranth_wire::id::{DataCentreId, InstanceId, UpstreamId};

/// Lifetime of a report, in milliseconds: slightly longer than the first ejection of an upstream,
/// so that a recovered one is tried again.
const REPORT_EXPIRY_MS: u64 = 1_500;
/// Instances that must report an upstream, as a single one may be faulty itself.
const MIN_REPORTERS: usize = 2;
/// Largest share of a group's upstreams that an instance may avoid before its reports are ignored.
const MAX_REPORTED_SHARE: f64 = 0.34;

/// An instance that reports which upstreams it avoids when it requests a slot.
#[derive(Debug, Clone, Copy)]
pub struct ReportingMember<'a> {
    /// Its instance: two runs of one process are one witness.
    pub instance: &'a InstanceId,
    /// Where it runs.
    pub data_centre: &'a DataCentreId,
}

#[derive(Debug)]
struct OutlierReport {
    data_centre: DataCentreId,
    until_ms: u64,
}

/// Unexpired reports of upstreams that instances avoid.
#[derive(Debug, Default)]
pub struct OutlierReports {
    reports: HashMap<UpstreamId, BTreeMap<InstanceId, OutlierReport>>,
    /// The suspects of each data centre at the last `suspects_changed` call.
    last_suspects: HashMap<DataCentreId, Vec<UpstreamId>>,
}

impl OutlierReports {
    /// Starts without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the upstreams that an instance avoids in a group of `group_len` upstreams.
    pub fn record(
        &mut self,
        reporter: ReportingMember<'_>,
        avoided: &[UpstreamId],
        group_len: usize,
        now_ms: u64,
    ) {
        let is_credible = avoided.len() as f64 <= group_len as f64 * MAX_REPORTED_SHARE;
        if !is_credible {
            return;
        }
        for upstream in avoided {
            let report = OutlierReport {
                data_centre: reporter.data_centre.clone(),
                until_ms: now_ms + REPORT_EXPIRY_MS,
            };
            let reporters = self.reports.entry(upstream.clone()).or_default();
            reporters.insert(reporter.instance.clone(), report);
        }
    }

    /// Upstreams that instances of a data centre should use only when no others can take the
    /// request, sorted. Drops expired reports.
    pub fn suspects(&mut self, data_centre: &DataCentreId, now_ms: u64) -> Vec<UpstreamId> {
        self.reports.retain(|_, reporters| {
            reporters.retain(|_, report| report.until_ms > now_ms);
            !reporters.is_empty()
        });
        let reports = self.reports.iter();
        let suspects = reports.filter(|(_, reporters)| is_suspect(reporters, data_centre));
        let mut suspects: Vec<_> = suspects.map(|(upstream, _)| upstream.clone()).collect();
        suspects.sort();
        suspects
    }

    /// Whether the suspects of a data centre differ from those at the last call.
    pub fn suspects_changed(
        &mut self,
        data_centre: &DataCentreId,
        suspects: &[UpstreamId],
    ) -> bool {
        let last_suspects = self.last_suspects.entry(data_centre.clone()).or_default();
        let changed = last_suspects != suspects;
        if changed {
            *last_suspects = suspects.to_vec();
        }
        changed
    }
}

fn is_suspect(reporters: &BTreeMap<InstanceId, OutlierReport>, data_centre: &DataCentreId) -> bool {
    let locations = reporters.values().map(|report| &report.data_centre);
    let local = locations
        .clone()
        .filter(|location| *location == data_centre)
        .count();
    let data_centres: HashSet<_> = locations.collect();
    local >= MIN_REPORTERS || (data_centres.len() > 1 && reporters.len() >= MIN_REPORTERS)
}
