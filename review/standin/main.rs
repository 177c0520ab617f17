//! Stand-ins and drivers of the cases under `review/`: `standin CASE FOLDER`, or `standin runner ...`
//! for the process of a runner.

mod case_odd_entry;
mod case_quarantine;
mod case_stale_route;
mod case_starved;
mod case_turn;
mod client;
mod fleet;
mod http;
mod json;
mod judge;
mod proxy;
mod runner;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Time after which a case is given up.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Outcome {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run.
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("runner") => runner::run(&arguments[1..]),
        Some("guard") => fleet::run_guard(&arguments[1]),
        Some(case) if arguments.len() == 2 => exit(run_case(case, Path::new(&arguments[1]))),
        _ => {
            eprintln!("usage: standin CASE FOLDER");
            exit(2);
        }
    }
}

fn run_case(case: &str, folder: &Path) -> i32 {
    let record = fleet::Record::create(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let run: fn(&std::sync::Arc<fleet::Record>, PathBuf, bool) -> Outcome = match case {
        "odd_entry" => case_odd_entry::run,
        "turn" => case_turn::run,
        "quarantine" => case_quarantine::run,
        "starved" => case_starved::run,
        "stale_route" => case_stale_route::run,
        _ => {
            eprintln!("unknown case {case:?}");
            return 2;
        }
    };
    record.say(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        fleet::end_all();
        println!("could not run: not over in time");
        exit(2);
    });
    let played = catch_unwind(AssertUnwindSafe(|| {
        run(&record, temporary.clone(), trouble)
    }));
    let outcome = played.unwrap_or_else(|_| Outcome::NotRun("the driver failed".to_owned()));
    fleet::end_all();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (text, code) = match outcome {
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::NotRun(why) => (format!("could not run: {why}"), 2),
    };
    record.say(&format!("result: {text}"));
    println!("{text}");
    code
}
