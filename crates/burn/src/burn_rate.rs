//! Burn rates: how fast requests that missed their objectives use up the share that may.

use amaranth_wire::service_level::{LevelCause, LevelCounts, LevelObjective};
use serde::Serialize;

use crate::history::TierHistory;

/// Minutes over which the budget is counted: all that instances keep.
pub const BUDGET_MINUTES: u64 = 360;
/// Burn rate at which 2% of a 30-day budget is gone in 1 h.
const FAST_BURN: f64 = 14.4;
/// Burn rate at which 5% of a 30-day budget is gone in 6 h.
const SLOW_BURN: f64 = 6.0;

/// Two windows that have to burn together: the long one shows that it matters, the short one that
/// it still goes on.
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

/// The pairs of windows that are looked at.
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

/// Burn over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Length of the window, in minutes.
    pub minutes: u64,
    /// Requests in it.
    pub requests: u64,
    /// Those that missed their objectives.
    pub bad: u64,
    /// Burn rate: 1 uses the budget up exactly; `None` without requests.
    pub burn: Option<f64>,
}

/// A pair of windows with its burn.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PairBurn {
    /// Name of the pair.
    pub name: &'static str,
    /// The short window.
    pub short: WindowBurn,
    /// The long window.
    pub long: WindowBurn,
    /// Burn rate at which both alert.
    pub threshold: f64,
    /// Whether both burn at least that fast.
    pub alerting: bool,
}

/// What one cause ate of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CauseShare {
    /// The cause.
    pub cause: LevelCause,
    /// Its requests.
    pub requests: u64,
    /// Its share of the budget; above 1 where it ate more than there is.
    pub of_budget: f64,
}

/// The budget of a tier over [`BUDGET_MINUTES`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BudgetUse {
    /// Requests in that time.
    pub requests: u64,
    /// How many of them may miss the objectives.
    pub allowed: f64,
    /// How many did.
    pub bad: u64,
    /// Share of the budget that is left; negative when overspent.
    pub left: f64,
    /// What ate it, largest first; causes without requests are left out.
    pub causes: Vec<CauseShare>,
}

/// Burn of one tier.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TierBurn {
    /// Its objectives.
    pub objective: LevelObjective,
    /// The pairs of windows.
    pub pairs: Vec<PairBurn>,
    /// The budget; `None` without requests.
    pub budget: Option<BudgetUse>,
}

impl TierBurn {
    /// The burn of a tier at the end of a minute.
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

    /// Whether any pair alerts.
    pub fn is_alerting(&self) -> bool {
        self.pairs.iter().any(|pair| pair.alerting)
    }
}

/// Burn rate of some requests; `None` without requests.
pub fn burn_rate(counts: &LevelCounts, objective: &LevelObjective) -> Option<f64> {
    let total = counts.total();
    let bad_share = (total > 0).then(|| counts.bad() as f64 / total as f64)?;
    Some(bad_share / bad_allowed(objective))
}

/// Share of requests that may miss the objectives.
fn bad_allowed(objective: &LevelObjective) -> f64 {
    1.0 - objective.target.fraction()
}

/// Burn over the last minutes.
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
    let burns = |window: &WindowBurn| window.burn.is_some_and(|burn| burn >= pair.threshold);
    PairBurn {
        name: pair.name,
        threshold: pair.threshold,
        alerting: burns(&short) && burns(&long),
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
    let allowed = requests as f64 * bad_allowed(&history.objective);
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
