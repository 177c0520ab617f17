//! Estimates from load reports how an engine's step time grows with the number of streams.

/// Factor by which the weight of earlier reports decays with each new one.
const DECAY_FACTOR: f64 = 0.98;
/// Total weight of reports below which there is no estimate.
const MIN_REPORTS: f64 = 8.0;
/// 100 %, in thousandths.
const PERMILLE_SCALE: f64 = 1_000.0;

/// Linear regression of the step time on the number of streams, with exponential decay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StepTimeModel {
    weight: f64,
    streams: f64,
    steps: f64,
    streams_squared: f64,
    products: f64,
}

impl StepTimeModel {
    /// Adds a report. One without running streams or without a step time is ignored.
    pub fn record(&mut self, active: u32, step_us: u64) {
        if active == 0 || step_us == 0 {
            return;
        }
        let (streams, step) = (f64::from(active), step_us as f64);
        self.weight = self.weight * DECAY_FACTOR + 1.0;
        self.streams = self.streams * DECAY_FACTOR + streams;
        self.steps = self.steps * DECAY_FACTOR + step;
        self.streams_squared = self.streams_squared * DECAY_FACTOR + streams * streams;
        self.products = self.products * DECAY_FACTOR + streams * step;
    }

    /// Increase of the step time per further stream, in thousandths of that of a single stream;
    /// `None` while there are too few reports or their stream counts barely vary.
    pub fn growth_permille(&self) -> Option<u32> {
        let spread = self.weight * self.streams_squared - self.streams * self.streams;
        if self.weight < MIN_REPORTS || spread < self.weight {
            return None;
        }
        let slope = (self.weight * self.products - self.streams * self.steps) / spread;
        let single = (self.steps - slope * self.streams) / self.weight + slope;
        let growth = (slope / single * PERMILLE_SCALE).round();
        (single > 0.0).then(|| growth.clamp(0.0, PERMILLE_SCALE) as u32)
    }
}
