//! Starts an instance, runs it until a signal, and shuts it down gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_kernel::commit::AppendBudget;
use amaranth_kernel::hashing::hash_bytes;
use amaranth_kernel::memory_budget::{self, MemoryBudget};
use amaranth_kernel::request_quota::QuotaBounds;
use amaranth_wire::id::{DataCentreId, InstanceId};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::RequestFailure;
use crate::batch::blobs::BlobStore;
use crate::batch::commit::BatchCommitter;
use crate::batch::intake::JobIntake;
use crate::batch::item_context::{ItemContext, MAX_RUNNING_ITEMS, MemoryFinder, RouteFinder};
use crate::batch::item_queue::ItemQueue;
use crate::batch::job_reader::JobReader;
use crate::batch::progress::ProgressWriter;
use crate::batch::replica::JobReplica;
use crate::batch::shards::ShardAssignment;
use crate::batch::worker::{BatchWorker, WorkerConfig};
use crate::call::{CallProgress, ProtocolCodecs};
use crate::caller_link::ConnectionLimits;
use crate::connection_pool::ConnectionPool;
use crate::forward_run::ForwardContext;
use crate::gateway::Gateway;
use crate::listener::{self, ListenerBounds};
use crate::log_access::{DurableLog, LogTopic, TopicPartition};
use crate::member_name::MemberName;
use crate::memory_account::MemoryAccount;
use crate::panic_guard::TaskGuard;
use crate::peer_refresh::{self, PeerRefresh, ReceivedMessage};
use crate::peer_state::{TopicCopies, copy_from_peers};
use crate::placement_service::{MessageInboxes, PlacementService, ReceivedNotice};
use crate::quarantine_service::{self, QuarantineService};
use crate::quarantine_task;
use crate::quota_service::QuotaService;
use crate::route_state::RouteState;
use crate::topic_apply;
use crate::upstream_pool::UpstreamPool;

mod internal;

use internal::{serve_control, serve_probes, sweep_connections};

/// Time for which a leaving instance still accepts connections: the load balancer probes once a
/// second and removes an instance after two failures.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_600);
/// Reserved at the end of the grace period, so that the process exits before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(800);
/// Time for writing the progress of running items to the log: two appends, which take some 20 ms
/// together, and up to twenty times that when the log is slowest.
const HAND_OVER_TIME: Duration = Duration::from_millis(400);
/// Interval at which settings are polled: a change is in force within seconds, and a poll takes
/// well under a millisecond.
const RELOAD_POLL_PERIOD: Duration = Duration::from_secs(2);
/// Limits until the configuration is known, and of the internal listeners: those of an ordinary
/// HTTP server.
const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    head_bytes: 32 << 10,
    head_wait: Duration::from_secs(15),
    idle_wait: Duration::from_secs(15),
};
/// Upper bound of a connection's time limits.
const LONGEST_WAIT: Duration = Duration::from_secs(24 * 60 * 60);

/// Tokens that are cancelled one after the other during shutdown.
#[derive(Default)]
struct StopTokens {
    /// Stops accepting connections.
    accept: CancellationToken,
    /// Ends the calls whose answer has not begun, with a failure.
    calls: CancellationToken,
    /// Stops items of batch jobs and hands them over.
    items: CancellationToken,
    /// Stops everything else.
    work: CancellationToken,
}

/// Result of running an instance.
pub type Result<T> = std::io::Result<T>;

/// Settings with which an instance starts.
#[derive(Debug, Clone, PartialEq)]
pub struct ServeConfig {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address to which callers connect.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness probes and for metrics.
    pub probes: SocketAddr,
    /// Address for datagrams from other instances.
    pub peers: SocketAddr,
    /// Address from which other instances read state.
    pub control: SocketAddr,
    /// Control addresses of some other instances; they may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Capacity of the machine, in hundredths of a core.
    pub weight: u32,
    /// Memory of the machine, in bytes.
    pub memory_bytes: usize,
    /// Most descriptors that the process may have open.
    pub max_fds: usize,
    /// Path of the readiness probe.
    pub readiness_path: String,
    /// Path at which metrics are read.
    pub metrics_path: String,
    /// Time between the termination signal and the kill.
    pub grace: Duration,
    /// How long a batch job is readable after its submission.
    pub batch_retention: Duration,
    /// What may run beyond the limits of teams.
    pub quota: QuotaBounds,
    /// Whether placement weighs which upstreams hold the beginnings of prompts.
    pub kept_prompts: bool,
}

