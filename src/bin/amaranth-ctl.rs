//! The operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_ctl::cli::run().into()
}
