//! Sums whose terms lose weight as they age.

/// A sum whose terms decay exponentially.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayingSum {
    sum: f64,
    at_ms: u64,
    /// Time in which a term decays to 1/e of its weight.
    time_constant_ms: f64,
}

impl DecayingSum {
    /// An empty sum.
    pub fn new(time_constant_ms: f64) -> Self {
        Self {
            sum: 0.0,
            at_ms: 0,
            time_constant_ms,
        }
    }

    /// Adds a term.
    pub fn add(&mut self, term: f64, now_ms: u64) {
        self.sum = self.at(now_ms) + term;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// The sum at a time that isn't before the last term.
    pub fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / self.time_constant_ms).exp()
    }

    /// The terms added per second lately.
    pub fn per_second(&self, now_ms: u64) -> f64 {
        self.at(now_ms) * 1_000.0 / self.time_constant_ms
    }
}
