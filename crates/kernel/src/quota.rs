//! A team's quota over the whole fleet, kept without a call for each request.
//!
//! Instances tell each other in each period how much demand a team brought them. Each then admits
//! the part of the quota that its demand is of the whole. What the fleet admits in a period stays
//! within the quota plus the floor of each instance: [`most_admitted`].

/// Requests in one period that an instance admits without knowing of any other.
pub const FLOOR_REQUESTS: u64 = 1;

/// What an instance knows of one team's demand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Requests that the team brought this instance in the last period.
    pub own: u64,
    /// Requests that it brought the other instances in the last period that they told of.
    pub others: u64,
}

/// One team's share of its quota on one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuotaShare {
    share: u64,
    admitted: u64,
    arrived: u64,
}

/// Whether a request is within the quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// It is.
    Admit,
    /// The share of this period is used up.
    Refuse,
}

impl QuotaShare {
    /// A share of nothing but the floor.
    pub fn new() -> Self {
        Self {
            share: FLOOR_REQUESTS,
            ..Self::default()
        }
    }

    /// Judges one request.
    pub fn judge(&mut self) -> QuotaVerdict {
        self.arrived += 1;
        if self.admitted >= self.share {
            return QuotaVerdict::Refuse;
        }
        self.admitted += 1;
        QuotaVerdict::Admit
    }

    /// Ends a period: sets the share of the next one and returns what arrived in this one.
    pub fn turn(&mut self, quota: u64, demand: TeamDemand) -> u64 {
        let arrived = self.arrived;
        self.share = share_of(quota, demand);
        self.admitted = 0;
        self.arrived = 0;
        arrived
    }
}

/// The part of a quota that belongs to an instance with this demand.
pub fn share_of(quota: u64, demand: TeamDemand) -> u64 {
    let whole = demand.own + demand.others;
    if whole == 0 {
        return FLOOR_REQUESTS;
    }
    let share = u128::from(quota) * u128::from(demand.own) / u128::from(whole);
    (share as u64).max(FLOOR_REQUESTS)
}

/// The most that the fleet admits in one period when every instance knows the demand of the last.
pub fn most_admitted(quota: u64, instances: u64) -> u64 {
    quota + instances * FLOOR_REQUESTS
}
