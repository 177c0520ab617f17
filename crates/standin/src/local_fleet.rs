//! Runs a whole fleet in one process: platform, upstreams and instances on loopback ports.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use amaranth_entry::config::EntryConfig;
use amaranth_entry::process::{self, RunningInstance};
use amaranth_net::client::{CallLimits, HttpCall, HttpClient};
use amaranth_net::server;
use amaranth_settings::fleet::FleetSettings;
use amaranth_settings::upstream::{UpstreamGroup, UpstreamKind, UpstreamSettings};
use amaranth_wire::id::{InstanceId, UpstreamId};
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::engine::{EngineProfile, EngineState};
use crate::platform::{self, PlatformState};
use crate::platform_cli::default_profile;
use crate::service::{ServiceProfile, ServiceState};
use crate::serving::ServedRouter;
use crate::upstream_start::{start_engine, start_service};

/// Timeout for all instances to become ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between readiness polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeouts of a readiness call.
const READY_CALL_TIMEOUTS: CallLimits = CallLimits::new(Duration::from_secs(2));

/// Result of starting a fleet.
pub type Result<T> = std::io::Result<T>;

/// An instance as a load balancer sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalInstance {
    /// Name from the settings.
    pub name: InstanceId,
    /// Listening address.
    pub address: SocketAddr,
    /// Whether the latest readiness call succeeded.
    pub is_ready: bool,
}

/// A running fleet.
pub struct LocalFleet {
    /// Settings, with the addresses of the platform and the upstreams filled in.
    pub settings: Arc<FleetSettings>,
    /// Name and state of each engine.
    pub engines: Vec<(UpstreamId, Arc<EngineState>)>,
    /// Name and state of each service.
    pub services: Vec<(UpstreamId, Arc<ServiceState>)>,
    /// Client for calls to the instances.
    pub client: HttpClient,
    instances: RwLock<Vec<LocalInstance>>,
    running: RwLock<Vec<Arc<RunningInstance>>>,
    stop: CancellationToken,
}

