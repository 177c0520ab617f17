//! Connections that go silent: those that were open at some moment, for good, or all for a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use amaranth_net::server::AcceptHook;
use tokio::sync::watch;

/// Which connections are silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct GateState {
    /// Every connection is silent.
    frozen: bool,
    /// Connections of generations below this are silent for good.
    min_generation: u64,
}

/// Knows the age of each connection and lets answers through or holds them.
#[derive(Debug, Default)]
pub struct ConnectionGate {
    generations: Mutex<HashMap<SocketAddr, u64>>,
    state: watch::Sender<GateState>,
}

impl ConnectionGate {
    /// Notes an accepted connection.
    pub fn record_connection(&self, peer: SocketAddr) {
        let generation = self.state.borrow().min_generation;
        let mut generations = self.generations.lock().expect("not poisoned");
        generations.insert(peer, generation);
    }

    /// The hook by which a server reports its connections.
    pub fn accept_hook(self: &Arc<Self>) -> AcceptHook {
        let gate = self.clone();
        Arc::new(move |peer| gate.record_connection(peer))
    }

    /// Makes every connection silent, or ends that.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.send_modify(|state| state.frozen = frozen);
    }

    /// Makes the connections that are open now silent for good.
    pub fn silence_existing(&self) {
        self.state.send_modify(|state| state.min_generation += 1);
    }

    /// The pass of a connection.
    pub fn waiter(&self, peer: Option<SocketAddr>) -> GateWaiter {
        let generations = self.generations.lock().expect("not poisoned");
        let known = peer.and_then(|peer| generations.get(&peer).copied());
        GateWaiter {
            generation: known.unwrap_or(u64::MAX),
            state: self.state.subscribe(),
        }
    }

    /// Waits until the gate is not frozen.
    pub async fn wait_unfrozen(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| !state.frozen).await;
    }
}

/// Holds the answers on one connection while it is silent.
#[derive(Debug, Clone)]
pub struct GateWaiter {
    generation: u64,
    state: watch::Receiver<GateState>,
}

impl GateWaiter {
    /// Waits until the connection is not silent; for good if it is silent for good.
    pub async fn wait(&mut self) {
        let generation = self.generation;
        let open = |state: &GateState| !state.frozen && generation >= state.min_generation;
        if self.state.wait_for(open).await.is_err() {
            std::future::pending().await
        }
    }
}
