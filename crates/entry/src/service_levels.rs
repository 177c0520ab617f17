//! Service levels of this instance: classifies each online request by its tier's objectives and
//! counts it by minute and cause, in a fixed-size ring per tier.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use amaranth_kernel::service_level::{LevelRing, LevelSample, classify};
use amaranth_net::answer;
use amaranth_net::clock::unix_ms;
use amaranth_net::route::RouteRequest;
use amaranth_settings::tier::TierSettings;
use amaranth_wire::id::TierId;
use amaranth_wire::role::OperatorRole;
use amaranth_wire::service_level::{LevelObjective, LevelReport, TierLevels};
use http::header::ACCEPT;
use volo_http::response::Response;

use crate::context::{InstanceContext, Result};
use crate::operator_access::identify;

/// The objective and the counts of each tier.
pub struct ServiceLevels {
    tiers: BTreeMap<TierId, TierRing>,
}

struct TierRing {
    objective: LevelObjective,
    ring: Mutex<LevelRing>,
}

impl ServiceLevels {
    /// Creates empty counts for these tiers.
    pub fn new(tiers: &[TierSettings]) -> Self {
        let rings = tiers.iter().map(|tier| {
            let ring = TierRing {
                objective: objective_of(tier),
                ring: Mutex::new(LevelRing::new()),
            };
            (tier.name.clone(), ring)
        });
        Self {
            tiers: rings.collect(),
        }
    }

    /// Classifies and counts a request that ended at this time, in Unix milliseconds.
    pub fn record(&self, tier: &TierId, sample: &LevelSample, now_ms: u64) {
        let Some(tier_ring) = self.tiers.get(tier) else {
            return;
        };
        let Some(cause) = classify(sample, &tier_ring.objective) else {
            return;
        };
        let mut ring = tier_ring.ring.lock().expect("not poisoned");
        ring.record(now_ms, cause);
    }

    /// The counts of every tier by minute.
    pub fn levels(&self, now_ms: u64) -> Vec<TierLevels> {
        let tiers = self.tiers.iter();
        let levels = tiers.map(|(tier, tier_ring)| TierLevels {
            tier: tier.clone(),
            objective: tier_ring.objective,
            minutes: tier_ring.ring.lock().expect("not poisoned").minutes(now_ms),
        });
        levels.collect()
    }
}

fn objective_of(tier: &TierSettings) -> LevelObjective {
    LevelObjective {
        first_token: tier.first_token,
        token_gap: tier.token_gap,
        target: tier.target,
    }
}

/// Handles a query for the service levels: MessagePack if the client accepts it, else JSON.
pub async fn show(context: Arc<InstanceContext>, request: RouteRequest) -> Result<Response> {
    identify(&context, &request)?.require(OperatorRole::Viewer)?;
    let now_ms = unix_ms();
    let report = LevelReport {
        instance: context.config.instance.clone(),
        writer: context.config.writer,
        time_ms: now_ms,
        tiers: context.levels.levels(now_ms),
    };
    let accepted = request.header(ACCEPT.as_str()).unwrap_or("");
    match accepted.contains(answer::MESSAGE_PACK) {
        true => Ok(answer::message_pack(&report)),
        false => Ok(answer::json(200, &report)),
    }
}
