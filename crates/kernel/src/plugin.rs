//! The plug-in registry. A plug-in is a plain struct of a name and functions; it registers itself
//! with `inventory::submit!` and is found by name.

use crate::routing::RoutingPolicy;

inventory::collect!(RoutingPolicy);

/// The routing policy of this name.
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
