//! Placement requests whose slot is not counted yet.

use std::collections::HashMap;
use std::net::SocketAddr;

use amaranth_net::state_lock::StateMutex;
use amaranth_wire::placement_message::PlacementReply;
use tokio::sync::oneshot;

/// Placement requests by number, until their slot is counted here.
pub(super) type PendingRequests = HashMap<u64, PendingRequest>;

/// A placement request that was sent to an allocator, or is decided here.
pub(super) struct PendingRequest {
    allocator: SocketAddr,
    /// Taken by the reply.
    sender: Option<oneshot::Sender<PlacementReply>>,
}

/// What a reply that was received is for.
pub(super) enum ReplyUse {
    /// A request that waits for it.
    Awaited(oneshot::Sender<PlacementReply>),
    /// No request that is open: it came too late, twice, or for a former run of the process.
    Unknown,
    /// A request that was sent to another allocator.
    OtherSender,
}

/// Returns what a reply is for, and takes the sender of the request that waits for it.
pub(super) fn take_waiting(
    pending: &mut PendingRequests,
    number: u64,
    from: SocketAddr,
) -> ReplyUse {
    match pending.get_mut(&number) {
        None => ReplyUse::Unknown,
        Some(request) if request.allocator != from => ReplyUse::OtherSender,
        Some(request) => request
            .sender
            .take()
            .map_or(ReplyUse::Unknown, ReplyUse::Awaited),
    }
}

/// Registers a placement request until its slot is counted here or its caller is gone.
pub(super) struct OpenRequest<'a> {
    pending: &'a StateMutex<PendingRequests>,
    number: u64,
}

impl<'a> OpenRequest<'a> {
    pub(super) fn new(
        pending: &'a StateMutex<PendingRequests>,
        number: u64,
        allocator: SocketAddr,
        sender: oneshot::Sender<PlacementReply>,
    ) -> Self {
        let request = PendingRequest {
            allocator,
            sender: Some(sender),
        };
        pending.lock().insert(number, request);
        Self { pending, number }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let mut open = self.pending.lock();
        open.remove(&self.number);
    }
}

/// An allocator's reply, with the request that stays open until its slot is counted here.
pub(super) struct HeldReply<'a> {
    pub(super) reply: PlacementReply,
    pub(super) _open: OpenRequest<'a>,
}
