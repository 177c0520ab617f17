//! The batch places that this instance was granted, and the streams that use them.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};

use amaranth_kernel::batch_slot_allocator::GRANT_TTL_MS;
use amaranth_net::clock::steady_ms;
use amaranth_settings::fleet::FleetSettings;
use amaranth_wire::batch_slots::SlotGrant;
use amaranth_wire::id::UpstreamId;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Places at one upstream.
#[derive(Default)]
struct UpstreamSlots {
    granted: u32,
    expires_ms: u64,
    next_stream: u64,
    /// The running streams, the youngest last.
    streams: BTreeMap<u64, CancellationToken>,
}

impl UpstreamSlots {
    fn free(&self, now_ms: u64) -> u32 {
        let granted = if now_ms < self.expires_ms {
            self.granted
        } else {
            0
        };
        granted.saturating_sub(self.streams.len() as u32)
    }
}

#[derive(Default)]
struct GroupSlots {
    by_upstream: HashMap<UpstreamId, UpstreamSlots>,
    waiting: u32,
}

/// Counts an item as waiting for a place until it is dropped.
struct WaitingItem<'a> {
    slots: &'a BatchSlots,
    group: &'a str,
}

impl<'a> WaitingItem<'a> {
    fn new(slots: &'a BatchSlots, group: &'a str) -> Self {
        if let Some(mut group) = slots.group(group) {
            group.waiting += 1;
        }
        Self { slots, group }
    }
}

impl Drop for WaitingItem<'_> {
    fn drop(&mut self) {
        if let Some(mut group) = self.slots.group(self.group) {
            group.waiting -= 1;
        }
    }
}

/// The places of this instance at all upstreams, by group.
pub struct BatchSlots {
    groups: HashMap<String, Mutex<GroupSlots>>,
    granted: Notify,
}

/// One place, taken for one stream. Gives it back when dropped.
pub struct SlotLease {
    slots: Arc<BatchSlots>,
    group: String,
    upstream: UpstreamId,
    stream: u64,
    /// Cancelled when the stream is preempted.
    pub preempt: CancellationToken,
}

impl SlotLease {
    /// Where the place is.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(mut group) = self.slots.group(&self.group) {
            let slots = group.by_upstream.entry(self.upstream.clone()).or_default();
            slots.streams.remove(&self.stream);
        }
        self.slots.granted.notify_waiters();
    }
}

impl BatchSlots {
    /// No places at the groups of the settings.
    pub fn new(fleet: &FleetSettings) -> Self {
        let names = fleet.upstreams.iter().map(|group| group.name.clone());
        Self {
            groups: names.map(|name| (name, Mutex::default())).collect(),
            granted: Notify::new(),
        }
    }

    fn group(&self, group: &str) -> Option<MutexGuard<'_, GroupSlots>> {
        let group = self.groups.get(group)?;
        Some(group.lock().expect("not poisoned"))
    }

    /// Takes a place at an upstream of the group as soon as there is one, if possible not at
    /// those to avoid.
    pub async fn take(self: &Arc<Self>, group: &str, avoid: &[UpstreamId]) -> SlotLease {
        let _waiting = WaitingItem::new(self, group);
        loop {
            let granted = self.granted.notified();
            if let Some(lease) = self.try_take(group, avoid) {
                return lease;
            }
            granted.await;
        }
    }

    fn try_take(self: &Arc<Self>, name: &str, avoid: &[UpstreamId]) -> Option<SlotLease> {
        let now_ms = steady_ms();
        let mut group = self.group(name)?;
        let open = group.by_upstream.iter_mut();
        let open = open.filter(|(_, slots)| slots.free(now_ms) > 0);
        let rank = |upstream: &UpstreamId, slots: &UpstreamSlots| {
            (!avoid.contains(upstream), slots.free(now_ms))
        };
        let (upstream, slots) = open.max_by_key(|(upstream, slots)| rank(upstream, slots))?;
        let preempt = CancellationToken::new();
        let stream = slots.next_stream;
        slots.next_stream += 1;
        slots.streams.insert(stream, preempt.clone());
        Some(SlotLease {
            slots: self.clone(),
            group: name.to_owned(),
            upstream: upstream.clone(),
            stream,
            preempt,
        })
    }

    /// Places in use, over all groups.
    pub fn in_use(&self) -> usize {
        let groups = self.groups.values();
        let counts = groups.map(|group| {
            let group = group.lock().expect("not poisoned");
            let streams = group.by_upstream.values().map(|slots| slots.streams.len());
            streams.sum::<usize>()
        });
        counts.sum()
    }

    /// How many places the instance could use at an upstream, and how many streams it runs there.
    /// Whatever waits for a place in the group could use one.
    pub fn want(&self, group: &str, upstream: &UpstreamId) -> (u32, u32) {
        let Some(group) = self.group(group) else {
            return (0, 0);
        };
        let used = group.by_upstream.get(upstream);
        let running = used.map_or(0, |slots| slots.streams.len() as u32);
        (running + group.waiting, running)
    }

    /// Takes a grant, and preempts the youngest streams above what it keeps. A grant counts from before
    /// it was asked for.
    pub fn set_granted(&self, group: &str, upstream: &UpstreamId, grant: SlotGrant, asked_ms: u64) {
        let Some(mut group) = self.group(group) else {
            return;
        };
        let slots = group.by_upstream.entry(upstream.clone()).or_default();
        slots.granted = grant.granted;
        slots.expires_ms = asked_ms + GRANT_TTL_MS;
        let above = slots.streams.len().saturating_sub(grant.keep as usize);
        let youngest: Vec<u64> = slots.streams.keys().rev().take(above).copied().collect();
        for stream in youngest {
            if let Some(preempt) = slots.streams.get(&stream) {
                preempt.cancel();
            }
        }
        drop(group);
        self.granted.notify_waiters();
    }
}
