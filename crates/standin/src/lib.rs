//! Small stand-ins for the systems that amaranthford serves, a load and measurement tool, and
//! everything together in one process. Honest to the published behaviour, without a simulator.

pub mod connection_gate;
pub mod engine;
pub mod engine_batch;
pub mod engine_cli;
pub mod engine_faults;
pub mod engine_orders;
pub mod engine_routes;
pub mod engine_stream;
pub mod engine_text;
pub mod fault_panel;
pub mod lagging_list;
pub mod load_call;
pub mod load_cli;
pub mod load_history;
pub mod load_report;
pub mod load_run;
pub mod load_stats;
pub mod log_store;
pub mod platform;
pub mod platform_cli;
pub mod platform_faults;
pub mod prefix_cache;
pub mod process_watch;
pub mod registration;
pub mod service;
pub mod serving;
pub mod token_text;
pub mod weight_store;
