//! The `amaranth-entry` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_entry::cli::run().into()
}
