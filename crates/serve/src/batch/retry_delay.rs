//! Delay before an item is attempted again.

use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

/// Mean delay before a retry.
const MEAN_DELAY: Duration = Duration::from_millis(100);
/// Longest mean delay: an item that crashes upstreams costs one with each attempt.
const MAX_MEAN_DELAY: Duration = Duration::from_millis(3_200);

/// A random delay, from half to one and a half of its mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryDelay {
    mean: Duration,
}

impl Default for RetryDelay {
    fn default() -> Self {
        Self { mean: MEAN_DELAY }
    }
}

impl RetryDelay {
    /// Doubles the mean up to its limit.
    pub fn double(&mut self) {
        self.mean = (self.mean * 2).min(MAX_MEAN_DELAY);
    }

    /// Waits for a random time.
    pub async fn wait(self) {
        let factor = rand::rng().random_range(0.5..1.5);
        sleep(self.mean.mul_f64(factor)).await;
    }
}
