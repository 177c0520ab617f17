//! Service levels as instances report them: how many requests met their tier's objectives, by
//! minute, and why the others did not.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, TierId, WriterId};
use crate::unit::{Percentage, TimeSpan};

/// Path of an instance's service levels: `GET`, [`LevelReport`], in MessagePack if accepted.
pub const SERVICE_LEVELS_PATH: &str = "/v1/operator/service-levels";

/// What became of one request, by the objectives of its tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LevelCause {
    /// It met the objectives.
    Good,
    /// It was refused.
    Refused,
    /// Its first token came too late.
    LateFirstToken,
    /// A gap between its tokens was too long.
    SlowGap,
    /// It failed.
    Error,
    /// It was refused or late while batch work ran beside it.
    BatchPressure,
}

impl LevelCause {
    /// Every cause, in the order of the enum.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Refused,
        Self::LateFirstToken,
        Self::SlowGap,
        Self::Error,
        Self::BatchPressure,
    ];
    /// The causes that eat budget.
    pub const BAD: [Self; 5] = [
        Self::Refused,
        Self::LateFirstToken,
        Self::SlowGap,
        Self::Error,
        Self::BatchPressure,
    ];

    /// Its name in reports.
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

/// Requests by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LevelCounts([u64; LevelCause::ALL.len()]);

impl LevelCounts {
    /// Requests of one cause.
    pub fn get(&self, cause: LevelCause) -> u64 {
        self.0[cause as usize]
    }

    /// Adds requests of one cause.
    pub fn add(&mut self, cause: LevelCause, requests: u64) {
        let count = &mut self.0[cause as usize];
        *count = count.saturating_add(requests);
    }

    /// Adds other counts.
    pub fn add_all(&mut self, other: &Self) {
        for cause in LevelCause::ALL {
            self.add(cause, other.get(cause));
        }
    }

    /// Takes the higher count of each cause.
    pub fn merge_max(&mut self, other: &Self) {
        for (count, other) in self.0.iter_mut().zip(other.0) {
            *count = (*count).max(other);
        }
    }

    /// All requests.
    pub fn total(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Requests that did not meet the objectives.
    pub fn bad(&self) -> u64 {
        self.total().saturating_sub(self.get(LevelCause::Good))
    }
}

/// The requests that ended in one minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelMinute {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// The requests.
    pub counts: LevelCounts,
}

/// Objectives of a tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelObjective {
    /// Longest wait for the first token.
    pub first_token: TimeSpan,
    /// Longest gap between tokens.
    pub token_gap: TimeSpan,
    /// Share of requests that must keep to both.
    pub target: Percentage,
}

/// One tier on one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierLevels {
    /// The tier.
    pub tier: TierId,
    /// Its objectives.
    pub objective: LevelObjective,
    /// Minutes with requests, oldest first.
    pub minutes: Vec<LevelMinute>,
}

/// What one run of an instance has counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelReport {
    /// The instance.
    pub instance: InstanceId,
    /// The run of its process; counts start again with another.
    pub writer: WriterId,
    /// When the report was made, Unix milliseconds.
    pub time_ms: u64,
    /// Its tiers.
    pub tiers: Vec<TierLevels>,
}
