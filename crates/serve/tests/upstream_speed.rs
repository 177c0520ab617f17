//! What an instance tells the allocators of the speeds that upstreams report.

use std::sync::Arc;

use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_serve::call::LoadReport;
use amaranth_serve::upstream_pool::{UpstreamPermit, UpstreamPool};
use amaranth_wire::id::UpstreamId;

fn pool() -> (Arc<UpstreamPool>, UpstreamId) {
    let pool = Arc::new(UpstreamPool::new("dc".parse().unwrap()));
    let upstream: UpstreamId = "u".parse().unwrap();
    pool.announce(upstream.clone(), notice(1));
    (pool, upstream)
}

fn notice(started_ms: u64) -> UpstreamNotice {
    UpstreamNotice {
        group: "g".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 8,
        leaving: false,
        started_ms,
        sequence: 1,
    }
}

fn report(permit: &UpstreamPermit, speed_percent: Option<u32>) {
    permit.record_load(LoadReport {
        running: 1,
        waiting: 0,
        speed_percent,
    });
}

/// Guards against figures that are lost when the request that brought them ends.
#[test]
fn slow_upstream_is_reported_after_its_request_has_ended() {
    let (pool, upstream) = pool();
    let permit = pool
        .issue_permit(&"g".parse().unwrap(), &upstream, 0.0, false)
        .unwrap();
    report(&permit, Some(250));
    drop(permit);
    let [count] = &pool.counts().rows[..] else {
        panic!("{:?}", pool.counts());
    };
    assert_eq!((count.online, count.batch), (0, 0));
    assert_eq!(count.speed.map(|speed| speed.percent), Some(250));
    let permit = pool
        .issue_permit(&"g".parse().unwrap(), &upstream, 0.0, false)
        .unwrap();
    report(&permit, Some(100));
    assert_eq!(
        pool.counts().rows[0].speed.map(|speed| speed.percent),
        Some(100)
    );
    drop(permit);
    assert_eq!(pool.counts().rows, [], "an idle upstream of usual speed");
}

/// Guards against datagrams that older versions can't read where no speeds are reported.
#[test]
fn counts_are_as_before_without_a_reported_speed() {
    let (pool, upstream) = pool();
    let permit = pool
        .issue_permit(&"g".parse().unwrap(), &upstream, 0.0, false)
        .unwrap();
    report(&permit, None);
    assert_eq!(pool.counts().rows[0].speed, None);
    permit.record_success(Some(400.0));
    assert_eq!(pool.counts().rows[0].service_ms, 400);
}

/// Guards against a slow period that counts in the average service time and in the speed as well.
#[test]
fn service_time_is_that_at_usual_speed() {
    let (pool, upstream) = pool();
    let permit = pool
        .issue_permit(&"g".parse().unwrap(), &upstream, 0.0, false)
        .unwrap();
    report(&permit, Some(250));
    permit.record_success(Some(25.0));
    let service_ms = pool.counts().rows[0].service_ms;
    assert!((10..=12).contains(&service_ms), "{service_ms}");
    pool.announce(upstream, notice(2));
    assert_eq!(pool.counts().rows[0].speed, None, "another start");
}
