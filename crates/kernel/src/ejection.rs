//! Outlier detection: ejects failing upstreams from routing for a while, then probes them. Never
//! excludes more than half of a group.

/// Consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
/// First ejection time in milliseconds; doubles with each failed probe.
const MIN_EJECTION_MS: u64 = 1_000;
/// Longest ejection time, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// Time after which an unanswered probe is followed by another, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 5_000;

/// Health of one upstream, from this instance's attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// It gets requests.
    Healthy {
        /// Consecutive failures.
        failures: u32,
    },
    /// It gets no requests until a probe is due.
    Ejected {
        /// When a probe is due, in milliseconds.
        until_ms: u64,
        /// Ejections since the last success.
        ejections: u32,
    },
    /// One request tests whether it has recovered.
    Probing {
        /// When the probe was sent, in milliseconds.
        since_ms: u64,
        /// Ejections since the last success.
        ejections: u32,
    },
}

impl Default for UpstreamHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamHealth {
    /// Healthy, without failures.
    pub const fn new() -> Self {
        Self::Healthy { failures: 0 }
    }

    /// Records a successful attempt, which ends an ejection.
    pub fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Records an attempt that failed due to the upstream. Failures during an ejection don't extend
    /// it, as they are of requests sent before.
    pub fn record_failure(&mut self, now_ms: u64) {
        *self = match *self {
            Self::Healthy { failures } if failures + 1 < EJECTION_FAILURES => Self::Healthy {
                failures: failures + 1,
            },
            Self::Healthy { .. } => eject(now_ms, 0),
            Self::Probing { ejections, .. } => eject(now_ms, ejections),
            Self::Ejected { .. } => *self,
        }
    }

    /// Records that nothing listens at the upstream's address. One such attempt is proof enough.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        if let Self::Healthy { .. } = self {
            *self = eject(now_ms, 0);
        } else {
            self.record_failure(now_ms);
        }
    }

    /// Whether it may get a request, because it is healthy or a probe is due.
    pub fn is_available(self, now_ms: u64) -> bool {
        match self {
            Self::Healthy { .. } => true,
            Self::Ejected { until_ms, .. } => now_ms >= until_ms,
            Self::Probing { since_ms, .. } => now_ms >= since_ms + PROBE_TIMEOUT_MS,
        }
    }

    /// Records that a request is sent. If the upstream is ejected, the request is the probe.
    pub fn record_attempt(&mut self, now_ms: u64) {
        if let Self::Ejected { ejections, .. } | Self::Probing { ejections, .. } = *self {
            *self = Self::Probing {
                since_ms: now_ms,
                ejections,
            };
        }
    }
}

fn eject(now_ms: u64, ejections: u32) -> UpstreamHealth {
    let duration_ms = (MIN_EJECTION_MS << ejections.min(10)).min(MAX_EJECTION_MS);
    UpstreamHealth::Ejected {
        until_ms: now_ms + duration_ms,
        ejections: ejections + 1,
    }
}

/// Which upstreams of a group may get requests. If more than half are unavailable, the fault is
/// assumed to be local and all are tried.
pub fn available(healths: &[UpstreamHealth], now_ms: u64) -> Vec<bool> {
    let available: Vec<_> = healths
        .iter()
        .map(|health| health.is_available(now_ms))
        .collect();
    let ejected = available.iter().filter(|&&available| !available).count();
    match ejected * 2 > healths.len() {
        true => vec![true; healths.len()],
        false => available,
    }
}
