//! Load on one target, or on two in turns so that both see the same machine in one run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use amaranth_net::client::{CallLimits, HttpClient};
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::load_call::{LoadCall, LoadTarget};
use crate::load_stats::LoadStats;
use crate::process_watch::{ProcessUse, ProcessWatch};

/// Calls of an open loop that may be in flight; further ones are counted as not started.
const OPEN_LOOP_CALLS: usize = 8_192;
/// Longest wait for the head of an answer and between two tokens.
const CALL_LIMIT: Duration = Duration::from_secs(30);
/// Wait between two turns.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// When calls are made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadShape {
    /// So many callers, each making its next call when the last has ended.
    Closed(usize),
    /// Calls at random times, so many a second on average.
    Open(f64),
}

/// What to run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// One target, or two that take turns.
    pub targets: Vec<LoadTarget>,
    /// When calls are made.
    pub shape: LoadShape,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Bytes of each prompt.
    pub prompt_bytes: usize,
    /// Time of the whole run.
    pub time: Duration,
    /// Time of one turn.
    pub turn: Duration,
    /// Most calls of the whole run.
    pub calls: u64,
    /// A process whose use of processor and memory is measured while the last target is called.
    pub watched: Option<u32>,
}

/// What a run measured.
#[derive(Debug, Clone)]
pub struct LoadResult {
    /// The targets' names and measurements, in the plan's order.
    pub stats: Vec<(String, LoadStats)>,
    /// Use by the watched process.
    pub process: Option<ProcessUse>,
}

/// What the callers of one turn share.
struct LoadTurn {
    client: HttpClient,
    target: LoadTarget,
    plan: LoadPlan,
    made: Arc<AtomicU64>,
    until: Instant,
}

/// Runs a plan. The first turn of each target only warms up and is not counted.
pub async fn run(plan: &LoadPlan) -> LoadResult {
    let clients: Vec<_> = plan
        .targets
        .iter()
        .map(|_| HttpClient::new(Duration::from_secs(2)))
        .collect();
    let made = Arc::new(AtomicU64::new(0));
    let mut stats = vec![LoadStats::default(); plan.targets.len()];
    let mut watch = plan.watched.map(ProcessWatch::new);
    let end = Instant::now() + plan.time;
    let mut turn = 0;
    while Instant::now() < end && made.load(Ordering::Relaxed) < plan.calls {
        let index = turn % plan.targets.len();
        let is_warm = turn >= plan.targets.len();
        let is_watched = is_warm && index + 1 == plan.targets.len();
        let load = Arc::new(LoadTurn {
            client: clients[index].clone(),
            target: plan.targets[index].clone(),
            plan: plan.clone(),
            made: made.clone(),
            until: end.min(Instant::now() + plan.turn),
        });
        if let Some(watch) = watch.as_mut().filter(|_| is_watched) {
            watch.begin();
        }
        let measured = run_turn(load, watch.as_ref().filter(|_| is_watched)).await;
        if let Some(watch) = watch.as_mut().filter(|_| is_watched) {
            watch.end(measured.complete);
        }
        if is_warm {
            stats[index].merge(&measured);
        }
        sleep(SETTLE_TIME).await;
        turn += 1;
    }
    let names = plan.targets.iter().map(|target| target.name.clone());
    LoadResult {
        stats: names.zip(stats).collect(),
        process: watch.map(|watch| watch.total()),
    }
}

async fn run_turn(turn: Arc<LoadTurn>, watch: Option<&ProcessWatch>) -> LoadStats {
    let start = Instant::now();
    let calls = async {
        match turn.plan.shape {
            LoadShape::Closed(callers) => closed_loop(&turn, callers).await,
            LoadShape::Open(rate) => open_loop(&turn, rate).await,
        }
    };
    let mut stats = match watch {
        Some(watch) => tokio::select! {
            stats = calls => stats,
            () = watch.sample() => unreachable!("sampling does not end"),
        },
        None => calls.await,
    };
    stats.active = start.elapsed();
    stats
}

async fn closed_loop(turn: &Arc<LoadTurn>, callers: usize) -> LoadStats {
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let turn = turn.clone();
        tasks.spawn(async move {
            let mut stats = LoadStats::default();
            while Instant::now() < turn.until
                && let Some(call) = turn.next_call()
            {
                stats.add(&call.run(&turn.client, &turn.target).await);
            }
            stats
        });
    }
    join(tasks).await
}

async fn open_loop(turn: &Arc<LoadTurn>, rate: f64) -> LoadStats {
    let mut tasks = JoinSet::new();
    let mut stats = LoadStats::default();
    let mut due = Instant::now();
    loop {
        let share: f64 = rand::rng().random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-share.ln() / rate);
        if due >= turn.until {
            break;
        }
        sleep_until(due.into()).await;
        while let Some(Ok(ended)) = tasks.try_join_next() {
            stats.merge(&ended);
        }
        if tasks.len() >= OPEN_LOOP_CALLS {
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
    stats.merge(&join(tasks).await);
    stats
}

async fn join(mut tasks: JoinSet<LoadStats>) -> LoadStats {
    let mut all = LoadStats::default();
    while let Some(ended) = tasks.join_next().await {
        all.merge(&ended.expect("callers do not panic"));
    }
    all
}

impl LoadTurn {
    /// The next call; prompts differ from their first bytes on, so that no cache helps.
    fn next_call(&self) -> Option<LoadCall> {
        let number = self.made.fetch_add(1, Ordering::Relaxed);
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
            limits: CallLimits::new(CALL_LIMIT),
        })
    }
}
