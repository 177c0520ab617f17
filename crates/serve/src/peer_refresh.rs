//! Keeps an instance current that the log refuses while it serves others: it copies newer state from
//! members of its group.
//!
//! Keys can be withdrawn and upstreams can leave meanwhile. An instance that hears from nobody serves by
//! what it knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::id::ConfigRevision;
use amaranth_wire::peer_message::PeerMessage;
use amaranth_wire::placement_message::PlacementMessage;
use rand::seq::{IndexedRandom, IteratorRandom};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::connection_pool::ConnectionPool;
use crate::member_name::MemberName;
use crate::peer_state::{PeerStateSink, TopicCopies, fetch_state, refresh_state};
use crate::placement_service::PlacementService;
use crate::route_state::RouteState;

/// Age of the last read of the log from which peers are asked: reads return once a second.
const STALE_AGE: Duration = Duration::from_millis(1_500);
/// Interval at which the age is checked, and the shortest one between two questions.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Longest interval between two questions while no peer has newer state. Withdrawn keys must be out of
/// use within 9 s on an instance that only the log refuses.
const MAX_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Time for offers to arrive: several round trips between data centres.
const OFFER_WAIT: Duration = Duration::from_millis(100);
/// Difference in age from which a peer's state counts as fresher than the own one. Peers read the log
/// once a second, at different moments.
const FRESHER_BY: Duration = Duration::from_millis(1_000);
/// Most messages that wait to be handled; more of them are of no use.
const INBOX_LEN: usize = 64;

/// A message with its sender's address.
pub type ReceivedMessage = (PeerMessage, SocketAddr);

/// Creates the queue of messages from other instances.
pub fn inbox() -> (
    mpsc::Sender<ReceivedMessage>,
    mpsc::Receiver<ReceivedMessage>,
) {
    mpsc::channel(INBOX_LEN)
}

/// A peer's offer of its state.
#[derive(Debug, Clone, Copy)]
struct StateOffer {
    revision: ConfigRevision,
    age: Duration,
    control: SocketAddr,
}

/// Asks peers for newer state while the log can't be read, and answers theirs.
pub struct PeerRefresh {
    /// Sends and receives the messages.
    pub placement: Arc<PlacementService>,
    /// Configuration in force here.
    pub routes: Arc<RouteState>,
    /// State that peers can read here.
    pub copies: Arc<TopicCopies>,
    /// Applies a peer's state.
    pub sink: PeerStateSink,
    /// Address from which peers read the state of this instance.
    pub control: SocketAddr,
}

impl PeerRefresh {
    /// Runs until the token is cancelled.
    pub async fn run(self, mut inbox: mpsc::Receiver<ReceivedMessage>, stop: CancellationToken) {
        let refresh = async {
            let pool = Arc::new(ConnectionPool::new());
            let mut period = CHECK_PERIOD;
            loop {
                let end = Instant::now() + period;
                self.handle_until(end, &mut inbox).await;
                period = match self.stale_age() {
                    None => CHECK_PERIOD,
                    Some(age) => match self.ask(age, &mut inbox, &pool).await {
                        true => CHECK_PERIOD,
                        false => (period * 2).min(MAX_CHECK_PERIOD),
                    },
                };
            }
        };
        stop.run_until_cancelled(refresh).await;
    }

    /// Age of the state here if it is too old. Before the first read, the start asks its seeds.
    fn stale_age(&self) -> Option<Duration> {
        self.routes.read_age().filter(|age| *age > STALE_AGE)
    }

    /// Answers questions until a point in time. Offers that come too late are dropped.
    async fn handle_until(&self, end: Instant, inbox: &mut mpsc::Receiver<ReceivedMessage>) {
        while let Ok(Some((message, from))) = timeout_at(end, inbox.recv()).await {
            self.answer(&message, from).await;
        }
        sleep_until(end).await;
    }

    /// Offers the state of this instance if it is newer than the sender's.
    async fn answer(&self, message: &PeerMessage, from: SocketAddr) {
        let PeerMessage::Wanted { revision, age_ms } = *message else {
            return;
        };
        let (Some(own), Some(age)) = (self.routes.revision(), self.routes.read_age()) else {
            return;
        };
        let is_newer = revision.is_none_or(|known| own > known);
        if is_newer || is_fresher(age, Duration::from_millis(age_ms)) {
            let offer = PeerMessage::Offered {
                revision: own,
                age_ms: age.as_millis() as u64,
                control: self.control,
            };
            self.placement
                .send(&PlacementMessage::Peer(offer), from)
                .await;
        }
    }

    /// Asks some members for newer state and applies the best that is offered. Returns whether any was
    /// applied.
    async fn ask(
        &self,
        age: Duration,
        inbox: &mut mpsc::Receiver<ReceivedMessage>,
        pool: &Arc<ConnectionPool>,
    ) -> bool {
        let question = PlacementMessage::Peer(PeerMessage::Wanted {
            revision: self.routes.revision(),
            age_ms: age.as_millis() as u64,
        });
        let members = self.placement.members();
        for member in choose_members(&members, self.placement.member()) {
            self.placement.send(&question, member.address).await;
        }
        let end = Instant::now() + OFFER_WAIT;
        let mut best: Option<StateOffer> = None;
        while let Ok(Some((message, from))) = timeout_at(end, inbox.recv()).await {
            match message {
                PeerMessage::Offered {
                    revision,
                    age_ms,
                    control,
                } => {
                    let offer = StateOffer {
                        revision,
                        age: Duration::from_millis(age_ms),
                        control,
                    };
                    let is_better = |known: &StateOffer| {
                        (offer.revision, known.age) > (known.revision, offer.age)
                    };
                    if best.as_ref().is_none_or(is_better) {
                        best = Some(offer);
                    }
                }
                wanted => self.answer(&wanted, from).await,
            }
        }
        match best {
            Some(offer) => self.copy(offer, pool).await,
            None => false,
        }
    }

    async fn copy(&self, offer: StateOffer, pool: &Arc<ConnectionPool>) -> bool {
        let control = offer.control;
        match fetch_state(pool, control).await {
            Ok(state) => refresh_state(&self.copies, &self.sink, control, state),
            Err(e) => {
                log::info!("event=peer_state_not_received peer={control} error={e:?}");
                false
            }
        }
    }
}

fn is_fresher(age: Duration, other: Duration) -> bool {
    age + FRESHER_BY < other
}

/// Picks one other member in the own data centre, as bytes between data centres cost more, and one
/// anywhere, as the whole data centre may be cut off.
fn choose_members<'a>(members: &'a [MemberName], own: &MemberName) -> Vec<&'a MemberName> {
    let mut rng = rand::rng();
    let others: Vec<_> = members
        .iter()
        .filter(|member| member.address != own.address)
        .collect();
    let near = others.iter().copied();
    let near = near.filter(|member| member.data_centre == own.data_centre);
    let near = near.choose(&mut rng);
    let any = others.choose(&mut rng).copied();
    let any = any.filter(|any| near.is_none_or(|near| near != *any));
    near.into_iter().chain(any).collect()
}
