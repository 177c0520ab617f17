//! Detects regressions during a rollout by comparing requests at the new version with the old.

use std::collections::HashMap;

use amaranth_kernel::plan_state::{PlanPhase, PlanState, StepPhase};
use amaranth_kernel::rollout::{UpstreamSample, detect_regression};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{InstanceId, UpstreamId};

use crate::context::InstanceContext;
use crate::operator_peers::{PeerQuery, PeerRows, query_all};
use crate::plan_lookup::is_rollout;

/// Interval between two regression checks, in milliseconds.
const CHECK_PERIOD_MS: u64 = 1_000;
/// Value of `plan.error_percent` while it is not set.
const DEFAULT_ERROR_PERCENT: u64 = 5;

type SampleTable = HashMap<(InstanceId, UpstreamId), UpstreamSample>;

/// Request counts by version since the rollout was first checked.
#[derive(Debug, Default)]
pub struct RolloutHealth {
    checked_ms: Option<u64>,
    last_samples: SampleTable,
    old_version: UpstreamSample,
    new_version: HashMap<UpstreamId, UpstreamSample>,
}

impl RolloutHealth {
    /// Returns the reason to halt the rollout if the new version does worse than the old.
    pub async fn check_regression(
        &mut self,
        context: &InstanceContext,
        plan: &PlanState,
    ) -> Option<String> {
        if plan.phase != PlanPhase::Running || !is_rollout(plan) {
            return None;
        }
        let now_ms = steady_ms();
        if self
            .checked_ms
            .is_some_and(|at| now_ms < at + CHECK_PERIOD_MS)
        {
            return None;
        }
        self.checked_ms = Some(now_ms);
        let query = PeerQuery::new("upstreams");
        let answers = query_all(context, &query).await;
        for peer in &answers.answered {
            self.add_samples(plan, peer);
        }
        log::debug!(
            "event=rollout_health_checked old={:?} new={:?}",
            self.old_version,
            self.new_version
        );
        let config = context.state.config();
        let percent = config.number("plan.error_percent");
        let percent = percent.unwrap_or(DEFAULT_ERROR_PERCENT);
        let mut samples = self.new_version.iter();
        samples.find_map(|(upstream, new)| {
            let reason = detect_regression(self.old_version, *new, percent)?;
            Some(format!("{upstream}: {reason}"))
        })
    }

    /// Adds an instance's counts since the previous check. The first check only sets the baseline.
    fn add_samples(&mut self, plan: &PlanState, peer: &PeerRows) {
        for row in &peer.rows {
            let number = |name: &str| row.get(name).and_then(|v| v.as_u64()).unwrap_or(0);
            let name = row.get("upstream").and_then(|v| v.as_str());
            let Some(upstream) = name.and_then(|name| name.parse::<UpstreamId>().ok()) else {
                continue;
            };
            let Some(phase) = plan.steps.get(&upstream) else {
                continue;
            };
            let current = UpstreamSample {
                requests: number("requests"),
                errors: number("errors"),
                total_ms: number("total_ms"),
            };
            let key = (peer.instance.clone(), upstream.clone());
            let Some(previous) = self.last_samples.insert(key, current) else {
                continue;
            };
            let delta = current.since(previous);
            match phase {
                StepPhase::Waiting => self.old_version = self.old_version.plus(delta),
                StepPhase::Finished { .. } => {
                    let sample = self.new_version.entry(upstream).or_default();
                    *sample = sample.plus(delta);
                }
                StepPhase::Started { .. } | StepPhase::Restored { .. } => {}
            }
        }
    }
}
