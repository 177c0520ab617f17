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
/// Time in which the level follows a rise by two thirds, in milliseconds: a burst is answered
/// within the objective of a first event.
const RISE_MS: f64 = 200.0;
/// Time in which it follows a fall, in milliseconds: an item that gives way costs reading its
/// prompt again, so room is filled more slowly than it is given back.
const FALL_MS: f64 = 800.0;

/// The online requests of one instance in one group, smoothed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OnlineLevel {
    level: f64,
    at_ms: u64,
}

impl OnlineLevel {
    /// Notes how many run now; returns the level.
    pub fn note(&mut self, running: u32, now_ms: u64) -> f64 {
        let elapsed = now_ms.saturating_sub(self.at_ms) as f64;
        let step = f64::from(running) - self.level;
        let time = match step > 0.0 {
            true => RISE_MS,
            false => FALL_MS,
        };
        self.level += step * (1.0 - (-elapsed / time).exp());
        self.at_ms = now_ms;
        self.level
    }
}

/// Batch items that one of so many instances may run. Where the share is a fraction of an item,
/// `dither`, fixed for each instance from 0 to 1, says whose it is.
pub fn batch_allowance(slots: u32, instances: u32, online_level: f64, dither: f64) -> u32 {
    let share = f64::from(slots) * USABLE_SHARE / f64::from(instances.max(1));
    (share - online_level + dither).max(0.0) as u32
}
