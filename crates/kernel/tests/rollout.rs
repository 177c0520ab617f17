//! Plans under driver crashes between any two steps, and lost, late or reordered orders.

use std::collections::BTreeMap;

use amaranth_kernel::change_state::ChangeState;
use amaranth_kernel::plan_state::{PlanPhase, PlanState, StepPhase};
use amaranth_kernel::rollout::{
    EngineObservation, OrderFencing, PlanAction, RolloutLimits, UpstreamSample, detect_regression,
    next_actions, repair_orders,
};
use amaranth_wire::change::{PlanSpec, PlanStep};
use amaranth_wire::engine::{EngineRole, EngineStatus, OrderAction};
use amaranth_wire::id::{CommandId, LeaseEpoch, LogOffset, UpstreamId};
use amaranth_wire::record::LogRecord;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 0x0117;
const ENGINES: u8 = 4;
/// Driver rounds within which a plan must end once no more faults occur.
const FAULT_FREE_ROUNDS: usize = 200;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn upstream(index: u8) -> UpstreamId {
    format!("u-{}", index % ENGINES).parse().expect("an id")
}

fn plan_id() -> CommandId {
    "roll".parse().expect("an id")
}

#[derive(Debug, Clone)]
struct FakeEngine {
    status: EngineStatus,
    checks_fencing: bool,
    running: Option<OrderAction>,
}

impl FakeEngine {
    fn new(checks_fencing: bool, role: EngineRole) -> Self {
        Self {
            status: EngineStatus {
                model: Some("m".parse().expect("an id")),
                version: "1".to_owned(),
                adapters: Vec::new(),
                role,
                busy: false,
                last_order: None,
                fence: LeaseEpoch(0),
                leaving: false,
            },
            checks_fencing,
            running: None,
        }
    }

    fn receive_order(&mut self, fence: LeaseEpoch, action: OrderAction) {
        if self.checks_fencing && fence < self.status.fence {
            return;
        }
        if self.checks_fencing {
            self.status.fence = fence;
        }
        if self.running.is_none() {
            self.running = Some(action);
            self.status.busy = true;
        }
    }

    fn finish(&mut self) {
        match self.running.take() {
            Some(OrderAction::LoadModel { model, version }) => {
                self.status.model = Some(model);
                self.status.version = version;
            }
            Some(OrderAction::SetRole { role }) => self.status.role = role,
            _ => {}
        }
        self.status.busy = false;
    }
}

#[derive(Debug, Clone)]
struct SentOrder {
    upstream: UpstreamId,
    fence: LeaseEpoch,
    action: OrderAction,
    /// Whether the sender still waits for the answer; if not, the order can still arrive.
    awaited: bool,
}

/// A simulated event.
#[derive(Debug, Clone)]
enum Event {
    /// The driver runs one round and executes up to `executed` actions; it may then crash.
    DriverRound { executed: usize, crashes: bool },
    /// Any order in transit arrives; the argument selects which.
    Arrive(usize),
    /// An order in transit is lost.
    Lose(usize),
    /// An engine finishes its order.
    Finish(u8),
    /// An operator undoes the plan.
    Undo,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..6usize, prop::bool::weighted(0.2)).prop_map(|(executed, crashes)| Event::DriverRound { executed, crashes }),
        4 => any::<usize>().prop_map(Event::Arrive),
        1 => any::<usize>().prop_map(Event::Lose),
        4 => (0..ENGINES).prop_map(Event::Finish),
        1 => Just(Event::Undo),
    ]
}

struct Simulation {
    state: ChangeState,
    offset: u64,
    engines: BTreeMap<UpstreamId, FakeEngine>,
    network: Vec<SentOrder>,
    epoch: LeaseEpoch,
}

impl Simulation {
    fn new(spec: PlanSpec, unfenced: u8) -> Self {
        let engines = (0..ENGINES).map(|index| {
            let checks_fencing = unfenced & (1 << index) == 0;
            let role = match index {
                0 => EngineRole::Prefill,
                1 => EngineRole::Decode,
                _ => EngineRole::Serve,
            };
            (upstream(index), FakeEngine::new(checks_fencing, role))
        });
        let mut simulation = Self {
            state: ChangeState::default(),
            offset: 0,
            engines: engines.collect(),
            network: Vec::new(),
            epoch: LeaseEpoch(1),
        };
        simulation.append(LogRecord::PlanProposed {
            command: plan_id(),
            author: "ana".to_owned(),
            spec,
        });
        simulation
    }

    fn append(&mut self, record: LogRecord) {
        let offset = LogOffset(self.offset);
        self.offset += 1;
        self.state.apply_entry(offset, offset.0, &[record]);
    }

    fn plan(&self) -> PlanState {
        let plan = self.state.core().plans.get(&plan_id());
        plan.expect("the plan").clone()
    }

