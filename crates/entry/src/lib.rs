//! The instance: a server for callers, peers and operators, and a client of upstreams and the
//! platform.

pub mod accept;
pub mod batch_intake;
pub mod batch_view;
pub mod cli;
pub mod committer;
pub mod config;
pub mod context;
pub mod follower;
pub mod gossip;
pub mod item_reader;
pub mod item_run;
pub mod lease_keeper;
pub mod log_client;
pub mod log_relay;
pub mod membership;
pub mod operator;
pub mod operator_access;
pub mod operator_command;
pub mod operator_peers;
pub mod operator_query;
pub mod operator_rows;
pub mod order_client;
pub mod owner;
pub mod plan_driver;
pub mod plan_health;
pub mod plan_watch;
pub mod process;
pub mod relay;
pub mod routes;
pub mod shared_state;
pub mod upstream_table;