/// Reason for reading the settings again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReloadCause {
    /// The process received a hangup signal.
    Signal,
    /// Periodic poll, as not every change is signalled.
    Poll,
}

/// Called when the settings should be read again.
pub type ReloadHook = Box<dyn FnMut(ReloadCause) + Send>;

/// Runs an instance until a termination or interrupt signal, then shuts it down.
pub async fn run(
    config: ServeConfig,
    log: DurableLog,
    codecs: ProtocolCodecs,
    mut reload: ReloadHook,
) -> Result<()> {
    let started = Instant::now();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let callers = listener::bind(config.callers)?;
    let probes = listener::bind(config.probes)?;
    let control = listener::bind(config.control)?;
    log::info!(
        "event=start instance={} data_centre={} version={}",
        config.instance,
        config.data_centre,
        env!("CARGO_PKG_VERSION")
    );
    let stops = StopTokens::default();
    let connections = TaskTracker::new();
    let background = TaskGuard::new();
    let buffer_bytes = memory_budget::socket_buffer_bytes(config.memory_bytes);
    let account = MemoryAccount::new(MemoryBudget::new(config.memory_bytes));
    let upstream_connections = ConnectionPool::new()
        .with_buffer_bytes(buffer_bytes)
        .with_account(account.clone());
    let pool = UpstreamPool::new(config.data_centre.clone()).with_connections(upstream_connections);
    let (quarantine_sender, quarantine_inbox) = quarantine_service::inbox();
    let (peer_sender, peer_inbox) = peer_refresh::inbox();
    let inboxes = MessageInboxes {
        quarantine: quarantine_sender,
        peers: peer_sender,
    };
    let routes = Arc::new(RouteState::new());
    let quota = Arc::new(QuotaService::new(routes.clone(), config.quota));
    let placement = PlacementService::open(Arc::new(pool), member_name(&config), inboxes);
    let placement = Arc::new(placement.await?.with_quota(quota.clone()));
    let copies = Arc::new(TopicCopies::new());
    log::info!(
        "event=listening instance={} callers={} probes={} control={} peers={}",
        config.instance,
        callers.local_addr()?,
        probes.local_addr()?,
        control.local_addr()?,
        placement.member().address
    );
    let links = PeerLinks {
        routes,
        quota,
        placement,
        quarantine_inbox,
        peer_inbox,
        control: control.local_addr()?,
        account: account.clone(),
        copies: copies.clone(),
    };
    let gateway = build_gateway(&config, links, Arc::new(log), codecs, &stops, &background);

    let unanswered = stops.calls.clone();
    let (answering, limits) = (gateway.clone(), gateway.clone());
    let accepting = listener::serve_within(
        callers,
        ListenerBounds::new(config.memory_bytes, config.max_fds, account),
        move || connection_limits(&limits),
        move |mut call| {
            let (gateway, unanswered) = (answering.clone(), unanswered.clone());
            let progress = CallProgress::new();
            call.extensions_mut().insert(progress.clone());
            async move {
                let answer = unanswered.run_until_cancelled(gateway.answer(call)).await;
                answer.unwrap_or_else(|| RequestFailure::stopped(&progress).answer())
            }
        },
        connections.clone(),
        stops.accept.clone(),
    );
    connections.spawn(background.watch("callers", accepting));
    background.spawn(
        "probes",
        serve_probes(probes, gateway.clone(), config.clone(), stops.work.clone()),
    );
    let peers = gateway.forward.placement.clone();
    let controls = serve_control(control, peers, copies, stops.work.clone());
    background.spawn("control", controls);
    let sweep = sweep_connections(gateway.forward.placement.pool.clone(), stops.work.clone());
    background.spawn("sweep", sweep);

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = background.panicked.cancelled() => break,
            _ = hangup.recv() => reload(ReloadCause::Signal),
            () = sleep(RELOAD_POLL_PERIOD) => reload(ReloadCause::Poll),
        }
    }
    log::info!(
        "event=stop instance={} ran_s={}",
        config.instance,
        started.elapsed().as_secs()
    );
    shut_down(&config, &gateway, stops, connections, &background.tasks).await;
    match background.panicked.is_cancelled() {
        true => Err(io::Error::other("a background task panicked")),
        false => Ok(()),
    }
}

