//! The instance: a server for callers, peers and operators, and a client of upstreams and the
//! platform.

pub mod accept;
pub mod batch_intake;
pub mod batch_upload;
pub mod batch_view;
pub mod call_meter;
pub mod caller_auth;
pub mod cli;
pub mod commit_queue;
pub mod committer;
pub mod config;
pub mod context;
pub mod files;
pub mod follower;
pub mod gossip;
pub mod item_reader;
pub mod item_run;
pub mod lease_keeper;
pub mod log_client;
pub mod membership;
pub mod models;
pub mod operator;
pub mod owner;
pub mod process;
pub mod relay;
pub mod routes;
pub mod running_items;
pub mod shard_preference;
pub mod shared_state;
pub mod upstream_table;
