//! Limits on the tokens that wait in the batch jobs of all callers together.
//!
//! The log decides: a job fits or not by the entries before its own, so all instances decide alike
//! without asking one another. The usage is part of the state that is replayed from the log. Plays
//! the load of several callers who submit jobs faster than the upstreams finish them.

use std::collections::HashMap;

use amaranth_wire::batch_entry::JobQuota;

/// Time over which the rate of freed tokens is measured, in milliseconds.
const RATE_WINDOW_MS: u64 = 5_000;
/// Shortest delay after which a refused caller is told to return, in milliseconds.
const MIN_RETRY_MS: u64 = 500;
/// Longest delay after which a refused caller is told to return, in milliseconds: short of the time
/// in which a job's results are due.
const MAX_RETRY_MS: u64 = 5_000;

/// Whether a job fits into its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The job fits.
    Fits,
    /// The job does not fit now.
    Exceeded {
        /// Tokens that must be freed before it fits.
        missing: u64,
    },
    /// The job needs more tokens than the quota has.
    NeverFits,
}

/// Waiting tokens of one scope, and how many were freed lately.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct ScopeUsage {
    waiting: u64,
    /// Start of the current window and tokens freed in it, by the reader's steady clock.
    window_start_ms: u64,
    freed_in_window: u64,
    /// Tokens freed in the window before, if the two adjoin.
    freed_before: u64,
}

impl ScopeUsage {
    fn free(&mut self, tokens: u64, now_ms: u64) {
        self.waiting = self.waiting.saturating_sub(tokens);
        self.advance_window(now_ms);
        self.freed_in_window = self.freed_in_window.saturating_add(tokens);
    }

    fn advance_window(&mut self, now_ms: u64) {
        let windows = now_ms.saturating_sub(self.window_start_ms) / RATE_WINDOW_MS;
        if windows == 0 {
            return;
        }
        self.freed_before = match windows {
            1 => self.freed_in_window,
            _ => 0,
        };
        self.freed_in_window = 0;
        self.window_start_ms += windows * RATE_WINDOW_MS;
    }

    /// Tokens freed per window, with the part of the earlier window that the current one has not
    /// replaced yet.
    fn freed_per_window(&self, now_ms: u64) -> u64 {
        let mut usage = self.clone();
        usage.advance_window(now_ms);
        let elapsed_ms = now_ms.saturating_sub(usage.window_start_ms);
        let remaining = u128::from(RATE_WINDOW_MS.saturating_sub(elapsed_ms));
        let before = u128::from(usage.freed_before) * remaining / u128::from(RATE_WINDOW_MS);
        usage.freed_in_window.saturating_add(before as u64)
    }
}

/// Waiting tokens by quota scope.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenUsage {
    scopes: HashMap<String, ScopeUsage>,
}

impl TokenUsage {
    /// Creates a usage without waiting tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tokens that wait in a scope.
    pub fn waiting(&self, scope: &str) -> u64 {
        self.scopes.get(scope).map_or(0, |usage| usage.waiting)
    }

    /// Decides whether a job with this many tokens fits.
    pub fn decide(&self, quota: &JobQuota, tokens: u64) -> QuotaDecision {
        let Some(max_tokens) = quota.max_tokens else {
            return QuotaDecision::Fits;
        };
        if tokens > max_tokens {
            return QuotaDecision::NeverFits;
        }
        // Does not overflow, as the job alone is within the limit.
        let room = max_tokens - tokens;
        match self.waiting(&quota.scope).saturating_sub(room) {
            0 => QuotaDecision::Fits,
            missing => QuotaDecision::Exceeded { missing },
        }
    }

    /// Adds the tokens of an accepted job.
    pub fn add(&mut self, scope: &str, tokens: u64) {
        let usage = self.scopes.entry(scope.to_owned()).or_default();
        usage.waiting = usage.waiting.saturating_add(tokens);
    }

    /// Frees tokens of items that no longer wait; `now_ms` is the reader's steady clock.
    pub fn free(&mut self, scope: &str, tokens: u64, now_ms: u64) {
        if let Some(usage) = self.scopes.get_mut(scope) {
            usage.free(tokens, now_ms);
        }
    }

    /// Removes tokens of a deleted job, which do not count as freed by work.
    pub fn remove(&mut self, scope: &str, tokens: u64) {
        if let Some(usage) = self.scopes.get_mut(scope) {
            usage.waiting = usage.waiting.saturating_sub(tokens);
        }
    }

    /// Delay in milliseconds until `missing` tokens are likely to be free, at the recent rate.
    pub fn retry_after_ms(&self, scope: &str, missing: u64, now_ms: u64) -> u64 {
        let usage = self.scopes.get(scope);
        let freed = usage.map_or(0, |usage| usage.freed_per_window(now_ms));
        let delay_ms = match freed {
            0 => MAX_RETRY_MS,
            freed => (u128::from(missing) * u128::from(RATE_WINDOW_MS) / u128::from(freed)) as u64,
        };
        delay_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }
}
