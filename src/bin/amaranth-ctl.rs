//! The `amaranth-ctl` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_ctl::cli::run().into()
}
