//! The `amaranth-engine` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_standin::engine_cli::run().into()
}