async fn shut_down(
    config: &ServeConfig,
    gateway: &Gateway,
    stops: StopTokens,
    connections: TaskTracker,
    background: &TaskTracker,
) {
    let stop_started = Instant::now();
    gateway.set_leaving();
    sleep(NOTICE_PERIOD).await;
    let remaining = config
        .grace
        .saturating_sub(stop_started.elapsed() + GRACE_MARGIN);
    gateway.set_closing(Instant::now() + remaining);
    stops.accept.cancel();
    connections.close();
    if timeout(remaining, connections.wait()).await.is_err() {
        log::error!(
            "event=grace_period_exceeded connections={}",
            connections.len()
        );
    }
    // The answers are written while the items are handed over.
    stops.calls.cancel();
    stops.items.cancel();
    sleep(HAND_OVER_TIME).await;
    stops.work.cancel();
    background.close();
    if timeout(GRACE_MARGIN / 4, background.wait()).await.is_err() {
        log::warn!(
            "event=background_tasks_unfinished tasks={}",
            background.len()
        );
    }
    log::info!(
        "event=stopped instance={} ms={}",
        config.instance,
        stop_started.elapsed().as_millis()
    );
}

fn member_name(config: &ServeConfig) -> MemberName {
    MemberName {
        instance: config.instance.clone(),
        run: rand::random(),
        address: config.peers,
        weight: config.weight,
        data_centre: config.data_centre.clone(),
    }
}

/// What connects this instance with the others.
struct PeerLinks {
    routes: Arc<RouteState>,
    quota: Arc<QuotaService>,
    placement: Arc<PlacementService>,
    /// Messages of other instances about quarantined prompts.
    quarantine_inbox: mpsc::Receiver<ReceivedNotice>,
    /// Messages of other instances about state to copy.
    peer_inbox: mpsc::Receiver<ReceivedMessage>,
    /// Address from which peers read the state of this instance.
    control: SocketAddr,
    /// Memory held for callers.
    account: MemoryAccount,
    /// What peers can read of the log.
    copies: Arc<TopicCopies>,
}

