//! Starts engine and service stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_wire::engine::ListedUpstream;
use tokio_util::sync::CancellationToken;

use crate::engine::{EngineProfile, EngineState};
use crate::service::{ServiceProfile, ServiceState};
use crate::serving::ServedRouter;
use crate::{engine_routes, registration, service};

/// State and router of a started upstream stand-in.
pub struct StartedUpstream<S> {
    /// Shared state, for tests and the local fleet.
    pub state: Arc<S>,
    /// Router and hook to serve.
    pub served: ServedRouter,
}

/// Starts an engine and, if a platform is given, its registration there.
pub fn start_engine(
    profile: EngineProfile,
    platform: Option<SocketAddr>,
    stop: CancellationToken,
) -> StartedUpstream<EngineState> {
    let state = Arc::new(EngineState::new(profile, stop.clone()));
    tokio::spawn(state.clone().run());
    if let Some(platform) = platform {
        let reporter = state.clone();
        tokio::spawn(registration::report_until_stopped(
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

/// Starts a service and, if a platform is given, its registration there.
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
        tokio::spawn(registration::report_until_stopped(
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
