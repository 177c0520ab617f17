//! Whether a rollout does harm: requests at the new version against those at the old.

use std::collections::HashMap;

use amaranth_kernel::plan_state::{PlanPhase, PlanState, StepPhase};
use amaranth_kernel::rollout::{UpstreamSample, detect_regression};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{InstanceId, UpstreamId};

use crate::context::InstanceContext;
use crate::operator_peers::{PeerQuestion, PeerRows, ask_all};
use crate::plan_lookup::is_rollout;

/// Time between two looks at the requests, in milliseconds.
const JUDGE_PERIOD_MS: u64 = 1_000;
const DEFAULT_ERROR_PERCENT: u64 = 5;

type SampleTable = HashMap<(InstanceId, UpstreamId), UpstreamSample>;

/// What requests came to while a rollout went on.
#[derive(Debug, Default)]
pub struct HealthWatch {
    looked_ms: Option<u64>,
    last: SampleTable,
    old: UpstreamSample,
    new: HashMap<UpstreamId, UpstreamSample>,
}

impl HealthWatch {
    /// Why the rollout does harm, if it does.
    pub async fn judge(&mut self, context: &InstanceContext, plan: &PlanState) -> Option<String> {
        if plan.phase != PlanPhase::Running || !is_rollout(plan) {
            return None;
        }
        let now_ms = steady_ms();
        if self
            .looked_ms
            .is_some_and(|at| now_ms < at + JUDGE_PERIOD_MS)
        {
            return None;
        }
        self.looked_ms = Some(now_ms);
        let question = PeerQuestion::new("upstreams");
        let answers = ask_all(context, &question).await;
        for peer in &answers.answered {
            self.add(plan, peer);
        }
        log::debug!("event=rollout_judged old={:?} new={:?}", self.old, self.new);
        let config = context.state.config();
        let percent = config.number("plan.error_percent");
        let percent = percent.unwrap_or(DEFAULT_ERROR_PERCENT);
        let mut samples = self.new.iter();
        samples.find_map(|(upstream, new)| {
            let reason = detect_regression(self.old, *new, percent)?;
            Some(format!("{upstream}: {reason}"))
        })
    }

    /// Adds what an instance counted since the last look. The first look only sets the base.
    fn add(&mut self, plan: &PlanState, peer: &PeerRows) {
        for row in &peer.rows {
            let number = |name: &str| row.get(name).and_then(|v| v.as_u64()).unwrap_or(0);
            let name = row.get("upstream").and_then(|v| v.as_str());
            let Some(upstream) = name.and_then(|name| name.parse::<UpstreamId>().ok()) else {
                continue;
            };
            let Some(phase) = plan.steps.get(&upstream) else {
                continue;
            };
            let now = UpstreamSample {
                requests: number("requests"),
                errors: number("errors"),
                total_ms: number("total_ms"),
            };
            let key = (peer.instance.clone(), upstream.clone());
            let Some(before) = self.last.insert(key, now) else {
                continue;
            };
            let grown = now.since(before);
            match phase {
                StepPhase::Waiting => self.old = self.old.plus(grown),
                StepPhase::Finished { .. } => {
                    let sample = self.new.entry(upstream).or_default();
                    *sample = sample.plus(grown);
                }
                StepPhase::Started { .. } | StepPhase::Restored { .. } => {}
            }
        }
    }
}
