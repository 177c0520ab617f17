//! Infrastructure shared by all amaranthford programs: HTTP server and client, clocks, logs,
//! metrics, command line and exit codes.

pub mod answer;
pub mod body;
pub mod cli;
pub mod client;
pub mod clock;
pub mod exit_codes;
pub mod log_queue;
pub mod route;
pub mod server;
pub mod state_lock;
pub mod telemetry;
