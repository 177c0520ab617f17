//! Choice of log sources: number of direct readers, relay failures and load distribution.

use amaranth_kernel::log_source::{LogSource, RELAYS_PER_DATA_CENTRE, choose_source};
use amaranth_wire::id::{DataCentreId, InstanceId};

fn instances(count: usize) -> Vec<InstanceId> {
    let names = (0..count).map(|index| format!("instance-{index}"));
    names
        .map(|name| name.parse().expect("a valid name"))
        .collect()
}

#[test]
fn only_relays_read_the_log_directly() {
    let at: DataCentreId = "dc-1".parse().expect("a valid name");
    for count in [1, 2, 3, 12, 60, 240] {
        let live = instances(count);
        let sources = live.iter().map(|own| choose_source(own, &at, &live, &[]));
        let direct = sources.filter(|source| *source == LogSource::Log).count();
        assert_eq!(direct, RELAYS_PER_DATA_CENTRE.min(count), "of {count}");
    }
}

#[test]
fn instance_reads_the_log_when_all_relays_failed() {
    let at: DataCentreId = "dc-1".parse().expect("a valid name");
    let live = instances(12);
    for own in &live {
        let mut failed = Vec::new();
        while let LogSource::Relay(relay) = choose_source(own, &at, &live, &failed) {
            assert!(!failed.contains(&relay));
            failed.push(relay);
        }
        assert!(failed.len() <= RELAYS_PER_DATA_CENTRE);
    }
}

#[test]
fn readers_are_distributed_over_the_relays() {
    let at: DataCentreId = "dc-1".parse().expect("a valid name");
    let live = instances(60);
    let mut readers = std::collections::HashMap::<_, usize>::new();
    for own in &live {
        if let LogSource::Relay(relay) = choose_source(own, &at, &live, &[]) {
            *readers.entry(relay).or_default() += 1;
        }
    }
    assert_eq!(readers.len(), RELAYS_PER_DATA_CENTRE);
    assert!(
        readers.values().all(|&count| count >= 58 / 4),
        "{readers:?}"
    );
}
