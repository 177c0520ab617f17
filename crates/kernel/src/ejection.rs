//! Takes failing upstreams out of routing for a while and probes them back in, never all of them.

/// Failures in a row that take an upstream out.
const EJECT_FAILURES: u32 = 3;
/// First time out, in milliseconds; doubles with each failed probe.
const EJECT_BASE_MS: u64 = 1_000;
/// Longest time out, in milliseconds.
const EJECT_MAX_MS: u64 = 30_000;
/// Time that a probe may take before another is let through, in milliseconds.
const PROBE_MS: u64 = 5_000;

/// Health of one upstream as one instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// It gets requests.
    Healthy {
        /// Failures in a row.
        failures: u32,
    },
    /// It gets none for a while.
    Out {
        /// When a probe is due, in milliseconds.
        until_ms: u64,
        /// Times that it was taken out since it last did well.
        times: u32,
    },
    /// One request finds out whether it does well again.
    Probing {
        /// When that was sent, in milliseconds.
        since_ms: u64,
        /// Times that it was taken out since it last did well.
        times: u32,
    },
}

impl Default for UpstreamHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamHealth {
    /// Healthy until something fails.
    pub const fn new() -> Self {
        Self::Healthy { failures: 0 }
    }

    /// Notes an attempt that went well.
    pub fn succeed(&mut self) {
        *self = Self::new();
    }

    /// Notes an attempt that failed by the upstream's fault. What was sent before the upstream
    /// was taken out prolongs nothing.
    pub fn fail(&mut self, now_ms: u64) {
        *self = match *self {
            Self::Healthy { failures } if failures + 1 < EJECT_FAILURES => Self::Healthy {
                failures: failures + 1,
            },
            Self::Healthy { .. } => out(now_ms, 0),
            Self::Probing { times, .. } => out(now_ms, times),
            Self::Out { .. } => *self,
        }
    }

    /// Whether it may get a request: it is healthy, or a probe is due.
    pub fn is_available(self, now_ms: u64) -> bool {
        match self {
            Self::Healthy { .. } => true,
            Self::Out { until_ms, .. } => now_ms >= until_ms,
            Self::Probing { since_ms, .. } => now_ms >= since_ms + PROBE_MS,
        }
    }

    /// Notes that a request is sent. To an upstream that is out it is the probe.
    pub fn start(&mut self, now_ms: u64) {
        if let Self::Out { times, .. } | Self::Probing { times, .. } = *self {
            *self = Self::Probing {
                since_ms: now_ms,
                times,
            };
        }
    }
}

fn out(now_ms: u64, times: u32) -> UpstreamHealth {
    let time_out = (EJECT_BASE_MS << times.min(10)).min(EJECT_MAX_MS);
    UpstreamHealth::Out {
        until_ms: now_ms + time_out,
        times: times + 1,
    }
}

/// Which upstreams of a group may get requests. When more than half are out, their failures are
/// taken for a fault on this side and all are tried.
pub fn available(healths: &[UpstreamHealth], now_ms: u64) -> Vec<bool> {
    let available: Vec<_> = healths
        .iter()
        .map(|health| health.is_available(now_ms))
        .collect();
    let out = available.iter().filter(|&&available| !available).count();
    match out * 2 > healths.len() {
        true => vec![true; healths.len()],
        false => available,
    }
}
