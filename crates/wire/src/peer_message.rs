//! Datagrams between instances about copies of the log's newest entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::ConfigRevision;

/// Content of a datagram about the state that instances copy from each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks for newer state than the sender has.
    Wanted {
        /// Revision of the configuration in force there; `None` without one.
        revision: Option<ConfigRevision>,
        /// Milliseconds since the sender, or the peer that it copied from, read the log.
        age_ms: u64,
    },
    /// Answers with where newer state can be read.
    Offered {
        /// Revision of the configuration in force there.
        revision: ConfigRevision,
        /// Milliseconds since the sender, or the peer that it copied from, read the log.
        age_ms: u64,
        /// Address from which its state can be read.
        control: SocketAddr,
    },
}
