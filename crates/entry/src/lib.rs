//! The instance: a server for callers, peers and operators, and a client of upstreams and the
//! platform.

pub mod accept;
pub mod admit;
pub mod attempt;
pub mod batch_intake;
pub mod batch_view;
pub mod caller_port;
pub mod cli;
pub mod committer;
pub mod config;
pub mod context;
pub mod follower;
pub mod gossip;
pub mod item_reader;
pub mod item_run;
pub mod lease_keeper;
pub mod load_poll;
pub mod log_client;
pub mod membership;
pub mod operator;
pub mod owner;
pub mod process;
pub mod relay;
pub mod request_run;
pub mod routes;
pub mod settle;
pub mod shared_state;
pub mod upstream_state;
pub mod upstream_table;
