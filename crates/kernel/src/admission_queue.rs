//! The admission queue of one tier on one instance: weighted round robin between teams, with early
//! refusal of requests that can't meet their deadlines.

use std::collections::VecDeque;

use amaranth_wire::error::ErrorKind;
use amaranth_wire::id::TeamId;

use crate::moving_average::moving_average;

/// Weight of the newest sample in the moving averages of service time and send interval.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Mean deviations above the mean service time that have to fit before the deadline.
const SERVICE_TIME_DEVIATIONS: f64 = 2.0;
/// Upper bound of a refusal's retry delay, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// Retry delay of a refusal before any send interval is measured, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Identifies one waiting request of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(pub u64);

/// Refusal of a request that was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Error kind that the caller receives.
    pub kind: ErrorKind,
    /// Delay before the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Outcome of [`AdmissionQueue::enqueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request waits.
    Wait(QueueTicket),
    /// The request waits in place of the newest one of the team with the most waiting requests.
    Displace {
        /// The request that now waits.
        waiting: QueueTicket,
        /// The request that is refused.
        displaced: QueueTicket,
    },
    /// The request is refused.
    Refuse(QueueRefusal),
}

/// Outcome of [`AdmissionQueue::dequeue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DequeueOutcome {
    /// The request is sent to an upstream.
    Send(QueueTicket),
    /// The request can't meet its deadline any more.
    Refuse(QueueTicket, QueueRefusal),
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: QueueTicket,
    deadline_ms: u64,
}

/// Requests per turn of a team without a configured share.
const DEFAULT_SHARE: u32 = 1;

#[derive(Debug)]
struct TeamQueue {
    team: TeamId,
    waiting: VecDeque<WaitingRequest>,
    share: u32,
    sent_in_turn: u32,
}

/// Moving averages of the time from sending a request to its complete answer.
#[derive(Debug, Clone, Copy)]
struct ServiceTime {
    mean_ms: f64,
    deviation_ms: f64,
}

impl ServiceTime {
    fn with_sample(self, took_ms: f64) -> Self {
        let deviation_ms = (took_ms - self.mean_ms).abs();
        Self {
            mean_ms: moving_average(Some(self.mean_ms), took_ms, SAMPLE_WEIGHT),
            deviation_ms: moving_average(Some(self.deviation_ms), deviation_ms, SAMPLE_WEIGHT),
        }
    }

    /// Upper estimate, by the rule of TCP's retransmission timeout: mean plus deviations.
    fn upper_bound_ms(self) -> f64 {
        self.mean_ms + SERVICE_TIME_DEVIATIONS * self.deviation_ms
    }
}

/// Waiting requests of one tier, grouped by team; the first team has the turn.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: usize,
    teams: VecDeque<TeamQueue>,
    next_ticket: u64,
    service: Option<ServiceTime>,
    send_interval_ms: Option<f64>,
    last_send_ms: Option<u64>,
}

