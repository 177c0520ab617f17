//! `amaranth-local`: a whole fleet in one process, with its promises checked.

mod support;

use std::path::Path;
use std::process::Command;

use serde_json::Value;
use support::TestProcess;

/// Promise that depends on the machine's speed; checked by measurements instead.
const ON_TIME: &str = "online is on time beside batch";

fn local(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_amaranth-local"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).args(args);
    command
}

#[test]
fn both_examples_keep_every_promise() {
    for fleet in ["solarmapa", "harrowgate"] {
        let settings = format!("examples/{fleet}.jsonc");
        let report = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{fleet}.json"));
        let report = report.to_str().expect("a plain path");
        let output = local(&[&settings, "--time", "10s", "--report", report]).output();
        let output = output.expect("the program runs");
        let table = String::from_utf8_lossy(&output.stdout);
        let text = std::fs::read_to_string(report).expect("a report");
        let report: Value = serde_json::from_str(&text).expect("JSON");
        let promises = report["promises"].as_array().expect("promises");
        assert_eq!(promises.len(), 11, "{table}");
        let broken = |row: &&Value| row["broken"] != 0;
        for row in promises.iter().filter(|row| row["promise"] != ON_TIME) {
            let is_kept = row["checked"] != 0 && !broken(&row);
            assert!(is_kept, "{row}\n{table}");
        }
        let code = if promises.iter().any(|row| broken(&row)) {
            4
        } else {
            0
        };
        assert_eq!(output.status.code(), Some(code), "{table}");
    }
}

#[test]
fn wrong_settings_and_arguments_have_their_exit_codes() {
    let cases: [(&[&str], i32); 4] = [
        (&["examples/solarmapa.jsonc", "--check"], 0),
        (&["no-such-file.jsonc"], 3),
        (&[], 2),
        (&["examples/solarmapa.jsonc", "--no-such-option"], 2),
    ];
    for (args, code) in cases {
        let output = local(args).output().expect("the program runs");
        assert_eq!(output.status.code(), Some(code), "{args:?}");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(stderr.lines().count(), usize::from(code != 0), "{stderr}");
    }
}

#[test]
fn serve_prints_addresses_and_stops_on_sigterm() {
    let program = env!("CARGO_BIN_EXE_amaranth-local");
    let settings = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/solarmapa.jsonc");
    let mut served = TestProcess::start(program, &[settings, "--serve"]);
    served.signal("TERM");
    assert_eq!(served.wait(), Some(0));
}
