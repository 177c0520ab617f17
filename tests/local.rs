//! The README's first command: a whole fleet in one process, checked.

mod support;

use std::process::Command;

use support::TestProcess;

fn local(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_amaranth-local"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).args(args);
    command
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
fn serve_prints_addresses_and_ends_when_told() {
    let program = env!("CARGO_BIN_EXE_amaranth-local");
    let settings = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/solarmapa.jsonc");
    let mut served = TestProcess::start(program, &[settings, "--serve"]);
    served.signal("TERM");
    assert_eq!(served.wait(), Some(0));
}
