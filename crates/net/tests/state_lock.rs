//! Locks after a panic while they were held.

use std::panic::{AssertUnwindSafe, catch_unwind};

use amaranth_net::state_lock::{StateMutex, StateRwLock};

#[test]
fn locks_are_usable_after_a_panic_while_they_were_held() {
    let mutex = StateMutex::new(1);
    let panicked = catch_unwind(AssertUnwindSafe(|| {
        let mut state = mutex.lock();
        *state = 2;
        panic!("the holder panics");
    }));
    assert!(panicked.is_err());
    assert_eq!(*mutex.lock(), 2);
    let lock = StateRwLock::new(1);
    let panicked = catch_unwind(AssertUnwindSafe(|| {
        let mut state = lock.write();
        *state = 2;
        panic!("the holder panics");
    }));
    assert!(panicked.is_err());
    assert_eq!(*lock.read(), 2);
    *lock.write() = 3;
    assert_eq!(*lock.read(), 3);
}
