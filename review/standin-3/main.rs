//! Plays one case of the review: `NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. With `TROUBLE=0` it leaves the disruption out.

mod http;
mod json;
mod machine;
mod record;
mod runner;
mod scenarios;
mod scene;
mod store;
mod template;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: NAME RECORD");
        return ExitCode::from(2);
    };
    let play = match name.as_str() {
        "line-breaks" => scenarios::line_breaks,
        "endless-item" => scenarios::endless_item,
        "junk-item" => scenarios::junk_item,
        "large-items" => scenarios::large_items,
        "jobs-ahead" => scenarios::jobs_ahead,
        _ => {
            eprintln!("no case {name:?}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create(&path);
    record.note(format!("case={name} trouble={trouble}"));
    let played = catch_unwind(AssertUnwindSafe(|| play(&record, trouble)));
    let (code, seen) = match played {
        Ok(Ok(outcome)) => (u8::from(outcome.is_broken), outcome.seen),
        Ok(Err(why)) => (2, why),
        Err(_) => (2, "panicked".to_owned()),
    };
    record.note(format!("seen {seen}"));
    record.note(format!("exit={code}"));
    println!("{name} trouble={trouble} exit={code}: {seen}");
    ExitCode::from(code)
}
