//! Property tests of the admission queue, concurrency limit and outlier ejection over random
//! arrivals and clock steps.

use std::collections::HashMap;

use amaranth_kernel::admission_queue::{
    AdmissionQueue, DequeueOutcome, EnqueueOutcome, QueueTicket,
};
use amaranth_kernel::concurrency_limit::ConcurrencyLimit;
use amaranth_kernel::ejection::{UpstreamHealth, available};
use amaranth_kernel::upstream_load::LoadTracker;
use amaranth_wire::engine::EngineLoad;
use amaranth_wire::id::TeamId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn team(index: usize) -> TeamId {
    format!("team-{index}").parse().expect("a valid name")
}

#[derive(Debug, Clone)]
enum QueueEvent {
    Arrive { team: usize, deadline_in_ms: u64 },
    Room,
    Leave(usize),
    Served(u64),
    Clock(u64),
}

fn queue_event() -> impl Strategy<Value = QueueEvent> {
    prop_oneof![
        4 => (0..4usize, 1..2_000u64).prop_map(|(team, deadline_in_ms)| QueueEvent::Arrive {
            team,
            deadline_in_ms
        }),
        2 => Just(QueueEvent::Room),
        1 => (0..64usize).prop_map(QueueEvent::Leave),
        1 => (0..500u64).prop_map(QueueEvent::Served),
        2 => (0..300u64).prop_map(QueueEvent::Clock),
    ]
}

fn load(time_ms: u64, total: u32) -> EngineLoad {
    EngineLoad {
        time_ms,
        active: total,
        waiting: 0,
        slots: 16,
        step_us: 10_000,
        leaving: false,
    }
}

