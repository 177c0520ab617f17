//! The queue of one tier on one instance: fair between teams, aware of deadlines, refusing early
//! what can't be served in time.

use std::collections::VecDeque;

use amaranth_wire::error::ErrorKind;
use amaranth_wire::id::TeamId;

use crate::moving_average::moving_average;

/// Weight of the newest sample in moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Mean deviations above the mean that a request is given to be answered in time.
const DEVIATIONS: f64 = 2.0;
/// Longest time that a refused caller is told to wait, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;
/// Time that a refused caller is told to wait while nothing is known, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Names one waiting request on this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(pub u64);

/// Why a request is refused. It was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// What the caller is told.
    pub kind: ErrorKind,
    /// When it may try again, in milliseconds.
    pub retry_after_ms: u64,
}

/// What happens to a request that arrives and finds no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalStep {
    /// It waits.
    Wait(QueueTicket),
    /// It waits, in place of the newest request of the longest team's.
    Displace {
        /// The request that arrived.
        waiting: QueueTicket,
        /// The request that is refused.
        displaced: QueueTicket,
    },
    /// It is refused.
    Refuse(QueueRefusal),
}

/// What happens to the request at the head of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadStep {
    /// It is sent.
    Send(QueueTicket),
    /// It can't be served in time any more.
    Refuse(QueueTicket, QueueRefusal),
}

#[derive(Debug)]
struct WaitingRequest {
    ticket: QueueTicket,
    deadline_ms: u64,
}

/// Share of a team that nothing was set for.
const DEFAULT_SHARE: u32 = 1;

#[derive(Debug)]
struct TeamQueue {
    team: TeamId,
    waiting: VecDeque<WaitingRequest>,
    share: u32,
    taken: u32,
}

/// How long requests take from being sent to their whole answer.
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

    /// Most of the time that a request takes, by the usual rule for timeouts.
    fn most_ms(self) -> f64 {
        self.mean_ms + DEVIATIONS * self.deviation_ms
    }
}

/// The waiting requests of one tier.
#[derive(Debug)]
pub struct AdmissionQueue {
    limit: usize,
    teams: VecDeque<TeamQueue>,
    next_ticket: u64,
    service: Option<ServiceTime>,
    send_gap_ms: Option<f64>,
    last_send_ms: Option<u64>,
}

