//! Limits the requests of teams over all instances. Two members count each team's requests; an instance asks
//! both before it places a request, and decides by itself if neither replies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_kernel::request_quota::{
    LocalAllowance, QuotaBounds, QuotaCounter, QuotaDecision, QuotaSource, QuotaVerdict,
    choose_verdict,
};
use amaranth_kernel::team_table::{RequestQuota, TeamRule};
use amaranth_net::clock::steady_ms;
use amaranth_net::state_lock::StateMutex;
use amaranth_wire::id::{RequestId, TeamId};
use amaranth_wire::placement_message::PlacementMessage;
use amaranth_wire::quota_message::{QuotaMessage, QuotaReply};
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::answer::RequestFailure;
use crate::member_name::MemberName;
use crate::placement_service::PlacementService;
use crate::quota_contact::CounterContacts;
use crate::route_state::RouteState;

/// Limit on waiting for a counting member: several round trips between data centres, and a small part of the
/// objective for a first event.
const REPLY_TIMEOUT: Duration = Duration::from_millis(12);
/// Time for which a member that didn't reply isn't waited for: a killed process is restarted, or replaced in
/// the list of members, within a few of these periods.
const SILENT_BACKOFF: Duration = Duration::from_millis(700);
/// Factors by which the delays of rejected callers differ. None is told to return before there is room.
const RETRY_SPREAD: std::ops::Range<f64> = 1.0..2.0;

/// Number of instances that is assumed until the members are known: about that of the largest deployments, as
/// all instances may have just started.
const ASSUMED_MEMBERS: usize = 80;

/// Result of taking a request from its team's limit.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// A request that its team's limit lets through.
#[derive(Debug)]
#[must_use]
pub struct QuotaGrant(QuotaSource);

/// Senders of the replies that are waited for, by the number of the question.
type PendingTakes = HashMap<u64, oneshot::Sender<QuotaVerdict>>;

/// A question whose reply is waited for. Dropping it ends the wait.
struct OpenTake<'a> {
    pending: &'a StateMutex<PendingTakes>,
    number: u64,
    address: SocketAddr,
    receiver: oneshot::Receiver<QuotaVerdict>,
}

impl Drop for OpenTake<'_> {
    fn drop(&mut self) {
        let mut pending = self.pending.lock();
        pending.remove(&self.number);
    }
}

/// What is known of a counting member's decision.
enum CounterAnswer<'a> {
    /// This instance counts, and has decided.
    Decided(QuotaVerdict),
    /// The member was asked.
    Asked(OpenTake<'a>),
    /// The member was told of the request, but did not reply of late.
    Silent,
}

/// Counts requests of teams here, and asks the members that count.
pub struct QuotaService {
    routes: Arc<RouteState>,
    pub(crate) counter: StateMutex<QuotaCounter<SocketAddr>>,
    /// Locked before the counter where both are.
    pub(crate) contacts: StateMutex<CounterContacts>,
    allowance: StateMutex<LocalAllowance>,
    pending: StateMutex<PendingTakes>,
    silent: StateMutex<HashMap<SocketAddr, Instant>>,
    number: AtomicU64,
}

impl QuotaService {
    /// Creates a service that knows of no earlier requests.
    pub fn new(routes: Arc<RouteState>, bounds: QuotaBounds) -> Self {
        Self {
            routes,
            counter: StateMutex::new(QuotaCounter::new(bounds)),
            contacts: StateMutex::default(),
            allowance: StateMutex::new(LocalAllowance::new(bounds, rand::random())),
            pending: StateMutex::default(),
            silent: StateMutex::default(),
            // Replies to an earlier process at the same address must not match.
            number: AtomicU64::new(u64::from(rand::random::<u32>()) << 32),
        }
    }

