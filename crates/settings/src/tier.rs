//! Settings of serving tiers.

use amaranth_wire::id::TierId;
use amaranth_wire::unit::{Percentage, TimeSpan};

use crate::reader::Section;

/// Default share of requests that must meet the objectives.
const DEFAULT_TARGET: Percentage = Percentage::from_millionths(950_000);

/// One serving tier. Callers select it by its name or its model.
#[derive(Debug, Clone, PartialEq)]
pub struct TierSettings {
    /// Name of the tier.
    pub name: TierId,
    /// Name of the upstream group that serves the tier.
    pub upstreams: String,
    /// Whether requests may be retried after a failure; a request can override it.
    pub repeatable: bool,
    /// Whether batch jobs may use the tier.
    pub batch: bool,
    /// Time limit of requests that do not set a deadline.
    pub deadline: TimeSpan,
    /// Objective for the time to the first token.
    pub first_token: TimeSpan,
    /// Objective for the time between tokens.
    pub token_gap: TimeSpan,
    /// Share of requests that must meet the objectives.
    pub target: Percentage,
    /// Maximum number of requests that wait on one instance.
    pub queue_limit: u32,
    /// Retention time of the results of keyed requests.
    pub result_retention: TimeSpan,
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
        let target = section.text_or("target", DEFAULT_TARGET);
        let queue_limit = section.number_or("queue_limit", 256);
        let result_retention = section.text_or("kept", TimeSpan::from_millis(600_000));
        let tier = Self {
            name: name?,
            upstreams: upstreams?,
            repeatable: repeatable?,
            batch: batch?,
            deadline: deadline?,
            first_token: first_token?,
            token_gap: token_gap?,
            target: target?,
            queue_limit: queue_limit?,
            result_retention: result_retention?,
        };
        tier.check(section);
        Some(tier)
    }

    fn check(&self, section: &Section<'_, '_>) {
        section.report_zero("deadline", &self.deadline);
        section.report_zero("first_token", &self.first_token);
        section.report_zero("token_gap", &self.token_gap);
        if self.deadline != TimeSpan::default() && self.first_token > self.deadline {
            let message = "\"first_token\" must not be longer than \"deadline\"";
            section.report_at("first_token", message);
        }
        if !(0.0 < self.target.fraction() && self.target.fraction() < 1.0) {
            let message = "\"target\" must be above 0% and below 100%";
            section.report_at("target", message);
        }
    }
}
