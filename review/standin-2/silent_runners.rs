//! The runners announce that they keep idle connections for a minute. After a large lot is done, all open
//! connections to the runners go silent; new ones work. Is a small lot that comes then done when it has to be?

use std::thread;
use std::time::Duration;

use crate::front::cannot_run;
use crate::runner::{Pace, Runner};
use crate::scene::{Item, Scene};

const PACE: Pace = Pace {
    slots: 8,
    prefill: Duration::from_millis(100),
    gap: Duration::from_millis(50),
    events: 20,
};
/// Time that lots have after the end of traffic (`finishS`).
const FINISH: Duration = Duration::from_secs(18);
const INSTANCES: usize = 2;
const RUNNERS: usize = 6;
const LARGE_LOT: &str = "a0b52d6a3f8e4101";
const SMALL_LOT: &str = "b1b52d6a3f8e4102";

fn items(lot: char, count: usize) -> Vec<Item> {
    let item = |index| Item {
        id: format!("{lot}{lot}b2907c14da{index:04}"),
        shared: "9c2e41".to_owned(),
    };
    (0..count).map(item).collect()
}

fn listed(scene: &Scene, job: &str) -> usize {
    let outcomes = scene.results(0, job);
    outcomes
        .unwrap_or_else(|| cannot_run("a lot can't be read"))
        .len()
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(mut scene: Scene, trouble: bool) -> bool {
    scene.add_runners("llm", RUNNERS, PACE);
    scene.configure(1, "llm", "app");
    scene.start_fronts(INSTANCES);
    let large = items('a', 96);
    scene.submit(0, LARGE_LOT, &large);
    for _ in 0..200 {
        thread::sleep(Duration::from_millis(100));
        if listed(&scene, LARGE_LOT) == large.len() {
            break;
        }
    }
    if listed(&scene, LARGE_LOT) < large.len() {
        cannot_run("the large lot isn't done after 20 s");
    }
    scene.record.write("the large lot is done");
    if trouble {
        let silenced: usize = scene
            .runners
            .iter()
            .map(|runner| Runner::silence_connections(runner))
            .sum();
        scene.record.write(&format!(
            "all {silenced} connections to the runners go silent"
        ));
    }
    thread::sleep(Duration::from_millis(500));
    let small = items('b', 6);
    scene.submit(1, SMALL_LOT, &small);
    scene.record.write("the traffic ends");
    let starts = || -> usize { scene.runners.iter().map(|runner| runner.starts()).sum() };
    thread::sleep(FINISH - Duration::from_secs(5));
    let (before, listed_before) = (starts(), listed(&scene, SMALL_LOT));
    thread::sleep(Duration::from_secs(5));
    let (after, done) = (starts(), listed(&scene, SMALL_LOT));
    let open = small.len() - done;
    scene.record.write(&format!(
        "{done} of {} items of the small lot are listed",
        small.len()
    ));
    scene.record.write(&format!(
        "in the last 5 s, {} items reached a runner and {} were finished",
        after - before,
        done - listed_before
    ));
    scene.record_logs(&["event=item_attempt_failed", "event=item_ended"]);
    open > 0 && after == before && done == listed_before
}
