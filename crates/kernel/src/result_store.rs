//! In-memory store of keyed requests' results on one of the instances that keep them, with an
//! expiry time per entry and a limit on the total size.

use std::collections::{BTreeSet, HashMap};

use amaranth_wire::id::{InstanceId, RequestId};
use amaranth_wire::record::StoredAnswer;

/// Maximum total size of the entries of one instance, in bytes.
pub const MAX_STORE_BYTES: usize = 16 << 20;
/// Size that an entry counts for in addition to its body, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// State of one key's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResultState {
    /// The named instance claimed the request and runs it.
    Running(InstanceId),
    /// The request ended with this answer.
    Done(StoredAnswer),
}

/// Entry of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResult {
    /// SHA-256 of the request, hexadecimal.
    pub digest: String,
    /// Claim or answer.
    pub state: ResultState,
    /// Expiry time, in milliseconds.
    pub until_ms: u64,
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is recorded: the claimer runs the request.
    Claimed,
    /// Another instance runs the request.
    Running(InstanceId),
    /// The request already has this answer.
    Done(StoredAnswer),
    /// The key was used for a request with another digest.
    Conflict,
    /// The store has no room for the claim.
    Full,
}

/// Claims and answers by key, with an index by expiry time.
#[derive(Debug, Default)]
pub struct ResultStore {
    entries: HashMap<RequestId, StoredResult>,
    expiry: BTreeSet<(u64, RequestId)>,
    bytes: usize,
}

impl ResultStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Total size of the entries in bytes, including the overhead per entry.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// All entries, in no particular order; expired ones may be included.
    pub fn entries(&self) -> impl Iterator<Item = (&RequestId, &StoredResult)> {
        self.entries.iter()
    }

    /// The entry of a key, unless it has expired.
    pub fn get(&mut self, request: &RequestId, now_ms: u64) -> Option<&StoredResult> {
        self.expire(now_ms);
        self.entries.get(request)
    }

    /// Records that an instance runs a request, unless the key is taken. A claim by an instance for
    /// which `gone` is true is replaced.
    pub fn claim(
        &mut self,
        request: &RequestId,
        digest: &str,
        claimer: &InstanceId,
        gone: impl Fn(&InstanceId) -> bool,
        until_ms: u64,
        now_ms: u64,
    ) -> ClaimOutcome {
        self.expire(now_ms);
        match self.entries.get(request) {
            Some(known) if known.digest != digest => return ClaimOutcome::Conflict,
            Some(known) => match &known.state {
                ResultState::Done(answer) => return ClaimOutcome::Done(answer.clone()),
                ResultState::Running(by) if !gone(by) => return ClaimOutcome::Running(by.clone()),
                ResultState::Running(_) => {}
            },
            None => {}
        }
        let entry = StoredResult {
            digest: digest.to_owned(),
            state: ResultState::Running(claimer.clone()),
            until_ms,
        };
        match self.insert(request, entry) {
            true => ClaimOutcome::Claimed,
            false => ClaimOutcome::Full,
        }
    }

    /// Stores an answer; the first one of a key stays. False if the store does not hold this answer
    /// afterwards.
    pub fn store_answer(&mut self, request: &RequestId, entry: StoredResult, now_ms: u64) -> bool {
        self.expire(now_ms);
        let known = self.entries.get(request);
        match known.map(|known| (&known.state, known.digest == entry.digest)) {
            Some((ResultState::Done(answer), same)) => {
                same && entry.state == ResultState::Done(answer.clone())
            }
            Some((_, false)) => false,
            _ => self.insert(request, entry),
        }
    }

    /// Removes the claim of an instance, if it still holds the key.
    pub fn release(&mut self, request: &RequestId, claimer: &InstanceId) {
        let known = self.entries.get(request);
        if known.is_some_and(|known| known.state == ResultState::Running(claimer.clone())) {
            self.remove(request);
        }
    }

    fn insert(&mut self, request: &RequestId, entry: StoredResult) -> bool {
        let freed = self.entries.get(request).map_or(0, entry_size);
        if self.bytes - freed + entry_size(&entry) > MAX_STORE_BYTES {
            return false;
        }
        self.remove(request);
        self.bytes += entry_size(&entry);
        self.expiry.insert((entry.until_ms, request.clone()));
        self.entries.insert(request.clone(), entry);
        true
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.remove(request) {
            self.bytes -= entry_size(&entry);
            self.expiry.remove(&(entry.until_ms, request.clone()));
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((until_ms, request)) = self.expiry.first() {
            if *until_ms > now_ms {
                return;
            }
            let request = request.clone();
            self.remove(&request);
        }
    }
}

fn entry_size(entry: &StoredResult) -> usize {
    let body = match &entry.state {
        ResultState::Running(_) => 0,
        ResultState::Done(answer) => answer.body.len(),
    };
    body + ENTRY_OVERHEAD_BYTES
}
