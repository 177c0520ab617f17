//! Execution of engine orders: fencing, deduplication by id, and the actions themselves.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use amaranth_net::answer;
use amaranth_net::client::{CallLimits, HttpCall};
use amaranth_net::clock::unix_ms;
use amaranth_wire::engine::{EngineOrder, OrderAction, WEIGHTS_PATH};
use amaranth_wire::error::{CallError, ErrorKind, RanState};
use amaranth_wire::id::{LeaseEpoch, ModelId};
use tokio::time::sleep;

use crate::engine::EngineState;
use crate::engine_batch::BatchAdmission;

/// Completed order ids kept for deduplication.
const MAX_COMPLETED_ORDERS: usize = 1_024;
/// Timeout for each read of a weight download.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks whether the batch is empty.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Outcome of checking an order against those seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderDecision {
    /// New: to be executed.
    Start,
    /// Already executed or being executed.
    Duplicate,
    /// Its fencing token is below the highest one seen, which is given here.
    Stale(LeaseEpoch),
    /// Another order is being executed.
    Busy,
}

/// Tracks the current order, completed ids and the highest fencing token.
#[derive(Debug)]
pub struct OrderTracker {
    checks_fencing: bool,
    fence: LeaseEpoch,
    current: Option<String>,
    completed: VecDeque<String>,
}

impl OrderTracker {
    /// Creates a tracker without orders.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            fence: LeaseEpoch(0),
            current: None,
            completed: VecDeque::new(),
        }
    }

    /// The highest fencing token seen; 0 if tokens are not checked.
    pub fn fence(&self) -> LeaseEpoch {
        self.fence
    }

    /// Checks an order, and makes it the current one if it is to be executed.
    pub fn admit(&mut self, order: &EngineOrder) -> OrderDecision {
        if self.checks_fencing {
            if order.fence < self.fence {
                return OrderDecision::Stale(self.fence);
            }
            self.fence = order.fence;
        }
        if self.current.as_ref() == Some(&order.id) || self.completed.contains(&order.id) {
            return OrderDecision::Duplicate;
        }
        if self.current.is_some() {
            return OrderDecision::Busy;
        }
        self.current = Some(order.id.clone());
        OrderDecision::Start
    }

    /// Ends the current order and returns its id if it succeeded. A failed order may be sent again.
    pub fn finish(&mut self, succeeded: bool) -> Option<String> {
        let id = self.current.take()?;
        if !succeeded {
            return None;
        }
        self.completed.push_back(id.clone());
        if self.completed.len() > MAX_COMPLETED_ORDERS {
            self.completed.pop_front();
        }
        Some(id)
    }
}

impl EngineState {
    /// Accepts an order and executes it in the background; the status shows when it has ended.
    pub(crate) fn accept_order(self: &Arc<Self>, order: EngineOrder) -> answer::Result<()> {
        let mut core = self.core();
        let decision = core.orders.admit(&order);
        core.status.fence = core.orders.fence();
        match decision {
            OrderDecision::Duplicate => Ok(()),
            OrderDecision::Stale(fence) => {
                let message = format!("the fencing number {} is below {fence}", order.fence);
                Err(CallError::new(ErrorKind::Conflict, message))
            }
            OrderDecision::Busy => {
                let message = "another order is being carried out";
                Err(CallError::new(ErrorKind::Overloaded, message).with_ran(RanState::No))
            }
            OrderDecision::Start => {
                core.status.busy = true;
                drop(core);
                tokio::spawn(self.clone().execute_order(order));
                Ok(())
            }
        }
    }

    async fn execute_order(self: Arc<Self>, order: EngineOrder) {
        let stop = self.stop.clone();
        let succeeded = tokio::select! {
            succeeded = self.prepare(&order.action) => succeeded,
            () = stop.cancelled() => return,
        };
        if succeeded && needs_empty_batch(&order.action) {
            self.drain_batch().await;
        }
        let mut core = self.core();
        if succeeded {
            core.apply_action(&order.action);
        }
        core.status.busy = false;
        core.admission = BatchAdmission::Open;
        if let Some(id) = core.orders.finish(succeeded) {
            core.status.last_order = Some(id);
            core.counts.orders += 1;
        }
        drop(core);
        self.wake();
        log::info!("event=order_ended order={} succeeded={succeeded}", order.id);
    }

    /// Runs the part of an order during which the engine serves as before, such as a download.
    async fn prepare(&self, action: &OrderAction) -> bool {
        sleep(self.profile.order_time).await;
        match action {
            OrderAction::LoadModel { model, version } => self.read_weights(model, version).await,
            OrderAction::LoadAdapter { adapter } => match adapter.parse() {
                Ok(adapter) => self.read_weights(&adapter, "adapter").await,
                Err(_) => false,
            },
            _ => true,
        }
    }

    async fn read_weights(&self, model: &ModelId, version: &str) -> bool {
        let Some(store) = self.profile.weights else {
            return true;
        };
        let call = HttpCall::get(store, format!("{WEIGHTS_PATH}/{model}/{version}"));
        let limits = CallLimits::new(WEIGHTS_TIMEOUT);
        let Ok(mut answer) = self.client.send(call, limits).await else {
            return false;
        };
        if answer.status() != 200 {
            return false;
        }
        loop {
            match answer.next_chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    /// Stops admission and waits until no stream is running.
    async fn drain_batch(&self) {
        self.core().admission = BatchAdmission::Paused;
        while !self.core().batch.remove_ended() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

fn needs_empty_batch(action: &OrderAction) -> bool {
    matches!(
        action,
        OrderAction::LoadModel { .. } | OrderAction::SetRole { .. }
    )
}

impl crate::engine::EngineCore {
    fn apply_action(&mut self, action: &OrderAction) {
        let status = &mut self.status;
        match action {
            OrderAction::LoadModel { model, version } => {
                status.model = Some(model.clone());
                status.version = version.clone();
                status.adapters.clear();
                self.batch.refuse_waiting();
                self.batch.cache().clear(unix_ms());
            }
            OrderAction::LoadAdapter { adapter } => {
                if let Err(at) = status.adapters.binary_search(adapter) {
                    status.adapters.insert(at, adapter.clone());
                }
            }
            OrderAction::UnloadAdapter { adapter } => status.adapters.retain(|a| a != adapter),
            OrderAction::SetRole { role } => {
                status.role = *role;
                self.batch.refuse_waiting();
            }
            OrderAction::SetLeaving { leaving } => status.leaving = *leaving,
        }
    }
}