proptest! {
    #![proptest_config(config())]

    /// Every request that waits is sent or refused exactly once, none is sent after its deadline,
    /// and no more wait than the limit allows.
    #[test]
    fn every_queued_request_ends_once_and_none_is_sent_late(
        limit in 1..12usize,
        events in prop::collection::vec(queue_event(), 1..200),
    ) {
        let mut queue = AdmissionQueue::new(limit);
        let mut waiting: HashMap<QueueTicket, u64> = HashMap::new();
        let mut now = 0;
        for event in events {
            match event {
                QueueEvent::Clock(step) => now += step,
                QueueEvent::Served(took) => queue.record_service_time(took),
                QueueEvent::Arrive { team: index, deadline_in_ms } => {
                    let deadline = now + deadline_in_ms;
                    match queue.enqueue(&team(index), deadline, now) {
                        EnqueueOutcome::Wait(ticket) => {
                            prop_assert!(waiting.insert(ticket, deadline).is_none());
                        }
                        EnqueueOutcome::Displace { waiting: ticket, displaced } => {
                            prop_assert!(waiting.remove(&displaced).is_some());
                            prop_assert!(waiting.insert(ticket, deadline).is_none());
                        }
                        EnqueueOutcome::Refuse(refusal) => prop_assert!(refusal.retry_after_ms > 0),
                    }
                }
                QueueEvent::Room => match queue.dequeue(now) {
                    None => prop_assert!(waiting.is_empty()),
                    Some(DequeueOutcome::Send(ticket)) => {
                        let deadline = waiting.remove(&ticket);
                        prop_assert!(deadline.is_some_and(|deadline| now < deadline));
                    }
                    Some(DequeueOutcome::Refuse(ticket, _)) => {
                        prop_assert!(waiting.remove(&ticket).is_some());
                    }
                },
                QueueEvent::Leave(index) => {
                    let left = waiting.keys().min().map(|t| QueueTicket(t.0 + index as u64));
                    if let Some(ticket) = left.filter(|t| waiting.remove(t).is_some()) {
                        queue.remove(ticket);
                    }
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(queue.len() <= limit);
        }
    }

    /// Teams with equal shares alternate, whatever the number of their waiting requests.
    #[test]
    fn teams_with_equal_shares_alternate(first in 1..40usize, second in 1..10usize) {
        let mut queue = AdmissionQueue::new(1_000);
        let mut tickets = HashMap::new();
        for (index, count) in [(0, first), (1, second)] {
            for _ in 0..count {
                let EnqueueOutcome::Wait(ticket) = queue.enqueue(&team(index), 1_000_000, 0) else {
                    return Err(TestCaseError::fail("refused"));
                };
                tickets.insert(ticket, index);
            }
        }
        let both = first.min(second);
        let mut sent = [0usize; 2];
        for _ in 0..2 * both {
            let Some(DequeueOutcome::Send(ticket)) = queue.dequeue(1) else {
                return Err(TestCaseError::fail("nothing to send"));
            };
            sent[tickets[&ticket]] += 1;
        }
        prop_assert_eq!(sent, [both, both]);
    }

    /// Instances that learn of each other's load only from delayed reports stay within the shared
    /// limit together, and use it up.
    #[test]
    fn instances_share_a_concurrency_limit(
        instances in 1..13usize,
        start in prop::collection::vec(0..60u32, 12),
    ) {
        let limit = ConcurrencyLimit::new(16);
        let mut rng = StdRng::seed_from_u64(u64::from(start[0]));
        let mut trackers = vec![LoadTracker::new(16); instances];
        for (tracker, &own) in trackers.iter_mut().zip(&start) {
            (0..own).for_each(|_| tracker.record_start(0));
        }
        // Every instance always has requests to send; requests above the allowance end.
        for round in 1..200u64 {
            let now = round * 100;
            let total = trackers.iter().map(LoadTracker::own).sum();
            for tracker in &mut trackers {
                tracker.apply_report(&load(now - 50, total), now);
                let view = tracker.view(now, instances as u32);
 let allowed = limit.allowance(&view, instances as u32, rng.random());
                while tracker.own() < allowed {
                    tracker.record_start(now);
                }
                while tracker.own() > allowed {
                    tracker.record_end(now);
                }
            }
        }
        let total: u32 = trackers.iter().map(LoadTracker::own).sum();
        let instances = instances as u32;
        prop_assert!(total <= limit.value() + instances, "{total} at once");
        prop_assert!(total >= 16.min(limit.value()) - instances.min(6), "only {total} at once");
    }

    /// A report older than the last is ignored, and requests sent since a report are added to it.
    #[test]
    fn requests_sent_since_a_report_are_added_to_it(
        before in 0..20u32, others in 0..20u32, after in 0..20u32, lag in 10..500u64,
    ) {
        let mut tracker = LoadTracker::new(16);
        (0..before).for_each(|_| tracker.record_start(1_000));
        (0..after).for_each(|_| tracker.record_start(2_000 + 20));
        prop_assert!(tracker.apply_report(&load(2_000, before + others), 2_000 + 20 + lag));
        prop_assert!(!tracker.apply_report(&load(1_990, 99), 2_000 + 30 + lag));
        let view = tracker.view(2_000 + 30 + lag, 12);
        prop_assert_eq!(view.total, before + others + after);
        let late = tracker.view(2_000 + 3_000, 12);
        prop_assert_eq!(late.reported, None);
        prop_assert_eq!(late.total, (before + after) * 12);
    }

    /// At least half of the upstreams stay available, and an ejected one is probed later.
    #[test]
    fn at_most_half_of_the_upstreams_are_ejected(
        count in 1..8usize,
        ends in prop::collection::vec((0..8usize, any::<bool>(), 0..2_000u64), 1..200),
    ) {
        let mut healths = vec![UpstreamHealth::new(); count];
        let mut now = 0;
        for (index, success, step) in ends {
            now += step;
            let health = &mut healths[index % count];
            health.record_attempt(now);
            match success {
                true => health.record_success(),
                false => health.record_failure(now),
            }
            let open = available(&healths, now);
            prop_assert!(open.iter().filter(|&&open| open).count() * 2 >= count);
            let later = now + 30_000;
            prop_assert!(healths.iter().all(|health| health.is_available(later)));
        }
    }
}

#[test]
fn consecutive_failures_eject_an_upstream_until_a_probe_succeeds() {
    let mut health = UpstreamHealth::new();
    (0..3).for_each(|_| health.record_failure(0));
    assert!(!health.is_available(999));
    assert!(health.is_available(1_000));
    health.record_attempt(1_000);
    assert!(!health.is_available(1_001), "one probe at a time");
    health.record_failure(1_100);
    assert!(
        !health.is_available(3_000),
        "twice as long after a failed probe"
    );
    health.record_attempt(3_100);
    health.record_success();
    assert!(health.is_available(3_101));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let mut queue = AdmissionQueue::new(10);
    queue.record_service_time(500);
    let refused = queue.enqueue(&team(0), 400, 0);
    assert!(matches!(refused, EnqueueOutcome::Refuse(_)), "{refused:?}");
}

#[test]
fn a_team_with_a_larger_share_sends_more_per_turn() {
    let team = |name: &str| -> TeamId { name.parse().expect("a valid name") };
    let mut queue = AdmissionQueue::new(100);
    let mut owners = HashMap::new();
    for name in ["a", "b"].repeat(4) {
        let EnqueueOutcome::Wait(ticket) = queue.enqueue(&team(name), u64::MAX, 0) else {
            panic!("there is room");
        };
        owners.insert(ticket, name);
    }
    queue.set_share(&team("a"), 3);
    let sent = std::iter::from_fn(|| match queue.dequeue(0)? {
        DequeueOutcome::Send(ticket) => Some(owners[&ticket]),
        DequeueOutcome::Refuse(..) => None,
    });
    assert_eq!(sent.collect::<String>(), "aaababbb");
}
