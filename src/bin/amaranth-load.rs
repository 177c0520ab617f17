//! The `amaranth-load` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_standin::load_cli::run().into()
}