impl LocalFleet {
    /// Starts all parts and waits until every instance is ready. Fails if a port can't be bound or
    /// the instances are not ready within 30 s.
    pub async fn start(mut settings: FleetSettings) -> Result<Arc<Self>> {
        let stop = CancellationToken::new();
        settings.platform.address = start_platform(&settings, &stop).await?;
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let platform = settings.platform.address;
        for group in &mut settings.upstreams {
            let mut addresses = Vec::new();
            for upstream in group.upstreams() {
                let address = match group.kind {
                    UpstreamKind::Engine => {
                        let profile = engine_profile(group, &upstream, platform);
                        let started = start_engine(profile, Some(platform), stop.clone());
                        engines.push((upstream.upstream, started.state));
                        serve(started.served, &stop).await?
                    }
                    UpstreamKind::Service => {
                        let profile = service_profile(group, &upstream);
                        let started = start_service(profile, Some(platform), stop.clone());
                        services.push((upstream.upstream, started.state));
                        serve(started.served, &stop).await?
                    }
                };
                addresses.push(address);
            }
            group.addresses = addresses;
        }
        let fleet = Arc::new(Self {
            settings: Arc::new(settings),
            engines,
            services,
            client: HttpClient::new(Duration::from_secs(1)),
            instances: RwLock::default(),
            running: RwLock::default(),
            stop,
        });
        for instance in &fleet.settings.instances {
            fleet.start_instance(&instance.name).await?;
        }
        tokio::spawn(fleet.clone().poll_readiness());
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts an instance from the settings, replacing a stopped one of the same name.
    pub async fn start_instance(&self, name: &InstanceId) -> Result<()> {
        let config = EntryConfig::new(self.settings.clone(), name);
        let config = config.expect("the instance is in the settings");
        let listener = bind().await?;
        let running = process::start(config, listener)?;
        let row = LocalInstance {
            name: name.clone(),
            address: running.address,
            is_ready: false,
        };
        let mut instances = self.instances.write().expect("not poisoned");
        instances.retain(|instance| instance.name != *name);
        instances.push(row);
        let mut all = self.running.write().expect("not poisoned");
        all.retain(|running| running.context.config.instance != *name);
        all.push(Arc::new(running));
        Ok(())
    }

    /// Shuts an instance down gracefully and waits until it has ended.
    pub async fn stop_instance(&self, name: &InstanceId) {
        if let Some(running) = self.running(name) {
            running.stop().await;
        }
    }

    fn running(&self, name: &InstanceId) -> Option<Arc<RunningInstance>> {
        let running = self.running.read().expect("not poisoned");
        let found = running.iter().find(|r| r.context.config.instance == *name);
        found.cloned()
    }

    /// Returns a copy of the instance list.
    pub fn instances(&self) -> Vec<LocalInstance> {
        self.instances.read().expect("not poisoned").clone()
    }

    /// Picks a random ready instance, as a load balancer does, or the first one if none is ready.
    pub fn pick_instance(&self) -> LocalInstance {
        let instances = self.instances.read().expect("not poisoned");
        let ready: Vec<_> = instances.iter().filter(|i| i.is_ready).collect();
        match ready.len() {
            0 => instances[0].clone(),
            len => ready[rand::rng().random_range(0..len)].clone(),
        }
    }

    /// Cancels all instances and stand-ins without waiting for them.
    pub fn stop(&self) {
        for running in self.running.read().expect("not poisoned").iter() {
            running.context.stop.cancel();
        }
        self.stop.cancel();
    }

    async fn poll_readiness(self: Arc<Self>) {
        while !self.stop.is_cancelled() {
            for instance in self.instances() {
                let call = HttpCall::get(instance.address, "/readyz");
                let answer = self.client.fetch(call, READY_CALL_TIMEOUTS).await;
                let is_ready = matches!(answer, Ok((200, _)));
                let mut instances = self.instances.write().expect("not poisoned");
                let row = instances.iter_mut().find(|i| i.address == instance.address);
                if let Some(row) = row {
                    row.is_ready = is_ready;
                }
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while !self.instances().iter().all(|i| i.is_ready) {
            if Instant::now() > deadline {
                return Err(std::io::Error::other("the instances do not become ready"));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }
}

async fn bind() -> Result<TcpListener> {
    server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await
}

async fn serve(served: ServedRouter, stop: &CancellationToken) -> Result<SocketAddr> {
    let listener = bind().await?;
    let address = listener.local_addr()?;
    let serving = server::serve_with(listener, served.router, stop.clone(), served.on_accept);
    tokio::spawn(serving);
    Ok(address)
}

async fn start_platform(settings: &FleetSettings, stop: &CancellationToken) -> Result<SocketAddr> {
    let mut profile = default_profile();
    profile.log.appends_per_second = settings.platform.append_rate.as_per_second();
    profile.log.retention_ms = settings.platform.retention.as_millis();
    let served = ServedRouter {
        router: platform::router(Arc::new(PlatformState::new(profile))),
        on_accept: None,
    };
    serve(served, stop).await
}

fn engine_profile(
    group: &UpstreamGroup,
    upstream: &UpstreamSettings,
    platform: SocketAddr,
) -> EngineProfile {
    let mut profile = EngineProfile {
        name: upstream.upstream.clone(),
        weights: Some(platform),
        checks_fencing: group.checks_fencing,
        ..EngineProfile::default()
    };
    if let Some(model) = &group.model {
        profile.model = model.clone();
    }
    profile.speed.speed = upstream.speed;
    profile.speed.slots = group.slots as usize;
    profile
}

fn service_profile(group: &UpstreamGroup, upstream: &UpstreamSettings) -> ServiceProfile {
    let profile = ServiceProfile::default();
    ServiceProfile {
        name: upstream.upstream.clone(),
        time: profile.time.div_f64(upstream.speed),
        slots: group.slots as usize,
        ..profile
    }
}
