//! List that shows each change to its readers after a delay.

use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct ListRow<R> {
    shown: Option<R>,
    pending: VecDeque<(u64, R)>,
    reported_ms: u64,
}

impl<R: Clone + PartialEq> ListRow<R> {
    fn newest(&self) -> Option<&R> {
        self.pending
            .back()
            .map(|(_, row)| row)
            .or(self.shown.as_ref())
    }

    fn apply_pending(&mut self, visible_ms: u64) {
        while self
            .pending
            .front()
            .is_some_and(|(time, _)| *time <= visible_ms)
        {
            self.shown = self.pending.pop_front().map(|(_, row)| row);
        }
    }
}

/// Rows by name, each with its reports that are not visible yet. Times are Unix milliseconds.
#[derive(Debug)]
pub struct LaggingList<R> {
    lag_ms: u64,
    expiry_ms: Option<u64>,
    rows: BTreeMap<String, ListRow<R>>,
}

impl<R: Clone + PartialEq> LaggingList<R> {
    /// Creates an empty list that shows changes after `lag_ms`. Rows that are not reported again
    /// within `expiry_ms`, if set, are removed by `expire`.
    pub fn new(lag_ms: u64, expiry_ms: Option<u64>) -> Self {
        Self {
            lag_ms,
            expiry_ms,
            rows: BTreeMap::new(),
        }
    }

    /// Records a report of one row.
    pub fn report(&mut self, name: &str, row: R, now_ms: u64) {
        let entry = self.rows.entry(name.to_owned()).or_insert(ListRow {
            shown: None,
            pending: VecDeque::new(),
            reported_ms: now_ms,
        });
        entry.reported_ms = now_ms;
        if entry.newest() != Some(&row) {
            entry.pending.push_back((now_ms, row));
        }
    }

    /// Removes rows whose last report is older than the expiry time.
    pub fn expire(&mut self, now_ms: u64) {
        if let Some(expiry_ms) = self.expiry_ms {
            self.rows
                .retain(|_, row| now_ms < row.reported_ms + expiry_ms);
        }
    }

    /// The rows as of `lag_ms` ago, ordered by name.
    pub fn visible(&mut self, now_ms: u64) -> Vec<R> {
        let visible_ms = now_ms.saturating_sub(self.lag_ms);
        self.rows
            .values_mut()
            .for_each(|row| row.apply_pending(visible_ms));
        let shown = self.rows.values().filter_map(|row| row.shown.clone());
        shown.collect()
    }
}
