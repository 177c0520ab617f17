//! Processes that are killed and started again at the same address, while another one still answers the last
//! run or lists it.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_serve::member_name::MemberName;
use amaranth_serve::placement_service::{MessageInboxes, PlacementService};
use amaranth_serve::upstream_pool::{PoolStep, UpstreamPool};
use amaranth_wire::id::UpstreamId;
use amaranth_wire::placement_message::{
    PlacementDemand, PlacementMessage, PlacementReply, PlacementRequest,
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const ANY_PORT: &str = "127.0.0.1:0";
const UPSTREAMS: [(&str, &str); 4] = [
    ("store-3", "store"),
    ("llm-1", "llm"),
    ("store-1", "store"),
    ("store-2", "store"),
];
const DEMAND: PlacementDemand = PlacementDemand::Online { objective_ms: 300 };

fn member(instance: &str, run: u32, address: SocketAddr) -> MemberName {
    MemberName {
        instance: instance.parse().unwrap(),
        run,
        address,
        // Only the largest members allocate.
        weight: if instance == "allocator" { 200 } else { 100 },
        data_centre: "dc".parse().unwrap(),
    }
}

fn pool() -> Arc<UpstreamPool> {
    let pool = UpstreamPool::new("dc".parse().unwrap());
    for (upstream, group) in UPSTREAMS {
        let notice = UpstreamNotice {
            group: group.parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "dc".parse().unwrap(),
            slots: 8,
            leaving: false,
            started_ms: 1,
            sequence: 1,
        };
        pool.announce(upstream.parse().unwrap(), notice);
    }
    Arc::new(pool)
}

/// A run of a process that asks an allocator.
struct AskingRun {
    placement: Arc<PlacementService>,
    stop: CancellationToken,
    receiver: JoinHandle<()>,
}

impl AskingRun {
    async fn start(run: u32, address: SocketAddr, allocator: SocketAddr) -> Self {
        let inboxes = MessageInboxes {
            quarantine: mpsc::channel(1).0,
            peers: mpsc::channel(1).0,
        };
        let own = member("asking", run, address);
        let placement = PlacementService::open(pool(), own, inboxes).await.unwrap();
        let placement = Arc::new(placement);
        placement.set_members(vec![
            placement.member().clone(),
            member("allocator", 1, allocator),
        ]);
        let stop = CancellationToken::new();
        let receiver = tokio::spawn(placement.clone().receive(stop.clone()));
        Self {
            placement,
            stop,
            receiver,
        }
    }

    /// Ends the run, so that its address is free.
    async fn end(self) {
        self.stop.cancel();
        self.receiver.await.unwrap();
    }

    /// Places a request of the store group that excludes all but one of its upstreams, while the allocator gets the
    /// question and replies. Returns where it goes and the number of the question; the place is `None` if it
    /// is refused.
    async fn place(
        &self,
        allocator: &UdpSocket,
        reply: impl AsyncFnOnce(u64, SocketAddr),
    ) -> (Option<UpstreamId>, u64) {
        let group = "store".parse().unwrap();
        let excluded = ["store-2", "store-3"].map(|id| id.parse().unwrap());
        let answer = async {
            let mut buffer = [0; 2_048];
            let (length, from) = allocator.recv_from(&mut buffer).await.unwrap();
            match PlacementMessage::decode(&buffer[..length]).unwrap() {
                PlacementMessage::Request { request, .. } => {
                    reply(request.number, from).await;
                    request.number
                }
                other => panic!("{other:?}"),
            }
        };
        let placed = self.placement.acquire(&group, DEMAND, None, &excluded);
        let (step, number) = tokio::join!(placed, answer);
        let counts = self.placement.pool.counts();
        let upstream = match step {
            PoolStep::Send(_permit) => counts.rows.first().map(|row| row.upstream.clone()),
            PoolStep::Refuse { .. } | PoolStep::NoUpstream => None,
        };
        (upstream, number)
    }
}

const REFUSED: PlacementReply = PlacementReply::Refused {
    retry_after_ms: 400,
};

fn granted(upstream: &str) -> PlacementReply {
    PlacementReply::Granted {
        upstream: upstream.parse().unwrap(),
        load: 0.0,
        expected: None,
    }
}

async fn send(socket: &UdpSocket, to: SocketAddr, number: u64, reply: PlacementReply) {
    let message = PlacementMessage::Reply { number, reply };
    socket.send_to(&message.encode(), to).await.unwrap();
}

/// Guards against a reply to a killed process that decides about a request of the one started in its place
/// (review/14).
#[tokio::test]
async fn replies_to_a_former_run_decide_nothing() {
    let allocator = UdpSocket::bind(ANY_PORT).await.unwrap();
    let allocates = allocator.local_addr().unwrap();
    let killed = AskingRun::start(7, ANY_PORT.parse().unwrap(), allocates).await;
    let address = killed.placement.member().address;
    let (_, former) = killed.place(&allocator, async |_, _| {}).await;
    killed.end().await;
    let next = AskingRun::start(8, address, allocates).await;
    let late = async |_, from| send(&allocator, from, former, REFUSED).await;
    let (placed, number) = next.place(&allocator, late).await;
    assert_ne!(number, former);
    assert_eq!(placed, Some("store-1".parse().unwrap()));
}

/// Guards against replies of a process that was not asked, and against grants of an upstream to which the
/// request can't go.
#[tokio::test]
async fn replies_are_used_for_their_own_question_only() {
    let allocator = UdpSocket::bind(ANY_PORT).await.unwrap();
    let other = UdpSocket::bind(ANY_PORT).await.unwrap();
    let allocates = allocator.local_addr().unwrap();
    for upstream in ["store-1", "store-2", "llm-1"] {
        let run = AskingRun::start(7, ANY_PORT.parse().unwrap(), allocates).await;
        let reply = async |number, from| {
            send(&other, from, number, REFUSED).await;
            send(&allocator, from, number, granted(upstream)).await;
        };
        let (placed, _) = run.place(&allocator, reply).await;
        assert_eq!(placed, Some("store-1".parse().unwrap()), "{upstream}");
    }
}

/// Guards against a killed process that is listed together with the one started in its place: one process
/// would take both parts in a task that two members share, and count a team's requests twice.
#[tokio::test]
async fn one_run_of_each_process_shares_the_work() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let run = AskingRun::start(2, ANY_PORT.parse().unwrap(), address(9)).await;
    let own = run.placement.member();
    let own_former = &member("asking", 1, own.address);
    let [killed, next] = &[1, 2].map(|run| member("a", run, address(1)));
    let [b, b_next] = &[1, 2].map(|run| member("b", run, address(3)));
    // Each list with the members that count.
    let lists = [
        (vec![killed, own, b], vec![killed, own, b]),
        (vec![next, killed, own, b], vec![next, own, b]),
        (vec![killed, next, own, b], vec![next, own, b]),
        (vec![killed, next, own_former, own], vec![next, own]),
        (vec![own_former, own, b, next], vec![own, b, next]),
        (vec![b, b_next, own], vec![b_next, own]),
        (vec![b_next, b, own, own_former], vec![b_next, own]),
    ];
    for (index, (listed, expected)) in lists.into_iter().enumerate() {
        run.placement
            .set_members(listed.into_iter().cloned().collect());
        let members = run.placement.members();
        assert_eq!(members.iter().collect::<Vec<_>>(), expected, "list {index}");
    }
}

