//! Loads that the desk answers, in virtual time: what callers get when many instances place at
//! the same upstreams, against instances that place by themselves.

use std::collections::HashMap;

use amaranth_kernel::place_desk::{DeskUpstream, PlaceDesk};
use amaranth_kernel::placement::{LoadTrack, PlacementCandidate, PlacementStep, place};
use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::{
    InFlightCount, InFlightCounts, PlacementDemand, PlacementReply, PlacementRequest,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 8;
const UPSTREAMS: usize = 9;
const MEMBERS: usize = 12;
const OBJECTIVE_MS: u64 = 300;
const ONLINE: PlacementDemand = PlacementDemand::Online {
    objective_ms: OBJECTIVE_MS,
};

fn id(index: usize) -> UpstreamId {
    format!("u{index}").parse().unwrap()
}

fn rows(count: usize) -> Vec<DeskUpstream> {
    let row = |index| DeskUpstream {
        upstream: id(index),
        slots: SLOTS,
        near: index == 0,
    };
    (0..count).map(row).collect()
}

fn count(index: usize, online: u32, batch: u32) -> InFlightCount {
    InFlightCount {
        upstream: id(index),
        online,
        batch,
        service_ms: 500,
    }
}

fn counts(rows: Vec<InFlightCount>) -> InFlightCounts {
    InFlightCounts {
        rows,
        ..InFlightCounts::default()
    }
}

fn question(member: usize, number: u64, demand: PlacementDemand) -> PlacementRequest {
    PlacementRequest {
        member: member.to_string(),
        number,
        demand,
    }
}

fn online() -> PlacementRequest {
    question(99, 0, ONLINE)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(5)
}

#[test]
fn an_online_request_goes_where_room_is() {
    let mut desk = PlaceDesk::new();
    desk.note_counts(
        "m".to_owned(),
        1,
        counts(vec![count(0, 8, 0), count(1, 2, 0)]),
        0,
    );
    let (reply, order) = desk.ask(&rows(2), &online(), 0, &mut rng());
    assert!(matches!(reply, PlacementReply::Granted { upstream, .. } if upstream == id(1)));
    assert_eq!(order, None);
}

#[test]
fn batch_gives_way_once_for_each_online_request() {
    let mut desk = PlaceDesk::new();
    desk.note_counts("m".to_owned(), 1, counts(vec![count(0, 6, 2)]), 0);
    let mut orders = 0;
    for _ in 0..2 {
        let (reply, order) = desk.ask(&rows(1), &online(), 0, &mut rng());
        assert!(matches!(reply, PlacementReply::Granted { .. }));
        orders +=
            usize::from(order.is_some_and(|order| order.member == "m" && order.upstream == id(0)));
    }
    assert_eq!(orders, 2);
    let (_, order) = desk.ask(&rows(1), &online(), 0, &mut rng());
    assert_eq!(order, None, "no batch item is left");
}

#[test]
fn batch_leaves_room_for_the_next_online_requests() {
    let mut desk = PlaceDesk::new();
    let granted = (0..100).filter(|_| {
        let (reply, _) = desk.ask(
            &rows(UPSTREAMS),
            &question(99, 0, PlacementDemand::Batch),
            0,
            &mut rng(),
        );
        matches!(reply, PlacementReply::Granted { .. })
    });
    let granted = granted.count();
    let places = UPSTREAMS * SLOTS as usize;
    assert!(
        granted < places && granted > places * 8 / 10,
        "{granted} of {places}"
    );
}

#[test]
fn what_would_wait_past_its_objective_is_refused_with_a_pause() {
    let mut desk = PlaceDesk::new();
    desk.note_counts("m".to_owned(), 1, counts(vec![count(0, 40, 0)]), 0);
    let (reply, _) = desk.ask(&rows(1), &online(), 0, &mut rng());
    let PlacementReply::Refused { retry_after_ms } = reply else {
        panic!("{reply:?}");
    };
    // 33 requests wait for 8 places of 500 ms each: about 2 s until one more is served.
    assert!(
        (1_000..=4_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
}

#[test]
fn silent_instances_and_old_messages_do_not_count() {
    let mut desk = PlaceDesk::new();
    desk.note_counts("m".to_owned(), 5, counts(vec![count(0, 40, 0)]), 0);
    desk.note_counts("m".to_owned(), 4, counts(Vec::new()), 10);
    let refused = |reply| matches!(reply, PlacementReply::Refused { .. });
    assert!(
        refused(desk.ask(&rows(1), &online(), 20, &mut rng()).0),
        "an older message changes nothing"
    );
    assert!(
        !refused(desk.ask(&rows(1), &online(), 2_000, &mut rng()).0),
        "a silent instance is forgotten"
    );
}

#[test]
fn without_upstreams_there_is_no_place() {
    let (reply, _) = PlaceDesk::new().ask(&[], &online(), 0, &mut rng());
    assert_eq!(reply, PlacementReply::NoUpstream);
    let (reply, _) =
        PlaceDesk::new().ask(&[], &question(99, 0, PlacementDemand::Batch), 0, &mut rng());
    assert_eq!(reply, PlacementReply::NoUpstream);
}

/// A run of the load: requests of 830 ms arrive in steps of 0.4 and 1.5 times 45 a second at 72
/// places. Returns the share that found a place free when it was sent.
fn share_at_once(mut choose: impl FnMut(&Run, usize, u64) -> Option<usize>) -> f64 {
    let mut run = Run::default();
    let mut rng = SmallRng::seed_from_u64(9);
    let (mut asked, mut at_once) = (0, 0);
    for now_ms in 0..40_000_u64 {
        run.end(now_ms);
        let factor = if (now_ms / 2_500) % 2 == 0 { 0.4 } else { 1.5 };
        if rng.random::<f64>() < 45.0 * factor / 1_000.0 {
            let member = rng.random_range(0..MEMBERS);
            asked += 1;
            if let Some(upstream) = choose(&run, member, now_ms) {
                at_once += usize::from(run.load(upstream) < SLOTS as usize);
                run.running.push((member, upstream, now_ms + 830));
            }
        }
    }
    at_once as f64 / asked as f64
}

/// Requests that run: member, upstream and end.
#[derive(Default)]
struct Run {
    running: Vec<(usize, usize, u64)>,
}

impl Run {
    fn end(&mut self, now_ms: u64) {
        self.running.retain(|(_, _, end)| *end > now_ms);
    }

    fn load(&self, upstream: usize) -> usize {
        self.running
            .iter()
            .filter(|(_, at, _)| *at == upstream)
            .count()
    }

    fn counts(&self, member: usize) -> Vec<InFlightCount> {
        let mut counts: HashMap<usize, u32> = HashMap::new();
        let own = self.running.iter().filter(|(of, _, _)| *of == member);
        for (_, upstream, _) in own {
            *counts.entry(*upstream).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|(upstream, online)| count(upstream, online, 0))
            .collect()
    }
}

#[test]
fn a_desk_finds_room_that_instances_by_themselves_miss() {
    let mut desk = PlaceDesk::new();
    let mut sequence = 0;
    let mut desk_rng = rng();
    let (mut number, mut told_ms) = (0, 0);
    let with_desk = share_at_once(|run, member, now_ms| {
        // Counts reach the desk 8 ms after a change at the soonest.
        if now_ms >= told_ms + 8 {
            told_ms = now_ms;
            sequence += 1;
            for member in 0..MEMBERS {
                let counts = InFlightCounts {
                    rows: run.counts(member),
                    next_question: number,
                    open_questions: Vec::new(),
                };
                desk.note_counts(member.to_string(), sequence, counts, now_ms);
            }
        }
        let question = question(member, number, ONLINE);
        number += 1;
        match desk
            .ask(&rows(UPSTREAMS), &question, now_ms, &mut desk_rng)
            .0
        {
            PlacementReply::Granted { upstream, .. } => {
                (0..UPSTREAMS).find(|index| id(*index) == upstream)
            }
            _ => None,
        }
    });
    let mut tracks = vec![vec![LoadTrack::default(); UPSTREAMS]; MEMBERS];
    let mut own_rng = rng();
    let alone = share_at_once(|run, member, now_ms| {
        for (upstream, track) in tracks[member].iter_mut().enumerate() {
            let own = run
                .running
                .iter()
                .filter(|(of, at, _)| *of == member && *at == upstream);
            track.own = own.count() as u32;
        }
        let candidates = tracks[member].iter().map(|track| PlacementCandidate {
            slots: SLOTS,
            near: false,
            track,
        });
        let candidates: Vec<_> = candidates.collect();
        let PlacementStep::Send { index, .. } = place(&candidates, ONLINE, now_ms, &mut own_rng)
        else {
            return None;
        };
        // An upstream reports its load with the answer.
        tracks[member][index].note_report(run.load(index) as u32 + 1, now_ms);
        Some(index)
    });
    let ideal =
        share_at_once(|run, _, _| (0..UPSTREAMS).min_by_key(|upstream| run.load(*upstream)));
    println!(
        "share that finds a free place: ideal {ideal:.3}, desk {with_desk:.3}, alone {alone:.3}"
    );
    assert!(
        with_desk > ideal * 0.98,
        "with a desk {with_desk}, ideal {ideal}"
    );
    assert!(alone < with_desk, "alone {alone}, with a desk {with_desk}");
}
