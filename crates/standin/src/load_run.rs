//! Generates load on one target, or on two in alternating turns, so that both are measured under
//! the same conditions.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpClient};
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::load_call::{LoadCall, LoadTarget};
use crate::load_stats::LoadStats;
use crate::process_monitor::{ProcessMonitor, ProcessUse};

/// Most calls in flight in an open loop; further calls are counted as not started.
const MAX_OPEN_LOOP_CALLS: usize = 8_192;
/// Timeout for the head of an answer and between tokens.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between turns.
const TURN_PAUSE: Duration = Duration::from_millis(50);

/// Arrival model of the calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadShape {
    /// Closed loop: this many callers, each starting a call when its previous one has ended.
    Closed(usize),
    /// Open loop: Poisson arrivals at this mean rate per second.
    Open(f64),
}

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// One target, or two that are called in alternating turns.
    pub targets: Vec<LoadTarget>,
    /// Arrival model of the calls.
    pub shape: LoadShape,
    /// Tokens requested by each call.
    pub tokens: u32,
    /// Prompt size, in bytes.
    pub prompt_bytes: usize,
    /// Duration of the run.
    pub time: Duration,
    /// Duration of a turn.
    pub turn: Duration,
    /// Limit on the number of calls in the run.
    pub calls: u64,
    /// Id of a process whose CPU and memory use is measured while the last target is called.
    pub monitored_process: Option<u32>,
}

/// Measurements of a load run.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// Name and measurements of each target, in the order of the plan.
    pub stats: Vec<(String, LoadStats)>,
    /// CPU and memory use of the monitored process.
    pub process: Option<ProcessUse>,
}

/// State shared by the callers of one turn.
struct LoadTurn {
    client: HttpClient,
    target: LoadTarget,
    plan: LoadPlan,
    calls_made: Arc<AtomicU64>,
    turn_end: Instant,
}

/// Runs a plan. The first turn of each target is a warm-up and is not counted.
pub async fn run(plan: &LoadPlan) -> LoadResult {
    let clients: Vec<_> = plan
        .targets
        .iter()
        .map(|_| HttpClient::new(Duration::from_secs(2)))
        .collect();
    let calls_made = Arc::new(AtomicU64::new(0));
    let mut stats = vec![LoadStats::default(); plan.targets.len()];
    let mut monitor = plan.monitored_process.map(ProcessMonitor::new);
    let end = Instant::now() + plan.time;
    let mut turn = 0;
    while Instant::now() < end && calls_made.load(Ordering::Relaxed) < plan.calls {
        let index = turn % plan.targets.len();
        let is_measured = turn >= plan.targets.len();
        let is_monitored = is_measured && index + 1 == plan.targets.len();
        let load = Arc::new(LoadTurn {
            client: clients[index].clone(),
            target: plan.targets[index].clone(),
            plan: plan.clone(),
            calls_made: calls_made.clone(),
            turn_end: end.min(Instant::now() + plan.turn),
        });
        if let Some(monitor) = monitor.as_mut().filter(|_| is_monitored) {
            monitor.start_turn();
        }
        let measured = run_turn(load, monitor.as_ref().filter(|_| is_monitored)).await;
        if let Some(monitor) = monitor.as_mut().filter(|_| is_monitored) {
            monitor.end_turn(measured.complete);
        }
        if is_measured {
            stats[index].merge(&measured);
        }
        sleep(TURN_PAUSE).await;
        turn += 1;
    }
    let names = plan.targets.iter().map(|target| target.name.clone());
    LoadResult {
        stats: names.zip(stats).collect(),
        process: monitor.map(|monitor| monitor.total()),
    }
}

async fn run_turn(turn: Arc<LoadTurn>, monitor: Option<&ProcessMonitor>) -> LoadStats {
    let start = Instant::now();
    let calls = async {
        match turn.plan.shape {
            LoadShape::Closed(callers) => closed_loop(&turn, callers).await,
            LoadShape::Open(rate) => open_loop(&turn, rate).await,
        }
    };
    let mut stats = match monitor {
        Some(monitor) => tokio::select! {
            stats = calls => stats,
            () = monitor.sample() => unreachable!("sampling does not end"),
        },
        None => calls.await,
    };
    stats.measured_time = start.elapsed();
    stats
}

async fn closed_loop(turn: &Arc<LoadTurn>, callers: usize) -> LoadStats {
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let turn = turn.clone();
        tasks.spawn(async move {
            let mut stats = LoadStats::default();
            while Instant::now() < turn.turn_end
                && let Some(call) = turn.next_call()
            {
                stats.add(&call.run(&turn.client, &turn.target).await);
            }
            stats
        });
    }
    join_all(tasks).await
}

async fn open_loop(turn: &Arc<LoadTurn>, rate: f64) -> LoadStats {
    let mut tasks = JoinSet::new();
    let mut stats = LoadStats::default();
    let mut due = Instant::now();
    loop {
        let share: f64 = rand::rng().random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-share.ln() / rate);
        if due >= turn.turn_end {
            break;
        }
        sleep_until(due.into()).await;
        while let Some(Ok(ended)) = tasks.try_join_next() {
            stats.merge(&ended);
        }
        if tasks.len() >= MAX_OPEN_LOOP_CALLS {
            *stats.failed.entry("not_started".to_owned()).or_default() += 1;
            continue;
        }
        let Some(call) = turn.next_call() else { break };
        let turn = turn.clone();
        tasks.spawn(async move {
            let mut stats = LoadStats::default();
            stats.add(&call.run(&turn.client, &turn.target).await);
            stats
        });
    }
    stats.merge(&join_all(tasks).await);
    stats
}

async fn join_all(mut tasks: JoinSet<LoadStats>) -> LoadStats {
    let mut all = LoadStats::default();
    while let Some(ended) = tasks.join_next().await {
        all.merge(&ended.expect("callers do not panic"));
    }
    all
}

impl LoadTurn {
    /// Creates the next call. Prompts differ in their first bytes, so that no prefix cache hits.
    fn next_call(&self) -> Option<LoadCall> {
        let number = self.calls_made.fetch_add(1, Ordering::Relaxed);
        if number >= self.plan.calls {
            return None;
        }
        let mut prompt = format!("{number:08x} {:08x} ", rand::random::<u32>());
        let missing = self.plan.prompt_bytes.saturating_sub(prompt.len());
        prompt.extend(std::iter::repeat_n('x', missing));
        Some(LoadCall {
            number,
            prompt,
            tokens: self.plan.tokens,
            limits: CallLimits::new(CALL_TIMEOUT),
        })
    }
}
