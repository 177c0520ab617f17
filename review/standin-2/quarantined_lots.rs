//! Two of six runners crash, one after the other, each as it reads the prompt of one item. Both items share
//! the beginning of their prompts. Are the lots that share it, too, done when they have to be?

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::front::cannot_run;
use crate::runner::{Pace, Runner};
use crate::scene::{Item, Scene, wait_for};

/// First part of all prompts.
const SHARED: &str = "9c2e41";
const PACE: Pace = Pace {
    slots: 8,
    prefill: Duration::from_millis(600),
    gap: Duration::from_millis(30),
    events: 20,
};
/// How long a crashed runner is down, by the site file.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time that lots have after the end of traffic.
const FINISH: Duration = Duration::from_secs(18);

fn items(lot: char, count: usize, shared: &str) -> Vec<Item> {
    let item = |index| Item {
        id: format!("{lot}{lot}b2907c14da{index:04}"),
        shared: shared.to_owned(),
    };
    (0..count).map(item).collect()
}

/// Crashes a runner that reads the prompt of just one item of a lot, and starts it again.
fn crash_one(scene: &Scene, lot: char) {
    let marker = format!("{lot}{lot}");
    let reads_one = |runner: &&Arc<Runner>| {
        let mut running = runner.running();
        running.retain(|running| running.id.starts_with(&marker));
        running.len() == 1 && running[0].events == 0
    };
    let mut found = None;
    wait_for(Duration::from_millis(500), || {
        found = scene.runners.iter().find(reads_one).cloned();
        found.is_some()
    });
    let Some(runner) = found else {
        cannot_run("no runner reads a single prompt of the lot")
    };
    thread::sleep(Duration::from_millis(250));
    runner.crash();
    thread::spawn(move || {
        thread::sleep(DOWN);
        runner.restart();
    });
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(mut scene: Scene, trouble: bool) -> bool {
    scene.add_runners("llm", 6, PACE);
    scene.configure(1, "llm", "app");
    scene.start_fronts(3);
    let first = ("a0b52d6a3f8e4101", items('a', 5, SHARED));
    let single = ("b1b52d6a3f8e4102", items('b', 1, SHARED));
    let other = ("d3b52d6a3f8e4104", items('d', 100, "5d07b8"));
    let last = ("c2b52d6a3f8e4103", items('c', 10, SHARED));
    scene.submit(0, first.0, &first.1);
    if trouble {
        crash_one(&scene, 'a');
    }
    thread::sleep(Duration::from_secs(14));
    scene.submit(1, single.0, &single.1);
    // A lot with other prompts takes the slots that are free.
    scene.submit(0, other.0, &other.1);
    if trouble {
        crash_one(&scene, 'b');
    }
    thread::sleep(Duration::from_millis(1_500));
    scene.submit(2, last.0, &last.1);
    scene.record.write("the traffic ends");
    thread::sleep(FINISH);
    let mut open = 0;
    for (job, items) in [&first, &single, &other, &last] {
        let Some(outcomes) = scene.results(0, job) else {
            cannot_run("a lot can't be read")
        };
        let listed = |item: &&Item| outcomes.iter().any(|outcome| outcome.id == item.id);
        let listed = items.iter().filter(listed).count();
        scene.record.write(&format!(
            "lot {job}: {listed} of {} items are listed",
            items.len()
        ));
        // An item that failed at a runner a short time ago doesn't count.
        if *job != single.0 {
            open += items.len() - listed;
        }
    }
    let busy: usize = scene
        .runners
        .iter()
        .map(|runner| runner.running().len())
        .sum();
    scene.record.write(&format!(
        "{open} items that never failed are open, {busy} requests run at the runners"
    ));
    scene.record_logs(&["event=prompt_", "event=item_held", "event=request_lost"]);
    open > 0 && busy == 0
}
