//! Exponentially weighted moving averages.

/// The average after a new sample of weight 0 to 1. The first sample is the initial average.
pub fn moving_average(known: Option<f64>, sample: f64, weight: f64) -> f64 {
    known.map_or(sample, |known| known + (sample - known) * weight)
}
