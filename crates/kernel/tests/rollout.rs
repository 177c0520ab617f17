//! Plans over crashes between every step, and orders that are lost, late or out of order.

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
/// Looks within which a plan must end once nothing fails any more.
const CALM_LOOKS: usize = 200;

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
    checks: bool,
    running: Option<OrderAction>,
}

impl FakeEngine {
    fn new(checks: bool, role: EngineRole) -> Self {
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
            checks,
            running: None,
        }
    }

    fn take(&mut self, fence: LeaseEpoch, action: OrderAction) {
        if self.checks && fence < self.status.fence {
            return;
        }
        if self.checks {
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
    /// The sender waits for its answer; once given up, only the network knows of it.
    awaited: bool,
}

/// One thing that happens.
#[derive(Debug, Clone)]
enum Event {
    /// The driver looks and makes so many of its actions, then goes on or dies.
    Look { made: usize, dies: bool },
    /// An order arrives, whichever was sent first.
    Arrive(usize),
    /// An order is lost.
    Lose(usize),
    /// An engine finishes its order.
    Finish(u8),
    /// An operator asks for the way back.
    Undo,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..6usize, prop::bool::weighted(0.2)).prop_map(|(made, dies)| Event::Look { made, dies }),
        4 => any::<usize>().prop_map(Event::Arrive),
        1 => any::<usize>().prop_map(Event::Lose),
        4 => (0..ENGINES).prop_map(Event::Finish),
        1 => Just(Event::Undo),
    ]
}

struct World {
    state: ChangeState,
    offset: u64,
    engines: BTreeMap<UpstreamId, FakeEngine>,
    network: Vec<SentOrder>,
    epoch: LeaseEpoch,
}

impl World {
    fn new(spec: PlanSpec, unfenced: u8) -> Self {
        let engines = (0..ENGINES).map(|index| {
            let checks = unfenced & (1 << index) == 0;
            let role = match index {
                0 => EngineRole::Prefill,
                1 => EngineRole::Decode,
                _ => EngineRole::Serve,
            };
            (upstream(index), FakeEngine::new(checks, role))
        });
        let mut world = Self {
            state: ChangeState::default(),
            offset: 0,
            engines: engines.collect(),
            network: Vec::new(),
            epoch: LeaseEpoch(1),
        };
        world.append(LogRecord::PlanProposed {
            command: plan_id(),
            author: "ana".to_owned(),
            spec,
        });
        world
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

    /// What a driver can know: its own open orders, and what it waited out.
    fn fencing(&self, name: &UpstreamId, engine: &FakeEngine) -> OrderFencing {
        let mut open = self.network.iter().filter(|order| order.upstream == *name);
        if open.clone().any(|order| order.fence == self.epoch) {
            return OrderFencing::Wait;
        }
        match engine.checks {
            true if engine.status.fence < self.epoch => OrderFencing::RaiseToken,
            true => OrderFencing::Fenced,
            false if open.any(|order| order.awaited) => OrderFencing::Wait,
            false => OrderFencing::Fenced,
        }
    }

    fn look(&mut self, made: usize) {
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
        for action in actions.into_iter().take(made) {
            self.make(action);
        }
    }

    fn make(&mut self, action: PlanAction) {
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

    fn happen(&mut self, event: Event) {
        match event {
            Event::Look { made, dies } => {
                self.look(made);
                if dies {
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
        engine.take(order.fence, order.action);
    }

    /// Nothing fails any more: what is under way arrives, and the driver looks on.
    fn calm_down(&mut self) {
        for _ in 0..CALM_LOOKS {
            self.arrive(0);
            self.engines.values_mut().for_each(FakeEngine::finish);
            self.look(usize::MAX);
        }
    }

    fn check_promise(&self) -> Result<(), TestCaseError> {
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

fn run(spec: PlanSpec, unfenced: u8, events: Vec<Event>) -> World {
    let mut world = World::new(spec, unfenced);
    for event in events {
        world.happen(event);
    }
    world
}

proptest! {
    #![proptest_config(config())]

    /// Whatever happened, a plan ends with every engine in the new state or every one in the old.
    #[test]
    fn a_rollout_ends_whole(
        unfenced in 0..16u8,
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = run(roll(), unfenced, events);
        world.calm_down();
        world.check_promise()?;
    }

    /// The same of a swap of roles.
    #[test]
    fn a_swap_ends_whole(
        unfenced in 0..4u8,
        events in prop::collection::vec(event(), 0..80),
    ) {
        let mut world = run(swap(), unfenced, events);
        world.calm_down();
        world.check_promise()?;
    }

    /// From the moment that it has ended, every engine is as the plan says, and stays so.
    #[test]
    fn what_has_ended_holds(
        unfenced in 0..16u8,
        swaps in any::<bool>(),
        events in prop::collection::vec(event(), 0..200),
    ) {
        let mut world = World::new(if swaps { swap() } else { roll() }, unfenced);
        for event in events {
            world.happen(event);
            if world.plan().phase.is_ended() {
                world.check_promise()?;
            }
        }
    }

    /// An order of a paused driver that lands on an engine without fencing after the plan has
    /// ended is repaired.
    #[test]
    fn a_late_order_is_repaired(
        unfenced in 1..16u8,
        events in prop::collection::vec(event(), 0..60),
        late in 0..ENGINES,
        forward in any::<bool>(),
    ) {
        let mut world = run(roll(), unfenced, events);
        world.calm_down();
        // No driver sent an order to an engine that the plan never touched.
        if world.plan().steps[&upstream(late)] == StepPhase::Waiting {
            return Ok(());
        }
        world.network.push(SentOrder {
            upstream: upstream(late),
            fence: LeaseEpoch(0),
            action: OrderAction::LoadModel {
                model: "m".parse().expect("an id"),
                version: if forward { "2" } else { "1" }.to_owned(),
            },
            awaited: false,
        });
        world.calm_down();
        world.check_promise()?;
    }

    /// Never more engines are out of service than the limits allow.
    #[test]
    fn capacity_is_kept(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = World::new(roll(), 0);
        for event in events {
            world.happen(event);
            let plan = world.plan();
            let away = plan.steps.values().filter(|phase| matches!(phase, StepPhase::Started { .. }));
            prop_assert!(away.count() <= 2);
        }
    }
}

#[test]
fn room_is_bounded_by_width_and_kept_share() {
    let table = [
        (20, 2, 75, 2),
        (20, 8, 75, 5),
        (20, 8, 95, 1),
        (3, 2, 75, 1),
        (1, 4, 100, 1),
        (10, 4, 0, 4),
    ];
    for (engines, max_loading, keep_percent, room) in table {
        let limits = RolloutLimits {
            max_loading,
            keep_percent,
            soaking: false,
        };
        assert_eq!(
            limits.max_out_of_service(engines),
            room,
            "{engines} engines, {limits:?}"
        );
    }
}

#[test]
fn a_rollout_is_judged_by_errors_and_time() {
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
