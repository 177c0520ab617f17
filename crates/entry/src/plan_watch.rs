//! Takes upstreams of active plans out of service on this instance as plans are folded.

use std::collections::HashSet;
use std::sync::Arc;

use amaranth_wire::id::UpstreamId;

use crate::context::InstanceContext;

/// Updates the withheld upstreams after each change of the folded state, until the instance stops.
pub async fn run(context: Arc<InstanceContext>) {
    let mut folded = context.state.folded_watch();
    loop {
        context.upstreams.set_withheld(withheld_upstreams(&context));
        tokio::select! {
            changed = folded.changed() => if changed.is_err() { return },
            () = context.stop.cancelled() => return,
        }
    }
}

/// Upstreams that an active plan excludes from service.
fn withheld_upstreams(context: &InstanceContext) -> HashSet<UpstreamId> {
    let changes = context.state.changes();
    let plans = changes.core().plans.active();
    let names = plans.flat_map(|(_, plan)| {
        let steps = plan.steps.keys();
        steps.filter(|name| plan.excludes_upstream(name)).cloned()
    });
    names.collect()
}
