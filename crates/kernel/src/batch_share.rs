//! How many batch items one instance may run beside online requests.
//!
//! The load this answers: online traffic that steps between 0.4 and 1.9 times its mean within a
//! second, while batch items run for seconds. Callers are spread over the instances, so each
//! instance's own online requests are a sample of all: it gives its batch items its equal share of
//! the places less what its own online requests take. No message is needed, and the instances'
//! errors level out.

/// Share of a group's places that online requests and batch items may take together: the rest
/// takes up the arrivals of the moment until batch items have given way.
const USABLE_SHARE: f64 = 0.85;
/// Time in which a peak of online requests fades, in milliseconds: bursts come in steps of
/// seconds, and an item that gives way costs reading its prompt again.
const PEAK_FADE_MS: f64 = 1_500.0;

/// The online requests of one instance in one group, as a peak that fades.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OnlinePeak {
    level: f64,
    at_ms: u64,
}

impl OnlinePeak {
    /// Notes how many run now; returns the peak.
    pub fn note(&mut self, running: u32, now_ms: u64) -> f64 {
        let faded = now_ms.saturating_sub(self.at_ms) as f64 / PEAK_FADE_MS;
        let rest = self.level * (1.0 - faded).max(0.0);
        self.level = rest.max(f64::from(running));
        self.at_ms = now_ms;
        self.level
    }
}

/// Batch items that one of so many instances may run. Where the share is a fraction of an item,
/// `dither`, fixed for each instance from 0 to 1, says whose it is.
pub fn batch_allowance(slots: u32, instances: u32, online_peak: f64, dither: f64) -> u32 {
    let share = f64::from(slots) * USABLE_SHARE / f64::from(instances.max(1));
    (share - online_peak + dither).max(0.0) as u32
}
