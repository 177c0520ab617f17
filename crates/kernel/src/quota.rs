//! Fleet-wide quota of a team, enforced without a call per request.
//!
//! Instances exchange each team's demand once per period. Each then admits a part of the quota in
//! proportion to its own demand. What the fleet admits in a period stays within the quota plus the
//! minimum share of each instance: [`max_admitted`].

/// Requests per period that an instance admits whatever the other instances' demand.
pub const MIN_SHARE_REQUESTS: u64 = 1;

/// One team's demand as one instance knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Requests of the team at this instance in the last period.
    pub own: u64,
    /// Requests at the other instances in the last period that each reported.
    pub others: u64,
}

/// One team's share of its quota on one instance, with the counts of the current period.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuotaShare {
    share: u64,
    admitted: u64,
    arrived: u64,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is within this period's share.
    Admit,
    /// This period's share is used up.
    Refuse,
}

impl QuotaShare {
    /// Creates a share of [`MIN_SHARE_REQUESTS`].
    pub fn new() -> Self {
        Self {
            share: MIN_SHARE_REQUESTS,
            ..Self::default()
        }
    }

    /// Counts one request and decides whether it is admitted.
    pub fn admit_request(&mut self) -> QuotaDecision {
        self.arrived += 1;
        if self.admitted >= self.share {
            return QuotaDecision::Refuse;
        }
        self.admitted += 1;
        QuotaDecision::Admit
    }

    /// Ends a period: sets the share of the next one, and returns the number of requests that
    /// arrived in this one.
    pub fn end_period(&mut self, quota: u64, demand: TeamDemand) -> u64 {
        let arrived = self.arrived;
        self.share = proportional_share(quota, demand);
        self.admitted = 0;
        self.arrived = 0;
        arrived
    }
}

/// Share of a quota, in requests per period, for an instance with this demand.
pub fn proportional_share(quota: u64, demand: TeamDemand) -> u64 {
    let total = demand.own + demand.others;
    if total == 0 {
        return MIN_SHARE_REQUESTS;
    }
    let share = u128::from(quota) * u128::from(demand.own) / u128::from(total);
    (share as u64).max(MIN_SHARE_REQUESTS)
}

/// Maximum number of requests that the fleet admits in one period, given that every instance knows
/// the demand of the last period.
pub fn max_admitted(quota: u64, instances: u64) -> u64 {
    quota + instances * MIN_SHARE_REQUESTS
}
