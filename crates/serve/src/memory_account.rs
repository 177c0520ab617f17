//! Accounts for the memory that is held for callers and for the batch items that run here.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use amaranth_kernel::memory_budget::{
    MemoryBudget, MemoryDecision, MemoryPool, MemoryUse, SMALL_BYTES, UNCOUNTED_BYTES,
};
use bytes::Bytes;

use crate::answer::RequestFailure;

/// Delay after which a caller should retry that was refused for lack of memory, in milliseconds. Other
/// instances probably have room, and most answers take less.
const RETRY_AFTER_MS: u64 = 1_000;

/// There is no memory for a use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverBudget {
    /// What it was wanted for.
    pub kind: MemoryUse,
    /// Bytes held from the same pool.
    pub held: usize,
    /// What follows.
    pub decision: MemoryDecision,
}

impl fmt::Display for OverBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, held) = (self.kind.name(), self.held);
        write!(
            f,
            "no memory for {kind} beside {held} bytes held for callers"
        )
    }
}

impl std::error::Error for OverBudget {}

impl From<OverBudget> for RequestFailure {
    fn from(over: OverBudget) -> Self {
        match over.decision {
            MemoryDecision::Refuse | MemoryDecision::Admit => Self::Refused {
                retry_after_ms: RETRY_AFTER_MS,
                why: over.to_string(),
            },
            MemoryDecision::End => Self::Failed(over.to_string()),
        }
    }
}

/// Result of holding memory.
pub type Result<T> = std::result::Result<T, OverBudget>;

#[derive(Debug)]
struct AccountState {
    budget: MemoryBudget,
    content: AtomicUsize,
    connections: AtomicUsize,
}

/// Bytes held for all callers and items of this process, within its budget. Cheap to clone.
#[derive(Debug, Clone)]
pub struct MemoryAccount(Arc<AccountState>);

impl MemoryAccount {
    /// Creates an account of which nothing is held.
    pub fn new(budget: MemoryBudget) -> Self {
        Self(Arc::new(AccountState {
            budget,
            content: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        }))
    }

    /// Creates a guard that holds nothing yet.
    pub fn guard(&self, kind: MemoryUse) -> MemoryGuard {
        MemoryGuard {
            account: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Sets the gauges of what is held from each pool.
    pub fn report(&self) {
        for pool in [MemoryPool::Content, MemoryPool::Connections] {
            metrics::gauge!("held_bytes", "pool" => pool.name()).set(self.held(pool) as f64);
        }
    }

    /// Bytes held from a pool.
    pub fn held(&self, pool: MemoryPool) -> usize {
        self.counter(pool).load(Ordering::Relaxed)
    }

    fn counter(&self, pool: MemoryPool) -> &AtomicUsize {
        match pool {
            MemoryPool::Content => &self.0.content,
            MemoryPool::Connections => &self.0.connections,
        }
    }

    fn hold(&self, kind: MemoryUse, own: usize, more: usize) -> Result<()> {
        let decide = |held: usize| {
            let decision = self.0.budget.decide(kind, own, more, held);
            (decision == MemoryDecision::Admit).then(|| held.saturating_add(more))
        };
        let order = Ordering::Relaxed;
        let updated = self.counter(kind.pool()).fetch_update(order, order, decide);
        updated.map(drop).map_err(|held| {
            let over = OverBudget {
                kind,
                held,
                decision: self.0.budget.decide(kind, own, more, held),
            };
            record_limited(kind.name(), &over.to_string());
            over
        })
    }
}

impl Default for MemoryAccount {
    /// An account without a limit.
    fn default() -> Self {
        Self::new(MemoryBudget::new(usize::MAX))
    }
}

/// Logs and counts that a caller met a limit.
pub fn record_limited(limit: &'static str, why: &str) {
    metrics::counter!("callers_limited_total", "limit" => limit).increment(1);
    log::info!("event=caller_limited limit={limit} why={why:?}");
}

/// Memory that is held for one use; given back when the guard is dropped.
#[derive(Debug)]
pub struct MemoryGuard {
    account: MemoryAccount,
    kind: MemoryUse,
    bytes: usize,
}

impl MemoryGuard {
    /// Holds more bytes.
    pub fn grow(&mut self, more: usize) -> Result<()> {
        self.account.hold(self.kind, self.bytes, more)?;
        self.bytes += more;
        Ok(())
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds the memory of content of this size in place of what is held; none for up to [`UNCOUNTED_BYTES`], so
    /// that callers who fill the account end no small answers of others. Holding less always succeeds.
    pub fn resize(&mut self, content_bytes: usize) -> Result<()> {
        let bytes = match content_bytes > UNCOUNTED_BYTES {
            true => content_bytes,
            false => 0,
        };
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.grow(more),
            None => {
                drop(self.split(self.bytes - bytes));
                Ok(())
            }
        }
    }

    /// Takes a part of the held bytes out of this guard.
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            account: self.account.clone(),
            kind: self.kind,
            bytes,
        }
    }

    /// Gives back all bytes.
    pub fn release(&mut self) {
        let counter = self.account.counter(self.kind.pool());
        counter.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
    }

    /// Turns held content into bytes that are accounted for until the last of their clones is dropped.
    pub fn into_bytes(self, content: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(HeldContent {
            content,
            _guard: self,
        })
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.release();
    }
}

/// Content with the memory that it takes.
struct HeldContent<C> {
    content: C,
    _guard: MemoryGuard,
}

impl<C: AsRef<[u8]>> AsRef<[u8]> for HeldContent<C> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}

/// Content that is collected piece by piece.
#[derive(Debug)]
pub struct HeldBuffer {
    guard: MemoryGuard,
    content: Vec<u8>,
    expected: usize,
}

impl HeldBuffer {
    /// Creates an empty buffer for content of an expected size, or 0 if it isn't known.
    pub fn new(guard: MemoryGuard, expected: usize) -> Self {
        Self {
            guard,
            content: Vec::new(),
            expected,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.content.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Appends a piece.
    pub fn push(&mut self, piece: &[u8]) -> Result<()> {
        self.guard.grow(piece.len())?;
        let length = self.content.len() + piece.len();
        // Growing by doubling takes up to three times the size for a moment, and leaves gaps in the heap.
        // What isn't written to yet takes no memory.
        if (SMALL_BYTES..=self.expected).contains(&length) {
            self.content
                .reserve_exact(self.expected - self.content.len());
        }
        self.content.extend_from_slice(piece);
        Ok(())
    }

    /// Turns the content into bytes that are accounted for until the last of their clones is dropped.
    pub fn into_bytes(self) -> Bytes {
        self.guard.into_bytes(self.content)
    }
}
