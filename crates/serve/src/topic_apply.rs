//! What the entries of each topic change.

use std::sync::Arc;
use std::time::Duration;

use amaranth_wire::id::UpstreamId;

use crate::batch::board::JobBoard;
use crate::call::ProtocolCodecs;
use crate::log_access::{LogEntry, LogTopic};
use crate::member_name::MemberName;
use crate::peer_state::{StateTaker, TopicCopies};
use crate::placement_service::PlacementService;
use crate::route_state::{RouteSource, RouteState};
use crate::topic_follow::{FollowStep, TopicFollower};
use crate::upstream_pool::UpstreamPool;

/// Pace of reading upstreams' announcements. One that leaves must get no work 2 s later, and
/// every read costs a call.
const UPSTREAM_PACE: Duration = Duration::from_millis(400);
/// Pace of reading batch entries: a result must be readable everywhere 1 s after it was read
/// somewhere.
const BATCH_PACE: Duration = Duration::from_millis(300);

/// Puts configuration from the log in force.
pub fn follow_configuration(
    routes: Arc<RouteState>,
    copies: Arc<TopicCopies>,
    codecs: ProtocolCodecs,
) -> TopicFollower {
    let apply = move |step, sent| {
        copies.note(LogTopic::Configuration, &step, sent);
        let (FollowStep::Replace(entries) | FollowStep::Append(entries)) = step;
        offer_configuration(&routes, codecs, entries, RouteSource::Log);
    };
    TopicFollower {
        topic: LogTopic::Configuration,
        pace: Duration::ZERO,
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

/// Takes in upstreams' announcements from the log.
pub fn follow_upstreams(
    pool: Arc<UpstreamPool>,
    copies: Arc<TopicCopies>,
    codecs: ProtocolCodecs,
) -> TopicFollower {
    let apply = move |step, sent| {
        copies.note(LogTopic::Upstreams, &step, sent);
        let (entries, replaces) = match step {
            FollowStep::Replace(entries) => (entries, true),
            FollowStep::Append(entries) => (entries, false),
        };
        let mut present = Vec::new();
        for entry in entries {
            if let Some(upstream) = apply_notice(&pool, codecs, entry) {
                present.push(upstream);
            }
        }
        if replaces {
            pool.retain(&present);
        }
    };
    TopicFollower {
        topic: LogTopic::Upstreams,
        pace: UPSTREAM_PACE,
        apply: Box::new(apply),
    }
}

/// Takes in an entry; returns the upstream that it announces.
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
    match (codecs.read_notice)(&key, &value) {
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

/// Takes in batch entries from the log.
pub fn follow_batch(board: Arc<JobBoard>) -> TopicFollower {
    TopicFollower {
        topic: LogTopic::Batch,
        pace: BATCH_PACE,
        apply: Box::new(move |step, sent| board.apply(step, None, sent)),
    }
}

/// Takes over what a peer has read.
pub fn peer_taker(
    routes: Arc<RouteState>,
    places: Arc<PlacementService>,
    codecs: ProtocolCodecs,
) -> StateTaker {
    let members = places.clone();
    StateTaker {
        take_entries: Box::new(move |topic, entries| match topic {
            LogTopic::Configuration => {
                offer_configuration(&routes, codecs, entries, RouteSource::Peer)
            }
            LogTopic::Upstreams => {
                for entry in entries {
                    apply_notice(&places.pool, codecs, entry);
                }
            }
            LogTopic::Batch | LogTopic::Blobs => {}
        }),
        take_members: Box::new(move |names| set_members(&members, names)),
    }
}

/// Takes over the list of members. Names that can't be read belong to other versions.
pub fn set_members(places: &PlacementService, members: Vec<String>) {
    let (names, other): (Vec<_>, Vec<_>) = members
        .into_iter()
        .map(|member| member.parse::<MemberName>())
        .partition(|name| name.is_ok());
    for error in other.into_iter().filter_map(|name| name.err()) {
        log::warn!("event=member_ignored error={:?}", error.to_string());
    }
    places.set_members(names.into_iter().flatten().collect());
}
