//! Averages in which newer samples weigh more.

/// The average after one more sample, which moves it by a weight from 0 to 1. The first sample is
/// the average.
pub fn moving_average(known: Option<f64>, sample: f64, weight: f64) -> f64 {
    known.map_or(sample, |known| known + (sample - known) * weight)
}
