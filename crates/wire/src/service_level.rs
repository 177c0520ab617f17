//! Service level reports of instances: the number of requests per minute that met their tier's
//! objectives, and the causes why others did not.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, TierId, WriterId};
use crate::unit::{Percentage, TimeSpan};

/// Path of the service level report: `GET`, [`LevelReport`]; MessagePack if the client accepts it,
/// JSON otherwise.
pub const SERVICE_LEVELS_PATH: &str = "/v1/operator/service-levels";

/// Whether a request met the objectives of its tier and, if not, the cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LevelCause {
    /// The request met the objectives.
    Good,
    /// The request was refused.
    Refused,
    /// The first token was late.
    LateFirstToken,
    /// A gap between two tokens was too long.
    SlowGap,
    /// The request failed.
    Error,
    /// The request was refused or late while batch work ran at the same time.
    BatchPressure,
}

impl LevelCause {
    /// All causes, in the order of the enum.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Refused,
        Self::LateFirstToken,
        Self::SlowGap,
        Self::Error,
        Self::BatchPressure,
    ];
    /// The causes that consume error budget.
    pub const BAD: [Self; 5] = [
        Self::Refused,
        Self::LateFirstToken,
        Self::SlowGap,
        Self::Error,
        Self::BatchPressure,
    ];

    /// Returns the name used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Refused => "refused",
            Self::LateFirstToken => "late_first_token",
            Self::SlowGap => "slow_gap",
            Self::Error => "error",
            Self::BatchPressure => "batch_pressure",
        }
    }
}

impl fmt::Display for LevelCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

/// Number of requests by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LevelCounts([u64; LevelCause::ALL.len()]);

impl LevelCounts {
    /// Returns the number of requests with this cause.
    pub fn get(&self, cause: LevelCause) -> u64 {
        self.0[cause as usize]
    }

    /// Adds requests with this cause.
    pub fn add(&mut self, cause: LevelCause, requests: u64) {
        let count = &mut self.0[cause as usize];
        *count = count.saturating_add(requests);
    }

    /// Adds the counts of another set.
    pub fn add_all(&mut self, other: &Self) {
        for cause in LevelCause::ALL {
            self.add(cause, other.get(cause));
        }
    }

    /// Keeps the higher of the two counts for each cause.
    pub fn merge_max(&mut self, other: &Self) {
        for (count, other) in self.0.iter_mut().zip(other.0) {
            *count = (*count).max(other);
        }
    }

    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns the number of requests that did not meet the objectives.
    pub fn bad(&self) -> u64 {
        self.total().saturating_sub(self.get(LevelCause::Good))
    }
}

/// Requests that ended in one minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelMinute {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// Number of requests by cause.
    pub counts: LevelCounts,
}

/// Service level objectives of a tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelObjective {
    /// Maximum time to the first token.
    pub first_token: TimeSpan,
    /// Maximum gap between tokens.
    pub token_gap: TimeSpan,
    /// Share of requests that must meet both limits.
    pub target: Percentage,
}

/// Service levels of one tier on one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierLevels {
    /// The tier.
    pub tier: TierId,
    /// Objectives of the tier.
    pub objective: LevelObjective,
    /// Minutes with requests, oldest first.
    pub minutes: Vec<LevelMinute>,
}

/// Counts of one instance since its process started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelReport {
    /// The instance.
    pub instance: InstanceId,
    /// Process run of the instance; a restart resets the counts.
    pub writer: WriterId,
    /// Creation time of the report, Unix milliseconds.
    pub time_ms: u64,
    /// Service levels by tier.
    pub tiers: Vec<TierLevels>,
}