    fn observations(&self) -> BTreeMap<UpstreamId, EngineObservation> {
        let observations = self.engines.iter().map(|(name, engine)| {
            let observation = EngineObservation {
                status: Some(engine.status.clone()),
                fencing: self.fencing(name, engine),
                ..EngineObservation::default()
            };
            (name.clone(), observation)
        });
        observations.collect()
    }

    /// What a driver can know: its own open orders, and those of others that have timed out.
    fn fencing(&self, name: &UpstreamId, engine: &FakeEngine) -> OrderFencing {
        let mut open = self.network.iter().filter(|order| order.upstream == *name);
        if open.clone().any(|order| order.fence == self.epoch) {
            return OrderFencing::Wait;
        }
        match engine.checks_fencing {
            true if engine.status.fence < self.epoch => OrderFencing::RaiseToken,
            true => OrderFencing::Safe,
            false if open.any(|order| order.awaited) => OrderFencing::Wait,
            false => OrderFencing::Safe,
        }
    }

    fn run_driver(&mut self, executed: usize) {
        let limits = RolloutLimits {
            max_loading: 2,
            keep_percent: 50,
            soaking: false,
        };
        let plan = self.plan();
        let observations = self.observations();
        let mut actions = next_actions(&plan, self.epoch, &observations, limits, None);
        if plan.phase.is_ended() {
            actions = repair_orders(&plan, &observations, |_| false);
        }
        for action in actions.into_iter().take(executed) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: PlanAction) {
        let step = match action {
            PlanAction::Order { upstream, action } => {
                self.network.push(SentOrder {
                    upstream,
                    fence: self.epoch,
                    action,
                    awaited: true,
                });
                return;
            }
            PlanAction::TakeOver => PlanStep::TakenOver,
            PlanAction::Start { upstream, before } => PlanStep::Started { upstream, before },
            PlanAction::Finish(upstream) => PlanStep::Finished { upstream },
            PlanAction::Restore(upstream) => PlanStep::Restored { upstream },
            PlanAction::Halt(reason) => PlanStep::Halted { reason },
            PlanAction::Commit => PlanStep::Committed,
            PlanAction::Revert => PlanStep::Reverted,
        };
        self.append(LogRecord::PlanStepped {
            plan: plan_id(),
            epoch: self.epoch,
            step,
        });
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::DriverRound { executed, crashes } => {
                self.run_driver(executed);
                if crashes {
                    self.epoch.0 += 1;
                }
            }
            Event::Arrive(index) => self.arrive(index),
            Event::Lose(index) if !self.network.is_empty() => {
                let index = index % self.network.len();
                self.network.remove(index);
            }
            Event::Lose(_) => {}
            Event::Finish(index) => {
                let engine = self.engines.get_mut(&upstream(index));
                engine.expect("an engine").finish();
            }
            Event::Undo => self.append(LogRecord::PlanUndone {
                command: format!("undo-{}", self.offset).parse().expect("an id"),
                author: "bia".to_owned(),
                plan: plan_id(),
            }),
        }
    }

    fn arrive(&mut self, index: usize) {
        if self.network.is_empty() {
            return;
        }
        let order = self.network.remove(index % self.network.len());
        let engine = self.engines.get_mut(&order.upstream).expect("an engine");
        engine.receive_order(order.fence, order.action);
    }

    /// Runs without faults: orders in transit arrive and the driver continues.
    fn run_without_faults(&mut self) {
        for _ in 0..FAULT_FREE_ROUNDS {
            self.arrive(0);
            self.engines.values_mut().for_each(FakeEngine::finish);
            self.run_driver(usize::MAX);
        }
    }

    fn check_outcome(&self) -> Result<(), TestCaseError> {
        let plan = self.plan();
        prop_assert!(plan.phase.is_ended(), "still {}", plan.phase);
        let roles = |index: u8| self.engines[&upstream(index)].status.role;
        let versions = plan
            .steps
            .keys()
            .map(|name| &self.engines[name].status.version);
        let committed = plan.phase == PlanPhase::Committed;
        match plan.spec {
            PlanSpec::SwapRoles { .. } => {
                let expected = match committed {
                    true => (EngineRole::Decode, EngineRole::Prefill),
                    false => (EngineRole::Prefill, EngineRole::Decode),
                };
                prop_assert_eq!((roles(0), roles(1)), expected);
            }
            _ => {
                let expected = if committed { "2" } else { "1" };
                for version in versions {
                    prop_assert_eq!(version, expected, "{:?}", plan.steps);
                }
            }
        }
        Ok(())
    }
}

fn roll() -> PlanSpec {
    PlanSpec::RollModel {
        tier: "t".parse().expect("an id"),
        model: "m".parse().expect("an id"),
        version: "2".to_owned(),
        upstreams: (0..ENGINES).map(upstream).collect(),
    }
}

fn swap() -> PlanSpec {
    PlanSpec::SwapRoles {
        first: upstream(0),
        second: upstream(1),
    }
}

