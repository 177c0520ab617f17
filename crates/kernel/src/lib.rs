//! Decisions and the state folded from the log. Pure: time, randomness and membership come in as
//! arguments; nothing here reads a clock, opens a socket or starts a thread.

pub mod bitmap;
pub mod config_state;
pub mod cursor;
pub mod hashing;
pub mod lease;
pub mod ledger;
pub mod plugin;
pub mod retry;
pub mod routing;
pub mod stream_assembly;
