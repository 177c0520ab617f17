//! Every program's command line, exit codes, errors and logs.

mod support;

use std::fs;
use std::io::Read;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use amaranth_net::exit_codes::ExitCode;
use support::TestFleet;

/// Names of all programs.
fn programs() -> Vec<String> {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/bin");
    let sources = fs::read_dir(sources).expect("the programs' sources");
    let names = sources.map(|entry| entry.expect("an entry").path());
    let names = names.filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()));
    let mut names: Vec<_> = names.collect();
    names.sort();
    names
}

fn path_of(program: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_amaranth-entry")).with_file_name(program)
}

/// Runs a program to its end.
fn run(program: &str, args: &[&str]) -> Output {
    let mut command = Command::new(path_of(program));
    command
        .args(args)
        .env_remove("RUST_LOG")
        .stdin(Stdio::null());
    command
        .output()
        .unwrap_or_else(|e| panic!("{program}: {e}"))
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

fn code(code: ExitCode) -> Option<i32> {
    Some(i32::from(code.code()))
}

/// Checks that a run fails with this code and prints one line with the program's name to stderr.
fn check_failure(program: &str, args: &[&str], expected: ExitCode) -> String {
    let output = run(program, args);
    let errors = stderr(&output);
    assert_eq!(
        output.status.code(),
        code(expected),
        "{program} {args:?}: {errors}"
    );
    assert_eq!(errors.lines().count(), 1, "{program} {args:?}: {errors}");
    assert!(
        errors.starts_with(&format!("{program}: ")),
        "{args:?}: {errors}"
    );
    assert!(stdout(&output).is_empty(), "{program} {args:?}");
    errors
}

#[test]
fn every_program_prints_its_options_and_version() {
    let programs = programs();
    assert!(programs.len() >= 3, "{programs:?}");
    for program in &programs {
        for option in ["--help", "-h"] {
            let output = run(program, &[option]);
            let help = stdout(&output);
            assert_eq!(output.status.code(), Some(0), "{program} {option}");
            assert!(help.contains(&format!("Usage: {program} ")), "{help}");
            for part in ["--help", "--version", "Exit codes:"] {
                assert!(help.contains(part), "{program} has no {part}: {help}");
            }
            assert!(
                help.lines().all(|line| line.chars().count() <= 100),
                "{help}"
            );
        }
        for option in ["--version", "-V"] {
            let output = run(program, &[option]);
            let expected = format!("{program} {}\n", env!("CARGO_PKG_VERSION"));
            assert_eq!((output.status.code(), stdout(&output)), (Some(0), expected));
        }
    }
}

#[test]
fn every_program_refuses_a_wrong_command_line() {
    for program in programs() {
        for option in ["--no-such-option", "-Z"] {
            let error = check_failure(&program, &[option], ExitCode::Usage);
            assert!(error.contains("--help"), "{error}");
        }
    }
}

#[test]
fn errors_name_the_wrong_value() {
    let cases: &[(&str, &[&str], &str)] = &[
        ("amaranth-entry", &["operand"], "operand"),
        ("amaranth-platform", &["operand"], "operand"),
        ("amaranth-engine", &["operand"], "operand"),
        ("amaranth-burn", &[], "missing --settings"),
        ("amaranth-burn", &["--check", "file"], "missing --settings"),
        (
            "amaranth-burn",
            &["--format", "xml", "file"],
            "text or json",
        ),
        ("amaranth-entry", &[], "missing --settings"),
        ("amaranth-entry", &["--settings", "f"], "missing --instance"),
        ("amaranth-entry", &["--settings"], "--settings"),
        ("amaranth-entry", &["--instance", "a b"], "a b"),
        ("amaranth-entry", &["--listen", "here"], "here"),
        ("amaranth-platform", &["--append-rate", "300"], "300"),
        (
            "amaranth-platform",
            &["--retention", "5 parsecs"],
            "parsecs",
        ),
        ("amaranth-engine", &["--step", "fast"], "fast"),
        ("amaranth-engine", &["--listen", "127.0.0.1"], "127.0.0.1"),
    ];
    for (program, args, named) in cases {
        let error = check_failure(program, args, ExitCode::Usage);
        assert!(error.contains(named), "{args:?}: {error}");
    }
}

#[test]
fn settings_are_checked_before_anything_starts() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("programs-check.jsonc");
    let path = file.to_str().expect("a plain path");
    let check = ["--settings", path, "--instance", "entry-1", "--check"];
    let valid = r#"{"fleet": "f", "data_centres": ["a"], "platform": {"address": "127.0.0.1:1"},
      "instances": [{"name": "entry-1", "data_centre": "a"}], "upstreams": [{"name": "l",
      "kind": "engine", "model": "m", "count": 1, "data_centres": ["a"]}],
      "tiers": [{"name": "t", "upstreams": "l"}]}"#;
    fs::write(&file, valid).expect("settings can be written");
    let output = run("amaranth-entry", &check);
    assert_eq!(
        (output.status.code(), stderr(&output)),
        (Some(0), String::new())
    );
    let mut other = check;
    other[3] = "entry-9";
    let error = check_failure("amaranth-entry", &other, ExitCode::Settings);
    assert!(error.contains("entry-9"), "{error}");

    fs::write(
        &file,
        valid.replace("\"a\"}", "\"z\"}").replace("\"m\"", "7"),
    )
    .expect("written");
    for args in [&check[..], &check[..4]] {
        let output = run("amaranth-entry", args);
        let errors = stderr(&output);
        assert_eq!(output.status.code(), code(ExitCode::Settings), "{errors}");
        assert!(!errors.is_empty() && stdout(&output).is_empty());
        let prefix = format!("amaranth-entry: {path}:");
        assert!(
            errors.lines().all(|line| line.starts_with(&prefix)),
            "{errors}"
        );
    }
    fs::remove_file(&file).expect("settings can be removed");
    let error = check_failure("amaranth-entry", &check, ExitCode::Settings);
    assert!(error.contains(path), "{error}");
}

