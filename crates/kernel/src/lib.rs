//! Scheduling and routing decisions, and the state machines replayed from the log. Everything is
//! deterministic: time, randomness and membership are arguments, and nothing here reads a clock,
//! opens a socket or starts a thread.

pub mod admission_queue;
pub mod attempt_plan;
pub mod batch_capacity;
pub mod batch_slot_allocator;
pub mod bitmap;
pub mod change_state;
pub mod commit;
pub mod concurrency_limit;
pub mod config_state;
pub mod cursor;
pub mod decision_log;
pub mod ejection;
pub mod event_framing;
pub mod file_table;
pub mod hashing;
pub mod hedge_policy;
pub mod job_table;
pub mod language;
pub mod lease;
pub mod ledger;
pub mod log_clock;
pub mod log_source;
pub mod membership;
pub mod moving_average;
pub mod outlier_reports;
pub mod placement;
pub mod plan_state;
pub mod plugin;
pub mod request_intents;
pub mod result_store;
pub mod retention;
pub mod retry;
pub mod rollout;
pub mod route_table;
pub mod routing;
pub mod service_level;
pub mod setting_table;
pub mod slot_allocator;
pub mod step_model;
pub mod stream_assembly;
pub mod subset;
pub mod token_quota;
pub mod upstream_load;
pub mod upstream_registry;
