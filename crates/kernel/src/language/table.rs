//! Query tables as plug-ins: a name, the fields of its rows, and who knows the rows.

/// Who knows the rows of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableScope {
    /// Configuration, plans and decisions, folded from the log: every instance has the same rows
    /// at the same offset.
    Changes,
    /// Jobs, folded from the log like these, but not passed on by peers.
    Jobs,
    /// Each instance knows its own rows, so that all are asked.
    Instance,
}

/// One query table.
#[derive(Debug)]
pub struct QueryTable {
    /// Its name.
    pub name: &'static str,
    /// Who knows the rows.
    pub scope: TableScope,
    /// Fields, in the order in which they are shown.
    pub fields: &'static [&'static str],
}

inventory::collect!(QueryTable);

/// Every table, sorted by name.
pub fn tables() -> Vec<&'static QueryTable> {
    let mut tables: Vec<_> = inventory::iter::<QueryTable>().collect();
    tables.sort_unstable_by_key(|table| table.name);
    tables
}

/// The table of this name.
pub fn table(name: &str) -> Option<&'static QueryTable> {
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
