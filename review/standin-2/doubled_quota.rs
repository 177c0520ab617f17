//! Two instances are added to two. While they join, the store refuses one call of one of the first: the read of
//! who is in the group. Does the limit of a tenant hold over all four afterwards?

use std::thread;
use std::time::{Duration, Instant};

use crate::runner::Pace;
use crate::scene::Scene;

const PACE: Pace = Pace {
    slots: 64,
    prefill: Duration::ZERO,
    gap: Duration::ZERO,
    events: 1,
};
const TENANTS: usize = 12;
/// Requests a second and burst of each tenant.
const RATE: f64 = 10.0;
const BURST: f64 = 5.0;
/// Length of a window, and what may run beyond the limit (`quotaWindowS`, `quotaOvershoot`, `quotaSlack`).
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Time between two requests of a tenant at one instance.
const PERIOD: Duration = Duration::from_millis(60);
/// The instance whose read is refused.
const REFUSED: usize = 1;

/// Most requests of a tenant that ran in a window.
fn most_in_window(times: &[Duration]) -> usize {
    let in_window = |first: &Duration| {
        times
            .iter()
            .filter(|time| *time >= first && **time < *first + WINDOW)
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(mut scene: Scene, trouble: bool) -> bool {
    scene.add_runners("app", 4, PACE);
    let tenant = |index| {
        format!(
            "{{\"name\":\"tenant-{index}\",\"apiKeys\":[\"key-{index}\"],\"ratePerS\":{RATE},\"burst\":{BURST},\"priority\":1}}"
        )
    };
    let tenants: Vec<_> = (0..TENANTS).map(tenant).collect();
    scene.configure_tenants(
        1,
        "llm",
        "app",
        &format!(",\"tenants\":[{}]", tenants.join(",")),
    );
    scene.start_fronts(2);
    if trouble {
        scene.store.refuse_owners(&format!("front-{REFUSED}"));
    }
    scene.start_fronts(2);
    scene.store.refuse_owners("");
    scene
        .record
        .write("two instances have been added; the store refuses nothing any more");
    // What was counted by the former list of members is over.
    thread::sleep(Duration::from_secs(20));
    let end = Instant::now() + Duration::from_secs(15);
    thread::scope(|threads| {
        for tenant in 0..TENANTS {
            for front in [REFUSED, 2] {
                let scene = &scene;
                threads.spawn(move || {
                    let key = format!("Token key-{tenant}");
                    let mut number = 0;
                    while Instant::now() < end {
                        let started = Instant::now();
                        let id = format!("{front:04x}{tenant:04x}{number:08x}");
                        let headers = [
                            ("x-request-id", id.as_str()),
                            ("x-deadline-ms", "1500"),
                            ("authorization", key.as_str()),
                        ];
                        scene.call(front, "POST", &format!("/fetch/{id}"), &headers, b"x");
                        number += 1;
                        thread::sleep(PERIOD.saturating_sub(started.elapsed()));
                    }
                });
            }
        }
    });
    let limit = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let mut broken = 0;
    for tenant in 0..TENANTS {
        let name = format!("tenant-{tenant}");
        let mut times: Vec<_> = scene
            .runners
            .iter()
            .flat_map(|runner| runner.tenants())
            .filter(|(_, of)| *of == name)
            .map(|(time, _)| time)
            .collect();
        times.sort();
        let most = most_in_window(&times);
        broken += usize::from(most as f64 > limit);
        scene.record.write(&format!(
            "{name}: {} requests ran, {most} in the worst window, of {limit:.1} at most",
            times.len()
        ));
    }
    scene
        .record
        .write(&format!("{broken} tenants are above their limit"));
    scene.record_logs(&["event=members_", "event=shards_assigned"]);
    broken > 0
}
