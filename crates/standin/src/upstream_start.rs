//! Starts the tasks of an upstream stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_wire::engine::ListedUpstream;
use tokio_util::sync::CancellationToken;

use crate::engine::{EngineProfile, EngineState};
use crate::service::{ServiceProfile, ServiceState};
use crate::serving::ServedRouter;
use crate::{engine_routes, registration, service};

/// A started upstream.
pub struct StartedUpstream<S> {
    /// Its state.
    pub state: Arc<S>,
    /// What it serves.
    pub served: ServedRouter,
}

/// Starts an engine that reports to the platform's list, if one is given.
pub fn start_engine(
    profile: EngineProfile,
    platform: Option<SocketAddr>,
    stop: CancellationToken,
) -> StartedUpstream<EngineState> {
    let state = Arc::new(EngineState::new(profile, stop.clone()));
    tokio::spawn(state.clone().run());
    if let Some(platform) = platform {
        let reporter = state.clone();
        tokio::spawn(registration::run(
            platform,
            move || reporter.list_entry(),
            stop,
        ));
    }
    let served = ServedRouter {
        router: engine_routes::router(&state),
        on_accept: Some(state.injector.gate.accept_hook()),
    };
    StartedUpstream { state, served }
}

/// Starts a service that reports to the platform's list, if one is given.
pub fn start_service(
    profile: ServiceProfile,
    platform: Option<SocketAddr>,
    stop: CancellationToken,
) -> StartedUpstream<ServiceState> {
    let list_entry = ListedUpstream {
        upstream: profile.name.clone(),
        leaving: false,
    };
    let state = Arc::new(ServiceState::new(profile));
    if let Some(platform) = platform {
        tokio::spawn(registration::run(
            platform,
            move || list_entry.clone(),
            stop,
        ));
    }
    let served = ServedRouter {
        router: service::router(&state),
        on_accept: Some(state.injector.gate.accept_hook()),
    };
    StartedUpstream { state, served }
}
