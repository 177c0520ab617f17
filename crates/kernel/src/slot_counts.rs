//! Requests in flight at each upstream, from the counts of all instances and the unconfirmed grants.
//! Totals are kept as counts change, so that a decision doesn't add all rows of all instances anew.

use std::collections::HashMap;
use std::iter;

use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::{InFlightCount, InFlightCounts};

use crate::slot_allocator::PreemptionOrder;

/// Lifetime of an instance's counts, in milliseconds: several times the interval between them.
const COUNTS_EXPIRY_MS: u64 = 1_500;
/// Most tokens that one row or grant counts for, so that no sum overflows: more than any engine holds.
const MAX_ROW_TOKENS: u64 = 1 << 32;

/// Requests in flight at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SlotTotal {
    pub(crate) online: u64,
    pub(crate) batch: u64,
    /// Tokens that they are expected to take, as far as their sizes are stated.
    pub(crate) tokens: u64,
}

impl SlotTotal {
    fn from_row(row: &InFlightCount, tokens: u64) -> Self {
        Self {
            online: row.online.into(),
            batch: row.batch.into(),
            tokens: tokens.min(MAX_ROW_TOKENS),
        }
    }

    fn from_grant(grant: &PendingGrant) -> Self {
        Self {
            online: u64::from(!grant.batch),
            batch: u64::from(grant.batch),
            tokens: grant.tokens.min(MAX_ROW_TOKENS),
        }
    }

    fn add(&mut self, other: Self) {
        self.online += other.online;
        self.batch += other.batch;
        self.tokens += other.tokens;
    }

    fn subtract(&mut self, other: Self) {
        self.online -= other.online;
        self.batch -= other.batch;
        self.tokens -= other.tokens;
    }
}

#[derive(Debug)]
struct MemberCounts {
    sequence: u64,
    received_ms: u64,
    counts: InFlightCounts,
}

impl MemberCounts {
    /// Rows with what they add to the totals.
    fn totals(&self) -> impl Iterator<Item = (&UpstreamId, SlotTotal)> {
        let prompts = self.counts.prompts.as_ref();
        let tokens = prompts.map_or(&[][..], |prompts| &prompts.tokens);
        let tokens = tokens.iter().copied().chain(iter::repeat(0));
        let rows = self.counts.rows.iter().zip(tokens);
        rows.map(|(row, tokens)| (&row.upstream, SlotTotal::from_row(row, tokens)))
    }
}

/// A granted slot that no counts confirm yet.
#[derive(Debug)]
pub(crate) struct PendingGrant {
    pub(crate) member: String,
    pub(crate) request_number: u64,
    pub(crate) upstream: UpstreamId,
    pub(crate) batch: bool,
    /// Tokens that it is expected to take, as far as its size is stated.
    pub(crate) tokens: u64,
    pub(crate) until_ms: u64,
}

/// Counts of all instances and unconfirmed grants, with their totals.
#[derive(Debug, Default)]
pub(crate) struct SlotCounts {
    members: HashMap<String, MemberCounts>,
    grants: Vec<PendingGrant>,
    totals: HashMap<UpstreamId, SlotTotal>,
}

impl SlotCounts {
    /// Requests in flight at an upstream.
    pub(crate) fn total(&self, upstream: &UpstreamId) -> SlotTotal {
        self.totals.get(upstream).copied().unwrap_or_default()
    }

    /// Whether an instance has sent newer counts.
    pub(crate) fn has_newer(&self, member: &str, sequence: u64) -> bool {
        let known = self.members.get(member);
        known.is_some_and(|known| known.sequence > sequence)
    }

    /// Replaces an instance's counts and drops the grants that they cover.
    pub(crate) fn replace(
        &mut self,
        member: String,
        sequence: u64,
        counts: InFlightCounts,
        now_ms: u64,
    ) {
        self.drop_grants(|grant| grant.member == member && counts.covers(grant.request_number));
        let counts = MemberCounts {
            sequence,
            received_ms: now_ms,
            counts,
        };
        for (upstream, total) in counts.totals() {
            self.totals.entry(upstream.clone()).or_default().add(total);
        }
        if let Some(before) = self.members.insert(member, counts) {
            subtract_counts(&mut self.totals, &before);
        }
    }

    /// Counts a grant until counts cover it or it expires.
    pub(crate) fn add_grant(&mut self, grant: PendingGrant) {
        let total = self.totals.entry(grant.upstream.clone()).or_default();
        total.add(SlotTotal::from_grant(&grant));
        self.grants.push(grant);
    }

    /// Drops counts and grants that nothing renewed.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.drop_grants(|grant| grant.until_ms <= now_ms);
        let totals = &mut self.totals;
        self.members.retain(|_, member| {
            let is_fresh = member.received_ms + COUNTS_EXPIRY_MS > now_ms;
            if !is_fresh {
                subtract_counts(totals, member);
            }
            is_fresh
        });
    }

    /// Picks the instance with the most batch items on an upstream. One item is subtracted from its
    /// count at once, so that the next request preempts another.
    pub(crate) fn preempt_batch_item(&mut self, upstream: &UpstreamId) -> Option<PreemptionOrder> {
        let candidates = self.members.iter_mut().filter_map(|(member, counts)| {
            let mut counts = counts.counts.rows.iter_mut();
            let count = counts.find(|count| count.upstream == *upstream && count.batch > 0)?;
            Some((member, count))
        });
        let (member, count) = candidates.max_by_key(|(_, count)| count.batch)?;
        count.batch -= 1;
        if let Some(total) = self.totals.get_mut(upstream) {
            total.batch -= 1;
        }
        Some(PreemptionOrder {
            member: member.clone(),
            upstream: upstream.clone(),
        })
    }

    fn drop_grants(&mut self, is_over: impl Fn(&PendingGrant) -> bool) {
        let totals = &mut self.totals;
        self.grants.retain(|grant| {
            let is_over = is_over(grant);
            if is_over {
                subtract(totals, &grant.upstream, SlotTotal::from_grant(grant));
            }
            !is_over
        });
    }
}

fn subtract_counts(totals: &mut HashMap<UpstreamId, SlotTotal>, counts: &MemberCounts) {
    for (upstream, total) in counts.totals() {
        subtract(totals, upstream, total);
    }
}

/// Subtracts what was added before; an upstream with nothing in flight is dropped.
fn subtract(totals: &mut HashMap<UpstreamId, SlotTotal>, upstream: &UpstreamId, by: SlotTotal) {
    if let Some(total) = totals.get_mut(upstream) {
        total.subtract(by);
        if *total == SlotTotal::default() {
            totals.remove(upstream);
        }
    }
}