fn build_gateway(
    config: &ServeConfig,
    links: PeerLinks,
    log: Arc<DurableLog>,
    codecs: ProtocolCodecs,
    stops: &StopTokens,
    background: &TaskGuard,
) -> Arc<Gateway> {
    let work = &stops.work;
    let PeerLinks {
        routes,
        quota,
        placement,
        quarantine_inbox,
        peer_inbox,
        control,
        account,
        copies,
    } = links;
    placement.set_routes(routes.clone());
    let pool = placement.pool.clone();
    let replica = Arc::new(JobReplica::new());
    let listed = placement.clone();
    let on_members = Box::new(move |members| topic_apply::set_members(&listed, members));
    let member = placement.member().to_string();
    let shards = Arc::new(ShardAssignment::new(member, log.shard_count, on_members));
    let committer = member_committer(&log, LogTopic::Batch, 1, &shards, work);
    let progress_committer = member_committer(&log, LogTopic::Progress, 1, &shards, work);
    let partitions = log.blob_partitions;
    let blob_committer = member_committer(&log, LogTopic::Blobs, partitions, &shards, work);
    let blobs = Arc::new(BlobStore::new(log.clone(), blob_committer));
    let (quarantine, queues) =
        QuarantineService::new(quarantine_inbox, placement.member().to_string());
    let rule_committer = member_committer(&log, LogTopic::Quarantine, 1, &shards, work);
    background.spawn(
        "quarantine",
        quarantine_task::run(
            quarantine.clone(),
            queues,
            placement.clone(),
            rule_committer,
            work.clone(),
        ),
    );
    let followers = [
        topic_apply::follow_quarantine(quarantine.clone(), copies.clone()),
        topic_apply::follow_configuration(routes.clone(), copies.clone(), codecs),
        topic_apply::follow_upstreams(pool.clone(), copies.clone(), codecs),
        topic_apply::follow_batch(replica.clone()),
        topic_apply::follow_progress(replica.clone(), shards.clone()),
    ];
    let sink = topic_apply::peer_state_sink(
        routes.clone(),
        placement.clone(),
        quarantine.clone(),
        shards.clone(),
        codecs,
    );
    let seeds = config.seeds.clone();
    let refresh = PeerRefresh {
        placement: placement.clone(),
        routes: routes.clone(),
        copies: copies.clone(),
        sink: sink.clone(),
        control,
    };
    background.spawn("peer_refresh", refresh.run(peer_inbox, work.clone()));
    let copying = copy_from_peers(seeds, copies, sink, work.clone());
    background.spawn("peer_state", copying);
    for follower in followers {
        background.spawn("follower", follower.run(log.clone(), work.clone()));
    }
    background.spawn("shards", shards.clone().run(log.clone(), work.clone()));
    background.spawn("placement", placement.clone().receive(work.clone()));
    let membership = shards.clone();
    let may_be_replaced = move || membership.may_be_replaced();
    let contact = quota
        .clone()
        .keep_contact(placement.clone(), may_be_replaced, work.clone());
    background.spawn("quota_contact", contact);
    let reports = placement.clone().report_counts(work.clone());
    background.spawn("counts", reports);
    let item_context = ItemContext {
        placement: placement.clone(),
        codec: codecs.upstream,
        blobs: blobs.clone(),
        replica: replica.clone(),
        queue: ItemQueue::new(),
        run_slots: Arc::new(Semaphore::new(MAX_RUNNING_ITEMS)),
        quarantine: quarantine.clone(),
        held_items: Arc::default(),
        memory_tokens: memory_finder(routes.clone()),
        account: account.clone(),
    };
    let worker_config = WorkerConfig {
        find_route: route_finder(routes.clone()),
        retention: config.batch_retention,
    };
    let progress_writer = ProgressWriter {
        blobs: blobs.clone(),
        committer: committer.clone(),
        progress_committer,
        member: shards.member().to_owned(),
        account: account.clone(),
    };
    let worker = BatchWorker::new(
        replica.clone(),
        shards,
        progress_writer,
        Arc::new(item_context),
        worker_config,
    );
    background.spawn("worker", worker.run(stops.items.clone()));
    let reports = internal::report_memory(account.clone(), work.clone());
    background.spawn("memory", reports);
    let forward = Arc::new(
        ForwardContext::new(placement, codecs.upstream, quarantine).with_account(account.clone()),
    );
    let intake = JobIntake {
        replica: replica.clone(),
        log: log.clone(),
        committer,
        blobs: blobs.clone(),
    };
    let reader = JobReader {
        replica,
        log,
        blobs,
        codec: codecs.caller,
        account,
    };
    let gateway = Gateway::new(routes, forward, quota, intake, reader);
    Arc::new(gateway.with_kept_prompts(config.kept_prompts))
}

/// Creates a committer for a topic that all members write to, spread over a number of partitions.
/// Each member appends to one of them, chosen by its name.
fn member_committer(
    log: &Arc<DurableLog>,
    topic: LogTopic,
    partitions: u32,
    shards: &Arc<ShardAssignment>,
    stop: &CancellationToken,
) -> BatchCommitter {
    let (rate, writers) = (log.partition_appends_per_s, shards.clone());
    let partitions = u64::from(partitions.max(1));
    let budget = move || AppendBudget {
        rate,
        writers: writers.member_count().div_ceil(partitions),
    };
    let target = TopicPartition {
        topic,
        partition: (hash_bytes(shards.member().as_bytes(), 0) % partitions) as u32,
    };
    BatchCommitter::new(log.clone(), target, Box::new(budget), stop.clone())
}

fn route_finder(routes: Arc<RouteState>) -> RouteFinder {
    Arc::new(move |revision, host, path| routes.find_since(revision, host, path))
}

fn memory_finder(routes: Arc<RouteState>) -> MemoryFinder {
    Arc::new(move |group| routes.current()?.group_limits(group).cache_tokens)
}

fn connection_limits(gateway: &Gateway) -> ConnectionLimits {
    match gateway.routes.current() {
        None => DEFAULT_LIMITS,
        Some(table) => ConnectionLimits {
            head_bytes: table.limits.header_bytes,
            head_wait: Duration::from_millis(table.limits.header_ms).min(LONGEST_WAIT),
            idle_wait: Duration::from_millis(table.limits.idle_ms).min(LONGEST_WAIT),
        },
    }
}