impl AdmissionQueue {
    /// An empty queue that holds at most so many requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            teams: VecDeque::new(),
            next_ticket: 0,
            service: None,
            send_gap_ms: None,
            last_send_ms: None,
        }
    }

    /// Replaces the most requests that it holds.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Replaces the share of a team that waits: the requests that it may send in one turn.
    pub fn set_share(&mut self, team: &TeamId, share: u32) {
        let known = self.teams.iter_mut().find(|queue| queue.team == *team);
        if let Some(queue) = known {
            queue.share = share.max(DEFAULT_SHARE);
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.teams.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Notes how long a request took from being sent to its whole answer.
    pub fn note_service(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        self.service = Some(match self.service {
            None => ServiceTime {
                mean_ms: took_ms,
                deviation_ms: took_ms / 2.0,
            },
            Some(known) => known.with_sample(took_ms),
        });
    }

    /// How long a request usually takes, in milliseconds.
    pub fn service_ms(&self) -> Option<f64> {
        self.service.map(|service| service.mean_ms)
    }

    /// Whether a request that is sent now can be answered in time.
    pub fn can_serve(&self, deadline_ms: u64, now_ms: u64) -> bool {
        let service_ms = self.service.map_or(0.0, ServiceTime::most_ms);
        now_ms as f64 + service_ms < deadline_ms as f64
    }

    /// Takes in a request that finds no room.
    pub fn arrive(&mut self, team: &TeamId, deadline_ms: u64, now_ms: u64) -> ArrivalStep {
        let ahead = self.ahead_of(team);
        let wait_ms = self.send_gap_ms.map_or(0.0, |gap| gap * ahead as f64);
        if !self.can_serve(deadline_ms, now_ms + wait_ms as u64) {
            return ArrivalStep::Refuse(self.refusal(ErrorKind::DeadlineExceeded));
        }
        if self.len() < self.limit {
            return ArrivalStep::Wait(self.push(team, deadline_ms));
        }
        match self.displace(team) {
            Some(displaced) => ArrivalStep::Displace {
                waiting: self.push(team, deadline_ms),
                displaced,
            },
            None => ArrivalStep::Refuse(self.refusal(ErrorKind::Overloaded)),
        }
    }

    /// The request whose turn it is.
    pub fn peek(&self) -> Option<QueueTicket> {
        let waiting = self.teams.front()?.waiting.front()?;
        Some(waiting.ticket)
    }

    /// Takes the request whose turn it is: teams take turns of as many requests as their shares,
    /// each in the order of arrival. A
    /// request that can't be served in time any more does not count as its team's turn.
    pub fn next(&mut self, now_ms: u64) -> Option<HeadStep> {
        let deadline_ms = self.teams.front()?.waiting.front()?.deadline_ms;
        if !self.can_serve(deadline_ms, now_ms) {
            let (ticket, _) = self.pop_front();
            let refusal = self.refusal(ErrorKind::DeadlineExceeded);
            return Some(HeadStep::Refuse(ticket, refusal));
        }
        let (ticket, team_waits) = self.pop_front();
        if team_waits {
            self.end_turn();
        }
        self.note_send(now_ms);
        Some(HeadStep::Send(ticket))
    }

    /// Takes out a request whose caller has gone.
    pub fn remove(&mut self, ticket: QueueTicket) {
        for queue in &mut self.teams {
            queue.waiting.retain(|waiting| waiting.ticket != ticket);
        }
        self.teams.retain(|queue| !queue.waiting.is_empty());
    }

    /// How a request is refused that has no place here.
    pub fn refusal(&self, kind: ErrorKind) -> QueueRefusal {
        let drain_ms = self.send_gap_ms.map(|gap| gap * (self.len() + 1) as f64);
        let retry_after_ms = drain_ms.map_or(DEFAULT_RETRY_AFTER_MS, |drain| drain as u64);
        QueueRefusal {
            kind,
            retry_after_ms: retry_after_ms.clamp(1, MAX_RETRY_AFTER_MS),
        }
    }

    /// Requests that are sent before a new one of this team.
    fn ahead_of(&self, team: &TeamId) -> usize {
        let own = self.teams.iter().find(|queue| queue.team == *team);
        let own = own.map_or(0, |queue| queue.waiting.len());
        let ahead = |queue: &TeamQueue| match queue.team == *team {
            true => own,
            false => queue.waiting.len().min(own + 1),
        };
        self.teams.iter().map(ahead).sum()
    }

    /// Takes out the newest request of the longest team, unless the arriving team's is as long.
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
                taken: 0,
            }),
        }
        ticket
    }

    /// Takes the first request of the team whose turn it is, and tells whether the team has more.
    fn pop_front(&mut self) -> (QueueTicket, bool) {
        let queue = self.teams.front_mut().expect("the queue is not empty");
        let waiting = queue.waiting.pop_front().expect("teams have requests");
        let team_waits = !queue.waiting.is_empty();
        if !team_waits {
            self.teams.pop_front();
        }
        (waiting.ticket, team_waits)
    }

    /// Gives the turn to the next team once the first has had its share.
    fn end_turn(&mut self) {
        let Some(queue) = self.teams.front_mut() else {
            return;
        };
        queue.taken += 1;
        if queue.taken >= queue.share {
            queue.taken = 0;
            self.teams.rotate_left(1);
        }
    }

    fn note_send(&mut self, now_ms: u64) {
        if let Some(last) = self.last_send_ms.filter(|_| !self.is_empty()) {
            let gap = now_ms.saturating_sub(last) as f64;
            self.send_gap_ms = Some(moving_average(self.send_gap_ms, gap, SAMPLE_WEIGHT));
        }
        self.last_send_ms = Some(now_ms);
    }
}
