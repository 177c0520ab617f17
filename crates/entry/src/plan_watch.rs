//! Puts plans in force on this instance as soon as they are folded.

use std::collections::HashSet;
use std::sync::Arc;

use amaranth_wire::id::UpstreamId;

use crate::context::InstanceContext;

/// Follows the fold until the instance ends.
pub async fn run(context: Arc<InstanceContext>) {
    let mut folded = context.state.folded_watch();
    loop {
        context.upstreams.set_withheld(withheld(&context));
        tokio::select! {
            changed = folded.changed() => if changed.is_err() { return },
            () = context.stop.cancelled() => return,
        }
    }
}

fn withheld(context: &InstanceContext) -> HashSet<UpstreamId> {
    let changes = context.state.changes();
    let plans = changes.core().plans.active();
    let names = plans.flat_map(|(_, plan)| {
        let steps = plan.steps.keys();
        steps.filter(|name| plan.excludes_upstream(name)).cloned()
    });
    names.collect()
}
