//! Error budgets and burn rates of tiers. A burn rate is the share of requests that missed their
//! objectives, divided by the share that may.

use amaranth_wire::service_level::{LevelCause, LevelCounts, LevelObjective};
use serde::Serialize;

use crate::history::TierHistory;

/// Length of the error budget's window, in minutes: all that instances keep.
pub const BUDGET_MINUTES: u64 = 360;
/// Burn rate that uses 2% of a 30-day budget in 1 h.
const FAST_BURN: f64 = 14.4;
/// Burn rate that uses 5% of a 30-day budget in 6 h.
const SLOW_BURN: f64 = 6.0;

/// Two windows that must both exceed a burn rate to alert: the long one shows that the loss is
/// significant, the short one that it is still going on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowPair {
    /// Name in reports.
    pub name: &'static str,
    /// Short window, in minutes.
    pub short: u64,
    /// Long window, in minutes.
    pub long: u64,
    /// Burn rate at which the pair alerts.
    pub threshold: f64,
}

/// Window pairs that are evaluated for every tier.
pub const WINDOW_PAIRS: [WindowPair; 2] = [
    WindowPair {
        name: "fast",
        short: 5,
        long: 60,
        threshold: FAST_BURN,
    },
    WindowPair {
        name: "slow",
        short: 30,
        long: BUDGET_MINUTES,
        threshold: SLOW_BURN,
    },
];

/// Requests and burn rate of one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window, in minutes.
    pub minutes: u64,
    /// Requests in the window.
    pub requests: u64,
    /// Requests that missed their objectives.
    pub bad: u64,
    /// Burn rate: 1 uses the budget up exactly; `None` without requests.
    pub burn: Option<f64>,
}

/// Burn rates of a window pair and whether it alerts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PairBurn {
    /// Name of the pair.
    pub name: &'static str,
    /// The short window.
    pub short: WindowBurn,
    /// The long window.
    pub long: WindowBurn,
    /// Burn rate at which the pair alerts.
    pub threshold: f64,
    /// Whether both windows reach the threshold.
    pub alerting: bool,
}

/// Share of the error budget that one cause used.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CauseShare {
    /// Cause of the missed objectives.
    pub cause: LevelCause,
    /// Requests that missed their objectives for this cause.
    pub requests: u64,
    /// Share of the budget used; above 1 if the cause alone exceeds the budget.
    pub of_budget: f64,
}

/// Error budget of a tier over [`BUDGET_MINUTES`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BudgetUse {
    /// Requests in the window.
    pub requests: u64,
    /// Number of requests that may miss the objectives.
    pub allowed: f64,
    /// Number of requests that missed the objectives.
    pub bad: u64,
    /// Remaining share of the budget; negative if it is exceeded.
    pub left: f64,
    /// Use by cause, largest first; causes without requests are left out.
    pub causes: Vec<CauseShare>,
}

/// Burn rates and error budget of one tier.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TierBurn {
    /// Objectives of the tier.
    pub objective: LevelObjective,
    /// Window pairs, in the order of [`WINDOW_PAIRS`].
    pub pairs: Vec<PairBurn>,
    /// Error budget; `None` without requests.
    pub budget: Option<BudgetUse>,
}

impl TierBurn {
    /// Computes the burn of a tier over the windows that end with the minute `last`.
    pub fn new(history: &TierHistory, last: u64) -> Self {
        let pairs = WINDOW_PAIRS
            .iter()
            .map(|pair| pair_burn(history, last, pair));
        Self {
            objective: history.objective,
            pairs: pairs.collect(),
            budget: budget_use(history, last),
        }
    }

    /// Whether any window pair alerts.
    pub fn is_alerting(&self) -> bool {
        self.pairs.iter().any(|pair| pair.alerting)
    }
}

/// Computes the burn rate of counted requests; `None` without requests.
pub fn burn_rate(counts: &LevelCounts, objective: &LevelObjective) -> Option<f64> {
    let total = counts.total();
    let bad_share = (total > 0).then(|| counts.bad() as f64 / total as f64)?;
    Some(bad_share / allowed_bad_share(objective))
}

/// Share of requests that may miss the objectives.
fn allowed_bad_share(objective: &LevelObjective) -> f64 {
    1.0 - objective.target.fraction()
}

/// Computes the burn over the `minutes` that end with the minute `last`.
pub fn window_burn(history: &TierHistory, last: u64, minutes: u64) -> WindowBurn {
    let counts = history.window(last, minutes);
    WindowBurn {
        minutes,
        requests: counts.total(),
        bad: counts.bad(),
        burn: burn_rate(&counts, &history.objective),
    }
}

fn pair_burn(history: &TierHistory, last: u64, pair: &WindowPair) -> PairBurn {
    let short = window_burn(history, last, pair.short);
    let long = window_burn(history, last, pair.long);
    let exceeds = |window: &WindowBurn| window.burn.is_some_and(|burn| burn >= pair.threshold);
    PairBurn {
        name: pair.name,
        threshold: pair.threshold,
        alerting: exceeds(&short) && exceeds(&long),
        short,
        long,
    }
}

fn budget_use(history: &TierHistory, last: u64) -> Option<BudgetUse> {
    let counts = history.window(last, BUDGET_MINUTES);
    let requests = counts.total();
    if requests == 0 {
        return None;
    }
    let allowed = requests as f64 * allowed_bad_share(&history.objective);
    let causes = LevelCause::BAD.map(|cause| CauseShare {
        cause,
        requests: counts.get(cause),
        of_budget: counts.get(cause) as f64 / allowed,
    });
    let mut causes: Vec<_> = causes.into_iter().filter(|c| c.requests > 0).collect();
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.requests));
    Some(BudgetUse {
        requests,
        allowed,
        bad: counts.bad(),
        left: 1.0 - counts.bad() as f64 / allowed,
        causes,
    })
}
