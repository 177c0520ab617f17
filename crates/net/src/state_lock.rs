//! Locks around state of a process that stays usable after a panic.
//!
//! The locks of the standard library fail for ever after a panic while they were held. These don't, so
//! they hold only state that is valid after each step of a change, or that says when it isn't.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// A mutex that can be locked again after a panic.
#[derive(Debug, Default)]
pub struct StateMutex<T>(Mutex<T>);

impl<T> StateMutex<T> {
    /// Creates an unlocked mutex.
    pub const fn new(state: T) -> Self {
        Self(Mutex::new(state))
    }

    /// Waits for the lock.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A reader-writer lock that can be locked again after a panic.
#[derive(Debug, Default)]
pub struct StateRwLock<T>(RwLock<T>);

impl<T> StateRwLock<T> {
    /// Creates an unlocked lock.
    pub const fn new(state: T) -> Self {
        Self(RwLock::new(state))
    }

    /// Waits for shared access.
    pub fn read(&self) -> RwLockReadGuard<'_, T> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for exclusive access.
    pub fn write(&self) -> RwLockWriteGuard<'_, T> {
        self.0.write().unwrap_or_else(PoisonError::into_inner)
    }
}
