//! Discrete-event simulation of routing and admission control, which prints latency and goodput of
//! each policy and of baselines. Usage: `online_figures [SECONDS]`.
//!
//! Twelve instances share ten simulated engines of different speeds. An engine runs continuous
//! batching, admits in order of arrival and publishes its load with a delay. Callers do not retry
//! after a refusal.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use amaranth_kernel::admission_queue::{
    AdmissionQueue, DequeueOutcome, EnqueueOutcome, QueueTicket,
};
use amaranth_kernel::concurrency_limit::ConcurrencyLimit;
use amaranth_kernel::plugin::routing_policy;
use amaranth_kernel::routing::{RouteHint, UpstreamView, measured_speeds};
use amaranth_kernel::upstream_load::{LoadTracker, LoadView};
use amaranth_wire::engine::EngineLoad;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 4;
const INSTANCES: usize = 12;
const SPEEDS: [f64; 10] = [1.0, 1.0, 0.6, 0.4, 1.5, 1.0, 1.0, 0.6, 0.4, 1.5];
const SLOTS: usize = 16;
const STEP_US: f64 = 20_000.0;
const STEP_GROWTH: f64 = 0.02;
const TOKENS: std::ops::Range<u32> = 20..121;
const GAP_OBJECTIVE_US: u64 = 70_000;
const DEADLINE_US: u64 = 8_000_000;
const REPORT_LAG_US: u64 = 500_000;
const POLL_US: u64 = 330_000;
const HISTORY_US: u64 = 20_000;
const QUEUE_LIMIT: usize = 256;
const WARM_UP_US: u64 = 30_000_000;
const PREFIXES: usize = 200;
const CACHED_PREFIXES: usize = 40;
const PREFILL_MISS_US: f64 = 40_000.0;
const PREFILL_HIT_US: f64 = 2_000.0;

