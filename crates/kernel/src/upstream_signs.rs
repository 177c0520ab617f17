//! What one instance knows of an upstream's silence, from all requests that it has in flight there.

/// Silence of a busy upstream from which its next sign counts as the end of a pause, in milliseconds:
/// the smallest `gapTargetMs` in the deployments served so far, so sound upstreams stay below it.
const PAUSE_MS: u64 = 300;

/// Signs of life of one upstream: whole events and whole answers to any request of this instance.
/// Times are in milliseconds of a steady clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamSigns {
    heard_ms: Option<u64>,
    busy_since_ms: Option<u64>,
    resumed_ms: Option<u64>,
}

/// The signs of an upstream at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SignAges {
    /// Time for which requests have been in flight there without a sign, in milliseconds. `None`: none
    /// is in flight, so its silence says nothing.
    pub silent_ms: Option<u64>,
    /// Time since the last sign, in milliseconds; `None` if there was none.
    pub heard_ms: Option<u64>,
    /// Time since a sign ended a pause, in milliseconds; `None` if none did.
    pub resumed_ms: Option<u64>,
}

impl UpstreamSigns {
    /// Creates the signs of an upstream that has not been heard from.
    pub const fn new() -> Self {
        Self {
            heard_ms: None,
            busy_since_ms: None,
            resumed_ms: None,
        }
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, now_ms: u64) {
        self.busy_since_ms.get_or_insert(now_ms);
    }

    /// Records that no request is in flight any more.
    pub fn record_idle(&mut self) {
        self.busy_since_ms = None;
    }

    /// Records a whole event or a whole answer.
    pub fn record_sign(&mut self, now_ms: u64) {
        let silent_ms = self.ages(now_ms).silent_ms;
        if silent_ms.is_some_and(|silent_ms| silent_ms >= PAUSE_MS) {
            self.resumed_ms = Some(now_ms);
        }
        self.heard_ms = Some(now_ms);
    }

    /// The signs as of now.
    pub fn ages(&self, now_ms: u64) -> SignAges {
        let age = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let silent_since = self.busy_since_ms.max(self.heard_ms);
        SignAges {
            silent_ms: self.busy_since_ms.and(silent_since).map(age),
            heard_ms: self.heard_ms.map(age),
            resumed_ms: self.resumed_ms.map(age),
        }
    }
}
