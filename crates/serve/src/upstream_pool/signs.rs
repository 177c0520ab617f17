//! When any request of this instance heard from each upstream.

use amaranth_kernel::hand_over::{SilentAttempt, shares_silence};
use amaranth_kernel::upstream_signs::{SignAges, UpstreamSigns};
use amaranth_net::clock::steady_ms;
use amaranth_wire::id::{UpstreamGroupId, UpstreamId};

use super::UpstreamPool;

/// Silent upstreams that a placement request excludes at most, so that it fits into a datagram.
const MAX_SILENT_EXCLUDED: usize = 32;

/// Upstreams that share a silence.
pub enum SharedSilence {
    /// All that may be asked.
    All,
    /// Some of them, or none.
    Some(Vec<UpstreamId>),
}

impl UpstreamPool {
    /// Returns what any request heard from an upstream.
    pub fn signs(&self, upstream: &UpstreamId) -> SignAges {
        let estimates = self.estimates.lock();
        let estimate = estimates.get(upstream);
        estimate
            .map_or(UpstreamSigns::new(), |estimate| estimate.signs)
            .ages(steady_ms())
    }

    /// Returns which of the group's upstreams share the silence of an attempt, without the excluded ones.
    pub fn shared_silence(
        &self,
        group: &UpstreamGroupId,
        attempt: &SilentAttempt,
        excluded: &[UpstreamId],
    ) -> SharedSilence {
        let serving = self.serving(group, excluded);
        let now_ms = steady_ms();
        let estimates = self.estimates.lock();
        let shares = |upstream: &UpstreamId| {
            let signs = estimates.get(upstream).map(|estimate| estimate.signs);
            signs.is_some_and(|signs| shares_silence(attempt, &signs.ages(now_ms)))
        };
        let upstreams = serving.iter().map(|(upstream, _)| upstream);
        let silent: Vec<_> = upstreams.filter(|upstream| shares(upstream)).collect();
        drop(estimates);
        if silent.len() == serving.len() {
            return SharedSilence::All;
        }
        let silent = silent.into_iter().take(MAX_SILENT_EXCLUDED);
        SharedSilence::Some(silent.cloned().collect())
    }
}
