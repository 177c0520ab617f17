//! Decisions and the state folded from the log. Pure: time, randomness and membership come in as
//! arguments; nothing here reads a clock, opens a socket or starts a thread.

pub mod admission_queue;
pub mod batch_room;
pub mod bitmap;
pub mod change_state;
pub mod commit;
pub mod concurrency_limit;
pub mod config_state;
pub mod cursor;
pub mod decision_log;
pub mod ejection;
pub mod file_table;
pub mod hashing;
pub mod language;
pub mod lease;
pub mod ledger;
pub mod log_clock;
pub mod log_source;
pub mod membership;
pub mod plan_state;
pub mod plugin;
pub mod quota;
pub mod retention;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod service_level;
pub mod setting_table;
pub mod slot_book;
pub mod step_model;
pub mod stream_assembly;
pub mod subset;
pub mod upstream_load;
