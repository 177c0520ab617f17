//! The `amaranth-platform` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    amaranth_standin::platform_cli::run().into()
}
