//! A counting member of a team's requests that no longer hears from the other one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use amaranth_kernel::request_quota::QuotaBounds;
use amaranth_kernel::route_table::{CallerLimits, RouteTable};
use amaranth_kernel::team_table::{RequestQuota, TeamRule, TeamTable};
use amaranth_serve::member_name::MemberName;
use amaranth_serve::placement_service::{MessageInboxes, PlacementService};
use amaranth_serve::quota_service::QuotaService;
use amaranth_serve::route_state::{RouteSource, RouteState};
use amaranth_serve::upstream_pool::UpstreamPool;
use amaranth_wire::id::{ConfigRevision, TeamId};
use amaranth_wire::placement_message::PlacementMessage;
use amaranth_wire::quota_message::{QuotaMessage, QuotaReply};
use futures_util::future::join_all;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

const RATE: f64 = 200.0;
/// Instances beside the two counting members.
const INSTANCES: usize = 8;
/// Time in which usage is counted while there is contact.
const CONTACT_TIME: Duration = Duration::from_secs(2);
/// Time in which lost contact is noticed, and what was granted meanwhile made up for.
const NOTICE_TIME: Duration = Duration::from_secs(2);
const MEASURED_TIME: Duration = Duration::from_secs(3);
const REQUEST_PERIOD: Duration = Duration::from_millis(1);

fn member(name: &str, address: SocketAddr) -> MemberName {
    MemberName {
        instance: name.parse().unwrap(),
        run: 1,
        address,
        weight: 100,
        data_centre: "dc".parse().unwrap(),
    }
}

/// Answers pings until it is cut off; returns its address.
async fn start_instance(is_cut: Arc<AtomicBool>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            let message = PlacementMessage::decode(&buffer[..length]).unwrap();
            let is_ping = message == PlacementMessage::Quota(QuotaMessage::Ping);
            if is_ping && !is_cut.load(Ordering::Relaxed) {
                let pong = PlacementMessage::Quota(QuotaMessage::Pong).encode();
                socket.send_to(&pong, from).await.unwrap();
            }
        }
    });
    address
}

/// Plays a cut with some of the instances on the other side, and with the other counting member there or with the
/// store, which lists both no more. Returns the part of the rate that is granted to the rest.
async fn granted_part((cut_instances, with_partner): (usize, bool)) -> f64 {
    let routes = Arc::new(RouteState::new());
    let inboxes = MessageInboxes {
        quarantine: mpsc::channel(1).0,
        peers: mpsc::channel(1).0,
    };
    let quota = Arc::new(QuotaService::new(routes.clone(), QuotaBounds::default()));
    let own = member("own", "127.0.0.1:0".parse().unwrap());
    let pool = Arc::new(UpstreamPool::new("dc".parse().unwrap()));
    let placement = PlacementService::open(pool, own, inboxes).await.unwrap();
    let placement = Arc::new(placement.with_quota(quota.clone()));
    let is_cut = Arc::new(AtomicBool::new(false));
    let mut instances = Vec::new();
    for index in 0..INSTANCES {
        let cut = match index < cut_instances {
            true => is_cut.clone(),
            false => Arc::default(),
        };
        instances.push(start_instance(cut).await);
    }
    let partner = match with_partner {
        true => start_instance(is_cut.clone()).await,
        false => start_instance(Arc::default()).await,
    };
    let mut members = vec![placement.member().clone(), member("partner", partner)];
    let others = instances.iter().enumerate();
    members.extend(others.map(|(index, address)| member(&format!("i{index}"), *address)));
    placement.set_members(members);
    let is_counted_by_both = |team: &TeamId| {
        let counting = placement.preferred_members(&format!("team/{team}"));
        let names = counting.iter().map(|member| member.instance.as_str());
        names
            .filter(|name| ["own", "partner"].contains(name))
            .count()
            == 2
    };
    let teams = (0..10_000).map(|index| format!("t{index}").parse().unwrap());
    let team = teams.into_iter().find(is_counted_by_both).unwrap();
    let rule = TeamRule {
        id: team.clone(),
        priority: None,
        quota: Some(RequestQuota {
            rate_per_s: RATE,
            burst: 20.0,
        }),
    };
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_ms: 1,
        idle_ms: 1,
    };
    let table = RouteTable::new(ConfigRevision(1), limits, Vec::new());
    let table = table.with_teams(TeamTable::new(vec![(rule, Vec::new())]));
    routes.apply_if_newer(table, RouteSource::Log);
    let stop = CancellationToken::new();
    tokio::spawn(placement.clone().receive(stop.clone()));
    let cut = is_cut.clone();
    let may_be_replaced = move || !with_partner && cut.load(Ordering::Relaxed);
    let contact = quota
        .clone()
        .keep_contact(placement.clone(), may_be_replaced, stop.clone());
    tokio::spawn(contact);
    // Each instance sends the same part of the requests, until it is cut off.
    let send = async |time: Duration, senders: &[SocketAddr]| {
        let end = Instant::now() + time;
        let mut granted = 0;
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let take = QuotaMessage::Take {
                number,
                team: team.clone(),
            };
            let from = senders[number as usize % senders.len()];
            let reply = quota.handle(take, from);
            let Some(QuotaMessage::Reply { reply, .. }) = reply else {
                panic!("{reply:?}");
            };
            granted += usize::from(reply == QuotaReply::Granted);
            sleep(REQUEST_PERIOD).await;
        }
        granted as f64 / time.as_secs_f64()
    };
    send(CONTACT_TIME, &instances).await;
    is_cut.store(true, Ordering::Relaxed);
    let reached = &instances[cut_instances..];
    send(NOTICE_TIME, reached).await;
    let granted = send(MEASURED_TIME, reached).await;
    is_cut.store(false, Ordering::Relaxed);
    sleep(NOTICE_TIME).await;
    let again = send(MEASURED_TIME, &instances).await;
    assert!(again >= 0.9 * RATE, "{again} a second after the cut");
    stop.cancel();
    granted / RATE
}

/// Guards against two halves of a fleet that each use the whole limit of a team (review/15), and against a member
/// that grants less because the other one is gone.
#[tokio::test]
async fn the_other_side_of_a_cut_keeps_the_part_of_the_instances_there() {
    let cuts = [(0, true), (2, true), (6, true), (0, false), (6, false)];
    let parts = join_all(cuts.map(granted_part)).await;
    for ((cut_instances, _), part) in cuts.into_iter().zip(parts) {
        let expected = 1.0 - cut_instances as f64 / INSTANCES as f64;
        assert!(
            (part - expected).abs() <= 0.1,
            "{part} of the rate with {cut_instances} of {INSTANCES} instances cut off"
        );
    }
}
