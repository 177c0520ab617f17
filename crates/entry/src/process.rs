//! Lifecycle of one instance: start, run, graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_net::server;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::committer::LogCommitter;
use crate::config::EntryConfig;
use crate::context::InstanceContext;
use crate::log_client::LogClient;
use crate::shared_state::SharedState;
use crate::{
    admit, follower, gossip, kept_results, load_poll, log_rewriter, membership, plan_driver,
    plan_watch, routes, shard_owner, slot_coordinator, slot_requester,
};

/// How long a leaving instance still accepts work, so that the load balancer can notice.
const NOTICE_PERIOD: Duration = Duration::from_secs(2);
/// Longest wait for work in progress; what remains then is aborted and its count logged.
const FINISH_LIMIT: Duration = Duration::from_secs(60);

/// Longest wait for transferring the results stored here to other instances.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(10);
/// Poll interval for the calls in progress.
const FINISH_POLL: Duration = Duration::from_millis(20);
/// Time for the last bytes of answers to be sent.
const FLUSH_PERIOD: Duration = Duration::from_millis(200);

/// Result of starting or running an instance, with errors of its listener and signal handlers.
pub type Result<T> = std::io::Result<T>;

/// A started instance.
pub struct RunningInstance {
    /// Shared parts of the instance.
    pub context: Arc<InstanceContext>,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Spawns the tasks of an instance that serves on `listener`.
pub fn start(config: EntryConfig, listener: TcpListener) -> Result<RunningInstance> {
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let log = LogClient::new(config.fleet.platform.address);
    let state = Arc::new(SharedState::new(config.writer));
    let rate = config.fleet.platform.append_rate.as_per_second();
    let (committer, commit_loop) =
        LogCommitter::new(config.writer, rate, log.clone(), state.own_position());
    let context = InstanceContext::new(config, log, state, committer, stop.clone());
    let context = Arc::new(context);
    tokio::spawn(commit_loop.run(stop.clone()));
    tokio::spawn(follower::run(context.clone()));
    tokio::spawn(membership::run(context.clone(), address));
    tokio::spawn(gossip::run(context.clone()));
    tokio::spawn(shard_owner::run(context.clone()));
    tokio::spawn(log_rewriter::run(context.clone()));
    tokio::spawn(slot_coordinator::run(context.clone()));
    tokio::spawn(slot_requester::run(context.clone()));
    tokio::spawn(plan_watch::run(context.clone()));
    tokio::spawn(plan_driver::run(context.clone()));
    tokio::spawn(load_poll::run(context.clone()));
    tokio::spawn(admit::run(context.clone()));
    tokio::spawn(server::serve(listener, routes::router(&context), stop));
    Ok(RunningInstance { context, address })
}

impl RunningInstance {
    /// Waits until no work is in progress and the last answers are sent.
    async fn finish(&self) {
        self.context.work.wait().await;
        while self.context.calls.in_progress() > 0 {
            sleep(FINISH_POLL).await;
        }
        sleep(FLUSH_PERIOD).await;
    }

    /// Shuts down gracefully: reports not ready, accepts work for the notice period, refuses it from
    /// then on, waits for work in progress and transfers stored results.
    pub async fn stop(&self) {
        let context = &self.context;
        context.set_leaving();
        log::info!(
            "event=instance_leaving instance={}",
            context.config.instance
        );
        sleep(NOTICE_PERIOD).await;
        context.set_closed();
        context.work.close();
        if timeout(FINISH_LIMIT, self.finish()).await.is_err() {
            let left = context.work.len() + context.calls.in_progress();
            log::error!("event=finish_limit_reached aborted={left}");
        }
        let handed = timeout(HAND_OVER_LIMIT, kept_results::transfer_all(context)).await;
        match handed {
            Ok(0) => {}
            Ok(left) => log::error!("event=results_not_handed_over count={left}"),
            Err(_) => log::error!("event=hand_over_limit_reached"),
        }
        context.stop.cancel();
        log::info!(
            "event=instance_stopped instance={}",
            context.config.instance
        );
    }
}

/// Runs one instance until SIGTERM or SIGINT, then shuts it down.
pub async fn run(config: EntryConfig) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = server::bind(config.listen).await?;
    let name = config.instance.clone();
    let instance = start(config, listener)?;
    println!("listening {}", instance.address);
    log::info!(
        "event=listening instance={name} address={}",
        instance.address
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    instance.stop().await;
    Ok(())
}
