//! Plays one case of the review: `scene CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod doubled_quota;
mod ended_lot;
mod front;
mod http;
mod moved_route;
mod quarantined_lots;
mod record;
mod runner;
mod scene;
mod silent_runners;
mod silent_store;
mod store;
mod template;

use std::panic::{AssertUnwindSafe, catch_unwind};

use record::Record;
use scene::Scene;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: scene CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|trouble| trouble != "0")
        || std::env::var("TROUBLE").is_err();
    let record = Record::new(path);
    record.write(&format!("case {case}, trouble {trouble}"));
    let played = catch_unwind(AssertUnwindSafe(|| {
        let scene = Scene::new(record.clone());
        match case.as_str() {
            "quarantined-lots" => quarantined_lots::play(scene, trouble),
            "silent-store" => silent_store::play(scene, trouble),
            "moved-route" => moved_route::play(scene, trouble),
            "ended-lot" => ended_lot::play(scene, trouble),
            "silent-runners" => silent_runners::play(scene, trouble),
            "doubled-quota" => doubled_quota::play(scene, trouble),
            other => panic!("no case {other}"),
        }
    }));
    let code = match played {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    };
    record.write(&format!("exit code {code}"));
    println!("{case}: exit code {code}");
    std::process::exit(code);
}
