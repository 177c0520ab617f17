//! Records that another writer left among those of this system.

use std::panic::{AssertUnwindSafe, catch_unwind};

use amaranth_kernel::upstream_registry::UpstreamNotice;
use amaranth_serve::batch::pieces::split;
use amaranth_serve::batch::replica::JobReplica;
use amaranth_serve::call::LoadReport;
use amaranth_serve::log_access::LogEntry;
use amaranth_serve::topic_follower::TopicUpdate;
use amaranth_serve::upstream_pool::UpstreamPool;
use amaranth_wire::batch_entry::{BatchEntry, BlobRef, SubmittedJob};
use amaranth_wire::caller_identity::CallerIdentity;
use amaranth_wire::id::{ConfigRevision, JobId, LogOffset};
use std::sync::Arc;
use tokio::time::Instant;

fn record(offset: u64, key: &str, value: &[u8]) -> LogEntry {
    LogEntry {
        offset: LogOffset(offset),
        key: key.to_owned(),
        value: Some(value.to_vec().into()),
    }
}

/// Records of a job whose entry is split in two.
fn job_records(job: &JobId, first_offset: u64) -> Vec<LogEntry> {
    let entry = BatchEntry::Submitted(SubmittedJob {
        job: job.clone(),
        host: "h".repeat(200),
        path: "/".to_owned(),
        received_ms: 1,
        items: Vec::new(),
        bodies: BlobRef {
            key: "k".to_owned(),
            offset: LogOffset(0),
            records: 1,
            bytes: 1,
            partition: 0,
        },
        quota: None,
        call: first_offset,
        revision: ConfigRevision(1),
        caller: CallerIdentity::Unchecked,
    });
    let records = split(&entry, job, 256 + 200);
    assert_eq!(records.len(), 2);
    let offsets = first_offset..;
    let records = records.into_iter().zip(offsets);
    records
        .map(|(new, offset)| record(offset, &new.key, &new.value.unwrap()))
        .collect()
}

#[tokio::test]
async fn odd_records_of_the_batch_topic_end_no_replica() {
    let max = usize::MAX;
    let keys = [
        format!("j/n/0/{max}"),
        format!("j/n/{max}/{max}"),
        format!("j/n/0/{}", max / 64),
        "j/n/0/1000000000000".to_owned(),
        "j/n/0/0".to_owned(),
        "j/n/1/1".to_owned(),
        "j/n/-1/2".to_owned(),
        "\u{1}\u{7f}/\u{0}/0/2".to_owned(),
        "k".repeat(255),
        String::new(),
        "/".repeat(255),
    ];
    for replaces in [true, false] {
        for key in &keys {
            for value in [&b""[..], b"\xff\xfe", &[0x91; 10_000]] {
                let replica = JobReplica::new();
                let job: JobId = "job".parse().unwrap();
                let mut entries = vec![record(1, key, value)];
                entries.extend(job_records(&job, 2));
                let update = match replaces {
                    true => TopicUpdate::Replace(entries),
                    false => TopicUpdate::Append(entries),
                };
                let apply = || replica.apply(update, None, Instant::now());
                let applied = catch_unwind(AssertUnwindSafe(apply));
                assert!(applied.is_ok(), "{key:?} {replaces}");
                assert!(
                    replica.with_table(|table| table.job(&job).is_some()),
                    "{key:?} {replaces}: the job beside it is lost"
                );
            }
        }
    }
}

#[tokio::test]
async fn a_job_beside_the_highest_offset_is_read() {
    let replica = JobReplica::new();
    let odd = record(u64::MAX, "k", b"");
    replica.apply(TopicUpdate::Append(vec![odd]), None, Instant::now());
}

#[tokio::test]
async fn reported_loads_of_any_size_are_recorded() {
    let pool = Arc::new(UpstreamPool::new("dc".parse().unwrap()));
    let notice = UpstreamNotice {
        group: "group".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 8,
        leaving: false,
        started_ms: 1,
        sequence: 1,
    };
    let upstream: amaranth_wire::id::UpstreamId = "u".parse().unwrap();
    pool.announce(upstream.clone(), notice);
    let permit = pool
        .issue_permit(&"group".parse().unwrap(), &upstream, 0.0, false)
        .unwrap();
    for (running, waiting) in [(u32::MAX, u32::MAX), (u32::MAX, 1), (0, 0)] {
        permit.record_load(LoadReport {
            running,
            waiting,
            speed_percent: None,
        });
    }
}
