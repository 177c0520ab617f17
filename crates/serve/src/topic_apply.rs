//! Followers of the log's topics, which apply the entries to this instance's state.

use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::id::UpstreamId;

use crate::batch::replica::JobReplica;
use crate::batch::shards::ShardAssignment;
use crate::call::ProtocolCodecs;
use crate::log_access::{LogEntry, LogTopic};
use crate::member_name::MemberName;
use crate::peer_state::{PeerStateSink, TopicCopies};
use crate::placement_service::PlacementService;
use crate::quarantine_service::QuarantineService;
use crate::route_state::{RouteSource, RouteState};
use crate::topic_follower::{TopicFollower, TopicUpdate};
use crate::upstream_pool::UpstreamPool;

/// Longest wait for entries in one read of most topics: configuration must be in force within 2 s
/// of its acknowledgement, also if a connection is dead.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// Longest wait for rules against prompts in one read. The members tell each other of new ones, and
/// every read costs a call.
const RULE_READ_WAIT: Duration = Duration::from_secs(5);
/// Least time between two reads of upstreams' announcements. A leaving upstream must get no work
/// after 2 s, and every read costs a call.
const UPSTREAM_READ_PERIOD: Duration = Duration::from_millis(400);
/// Least time between two reads of batch entries. A result must be readable at every instance 1 s
/// after it was first read at any.
const BATCH_READ_PERIOD: Duration = Duration::from_millis(300);

/// Follows the configuration topic and applies new configurations.
pub fn follow_configuration(
    routes: Arc<RouteState>,
    copies: Arc<TopicCopies>,
    codecs: ProtocolCodecs,
) -> TopicFollower {
    let apply = move |update, sent| {
        copies.record(LogTopic::Configuration, &update, sent);
        routes.record_read(sent);
        let (TopicUpdate::Replace(entries) | TopicUpdate::Append(entries)) = update;
        offer_configuration(&routes, codecs, entries, RouteSource::Log);
    };
    TopicFollower {
        topic: LogTopic::Configuration,
        read_wait: READ_WAIT,
        min_period: Duration::ZERO,
        is_wanted: Box::new(|| true),
        apply: Box::new(apply),
    }
}

fn offer_configuration(
    routes: &RouteState,
    codecs: ProtocolCodecs,
    entries: Vec<LogEntry>,
    source: RouteSource,
) {
    for LogEntry { key, value, offset } in entries {
        let Some(value) = value else { continue };
        match (codecs.read_configuration)(&key, &value) {
            Ok(Some(table)) => {
                routes.apply_if_newer(table, source);
            }
            Ok(None) => {}
            Err(e) => log::warn!(
                "event=record_malformed topic=configuration key={key:?} offset={offset} error={e:?}"
            ),
        }
    }
}

/// Follows the upstreams' announcements and updates the pool.
pub fn follow_upstreams(
    pool: Arc<UpstreamPool>,
    copies: Arc<TopicCopies>,
    codecs: ProtocolCodecs,
) -> TopicFollower {
    let apply = move |update, sent| {
        copies.record(LogTopic::Upstreams, &update, sent);
        apply_notices(&pool, codecs, update);
        pool.settle();
    };
    TopicFollower {
        topic: LogTopic::Upstreams,
        read_wait: READ_WAIT,
        min_period: UPSTREAM_READ_PERIOD,
        is_wanted: Box::new(|| true),
        apply: Box::new(apply),
    }
}

fn apply_notices(pool: &UpstreamPool, codecs: ProtocolCodecs, update: TopicUpdate) {
    let (entries, replaces) = match update {
        TopicUpdate::Replace(entries) => (entries, true),
        TopicUpdate::Append(entries) => (entries, false),
    };
    let mut present = Vec::new();
    for entry in entries {
        if let Some(upstream) = apply_notice(pool, codecs, entry) {
            present.push(upstream);
        }
    }
    if replaces {
        pool.retain(&present);
    }
}