impl AdmissionQueue {
    /// Creates an empty queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            teams: VecDeque::new(),
            next_ticket: 0,
            service: None,
            send_interval_ms: None,
            last_send_ms: None,
        }
    }

    /// Sets the maximum number of waiting requests.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Sets the share of a team with waiting requests: how many it may send in one turn.
    pub fn set_share(&mut self, team: &TeamId, share: u32) {
        let known = self.teams.iter_mut().find(|queue| queue.team == *team);
        if let Some(queue) = known {
            queue.share = share.max(DEFAULT_SHARE);
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.teams.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Records the time from sending a request to its complete answer.
    pub fn record_service_time(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        self.service = Some(match self.service {
            None => ServiceTime {
                mean_ms: took_ms,
                deviation_ms: took_ms / 2.0,
            },
            Some(known) => known.with_sample(took_ms),
        });
    }

    /// Mean service time in milliseconds; `None` before the first sample.
    pub fn mean_service_ms(&self) -> Option<f64> {
        self.service.map(|service| service.mean_ms)
    }

    /// Whether a request sent at `now_ms` is expected to finish before its deadline.
    pub fn can_meet_deadline(&self, deadline_ms: u64, now_ms: u64) -> bool {
        let service_ms = self.service.map_or(0.0, ServiceTime::upper_bound_ms);
        now_ms as f64 + service_ms < deadline_ms as f64
    }

    /// Adds a request for which no upstream has room, or refuses it. When the queue is full, a
    /// request of a team with more waiting requests may be displaced.
    pub fn enqueue(&mut self, team: &TeamId, deadline_ms: u64, now_ms: u64) -> EnqueueOutcome {
        let ahead = self.requests_ahead(team);
        let wait_ms = self.send_interval_ms.map_or(0.0, |gap| gap * ahead as f64);
        if !self.can_meet_deadline(deadline_ms, now_ms + wait_ms as u64) {
            return EnqueueOutcome::Refuse(self.refusal(ErrorKind::DeadlineExceeded));
        }
        if self.len() < self.limit {
            return EnqueueOutcome::Wait(self.push(team, deadline_ms));
        }
        match self.displace(team) {
            Some(displaced) => EnqueueOutcome::Displace {
                waiting: self.push(team, deadline_ms),
                displaced,
            },
            None => EnqueueOutcome::Refuse(self.refusal(ErrorKind::Overloaded)),
        }
    }

    /// The request that the next [`Self::dequeue`] takes.
    pub fn peek(&self) -> Option<QueueTicket> {
        let waiting = self.teams.front()?.waiting.front()?;
        Some(waiting.ticket)
    }

    /// Takes the next request. Teams take turns of as many requests as their shares, each team in
    /// order of arrival. A request that can't meet its deadline any more does not count towards
    /// its team's turn.
    pub fn dequeue(&mut self, now_ms: u64) -> Option<DequeueOutcome> {
        let deadline_ms = self.teams.front()?.waiting.front()?.deadline_ms;
        if !self.can_meet_deadline(deadline_ms, now_ms) {
            let (ticket, _) = self.pop_front();
            let refusal = self.refusal(ErrorKind::DeadlineExceeded);
            return Some(DequeueOutcome::Refuse(ticket, refusal));
        }
        let (ticket, team_waits) = self.pop_front();
        if team_waits {
            self.end_turn();
        }
        self.record_send(now_ms);
        Some(DequeueOutcome::Send(ticket))
    }

    /// Removes a request whose caller has disconnected.
    pub fn remove(&mut self, ticket: QueueTicket) {
        for queue in &mut self.teams {
            queue.waiting.retain(|waiting| waiting.ticket != ticket);
        }
        self.teams.retain(|queue| !queue.waiting.is_empty());
    }

    /// Refusal whose retry delay is the estimated time to drain the queue.
    pub fn refusal(&self, kind: ErrorKind) -> QueueRefusal {
        let drain_ms = self
            .send_interval_ms
            .map(|gap| gap * (self.len() + 1) as f64);
        let retry_after_ms = drain_ms.map_or(DEFAULT_RETRY_AFTER_MS, |drain| drain as u64);
        QueueRefusal {
            kind,
            retry_after_ms: retry_after_ms.clamp(1, MAX_RETRY_AFTER_MS),
        }
    }

    /// Number of requests that are sent before a new one of this team.
    fn requests_ahead(&self, team: &TeamId) -> usize {
        let own = self.teams.iter().find(|queue| queue.team == *team);
        let own = own.map_or(0, |queue| queue.waiting.len());
        let ahead = |queue: &TeamQueue| match queue.team == *team {
            true => own,
            false => queue.waiting.len().min(own + 1),
        };
        self.teams.iter().map(ahead).sum()
    }

    /// Removes the newest request of the team with the most waiting requests, unless the new
    /// request would give its own team as many.
    fn displace(&mut self, team: &TeamId) -> Option<QueueTicket> {
        let own = self.teams.iter().find(|queue| queue.team == *team);
        let own = own.map_or(0, |queue| queue.waiting.len());
        let longest = self
            .teams
            .iter_mut()
            .max_by_key(|queue| queue.waiting.len())?;
        if longest.waiting.len() <= own + 1 {
            return None;
        }
        longest.waiting.pop_back().map(|waiting| waiting.ticket)
    }

    fn push(&mut self, team: &TeamId, deadline_ms: u64) -> QueueTicket {
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = WaitingRequest {
            ticket,
            deadline_ms,
        };
        let known = self.teams.iter_mut().find(|queue| queue.team == *team);
        match known {
            Some(queue) => queue.waiting.push_back(waiting),
            None => self.teams.push_back(TeamQueue {
                team: team.clone(),
                waiting: VecDeque::from([waiting]),
                share: DEFAULT_SHARE,
                sent_in_turn: 0,
            }),
        }
        ticket
    }

    /// Removes the first request of the team whose turn it is; true if that team has more.
    fn pop_front(&mut self) -> (QueueTicket, bool) {
        let queue = self.teams.front_mut().expect("the queue is not empty");
        let waiting = queue.waiting.pop_front().expect("teams have requests");
        let team_waits = !queue.waiting.is_empty();
        if !team_waits {
            self.teams.pop_front();
        }
        (waiting.ticket, team_waits)
    }

    /// Counts a sent request, and passes the turn to the next team once the share is used up.
    fn end_turn(&mut self) {
        let Some(queue) = self.teams.front_mut() else {
            return;
        };
        queue.sent_in_turn += 1;
        if queue.sent_in_turn >= queue.share {
            queue.sent_in_turn = 0;
            self.teams.rotate_left(1);
        }
    }

    fn record_send(&mut self, now_ms: u64) {
        if let Some(last) = self.last_send_ms.filter(|_| !self.is_empty()) {
            let gap = now_ms.saturating_sub(last) as f64;
            self.send_interval_ms = Some(moving_average(self.send_interval_ms, gap, SAMPLE_WEIGHT));
        }
        self.last_send_ms = Some(now_ms);
    }
}
