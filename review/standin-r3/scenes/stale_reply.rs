//! A frozen allocator wakes and answers a question of a process that was killed meanwhile.

use std::sync::Arc;
use std::thread::sleep;

use super::{configuration, ms, route, send};
use crate::fleet::{Front, FrontSettings};
use crate::runner::{Runner, Work};
use crate::store::Store;
use crate::{Stage, Verdict};

/// Times that the case is tried. Each try meets the wait of 12 ms in which the allocator is to wake.
const ROUNDS: u64 = 6;

pub fn play(stage: &Stage) -> Verdict {
    let store = Store::start();
    let engine = Work { events: 5, first: ms(20), gap: ms(10), event_bytes: 10 };
    let plain = Work { events: 0, first: ms(15), gap: ms(0), event_bytes: 10 };
    let runners = [
        Runner::start(&stage.record, "i-llm", "sketch-llm", 8, engine),
        Runner::start(&stage.record, "i-store", "sketch-store", 6, plain),
    ];
    for runner in &runners {
        runner.register(&store);
    }
    let routes = [
        route("r-note", "/note/", "streaming", "sketch-llm", r#","resumable":true,"gapTargetMs":250"#),
        route("r-fetch", "/fetch/", "safe", "sketch-store", ""),
    ];
    store.put("keyed.op", "config", Some(&configuration(1, &routes, &["sketch-llm", "sketch-store"])));
    // Both services are allocated by the first instance.
    let (first, second) = ("front-1", "front-2");
    let mut allocator = Front::new(&stage.folder, &FrontSettings { name: first, store: store.address, seeds: &[], memory_mb: 290 });
    allocator.start();
    if !allocator.wait_ready(ms(10_000)) {
        return Verdict::Unplayed("the first instance isn't ready".to_owned());
    }
    let mut broken = None;
    for round in 0..ROUNDS {
        let mut other = Front::new(&stage.folder, &FrontSettings { name: second, store: store.address, seeds: &[], memory_mb: 290 });
        other.start();
        if !other.wait_ready(ms(10_000)) {
            return Verdict::Unplayed("the second instance isn't ready".to_owned());
        }
        // Both know each other as members by now. No request has come to the second one yet.
        sleep(ms(1_500));
        if stage.trouble {
            stage.record.line(&format!("disruption: {} freezes", allocator.name));
            allocator.signal("STOP");
        }
        send(stage, &other, &format!("{round}-note"), "/note/1");
        if stage.trouble {
            stage.record.line(&format!("disruption: {} is killed", other.name));
            other.kill();
            sleep(ms(200));
            other.start();
            if !other.wait_ready(ms(2_000)) {
                return Verdict::Unplayed("the second instance isn't ready again".to_owned());
            }
            sleep(ms(300));
        }
        let id = format!("{round}-fetch");
        // The first request of the restarted process has the number of the one before it was killed.
        std::thread::scope(|scope| {
            let fetched = scope.spawn(|| send(stage, &other, &id, "/fetch/1"));
            if stage.trouble {
                sleep(ms(3 + round % 3));
                allocator.signal("CONT");
                stage.record.line(&format!("disruption: {} wakes", allocator.name));
            }
            let _ = fetched.join();
        });
        let ran = |runner: &Arc<Runner>| runner.runs.lock().unwrap().contains_key(&id);
        if ran(&runners[0]) {
            broken = Some(id);
            break;
        }
        other.kill();
        sleep(ms(2_600));
    }
    match broken {
        Some(id) => Verdict::Broken(format!("ROUTE: request {id} of route r-fetch ran at a runner of sketch-llm")),
        None => Verdict::Held("every request ran at its route's service".to_owned()),
    }
}

