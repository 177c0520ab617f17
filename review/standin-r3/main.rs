//! Plays one case: `scene NAME FOLDER`. Writes FOLDER/record.txt. Exit codes: 0 the rule held, 1 it was
//! broken, 2 the case couldn't run. With TROUBLE=0 in the environment there is no disruption.

mod fleet;
mod http;
mod json;
mod record;
mod runner;
mod scenes;
mod store;

use std::env;
use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;

use record::Record;

/// What a scene has found.
pub enum Verdict {
    Held(String),
    Broken(String),
    Unplayed(String),
}

/// What every scene gets.
pub struct Stage {
    pub record: Arc<Record>,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: scene NAME FOLDER");
        exit(2);
    };
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    let temporary = env::temp_dir().join(format!("scene-{name}-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = Stage { record: record.clone(), folder: temporary.clone(), trouble };
    let played = catch_unwind(AssertUnwindSafe(|| scenes::play(name, &stage)));
    let verdict = played.unwrap_or_else(|_| Verdict::Unplayed("the driver failed".to_owned()));
    let (code, word, why) = match verdict {
        Verdict::Held(why) => (0, "held", why),
        Verdict::Broken(why) => (1, "broken", why),
        Verdict::Unplayed(why) => (2, "not played", why),
    };
    record.line(&format!("verdict {word}: {why}"));
    println!("{name} trouble={trouble}: {word}: {why}");
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&temporary);
    }
    exit(code);
}