fn run(spec: PlanSpec, unfenced: u8, events: Vec<Event>) -> Simulation {
    let mut simulation = Simulation::new(spec, unfenced);
    for event in events {
        simulation.apply_event(event);
    }
    simulation
}

proptest! {
    #![proptest_config(config())]

    /// After any events, a plan ends with every engine in the new state or every one in the old.
    #[test]
    fn a_rollout_ends_fully_applied_or_reverted(
        unfenced in 0..16u8,
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut simulation = run(roll(), unfenced, events);
        simulation.run_without_faults();
        simulation.check_outcome()?;
    }

    /// The same for a role swap.
    #[test]
    fn a_role_swap_ends_fully_applied_or_reverted(
        unfenced in 0..4u8,
        events in prop::collection::vec(event(), 0..80),
    ) {
        let mut simulation = run(swap(), unfenced, events);
        simulation.run_without_faults();
        simulation.check_outcome()?;
    }

    /// As soon as a plan has ended, every engine is in the state it left, and stays there.
    #[test]
    fn engines_keep_the_outcome_of_an_ended_plan(
        unfenced in 0..16u8,
        swaps in any::<bool>(),
        events in prop::collection::vec(event(), 0..200),
    ) {
        let mut simulation = Simulation::new(if swaps { swap() } else { roll() }, unfenced);
        for event in events {
            simulation.apply_event(event);
            if simulation.plan().phase.is_ended() {
                simulation.check_outcome()?;
            }
        }
    }

    /// If an order of a paused driver reaches an engine without fencing after the plan has ended,
    /// the engine is repaired.
    #[test]
    fn a_late_order_after_the_end_is_repaired(
        unfenced in 1..16u8,
        events in prop::collection::vec(event(), 0..60),
        late in 0..ENGINES,
        forward in any::<bool>(),
    ) {
        let mut simulation = run(roll(), unfenced, events);
        simulation.run_without_faults();
        // No driver ever sends an order to an engine that the plan has not started.
        if simulation.plan().steps[&upstream(late)] == StepPhase::Waiting {
            return Ok(());
        }
        simulation.network.push(SentOrder {
            upstream: upstream(late),
            fence: LeaseEpoch(0),
            action: OrderAction::LoadModel {
                model: "m".parse().expect("an id"),
                version: if forward { "2" } else { "1" }.to_owned(),
            },
            awaited: false,
        });
        simulation.run_without_faults();
        simulation.check_outcome()?;
    }

    /// The number of engines out of service never exceeds the limit.
    #[test]
    fn engines_out_of_service_stay_within_the_limit(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut simulation = Simulation::new(roll(), 0);
        for event in events {
            simulation.apply_event(event);
            let plan = simulation.plan();
            let away = plan.steps.values().filter(|phase| matches!(phase, StepPhase::Started { .. }));
            prop_assert!(away.count() <= 2);
        }
    }
}

#[test]
fn engines_out_of_service_are_bounded_by_both_limits() {
    let table = [
        (20, 2, 75, 2),
        (20, 8, 75, 5),
        (20, 8, 95, 1),
        (3, 2, 75, 1),
        (1, 4, 100, 1),
        (10, 4, 0, 4),
    ];
    for (engines, max_loading, keep_percent, max_out) in table {
        let limits = RolloutLimits {
            max_loading,
            keep_percent,
            soaking: false,
        };
        assert_eq!(
            limits.max_out_of_service(engines),
            max_out,
            "{engines} engines, {limits:?}"
        );
    }
}

#[test]
fn a_regression_is_detected_by_errors_and_duration() {
    let sample = |requests: u64, errors: u64, total_ms: u64| UpstreamSample {
        requests,
        errors,
        total_ms,
    };
    let table = [
        (
            "too few",
            sample(500, 0, 50_000),
            sample(19, 9, 1_900),
            None,
        ),
        (
            "most fail",
            sample(500, 0, 50_000),
            sample(4, 3, 400),
            Some("75 % of requests"),
        ),
        (
            "alike",
            sample(500, 5, 50_000),
            sample(100, 2, 11_000),
            None,
        ),
        (
            "both fail",
            sample(500, 50, 50_000),
            sample(100, 11, 11_000),
            None,
        ),
        (
            "errors",
            sample(500, 5, 50_000),
            sample(100, 6, 10_000),
            Some("6 % of requests"),
        ),
        (
            "slower",
            sample(500, 0, 50_000),
            sample(100, 0, 21_000),
            Some("210 ms"),
        ),
        ("no base", sample(0, 0, 0), sample(100, 0, 21_000), None),
    ];
    for (name, old, new, expected) in table {
        let reason = detect_regression(old, new, 5);
        match expected {
            None => assert_eq!(reason, None, "{name}"),
            Some(text) => assert!(
                reason.clone().is_some_and(|r| r.contains(text)),
                "{name}: {reason:?}"
            ),
        }
    }
}
