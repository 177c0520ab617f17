//! Forwards opaque requests to upstreams and runs batch jobs, by route. An adapter supplies the
//! codecs of the protocols.

pub mod answer;
pub mod attempt;
pub mod batch;
pub mod call;
pub mod caller_access;
pub mod caller_link;
pub mod caller_stream;
pub mod connection_pool;
pub mod connection_slots;
pub mod crash_check;
pub mod forward_run;
pub mod gateway;
pub mod listener;
pub mod log_access;
pub mod member_name;
pub mod memory_account;
pub mod online;
pub mod panic_guard;
pub mod peer_refresh;
pub mod peer_state;
pub mod placement_service;
pub mod process;
pub mod quarantine_service;
pub mod quarantine_task;
pub mod quota_service;
pub mod request_trace;
pub mod route_state;
pub mod share_accounts;
pub mod socket;
pub mod start_wait;
pub mod stream_relay;
pub mod topic_apply;
pub mod topic_follower;
pub mod upstream_pool;
pub mod whole_body;
