//! Handles datagrams of other members.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_net::clock::steady_ms;
use amaranth_wire::placement_message::{PlacementMessage, PlacementReply};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::open_request::{ReplyUse, take_waiting};
use super::{COUNTS_DELAY, MAX_DATAGRAM_BYTES, PlacementService};
use crate::member_name::MemberName;
use crate::panic_guard::contain_async;
use crate::quarantine_service;

impl PlacementService {
    /// Receives and handles datagrams until the token is cancelled.
    pub async fn receive(self: Arc<Self>, stop: CancellationToken) {
        let receive = async {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                match self.socket.recv_from(&mut buffer).await {
                    Ok((length, from)) => match PlacementMessage::decode(&buffer[..length]) {
                        Ok(message) => {
                            let handled = contain_async(self.handle_message(message, from)).await;
                            if let Err(why) = handled {
                                log::error!("event=datagram_panicked from={from} why={why:?}");
                            }
                        }
                        Err(e) => log::warn!(
                            "event=datagram_malformed from={from} error={:?}",
                            e.to_string()
                        ),
                    },
                    Err(e) => {
                        log::warn!("event=datagram_not_received error={:?}", e.to_string());
                        sleep(COUNTS_DELAY).await;
                    }
                }
            }
        };
        stop.run_until_cancelled(receive).await;
    }

    async fn handle_message(&self, message: PlacementMessage, from: SocketAddr) {
        match message {
            PlacementMessage::Counts {
                member,
                sequence,
                counts,
            } => {
                let mut allocator = self.allocator.lock();
                allocator.record_counts(member, sequence, counts, steady_ms());
            }
            PlacementMessage::Request {
                request,
                group,
                excluded,
            } => match request.member.parse::<MemberName>() {
                Ok(member) => {
                    let number = request.number;
                    let (reply, preemption) = self.allocate(&member, &group, &request, &excluded);
                    self.send(&PlacementMessage::Reply { number, reply }, from)
                        .await;
                    self.send_preemption(preemption).await;
                }
                Err(e) => log::warn!(
                    "event=datagram_malformed from={from} error={:?}",
                    e.to_string()
                ),
            },
            PlacementMessage::Reply { number, reply } => self.handle_reply(number, reply, from),
            PlacementMessage::Preempt { upstream } => self.pool.preempt(&upstream),
            PlacementMessage::Leaving(upstreams) => {
                for leaving in &upstreams {
                    self.pool.record_leaving(leaving);
                }
            }
            PlacementMessage::Quarantine(message) => {
                if self.inboxes.quarantine.try_send((message, from)).is_err() {
                    quarantine_service::log_dropped(from);
                }
            }
            PlacementMessage::Peer(message) => {
                if self.inboxes.peers.try_send((message, from)).is_err() {
                    log::debug!("event=peer_message_dropped from={from}");
                }
            }
            PlacementMessage::Quota(message) => {
                let quota = self.quota.as_ref();
                if let Some(reply) = quota.and_then(|quota| quota.handle(message, from)) {
                    self.send(&PlacementMessage::Quota(reply), from).await;
                }
            }
        }
    }

    /// Hands a reply to the request that waits for it. Allocators that were frozen also reply to requests
    /// that are given up, and to those of processes that used this address before.
    fn handle_reply(&self, number: u64, reply: PlacementReply, from: SocketAddr) {
        let taken = take_waiting(&mut self.pending.lock(), number, from);
        let reason = match taken {
            ReplyUse::Awaited(waiting) => {
                // The receiver may have timed out in the meantime.
                let _ = waiting.send(reply);
                return;
            }
            ReplyUse::Unknown => "not_awaited",
            ReplyUse::OtherSender => "other_sender",
        };
        log::info!("event=placement_reply_ignored from={from} number={number} reason={reason}");
        metrics::counter!("placement_replies_ignored_total", "reason" => reason).increment(1);
    }
}
