//! Results of keyed requests as one of their keepers holds them: in memory, for a stated time,
//! within a bound.

use std::collections::{BTreeSet, HashMap};

use amaranth_wire::id::{InstanceId, RequestId};
use amaranth_wire::record::KeptAnswer;

/// Most bytes of results that one instance keeps.
pub const MAX_STORE_BYTES: usize = 16 << 20;
/// Bytes that an entry is counted with besides its body.
const ENTRY_BYTES: usize = 256;

/// What a keeper holds under one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResultState {
    /// An instance runs the request.
    Running(InstanceId),
    /// The answer.
    Done(KeptAnswer),
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResult {
    /// SHA-256 of the request, hexadecimal.
    pub digest: String,
    /// What is held.
    pub state: ResultState,
    /// When it goes, in milliseconds.
    pub until_ms: u64,
}

/// What a claim meets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// The claimer runs the request.
    Claimed,
    /// Another instance runs it.
    Running(InstanceId),
    /// It has this answer.
    Done(KeptAnswer),
    /// The key was used for another request.
    Conflict,
    /// There is no room to hold it.
    Full,
}

/// The results that one instance keeps.
#[derive(Debug, Default)]
pub struct ResultStore {
    entries: HashMap<RequestId, StoredResult>,
    expiry: BTreeSet<(u64, RequestId)>,
    bytes: usize,
}

impl ResultStore {
    /// Nothing kept.
    pub fn new() -> Self {
        Self::default()
    }

    /// Bytes in use.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Every entry that is kept.
    pub fn entries(&self) -> impl Iterator<Item = (&RequestId, &StoredResult)> {
        self.entries.iter()
    }

    /// What is held under a key.
    pub fn get(&mut self, request: &RequestId, now_ms: u64) -> Option<&StoredResult> {
        self.expire(now_ms);
        self.entries.get(request)
    }

    /// Notes that an instance runs a request, unless the key is taken. A claim of an instance
    /// that is `dead` gives way.
    pub fn claim(
        &mut self,
        request: &RequestId,
        digest: &str,
        claimer: &InstanceId,
        dead: impl Fn(&InstanceId) -> bool,
        until_ms: u64,
        now_ms: u64,
    ) -> ClaimStep {
        self.expire(now_ms);
        match self.entries.get(request) {
            Some(known) if known.digest != digest => return ClaimStep::Conflict,
            Some(known) => match &known.state {
                ResultState::Done(answer) => return ClaimStep::Done(answer.clone()),
                ResultState::Running(by) if !dead(by) => return ClaimStep::Running(by.clone()),
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
            true => ClaimStep::Claimed,
            false => ClaimStep::Full,
        }
    }

    /// Keeps an answer. The first one of a key stays. False if it is not kept.
    pub fn keep(&mut self, request: &RequestId, entry: StoredResult, now_ms: u64) -> bool {
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

    /// Drops the claim of an instance.
    pub fn release(&mut self, request: &RequestId, claimer: &InstanceId) {
        let known = self.entries.get(request);
        if known.is_some_and(|known| known.state == ResultState::Running(claimer.clone())) {
            self.remove(request);
        }
    }

    fn insert(&mut self, request: &RequestId, entry: StoredResult) -> bool {
        let freed = self.entries.get(request).map_or(0, size);
        if self.bytes - freed + size(&entry) > MAX_STORE_BYTES {
            return false;
        }
        self.remove(request);
        self.bytes += size(&entry);
        self.expiry.insert((entry.until_ms, request.clone()));
        self.entries.insert(request.clone(), entry);
        true
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(entry) = self.entries.remove(request) {
            self.bytes -= size(&entry);
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

fn size(entry: &StoredResult) -> usize {
    let body = match &entry.state {
        ResultState::Running(_) => 0,
        ResultState::Done(answer) => answer.body.len(),
    };
    body + ENTRY_BYTES
}
