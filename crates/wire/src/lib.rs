//! Types shared by all amaranthford processes: identifiers, units, error kinds, log records and
//! the messages between processes. This crate does no I/O.

pub mod batch_entry;
pub mod batch_slots;
pub mod caller_identity;
pub mod change;
pub mod engine;
pub mod error;
pub mod gossip;
pub mod id;
pub mod key_digest;
pub mod message;
pub mod peer_message;
pub mod placement_message;
pub mod platform;
pub mod quarantine_message;
pub mod quota_message;
pub mod record;
pub mod role;
pub mod service_level;
pub mod unit;