/// Applies an entry to the pool; returns the upstream that it announces.
fn apply_notice(
    pool: &UpstreamPool,
    codecs: ProtocolCodecs,
    entry: LogEntry,
) -> Option<UpstreamId> {
    let LogEntry { key, value, offset } = entry;
    let Some(value) = value else {
        match key.parse() {
            Ok(upstream) => pool.remove(&upstream),
            Err(e) => log::warn!(
                "event=record_malformed topic=upstreams key={key:?} offset={offset} error={:?}",
                e.to_string()
            ),
        }
        return None;
    };
    let read = (codecs.read_notice)(&key, &value);
    let checked = read.and_then(|(upstream, notice)| {
        let check = notice.check().map_err(|e| e.to_string());
        check.map(|()| (upstream, notice))
    });
    match checked {
        Ok((upstream, notice)) => {
            pool.announce(upstream.clone(), notice);
            Some(upstream)
        }
        Err(e) => {
            log::warn!(
                "event=record_malformed topic=upstreams key={key:?} offset={offset} error={e:?}"
            );
            if let Ok(upstream) = key.parse() {
                pool.remove(&upstream);
            }
            None
        }
    }
}

/// Follows the batch topic and updates the replica of the jobs.
pub fn follow_batch(replica: Arc<JobReplica>) -> TopicFollower {
    TopicFollower {
        topic: LogTopic::Batch,
        read_wait: READ_WAIT,
        min_period: BATCH_READ_PERIOD,
        is_wanted: Box::new(|| true),
        apply: Box::new(move |update, sent| replica.apply(update, None, sent)),
    }
}

/// Follows the progress of items while this instance runs items.
pub fn follow_progress(replica: Arc<JobReplica>, shards: Arc<ShardAssignment>) -> TopicFollower {
    let followed = replica.clone();
    TopicFollower {
        topic: LogTopic::Progress,
        read_wait: READ_WAIT,
        min_period: BATCH_READ_PERIOD,
        is_wanted: Box::new(move || {
            let has_shards = shards.has_shards();
            if !has_shards {
                followed.forget_progress();
            }
            has_shards
        }),
        apply: Box::new(move |update, _| replica.apply_progress(update)),
    }
}

/// Follows the rules against prompts that crash upstreams.
pub fn follow_quarantine(
    quarantine: Arc<QuarantineService>,
    copies: Arc<TopicCopies>,
) -> TopicFollower {
    TopicFollower {
        topic: LogTopic::Quarantine,
        read_wait: RULE_READ_WAIT,
        min_period: Duration::ZERO,
        is_wanted: Box::new(|| true),
        apply: Box::new(move |update, sent| {
            copies.record(LogTopic::Quarantine, &update, sent);
            quarantine.apply(update);
        }),
    }
}

/// Creates the callbacks that apply a peer's state to this instance.
pub fn peer_state_sink(
    routes: Arc<RouteState>,
    placement: Arc<PlacementService>,
    quarantine: Arc<QuarantineService>,
    shards: Arc<ShardAssignment>,
    codecs: ProtocolCodecs,
) -> PeerStateSink {
    let members = placement.clone();
    PeerStateSink {
        apply_entries: Arc::new(move |topic, entries, read_at| match topic {
            LogTopic::Configuration => {
                offer_configuration(&routes, codecs, entries, RouteSource::Peer);
                routes.record_read(read_at);
            }
            LogTopic::Upstreams => {
                apply_notices(&placement.pool, codecs, TopicUpdate::Replace(entries));
            }
            LogTopic::Quarantine => quarantine.apply_copy(entries),
            LogTopic::Batch | LogTopic::Progress | LogTopic::Blobs => {}
        }),
        apply_members: Arc::new(move |names| {
            set_members(&members, names);
            shards.list_again();
        }),
    }
}

/// Sets the members of the group. Names that can't be parsed come from other versions and are
/// ignored.
pub fn set_members(placement: &PlacementService, members: Vec<String>) {
    let (names, invalid): (Vec<_>, Vec<_>) = members
        .into_iter()
        .map(|member| member.parse::<MemberName>())
        .partition(|name| name.is_ok());
    for error in invalid.into_iter().filter_map(|name| name.err()) {
        log::warn!("event=member_ignored error={:?}", error.to_string());
    }
    placement.set_members(names.into_iter().flatten().collect());
}
