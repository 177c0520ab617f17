//! Merges reports of several instances, of several runs of an instance, and of a run that was saved
//! more than once.

use std::collections::BTreeMap;

use amaranth_wire::id::{InstanceId, TierId, WriterId};
use amaranth_wire::service_level::{LevelCounts, LevelObjective, LevelReport};

/// Request counts of one tier over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TierHistory {
    /// Objectives of the tier, from the latest report.
    pub objective: LevelObjective,
    /// Request counts by minute since the Unix epoch.
    pub minutes: BTreeMap<u64, LevelCounts>,
}

/// Request counts of all tiers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetHistory {
    /// Histories by tier.
    pub tiers: BTreeMap<TierId, TierHistory>,
}

/// Key of one minute's counts: tier, instance, run of the instance, minute.
type RunMinute = (TierId, InstanceId, WriterId, u64);

impl FleetHistory {
    /// Merges reports. Counts of one run only grow, so the highest counts are used for a minute
    /// that was reported more than once; counts of different runs are added.
    pub fn new(reports: &[LevelReport]) -> Self {
        let mut reports: Vec<_> = reports.iter().collect();
        reports.sort_by_key(|report| report.time_ms);
        let mut runs: BTreeMap<RunMinute, LevelCounts> = BTreeMap::new();
        let mut history = Self::default();
        for report in reports {
            for tier in &report.tiers {
                history.set_objective(&tier.tier, tier.objective);
                for minute in &tier.minutes {
                    let run = (report.instance.clone(), report.writer);
                    let key = (tier.tier.clone(), run.0, run.1, minute.minute);
                    runs.entry(key).or_default().merge_max(&minute.counts);
                }
            }
        }
        for ((tier, _, _, minute), counts) in &runs {
            let tier = history
                .tiers
                .get_mut(tier)
                .expect("the tier was added above");
            tier.minutes.entry(*minute).or_default().add_all(counts);
        }
        history
    }

    fn set_objective(&mut self, tier: &TierId, objective: LevelObjective) {
        let history = self.tiers.entry(tier.clone());
        let history = history.or_insert_with(|| TierHistory {
            objective,
            minutes: BTreeMap::new(),
        });
        history.objective = objective;
    }
}

impl TierHistory {
    /// Sums the counts of the `minutes` that end with the minute `last`.
    pub fn window(&self, last: u64, minutes: u64) -> LevelCounts {
        let first = (last + 1).saturating_sub(minutes);
        let mut counts = LevelCounts::default();
        for (_, minute) in self.minutes.range(first..=last) {
            counts.add_all(minute);
        }
        counts
    }
}
