//! Silencing of connections: all of them temporarily, or those open at one moment permanently.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use amaranth_net::server::AcceptHook;
use tokio::sync::watch;

/// Which connections get no answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct GateState {
    /// All connections are silent.
    frozen: bool,
    /// Connections of an earlier generation are silent permanently.
    min_generation: u64,
}

/// Tracks the generation of each connection and delays answers on silent ones.
#[derive(Debug, Default)]
pub struct ConnectionGate {
    generations: Mutex<HashMap<SocketAddr, u64>>,
    state: watch::Sender<GateState>,
}

impl ConnectionGate {
    /// Records the generation of an accepted connection.
    pub fn record_connection(&self, peer: SocketAddr) {
        let generation = self.state.borrow().min_generation;
        let mut generations = self.generations.lock().expect("not poisoned");
        generations.insert(peer, generation);
    }

    /// Returns a server hook that records accepted connections.
    pub fn accept_hook(self: &Arc<Self>) -> AcceptHook {
        let gate = self.clone();
        Arc::new(move |peer| gate.record_connection(peer))
    }

    /// Sets whether all connections are silent.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.send_modify(|state| state.frozen = frozen);
    }

    /// Silences the connections that are open now, permanently.
    pub fn silence_existing(&self) {
        self.state.send_modify(|state| state.min_generation += 1);
    }

    /// Returns the waiter for a connection; an unknown peer waits only while the gate is frozen.
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

/// Delays the answers on one connection while it is silent.
#[derive(Debug, Clone)]
pub struct GateWaiter {
    generation: u64,
    state: watch::Receiver<GateState>,
}

impl GateWaiter {
    /// Waits until the connection is not silent, forever if it was silenced permanently.
    pub async fn wait(&mut self) {
        let generation = self.generation;
        let open = |state: &GateState| !state.frozen && generation >= state.min_generation;
        if self.state.wait_for(open).await.is_err() {
            std::future::pending().await
        }
    }
}
