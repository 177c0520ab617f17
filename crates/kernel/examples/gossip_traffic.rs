//! Prints gossip traffic per instance and the worst heartbeat age, by the size of a data centre.

#[path = "../tests/support/gossip_fleet.rs"]
mod gossip_fleet;

use amaranth_wire::id::InstanceId;
use gossip_fleet::GossipFleet;

/// Periods before the measurement starts.
const WARM_UP_PERIODS: u64 = 40;
/// Periods that are measured.
const COUNTED_PERIODS: u64 = 100;
/// Number of data centres, and of instances in each.
const SIZES: [(usize, usize); 6] = [(2, 6), (2, 15), (2, 30), (2, 60), (2, 120), (43, 60)];

fn deliver_all(_: &InstanceId, _: &InstanceId) -> bool {
    true
}

fn totals(fleet: &GossipFleet) -> (u64, u64) {
    let bytes = fleet.members.values().map(|m| m.sent_bytes).sum();
    let messages = fleet.members.values().map(|m| m.sent_messages).sum();
    (bytes, messages)
}

/// The greatest heartbeat age that one observer in each data centre has for an instance there.
fn worst_age_ms(fleet: &GossipFleet, data_centres: usize) -> u64 {
    let observers = fleet.members.values().take(data_centres);
    let ages = observers.flat_map(|observer| {
        let same = fleet.members.iter();
        let same = same.filter(|(_, other)| other.data_centre == observer.data_centre);
        same.map(|(name, _)| observer.table.age_ms(name, fleet.now_ms))
    });
    ages.max().unwrap_or(0)
}

fn main() {
    println!("data centres  each  bytes/s/node  messages/s/node  worst age ms");
    for (data_centres, each) in SIZES {
        let mut fleet = GossipFleet::new(data_centres, each);
        (0..WARM_UP_PERIODS).for_each(|_| fleet.step(deliver_all));
        let (bytes, messages) = totals(&fleet);
        let mut worst = 0;
        for _ in 0..COUNTED_PERIODS {
            fleet.step(deliver_all);
            worst = worst.max(worst_age_ms(&fleet, data_centres));
        }
        let (more_bytes, more_messages) = totals(&fleet);
        let nodes = (data_centres * each) as f64 * COUNTED_PERIODS as f64;
        let bytes = (more_bytes - bytes) as f64 / nodes;
        let messages = (more_messages - messages) as f64 / nodes;
        println!("{data_centres:12}  {each:4}  {bytes:12.0}  {messages:15.2}  {worst:12}");
    }
}
