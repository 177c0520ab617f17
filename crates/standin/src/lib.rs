//! Small stand-ins for the systems that amaranthford serves, a load and measurement tool, and
//! everything together in one process. Honest to the published behaviour, without a simulator.

pub mod engine;
pub mod engine_cli;
pub mod log_store;
pub mod platform;
pub mod platform_cli;
pub mod platform_faults;
pub mod serving;
pub mod token_text;
