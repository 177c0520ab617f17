//! The registry of routing policies. A plug-in is a struct of a name and functions that is
//! registered with `inventory::submit!` and found by name.

use crate::routing::RoutingPolicy;

inventory::collect!(RoutingPolicy);

/// Finds the routing policy registered under this name.
pub fn routing_policy(name: &str) -> Option<&'static RoutingPolicy> {
    inventory::iter::<RoutingPolicy>().find(|policy| policy.name == name)
}

/// Names of all routing policies, sorted.
pub fn routing_policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<RoutingPolicy>()
        .map(|policy| policy.name)
        .collect();
    names.sort_unstable();
    names
}
