//! Delay before an item is attempted again.

use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

/// Mean delay before a retry.
const MEAN_DELAY: Duration = Duration::from_millis(100);

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
    /// Waits for a random time.
    pub async fn wait(self) {
        let factor = rand::rng().random_range(0.5..1.5);
        sleep(self.mean.mul_f64(factor)).await;
    }
}
