//! The `amaranth-burn` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_burn::cli::run().into()
}