/// Guards against a faulty process that counts as two witnesses after a restart: what it avoids would be avoided
/// by all.
#[tokio::test]
async fn two_runs_of_a_process_are_one_witness() {
    for (witnesses, chosen) in [
        ([("a", 1), ("a", 2)], "store-2"),
        ([("a", 1), ("b", 1)], "store-1"),
    ] {
        let socket = UdpSocket::bind(ANY_PORT).await.unwrap();
        let address = socket.local_addr().unwrap();
        let run = AskingRun::start(7, ANY_PORT.parse().unwrap(), address).await;
        let ask = async |name: MemberName, excluded: &[&str]| {
            let request = PlacementMessage::Request {
                request: PlacementRequest {
                    member: name.to_string(),
                    number: 1,
                    demand: DEMAND,
                    work: None,
                },
                group: "store".parse().unwrap(),
                excluded: excluded.iter().map(|id| id.parse().unwrap()).collect(),
            };
            let to = run.placement.member().address;
            socket.send_to(&request.encode(), to).await.unwrap();
            let mut buffer = [0; 2_048];
            let length = socket.recv(&mut buffer).await.unwrap();
            PlacementMessage::decode(&buffer[..length]).unwrap()
        };
        for (instance, run) in witnesses {
            ask(member(instance, run, address), &["store-2"]).await;
        }
        let reply = ask(member("c", 1, address), &["store-3"]).await;
        match reply {
            PlacementMessage::Reply {
                reply: PlacementReply::Granted { upstream, .. },
                ..
            } => {
                assert_eq!(upstream.as_str(), chosen);
            }
            other => panic!("{other:?}"),
        }
    }
}
