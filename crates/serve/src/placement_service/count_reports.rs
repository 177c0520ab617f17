//! Reports what is in flight here, and which upstreams leave, to the instances that allocate.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranth_net::clock::steady_ms;
use amaranth_wire::placement_message::{InFlightCounts, PlacementMessage};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{COUNTS_DELAY, PlacementService};
use crate::member_name::MemberName;

/// Longest time between two messages with counts while requests are in flight.
const COUNTS_INTERVAL: Duration = Duration::from_millis(300);

impl PlacementService {
    /// Reports what is in flight here to the allocators, until the token is cancelled.
    pub async fn report_counts(self: Arc<Self>, stop: CancellationToken) {
        let report_counts = async {
            let mut any_in_flight = false;
            loop {
                match any_in_flight {
                    // With nothing in flight there is nothing to repeat.
                    false => self.pool.wait_change().await,
                    true => {
                        let _ = timeout(COUNTS_INTERVAL, self.pool.wait_change()).await;
                    }
                }
                sleep(COUNTS_DELAY).await;
                self.send_leaving().await;
                any_in_flight = self.send_counts().await;
            }
        };
        stop.run_until_cancelled(report_counts).await;
    }

    fn counts(&self) -> InFlightCounts {
        let pending = self.pending.lock();
        InFlightCounts {
            next_request: self.number.load(Ordering::Relaxed),
            open_requests: pending.keys().copied().collect(),
            ..self.pool.counts()
        }
    }

    /// Tells the allocators which upstreams said here that they leave.
    async fn send_leaving(&self) {
        for (group, leaving) in self.pool.recently_left() {
            let message = PlacementMessage::Leaving(vec![leaving]);
            for allocator in self.preferred_members(group.as_str()) {
                if allocator != self.member {
                    self.send(&message, allocator.address).await;
                }
            }
        }
    }

    /// Sends the counts to the allocators of all groups. Returns whether anything is in flight.
    async fn send_counts(&self) -> bool {
        let mut allocators: Vec<MemberName> = Vec::new();
        for group in self.pool.groups() {
            allocators.extend(self.preferred_members(group.as_str()));
        }
        allocators.sort();
        allocators.dedup();
        let counts = self.counts();
        let any_in_flight = !counts.rows.is_empty();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let message = PlacementMessage::Counts {
            member: self.member.to_string(),
            sequence,
            counts: counts.clone(),
        };
        for allocator in allocators {
            match allocator == self.member {
                true => {
                    let mut own = self.allocator.lock();
                    own.record_counts(
                        self.member.to_string(),
                        sequence,
                        counts.clone(),
                        steady_ms(),
                    );
                }
                false => self.send(&message, allocator.address).await,
            }
        }
        any_in_flight
    }
}
