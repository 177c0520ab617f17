//! All open connections to the store go silent, as calm callers read finished lots. New connections work. Is
//! a runner that reports just afterwards that it drains left alone in time?

use std::thread;
use std::time::{Duration, Instant};

use crate::runner::Pace;
use crate::scene::{Item, Scene};

const PACE: Pace = Pace {
    slots: 8,
    prefill: Duration::from_millis(50),
    gap: Duration::from_millis(5),
    events: 20,
};
/// Time in which a machine whose connections were reset isn't in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time after the store's acknowledgement in which a leaving runner may still get requests (`drainMs`).
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
const INSTANCES: usize = 2;
const LOTS: usize = 30;

fn job(index: usize) -> String {
    format!("a0b52d6a3f8e41{index:02}")
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(mut scene: Scene, trouble: bool) -> bool {
    scene.add_runners("llm", 4, PACE);
    scene.add_runners("app", 2, PACE);
    scene.configure(1, "llm", "app");
    scene.start_fronts(INSTANCES);
    for index in 0..LOTS {
        let id = format!("e5b2907c14da6f{index:02}");
        let shared = format!("9c2e{index:02}");
        scene.submit(index % INSTANCES, &job(index), &[Item { id, shared }]);
    }
    thread::sleep(Duration::from_secs(8));
    // Clients read all lots at about the same time, at all instances.
    thread::scope(|threads| {
        for reader in 0..LOTS * INSTANCES {
            let scene = &scene;
            threads.spawn(move || {
                let done = scene.results(reader / LOTS, &job(reader % LOTS));
                assert!(
                    done.is_some_and(|done| done.len() == 1),
                    "a lot is not done"
                );
            });
        }
    });
    let silenced = Instant::now();
    if trouble {
        let count = scene.store.silence_connections();
        scene
            .record
            .write(&format!("all {count} connections to the store go silent"));
    }
    thread::sleep(Duration::from_millis(300));
    let leaving = scene.runners[4].clone();
    scene.announce("app", &leaving, "draining", PACE.slots, 2);
    scene.record.write(&format!(
        "the store has accepted that {} is draining",
        leaving.id
    ));
    let accepted = Instant::now();
    // It counts from when the machines are in touch again and the time to drain is over.
    thread::sleep(
        STABLE_WINDOW
            .saturating_sub(silenced.elapsed())
            .max(DRAIN_LIMIT),
    );
    thread::sleep(Duration::from_millis(50));
    scene
        .record
        .write("the machines are in touch again, and the time to drain is over");
    let mut late = 0;
    for number in 0..100 {
        let front = number % INSTANCES;
        let id = format!("{number:016x}");
        let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "1500")];
        let after = accepted.elapsed().as_millis();
        let answer = scene.call(front, "POST", &format!("/fetch/{id}"), &headers, b"x");
        let served = answer
            .as_ref()
            .and_then(|answer| answer.header("x-server-signature"))
            .unwrap_or("nobody");
        late += usize::from(served == format!("signed-{}", leaving.id));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        scene.record.write(&format!(
            "request {id} sent to front-{front} {after} ms after that: answered {status}, {served}"
        ));
        thread::sleep(Duration::from_millis(50));
    }
    scene.record.write(&format!(
        "{late} requests reached the runner that is draining"
    ));
    scene.record_logs(&[
        "event=upstream_changed",
        "event=dependency",
        "event=peer_state",
    ]);
    late > 0
}
