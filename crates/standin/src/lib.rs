//! Stand-ins for the systems that amaranthford serves, a load generator, and a whole fleet in one
//! process. The stand-ins follow the published behaviour of the real systems, in real time and
//! without a simulator.

pub mod connection_gate;
pub mod engine;
pub mod engine_batch;
pub mod engine_cli;
pub mod engine_faults;
pub mod engine_orders;
pub mod engine_routes;
pub mod engine_stream;
pub mod engine_text;
pub mod fault_injector;
pub mod lagging_list;
pub mod load_call;
pub mod load_cli;
pub mod load_history;
pub mod load_report;
pub mod load_run;
pub mod load_stats;
pub mod local_batch;
pub mod local_cli;
pub mod local_fleet;
pub mod local_online;
pub mod local_operate;
pub mod local_promises;
pub mod local_report;
pub mod local_run;
pub mod log_store;
pub mod platform;
pub mod platform_cli;
pub mod platform_faults;
pub mod prefix_cache;
pub mod process_monitor;
pub mod registration;
pub mod service;
pub mod serving;
pub mod token_text;
pub mod upstream_start;
pub mod weight_store;