#[test]
fn a_taken_address_is_a_failure() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    for program in ["amaranth-platform", "amaranth-engine"] {
        check_failure_with_logs(program, &["--listen", &address]);
    }
}

/// Checks that a run fails and that the last line on stderr is its error.
fn check_failure_with_logs(program: &str, args: &[&str]) {
    let output = run(program, args);
    assert_eq!(output.status.code(), code(ExitCode::Failure), "{program}");
    let errors = stderr(&output);
    let last = errors.lines().last().unwrap_or("");
    assert!(last.starts_with(&format!("{program}: ")), "{errors}");
}

/// Whether a log line consists of key=value pairs that begin with time, level and event.
fn is_log_line(line: &str) -> bool {
    let mut keys = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let Some((key, value)) = rest.split_once('=') else {
            return false;
        };
        keys.push(key);
        let end = match value.strip_prefix('"') {
            None => value.find(' ').unwrap_or(value.len()),
            Some(quoted) => match closing_quote(quoted) {
                Some(end) => end + 2,
                None => return false,
            },
        };
        rest = value[end..].trim_start();
    }
    let is_plain_key =
        |key: &&str| !key.is_empty() && key.chars().all(|c| c == '_' || c.is_ascii_lowercase());
    keys.starts_with(&["time", "level", "event"]) && keys.iter().all(is_plain_key)
}

/// Position of the quote that closes a quoted value.
fn closing_quote(text: &str) -> Option<usize> {
    let mut escaped = false;
    text.char_indices().find_map(|(at, c)| {
        let closes = c == '"' && !escaped;
        escaped = c == '\\' && !escaped;
        closes.then_some(at)
    })
}

#[test]
fn is_log_line_accepts_only_key_value_lines() {
    let cases = [
        ("time=1 level=info event=started", true),
        (
            "time=1 level=info event=failed error=\"a \\\"b\\\" c\" count=3",
            true,
        ),
        ("time=1 level=info something happened", false),
        ("level=info event=started", false),
        ("time=1 level=info event=failed error=\"open", false),
    ];
    for (line, expected) in cases {
        assert_eq!(is_log_line(line), expected, "{line}");
    }
}

#[tokio::test]
async fn logs_are_one_line_of_pairs_for_each_event() {
    let fleet = TestFleet::start(1, 1).await;
    let stderr_with_filter = |filter: &str| {
        let settings = fleet.settings_path();
        let mut child = Command::new(path_of("amaranth-entry"))
            .args(["--settings", settings, "--instance", "entry-1"])
            .env("RUST_LOG", filter)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut first = [0; 16];
        let stdout = child.stdout.as_mut().expect("stdout is piped");
        stdout
            .read_exact(&mut first)
            .expect("it says where it listens");
        std::thread::sleep(std::time::Duration::from_millis(300));
        child.kill().expect("the program can be stopped");
        let output = child.wait_with_output().expect("the program ends");
        String::from_utf8(output.stderr).expect("text")
    };
    let lines = stderr_with_filter("amaranth_entry=debug");
    assert!(lines.contains("event=listening"), "{lines}");
    for line in lines.lines() {
        assert!(is_log_line(line), "{line}");
    }
    assert_eq!(stderr_with_filter("off"), "");
}

#[test]
fn the_page_lists_every_exit_code() {
    let page = include_str!("../docs/operators/programs.md");
    let rows = [
        (ExitCode::Success, "| 0 | success"),
        (ExitCode::Failure, "| 1 | failure"),
        (ExitCode::Usage, "| 2 | wrong command line"),
        (ExitCode::Settings, "| 3 | wrong settings"),
        (ExitCode::BrokenPromise, "| 4 | a promise was broken"),
        (ExitCode::Rejected, "| 5 | an operator command was rejected"),
        (
            ExitCode::Unknown,
            "| 6 | the fate of an operator command is unknown",
        ),
    ];
    for (code, row) in rows {
        assert!(row.starts_with(&format!("| {} ", code.code())), "{code:?}");
        assert!(page.lines().any(|line| line.starts_with(row)), "{row}");
    }
    for program in programs() {
        assert!(page.contains(&format!("`{program}`")), "{program}");
    }
}

#[tokio::test]
async fn an_instance_reports_its_health_and_metrics() {
    let fleet = TestFleet::start(1, 1).await;
    let body = support::chat("roof", 1, false);
    let answer = fleet
        .post("entry-1", "/v1/chat/completions", &[], body)
        .await;
    assert_eq!(answer.expect("an answer").0, 200);
    assert_eq!(fleet.get_text("entry-1", "/livez").await, "live\n");
    assert_eq!(fleet.get_text("entry-1", "/readyz").await, "ready\n");
    let metrics = fleet.get_text("entry-1", "/metrics").await;
    for name in [
        "amaranth_ready 1",
        "amaranth_folded_offset",
        "amaranth_config_revision 0",
        "amaranth_calls_in_progress 0",
        "amaranth_work_in_progress",
    ] {
        assert!(
            metrics.lines().any(|line| line.starts_with(name)),
            "{name}: {metrics}"
        );
    }
}
