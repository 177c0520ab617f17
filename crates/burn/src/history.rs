//! Puts reports together: several instances, several runs of one, and the same run saved twice.

use std::collections::BTreeMap;

use amaranth_wire::id::{InstanceId, TierId, WriterId};
use amaranth_wire::service_level::{LevelCounts, LevelObjective, LevelReport};

/// Requests of one tier on the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TierHistory {
    /// Its objectives, by the latest report.
    pub objective: LevelObjective,
    /// Requests by minute since the Unix epoch.
    pub minutes: BTreeMap<u64, LevelCounts>,
}

/// Requests of every tier.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetHistory {
    /// The tiers.
    pub tiers: BTreeMap<TierId, TierHistory>,
}

/// One minute of one tier in one run of an instance.
type RunMinute = (TierId, InstanceId, WriterId, u64);

impl FleetHistory {
    /// The history behind some reports. Counts of one run only grow, so of a minute that was
    /// reported more than once the highest counts are taken; runs add up.
    pub fn new(reports: &[LevelReport]) -> Self {
        let mut reports: Vec<_> = reports.iter().collect();
        reports.sort_by_key(|report| report.time_ms);
        let mut runs: BTreeMap<RunMinute, LevelCounts> = BTreeMap::new();
        let mut history = Self::default();
        for report in reports {
            for tier in &report.tiers {
                history.note_objective(&tier.tier, tier.objective);
                for minute in &tier.minutes {
                    let run = (report.instance.clone(), report.writer);
                    let key = (tier.tier.clone(), run.0, run.1, minute.minute);
                    runs.entry(key).or_default().merge_max(&minute.counts);
                }
            }
        }
        for ((tier, _, _, minute), counts) in &runs {
            let tier = history.tiers.get_mut(tier).expect("noted above");
            tier.minutes.entry(*minute).or_default().add_all(counts);
        }
        history
    }

    fn note_objective(&mut self, tier: &TierId, objective: LevelObjective) {
        let history = self.tiers.entry(tier.clone());
        let history = history.or_insert_with(|| TierHistory {
            objective,
            minutes: BTreeMap::new(),
        });
        history.objective = objective;
    }
}

impl TierHistory {
    /// Requests of the last minutes, up to and with the given one.
    pub fn window(&self, last: u64, minutes: u64) -> LevelCounts {
        let first = (last + 1).saturating_sub(minutes);
        let mut counts = LevelCounts::default();
        for (_, minute) in self.minutes.range(first..=last) {
            counts.add_all(minute);
        }
        counts
    }
}