    /// Takes a request from its team's limit; a failure if it is over the limit. Costs nothing for teams
    /// without one.
    pub async fn take(
        &self,
        placement: &PlacementService,
        team: Option<&TeamRule>,
        request: &RequestId,
    ) -> Result<QuotaGrant> {
        let Some((team, quota)) = limited(team) else {
            return Ok(QuotaGrant(QuotaSource::Unlimited));
        };
        let (decision, source) = match self.ask_counters(placement, &team.id, quota).await {
            Some((verdict, source)) => {
                let mut allowance = self.allowance.lock();
                allowance.record(&team.id, verdict, steady_ms());
                (verdict.decision, source)
            }
            None => {
                let members = match placement.knows_members() {
                    true => placement.members().len(),
                    false => ASSUMED_MEMBERS,
                };
                let mut allowance = self.allowance.lock();
                let decision = allowance.take(&team.id, quota, members, steady_ms());
                (decision, QuotaSource::Local)
            }
        };
        metrics::counter!("quota_decisions_total", "source" => source.as_str()).increment(1);
        match decision {
            QuotaDecision::Granted => Ok(QuotaGrant(source)),
            QuotaDecision::Exceeded { retry_after_ms } => {
                let factor = rand::rng().random_range(RETRY_SPREAD);
                let retry_after_ms = (retry_after_ms as f64 * factor) as u64;
                metrics::counter!("quota_exceeded_total", "source" => source.as_str()).increment(1);
                log::info!(
                    "event=quota_exceeded request={request} team={} limit={quota} source={} retry_after_ms={retry_after_ms}",
                    team.id,
                    source.as_str(),
                );
                Err(RequestFailure::OverQuota {
                    retry_after_ms: Some(retry_after_ms),
                    why: format!("the team's limit is {quota}"),
                })
            }
        }
    }

    /// Returns a request that was let through and not run.
    pub async fn give_back(
        &self,
        placement: &PlacementService,
        team: Option<&TeamRule>,
        grant: QuotaGrant,
    ) {
        let Some((team, quota)) = limited(team) else {
            return;
        };
        match grant.0 {
            QuotaSource::Unlimited => {}
            QuotaSource::Local => self.allowance.lock().give_back(&team.id),
            QuotaSource::First | QuotaSource::Second | QuotaSource::Former => {
                for (member, _) in asked_members(placement, &team.id) {
                    if member.address == placement.member().address {
                        let mut counter = self.counter.lock();
                        counter.give_back(&team.id, quota, steady_ms());
                        continue;
                    }
                    let returned = QuotaMessage::Return {
                        team: team.id.clone(),
                    };
                    placement
                        .send(&PlacementMessage::Quota(returned), member.address)
                        .await;
                }
            }
        }
    }

    /// Asks both counting members; `None` if neither replies in time, or if the members are not known yet.
    async fn ask_counters(
        &self,
        placement: &PlacementService,
        team: &TeamId,
        quota: RequestQuota,
    ) -> Option<(QuotaVerdict, QuotaSource)> {
        if !placement.wait_members().await {
            return None;
        }
        let mut answers = Vec::new();
        for (member, source) in asked_members(placement, team) {
            let answer = match member.address == placement.member().address {
                true => CounterAnswer::Decided(self.count(team, member.address, quota)),
                false => self.ask(placement, team, member.address).await,
            };
            answers.push((answer, source));
        }
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let mut verdicts = Vec::new();
        for (answer, source) in answers {
            if let Some(verdict) = self.wait(answer, deadline).await {
                verdicts.push((verdict, source));
                if verdict.settled {
                    break;
                }
            }
        }
        choose_verdict(&verdicts)
    }

