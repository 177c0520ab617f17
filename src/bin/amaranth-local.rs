//! The `amaranth-local` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_standin::local_cli::run().into()
}
