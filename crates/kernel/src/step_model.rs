//! How much longer an engine's step gets with each further stream, learned from its load reports.

/// Weight that an earlier report keeps with each new one.
const MEMORY: f64 = 0.98;
/// Reports before the model says anything.
const LEAST_REPORTS: f64 = 8.0;
/// A whole, in thousandths.
const WHOLE_PERMILLE: f64 = 1_000.0;

/// A straight line through (streams, step), older reports counting less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StepModel {
    weight: f64,
    streams: f64,
    steps: f64,
    streams_squared: f64,
    products: f64,
}

impl StepModel {
    /// Takes a report of at least one running stream.
    pub fn note(&mut self, active: u32, step_us: u64) {
        if active == 0 || step_us == 0 {
            return;
        }
        let (streams, step) = (f64::from(active), step_us as f64);
        self.weight = self.weight * MEMORY + 1.0;
        self.streams = self.streams * MEMORY + streams;
        self.steps = self.steps * MEMORY + step;
        self.streams_squared = self.streams_squared * MEMORY + streams * streams;
        self.products = self.products * MEMORY + streams * step;
    }

    /// Growth of the step for each further stream, in thousandths of the step of one stream;
    /// `None` before the reports tell.
    pub fn growth_permille(&self) -> Option<u32> {
        let spread = self.weight * self.streams_squared - self.streams * self.streams;
        if self.weight < LEAST_REPORTS || spread < self.weight {
            return None;
        }
        let slope = (self.weight * self.products - self.streams * self.steps) / spread;
        let single = (self.steps - slope * self.streams) / self.weight + slope;
        let growth = (slope / single * WHOLE_PERMILLE).round();
        (single > 0.0).then(|| growth.clamp(0.0, WHOLE_PERMILLE) as u32)
    }
}
