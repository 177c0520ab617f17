//! The registry of the query tables: names, fields, and which instances hold the rows.

/// Which instances hold the rows of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableScope {
    /// Configuration, plans and decisions, replicated over the log: every instance has the same
    /// rows at the same offset, and can take them from a peer's snapshot.
    Changes,
    /// Jobs, replicated over the log likewise, but not part of the snapshots that peers send.
    Jobs,
    /// Each instance holds only its own rows, so a query asks all instances.
    Instance,
}

/// A table of the query language.
#[derive(Debug)]
pub struct QueryTable {
    /// Name used in `show`.
    pub name: &'static str,
    /// Which instances hold the rows.
    pub scope: TableScope,
    /// Column names in display order.
    pub fields: &'static [&'static str],
}

inventory::collect!(QueryTable);

/// Every registered table, sorted by name.
pub fn tables() -> Vec<&'static QueryTable> {
    let mut tables: Vec<_> = inventory::iter::<QueryTable>().collect();
    tables.sort_unstable_by_key(|table| table.name);
    tables
}

/// Finds a registered table by name.
pub fn find_table(name: &str) -> Option<&'static QueryTable> {
    inventory::iter::<QueryTable>().find(|table| table.name == name)
}

use TableScope::{Changes, Instance, Jobs};

inventory::submit! { QueryTable {
    name: "requests", scope: Instance,
    fields: &["instance", "request", "tier", "team", "state", "upstream", "age_ms"],
} }
inventory::submit! { QueryTable {
    name: "batches", scope: Jobs,
    fields: &["batch", "team", "tier", "state", "total", "completed", "failed", "submitted_ms",
        "deadline_ms"],
} }
inventory::submit! { QueryTable {
    name: "items", scope: Jobs,
    fields: &["batch", "item", "tier", "state"],
} }
inventory::submit! { QueryTable {
    name: "upstreams", scope: Instance,
    fields: &["instance", "upstream", "group", "address", "in_flight", "state", "requests",
        "errors", "total_ms"],
} }
inventory::submit! { QueryTable {
    name: "instances", scope: Instance,
    fields: &["instance", "data_centre", "address", "state", "folded", "revision", "log_age_ms"],
} }
inventory::submit! { QueryTable {
    name: "tiers", scope: Instance,
    fields: &["instance", "tier", "group", "batch", "repeatable", "queue_limit", "deadline_ms"],
} }
inventory::submit! { QueryTable {
    name: "teams", scope: Jobs,
    fields: &["team", "batches", "running"],
} }
inventory::submit! { QueryTable {
    name: "config", scope: Changes,
    fields: &["name", "value", "revision", "author", "offset"],
} }
inventory::submit! { QueryTable {
    name: "plans", scope: Changes,
    fields: &["plan", "text", "author", "state", "finished", "total", "reason", "offset"],
} }
inventory::submit! { QueryTable {
    name: "steps", scope: Changes,
    fields: &["plan", "upstream", "state"],
} }
inventory::submit! { QueryTable {
    name: "refusals", scope: Changes,
    fields: &["command", "text", "author", "reason", "time_ms", "offset"],
} }
inventory::submit! { QueryTable {
    name: "audit", scope: Changes,
    fields: &["command", "text", "author", "revision", "time_ms", "offset"],
} }
