//! Settings of serving tiers.

use amaranth_wire::id::TierId;
use amaranth_wire::unit::TimeSpan;

use crate::reader::Section;

/// One serving tier: what callers ask for by its name or its model.
#[derive(Debug, Clone, PartialEq)]
pub struct TierSettings {
    /// Its name.
    pub name: TierId,
    /// The upstream group that serves it.
    pub upstreams: String,
    /// Whether its requests may be run again after a failure, unless a request says otherwise.
    pub repeatable: bool,
    /// Whether batch jobs may use it.
    pub batch: bool,
    /// Time allowed for a request that names no deadline.
    pub deadline: TimeSpan,
    /// Objective for the first token, 95 in 100.
    pub first_token: TimeSpan,
    /// Objective for the gap between tokens, 95 in 100.
    pub token_gap: TimeSpan,
    /// Requests that may wait on one instance.
    pub queue_limit: u32,
    /// How long results of keyed requests stay readable.
    pub kept: TimeSpan,
}

impl TierSettings {
    pub(crate) fn decode(section: &Section<'_, '_>) -> Option<Self> {
        let name = section.text("name");
        let upstreams = section.text("upstreams");
        let repeatable = section.flag_or("repeatable", true);
        let batch = section.flag_or("batch", false);
        let deadline = section.text_or("deadline", TimeSpan::from_millis(30_000));
        let first_token = section.text_or("first_token", TimeSpan::from_millis(520));
        let token_gap = section.text_or("token_gap", TimeSpan::from_millis(70));
        let queue_limit = section.number_or("queue_limit", 256);
        let kept = section.text_or("kept", TimeSpan::from_millis(600_000));
        Some(Self {
            name: name?,
            upstreams: upstreams?,
            repeatable: repeatable?,
            batch: batch?,
            deadline: deadline?,
            first_token: first_token?,
            token_gap: token_gap?,
            queue_limit: queue_limit?,
            kept: kept?,
        })
    }
}