#[derive(Clone, Copy, PartialEq)]
enum Router {
    Policy(&'static str),
    /// Baseline that sees every engine's current load and cache.
    Omniscient,
}

#[derive(Clone, Copy)]
struct Trial {
    router: Router,
    admission: bool,
    load: f64,
    prefixes: bool,
    seconds: u64,
}

#[derive(Clone)]
struct Job {
    instance: usize,
    arrived_us: u64,
    sent_us: u64,
    tokens: u32,
    done: u32,
    last_us: u64,
    prefix: Option<usize>,
}

struct Engine {
    speed: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    stepping: bool,
    cache: VecDeque<usize>,
    history: VecDeque<(u64, EngineLoad)>,
}

impl Engine {
    fn total(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    fn step_us(&self) -> f64 {
        let others = self.running.len().saturating_sub(1) as f64;
        STEP_US * (1.0 + STEP_GROWTH * others) / self.speed
    }

    fn load(&self, now_us: u64) -> EngineLoad {
        EngineLoad {
            time_ms: now_us / 1_000,
            active: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            step_us: self.step_us() as u64,
            leaving: false,
        }
    }

    /// Marks a prefix as most recently used in the cache; true on a cache hit.
    fn use_prefix(&mut self, prefix: usize) -> bool {
        let found = self.cache.iter().position(|&cached| cached == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        found.is_some()
    }
}

struct Instance {
    trackers: Vec<LoadTracker>,
    limits: Vec<ConcurrencyLimit>,
    dithers: Vec<f64>,
    queue: AdmissionQueue,
    waiting: HashMap<QueueTicket, Job>,
    counter: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Step(usize),
    Poll(usize),
    RecordLoads,
}

#[derive(Default)]
struct Figures {
    first_token_us: Vec<u64>,
    token_gap_us: Vec<u64>,
    in_time: u64,
    late: u64,
    refused: u64,
    hits: u64,
    lookups: u64,
}

struct Simulation {
    trial: Trial,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    rng: StdRng,
    figures: Figures,
}

/// Requests per second that all engines complete at full batches.
fn capacity() -> f64 {
    let step = STEP_US * (1.0 + STEP_GROWTH * (SLOTS - 1) as f64) / 1e6;
    let mean_tokens = f64::from(TOKENS.start + TOKENS.end - 1) / 2.0;
    SPEEDS.iter().sum::<f64>() * SLOTS as f64 / step / mean_tokens
}

impl Simulation {
    fn new(trial: Trial) -> Self {
        let engine = |speed: &f64| Engine {
            speed: *speed,
            running: Vec::new(),
            waiting: VecDeque::new(),
            stepping: false,
            cache: VecDeque::new(),
            history: VecDeque::new(),
        };
        let instance = |_| Instance {
            trackers: vec![LoadTracker::new(SLOTS as u32); SPEEDS.len()],
            limits: vec![ConcurrencyLimit::new(SLOTS as u32); SPEEDS.len()],
            dithers: vec![0.5; SPEEDS.len()],
            queue: AdmissionQueue::new(QUEUE_LIMIT),
            waiting: HashMap::new(),
            counter: 0,
        };
        Self {
            trial,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            engines: SPEEDS.iter().map(engine).collect(),
            instances: (0..INSTANCES).map(instance).collect(),
            rng: StdRng::seed_from_u64(SEED),
            figures: Figures::default(),
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        let entry = (self.now_us + delay_us, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn is_measuring(&self) -> bool {
        self.now_us >= WARM_UP_US
    }

    fn run(mut self) -> Figures {
        self.schedule(0, Event::Arrival);
        self.schedule(0, Event::RecordLoads);
        for instance in 0..INSTANCES {
            self.schedule(
                POLL_US * instance as u64 / INSTANCES as u64,
                Event::Poll(instance),
            );
        }
        let end_us = WARM_UP_US + self.trial.seconds * 1_000_000;
        while let Some(Reverse((time_us, _, event))) = self.events.pop() {
            if time_us > end_us {
                break;
            }
            self.now_us = time_us;
            match event {
                Event::Arrival => self.arrive(),
                Event::Step(engine) => self.step(engine),
                Event::Poll(instance) => self.poll(instance),
                Event::RecordLoads => self.record_loads(),
            }
        }
        self.figures
    }

    fn arrive(&mut self) {
        let rate = capacity() * self.trial.load;
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
        self.schedule((gap * 1e6) as u64, Event::Arrival);
        let instance = self.rng.random_range(0..INSTANCES);
        let prefix = self.trial.prefixes.then(|| {
            // The square of the draw makes low-numbered prefixes more popular.
            let draw = self.rng.random::<f64>();
            (draw * draw * PREFIXES as f64) as usize
        });
        let job = Job {
            instance,
            arrived_us: self.now_us,
            sent_us: 0,
            tokens: self.rng.random_range(TOKENS),
            done: 0,
            last_us: 0,
            prefix,
        };
        match self.trial.admission {
            false => {
                let engine = self.pick_engine(instance, job.prefix, false);
                self.send(engine.expect("all engines are available"), job);
            }
            true => self.admit(instance, job),
        }
    }

    fn admit(&mut self, instance: usize, job: Job) {
        let deadline_ms = (job.arrived_us + DEADLINE_US) / 1_000;
        let now_ms = self.now_ms();
        if self.instances[instance].queue.is_empty() {
            if !self.instances[instance]
                .queue
                .can_meet_deadline(deadline_ms, now_ms)
            {
                return self.refuse();
            }
            if let Some(engine) = self.pick_engine(instance, job.prefix, true) {
                return self.send(engine, job);
            }
        }
        let team = "default".parse().expect("a valid name");
        let state = &mut self.instances[instance];
        match state.queue.enqueue(&team, deadline_ms, now_ms) {
            EnqueueOutcome::Wait(ticket) => {
                state.waiting.insert(ticket, job);
            }
            EnqueueOutcome::Displace { .. } | EnqueueOutcome::Refuse(_) => self.refuse(),
        }
    }

    fn refuse(&mut self) {
        self.figures.refused += u64::from(self.is_measuring());
    }

    fn send_waiting(&mut self, instance: usize) {
        while let Some(ticket) = self.instances[instance].queue.peek() {
            let prefix = self.instances[instance].waiting[&ticket].prefix;
            let Some(engine) = self.pick_engine(instance, prefix, true) else {
                return;
            };
            let now_ms = self.now_ms();
            let state = &mut self.instances[instance];
            match state.queue.dequeue(now_ms) {
                Some(DequeueOutcome::Send(ticket)) => {
                    let job = state.waiting.remove(&ticket).expect("it waits");
                    self.send(engine, job);
                }
                Some(DequeueOutcome::Refuse(ticket, _)) => {
                    state.waiting.remove(&ticket);
                    self.refuse();
                }
                None => return,
            }
        }
    }

    fn pick_engine(
        &mut self,
        instance: usize,
        prefix: Option<usize>,
        with_room: bool,
    ) -> Option<usize> {
        let Router::Policy(name) = self.trial.router else {
            return self.pick_omniscient(prefix);
        };
        let now_ms = self.now_ms();
        let state = &mut self.instances[instance];
        let loads: Vec<_> = state
            .trackers
            .iter()
            .map(|tracker| tracker.view(now_ms, INSTANCES as u32))
            .collect();
        let steps: Vec<_> = loads.iter().map(|load| load.step_us).collect();
        let speeds = measured_speeds(&[1.0; SPEEDS.len()], &steps);
        let has_room = |index: usize, ask: fn(&ConcurrencyLimit, &LoadView, u32, f64) -> bool| {
            let (limit, load) = (&state.limits[index], &loads[index]);
            ask(limit, load, INSTANCES as u32, state.dithers[index])
        };
        let view = |index: usize| UpstreamView {
            upstream: format!("engine-{index}").parse().expect("a valid name"),
            available: !with_room || has_room(index, ConcurrencyLimit::has_room),
            affine: !with_room || has_room(index, ConcurrencyLimit::has_affinity_room),
            in_flight: loads[index].own,
            load: loads[index].total,
            slots: loads[index].slots,
            speed: speeds[index],
        };
        let views: Vec<_> = (0..SPEEDS.len()).map(view).collect();
        state.counter += 1;
        let hint = RouteHint {
            counter: state.counter,
            prefix: prefix.map(|prefix| prefix as u64),
        };
        let policy = routing_policy(name).expect("a registered policy");
        (policy.pick)(&views, hint, &mut self.rng)
    }

    /// The engine with the least work for its speed among those that cache the prefix and have a
    /// free slot, else among all.
    fn pick_omniscient(&self, prefix: Option<usize>) -> Option<usize> {
        let cost = |index: &usize| {
            let engine = &self.engines[*index];
            (engine.total() + 1) as f64 / engine.speed
        };
        let least = |indexes: Vec<usize>| {
            let best = indexes.into_iter();
            best.min_by(|a, b| cost(a).total_cmp(&cost(b)))
        };
        let all: Vec<_> = (0..SPEEDS.len()).collect();
        let has = |index: &usize| {
            prefix.is_some_and(|prefix| self.engines[*index].cache.contains(&prefix))
                && self.engines[*index].total() < SLOTS
        };
        let holders: Vec<_> = all.iter().copied().filter(has).collect();
        least(holders).or_else(|| least(all))
    }

    fn send(&mut self, engine: usize, mut job: Job) {
        let now_ms = self.now_ms();
        job.sent_us = self.now_us;
        self.instances[job.instance].trackers[engine].record_start(now_ms);
        self.engines[engine].waiting.push_back(job);
        self.start_step(engine);
    }

    fn start_step(&mut self, index: usize) {
        let measuring = self.is_measuring();
        let engine = &mut self.engines[index];
        if engine.stepping {
            return;
        }
        let mut prefill_us = 0.0;
        while engine.running.len() < SLOTS {
            let Some(job) = engine.waiting.pop_front() else {
                break;
            };
            if let Some(prefix) = job.prefix {
                let hit = engine.use_prefix(prefix);
                prefill_us += if hit { PREFILL_HIT_US } else { PREFILL_MISS_US };
                self.figures.hits += u64::from(hit && measuring);
                self.figures.lookups += u64::from(measuring);
            }
            engine.running.push(job);
        }
        if engine.running.is_empty() {
            return;
        }
        engine.stepping = true;
        let took = engine.step_us() + prefill_us / engine.speed;
        self.schedule(took as u64, Event::Step(index));
    }

    fn step(&mut self, index: usize) {
        let (now_us, measuring) = (self.now_us, self.is_measuring());
        let engine = &mut self.engines[index];
        engine.stepping = false;
        let mut ended = Vec::new();
        for job in &mut engine.running {
            job.done += 1;
            if measuring {
                match job.done {
                    1 => self.figures.first_token_us.push(now_us - job.arrived_us),
                    _ => self.figures.token_gap_us.push(now_us - job.last_us),
                }
            }
            job.last_us = now_us;
        }
        engine.running.retain(|job| {
            if job.done >= job.tokens {
                ended.push(job.clone());
            }
            job.done < job.tokens
        });
        for job in ended {
            self.end(index, &job);
        }
        self.start_step(index);
    }

    fn end(&mut self, engine: usize, job: &Job) {
        let now_ms = self.now_ms();
        let in_time = self.now_us <= job.arrived_us + DEADLINE_US;
        if self.is_measuring() {
            self.figures.in_time += u64::from(in_time);
            self.figures.late += u64::from(!in_time);
        }
        let state = &mut self.instances[job.instance];
        state.trackers[engine].record_end(now_ms);
        state
            .queue
            .record_service_time((self.now_us - job.sent_us) / 1_000);
        self.send_waiting(job.instance);
    }

    fn poll(&mut self, instance: usize) {
        let now_ms = self.now_ms();
        let seen_us = self.now_us.saturating_sub(REPORT_LAG_US);
        for (index, engine) in self.engines.iter().enumerate() {
            let seen = engine.history.iter().rev().find(|(at, _)| *at <= seen_us);
            let state = &mut self.instances[instance];
            if let Some((_, load)) = seen
                && state.trackers[index].apply_report(load, now_ms)
            {
                state.limits[index].adapt(load.slots, load.step_us, GAP_OBJECTIVE_US);
                state.dithers[index] = self.rng.random();
            }
        }
        self.schedule(POLL_US, Event::Poll(instance));
        self.send_waiting(instance);
    }

    fn record_loads(&mut self) {
        let now_us = self.now_us;
        for engine in &mut self.engines {
            let load = engine.load(now_us);
            engine.history.push_back((now_us, load));
            if engine.history.len() > 64 {
                engine.history.pop_front();
            }
        }
        self.schedule(HISTORY_US, Event::RecordLoads);
    }
}

fn percentile(samples: &mut [u64], share: f64) -> f64 {
    if samples.is_empty() {
        return f64::NAN;
    }
    samples.sort_unstable();
    let index = ((samples.len() - 1) as f64 * share) as usize;
    samples[index] as f64 / 1_000.0
}

fn run_and_print(name: &str, trial: Trial) {
    let mut figures = Simulation::new(trial).run();
    let goodput = figures.in_time as f64 / trial.seconds as f64 / capacity();
    let first = [0.5, 0.95, 0.99].map(|share| percentile(&mut figures.first_token_us, share));
    let gap = [0.5, 0.95, 0.99].map(|share| percentile(&mut figures.token_gap_us, share));
    let hits = 100.0 * figures.hits as f64 / figures.lookups.max(1) as f64;
    println!(
        "{name:<28} {:>5.2} | {:>7.0} {:>7.0} {:>7.0} | {:>5.0} {:>5.0} {:>5.0} | {:>7.2} {:>6} {:>7} | {hits:>5.1}",
        trial.load,
        first[0],
        first[1],
        first[2],
        gap[0],
        gap[1],
        gap[2],
        goodput,
        figures.late,
        figures.refused,
    );
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let base = Trial {
        router: Router::Policy("round_robin"),
        admission: false,
        load: 0.7,
        prefixes: false,
        seconds: seconds.unwrap_or(120),
    };
    println!("capacity {:.1} requests/s, seed {SEED}", capacity());
    println!(
        "{:<28} {:>5} | first token ms p50 p95 p99 | token gap ms | goodput late refused | hit %",
        "policy", "load"
    );
    let policies = ["round_robin", "least_in_flight", "two_choices"];
    for load in [0.7, 0.95] {
        for name in policies {
            let router = Router::Policy(name);
            run_and_print(
                name,
                Trial {
                    router,
                    load,
                    ..base
                },
            );
        }
        let router = Router::Policy("two_choices");
        let admission = true;
        run_and_print(
            "two_choices + admission",
            Trial {
                router,
                load,
                admission,
                ..base
            },
        );
    }
    for load in [2.0, 5.0] {
        for name in ["round_robin", "least_in_flight"] {
            let router = Router::Policy(name);
            run_and_print(
                name,
                Trial {
                    router,
                    load,
                    ..base
                },
            );
        }
        let router = Router::Policy("two_choices");
        let admission = true;
        run_and_print(
            "two_choices + admission",
            Trial {
                router,
                load,
                admission,
                ..base
            },
        );
    }
    let prefixes = Trial {
        prefixes: true,
        ..base
    };
    for name in ["random", "two_choices", "prefix_affinity"] {
        let router = Router::Policy(name);
        let admission = name == "prefix_affinity";
        run_and_print(
            &format!("{name}, prefixes"),
            Trial {
                router,
                admission,
                ..prefixes
            },
        );
    }
    let router = Router::Omniscient;
    run_and_print("omniscient, prefixes", Trial { router, ..prefixes });
}
