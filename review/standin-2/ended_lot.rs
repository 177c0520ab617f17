//! A caller ends a lot, many of whose items still wait for a runner. Just then all open connections to the
//! store go silent; new ones work. Do the waiting items stay away from the runners in time?

use std::thread;
use std::time::{Duration, Instant};

use crate::front::cannot_run;
use crate::runner::Pace;
use crate::scene::{Item, Scene};

const PACE: Pace = Pace {
    slots: 4,
    prefill: Duration::from_millis(100),
    gap: Duration::from_millis(20),
    events: 20,
};
/// Time after the acknowledgement of an end in which items may still reach a runner (`cancelMs`), and time in
/// which machines whose connections were reset aren't in touch (`stableWindowMs`).
const CANCEL_LIMIT: Duration = Duration::from_millis(3_000);
const INSTANCES: usize = 3;
/// Instances that are asked for results just before.
const READ_INSTANCES: usize = 2;
const SMALL_LOTS: usize = 60;
const ITEMS: usize = 200;
const LOT: &str = "a0b52d6a3f8e4101";

fn small_lot(index: usize) -> String {
    format!("c0b52d6a3f8e41{index:02}")
}

fn item(id: String) -> Item {
    Item {
        id,
        shared: "9c2e41".to_owned(),
    }
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(mut scene: Scene, trouble: bool) -> bool {
    scene.add_runners("llm", 2, PACE);
    scene.configure(1, "llm", "app");
    scene.start_fronts(INSTANCES);
    for index in 0..SMALL_LOTS {
        scene.submit(
            index % INSTANCES,
            &small_lot(index),
            &[item(format!("f5b2907c14da{index:04}"))],
        );
    }
    thread::sleep(Duration::from_secs(12));
    let items: Vec<_> = (0..ITEMS)
        .map(|index| item(format!("e5b2907c14da{index:04}")))
        .collect();
    scene.submit(0, LOT, &items);
    thread::sleep(Duration::from_millis(1_000));
    // Clients read the small lots at about the same time, at two instances.
    thread::scope(|threads| {
        for reader in 0..SMALL_LOTS * READ_INSTANCES {
            let scene = &scene;
            threads
                .spawn(move || scene.results(reader / SMALL_LOTS, &small_lot(reader % SMALL_LOTS)));
        }
    });
    let silenced = Instant::now();
    if trouble {
        let count = scene.store.silence_connections();
        scene
            .record
            .write(&format!("all {count} connections to the store go silent"));
    }
    thread::sleep(Duration::from_millis(100));
    let ended = scene.call(INSTANCES - 1, "DELETE", &format!("/-/lots/{LOT}"), &[], b"");
    let status = ended.map_or(0, |answer| answer.status());
    scene
        .record
        .write(&format!("the end of lot {LOT} is answered with {status}"));
    if status != 200 {
        cannot_run("the end of the lot isn't acknowledged");
    }
    let acknowledged = Instant::now();
    let limit = CANCEL_LIMIT + Duration::from_millis(50);
    thread::sleep(limit.saturating_sub(acknowledged.elapsed().min(silenced.elapsed())));
    scene
        .record
        .write("the machines are in touch again, and the time to cancel is over");
    let starts = || -> usize { scene.runners.iter().map(|runner| runner.starts()).sum() };
    let before = starts();
    thread::sleep(Duration::from_secs(6));
    let late = starts() - before;
    scene.record.write(&format!(
        "{late} items of the ended lot have reached a runner since then"
    ));
    scene.record_logs(&[
        "event=job_end",
        "event=job_runs_cancelled",
        "event=dependency",
    ]);
    late > 0
}
