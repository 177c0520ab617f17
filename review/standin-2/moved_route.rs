//! The route of batch jobs moves to another service, while many items wait for the first one. Which service do
//! items reach once the configuration has to be in force?

use std::thread;
use std::time::Duration;

use crate::runner::Pace;
use crate::scene::{Item, Scene};

const PACE: Pace = Pace {
    slots: 4,
    prefill: Duration::from_millis(50),
    gap: Duration::from_millis(40),
    events: 20,
};
/// Time after its acknowledgement in which a configuration has to be in force (`configApplyMs`).
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);
const INSTANCES: usize = 3;
const LOTS: usize = 10;
const ITEMS: usize = 20;

/// Plays the case. Returns whether the rule was broken.
pub fn play(mut scene: Scene, trouble: bool) -> bool {
    scene.add_runners("llm", 2, PACE);
    scene.add_runners("llm-new", 4, PACE);
    scene.configure(1, "llm", "app");
    scene.start_fronts(INSTANCES);
    for lot in 0..LOTS {
        let item = |index| Item {
            id: format!("e5b2907c14{lot:02}{index:04}"),
            shared: "9c2e41".to_owned(),
        };
        let items: Vec<_> = (0..ITEMS).map(item).collect();
        scene.submit(lot % INSTANCES, &format!("a0b52d6a3f8e41{lot:02}"), &items);
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        scene.configure(2, "llm-new", "app");
    }
    thread::sleep(APPLY_LIMIT + Duration::from_millis(50));
    scene.record.write("the version has to be in force");
    let starts = || -> usize {
        scene.runners[..2]
            .iter()
            .map(|runner| runner.starts())
            .sum()
    };
    let before = starts();
    thread::sleep(Duration::from_secs(12));
    let late = starts() - before;
    scene.record.write(&format!(
        "{late} items have reached the service of the older version since then"
    ));
    scene.record_logs(&["event=configuration_in_force"]);
    trouble && late > 0
}