    /// Asks a member. A silent one is told, too: it goes on counting, and its next reply ends its silence.
    async fn ask(
        &self,
        placement: &PlacementService,
        team: &TeamId,
        address: SocketAddr,
    ) -> CounterAnswer<'_> {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let answer = match self.is_silent(address) {
            true => CounterAnswer::Silent,
            false => {
                let (sender, receiver) = oneshot::channel();
                self.pending.lock().insert(number, sender);
                CounterAnswer::Asked(OpenTake {
                    pending: &self.pending,
                    number,
                    address,
                    receiver,
                })
            }
        };
        let team = team.clone();
        let question = PlacementMessage::Quota(QuotaMessage::Take { number, team });
        placement.send(&question, address).await;
        answer
    }

    async fn wait(&self, answer: CounterAnswer<'_>, deadline: Instant) -> Option<QuotaVerdict> {
        let mut open = match answer {
            CounterAnswer::Decided(verdict) => return Some(verdict),
            CounterAnswer::Silent => return None,
            CounterAnswer::Asked(open) => open,
        };
        if let Ok(Ok(verdict)) = timeout_at(deadline, &mut open.receiver).await {
            return Some(verdict);
        }
        let (address, ms) = (open.address, REPLY_TIMEOUT.as_millis());
        log::info!("event=quota_counter_silent address={address} ms={ms}");
        let until = Instant::now() + SILENT_BACKOFF;
        self.silent.lock().insert(address, until);
        None
    }

    fn is_silent(&self, address: SocketAddr) -> bool {
        let mut silent = self.silent.lock();
        let now = Instant::now();
        silent.retain(|_, until| *until > now);
        silent.contains_key(&address)
    }

    fn count(&self, team: &TeamId, from: SocketAddr, quota: RequestQuota) -> QuotaVerdict {
        let mut counter = self.counter.lock();
        counter.take(team, &from, quota, steady_ms())
    }

    /// Whether a team uses much of its limit.
    pub(crate) fn is_busy(&self, team: &TeamId, now_ms: u64) -> bool {
        let quota = self.quota_in_force(team);
        quota.is_some_and(|quota| self.counter.lock().is_busy(team, quota, now_ms))
    }

    /// Limit of a team by the configuration in force here.
    fn quota_in_force(&self, team: &TeamId) -> Option<RequestQuota> {
        let table = self.routes.current()?;
        table.teams.as_ref()?.get(team)?.quota
    }

    /// Handles a message of another member, and returns the message to send back.
    pub fn handle(&self, message: QuotaMessage, from: SocketAddr) -> Option<QuotaMessage> {
        match message {
            QuotaMessage::Take { number, team } => {
                let verdict = match self.quota_in_force(&team) {
                    Some(quota) => self.count(&team, from, quota),
                    None => UNLIMITED,
                };
                Some(encode_reply(number, verdict))
            }
            QuotaMessage::Reply {
                number,
                reply,
                settled,
                load_percent,
            } => {
                self.silent.lock().remove(&from);
                if let Some(waiting) = self.pending.lock().remove(&number) {
                    // The receiver may have timed out in the meantime.
                    let _ = waiting.send(decode_reply(reply, settled, load_percent));
                }
                None
            }
            QuotaMessage::Ping => Some(QuotaMessage::Pong),
            QuotaMessage::Pong => {
                let now_ms = steady_ms();
                let mut contacts = self.contacts.lock();
                for team in contacts.record_answer(from, now_ms) {
                    self.counter.lock().record_contact(&team, now_ms);
                }
                None
            }
            QuotaMessage::Return { team } => {
                if let Some(quota) = self.quota_in_force(&team) {
                    let mut counter = self.counter.lock();
                    counter.give_back(&team, quota, steady_ms());
                }
                None
            }
        }
    }
}

/// Verdict about a team that has no limit here.
const UNLIMITED: QuotaVerdict = QuotaVerdict {
    decision: QuotaDecision::Granted,
    settled: true,
    load: 0.0,
};

fn limited(team: Option<&TeamRule>) -> Option<(&TeamRule, RequestQuota)> {
    team.and_then(|team| Some((team, team.quota?)))
}

/// Name under which the members that count a team's requests are chosen.
pub(crate) fn counting_task(team: &TeamId) -> String {
    format!("team/{team}")
}

/// The two members that count a team's requests, and those that did until the list of members changed.
fn asked_members(placement: &PlacementService, team: &TeamId) -> Vec<(MemberName, QuotaSource)> {
    let task = counting_task(team);
    let counting = placement.preferred_members(&task).into_iter();
    let sources = [QuotaSource::First, QuotaSource::Second];
    let mut asked: Vec<_> = counting.zip(sources).collect();
    for former in placement.formerly_preferred(&task) {
        if asked.iter().all(|(member, _)| *member != former) {
            asked.push((former, QuotaSource::Former));
        }
    }
    asked
}

fn encode_reply(number: u64, verdict: QuotaVerdict) -> QuotaMessage {
    QuotaMessage::Reply {
        number,
        reply: match verdict.decision {
            QuotaDecision::Granted => QuotaReply::Granted,
            QuotaDecision::Exceeded { retry_after_ms } => QuotaReply::Exceeded { retry_after_ms },
        },
        settled: verdict.settled,
        load_percent: (verdict.load * 100.0).ceil() as u32,
    }
}

fn decode_reply(reply: QuotaReply, settled: bool, load_percent: u32) -> QuotaVerdict {
    QuotaVerdict {
        decision: match reply {
            QuotaReply::Granted => QuotaDecision::Granted,
            QuotaReply::Exceeded { retry_after_ms } => QuotaDecision::Exceeded { retry_after_ms },
        },
        settled,
        load: f64::from(load_percent) / 100.0,
    }
}
