//! A mutex with a rank that defines its position in the lock order.
//!
//! Worker threads share tables that are protected by locks. A deadlock caused by
//! taking two locks in different orders occurs only under load, so each table
//! has a [`Rank`]: in debug builds, acquiring locks out of order panics, which
//! makes the first test that reaches the code fail.

use std::cell::RefCell;
use std::fmt;
use std::ops;

use parking_lot::Mutex as RawMutex;
use parking_lot::MutexGuard as RawGuard;

/// Position of a table in the lock order, which `docs/design.md` lists.
///
/// A thread may acquire a lock only if its rank is higher than the ranks of all locks that the thread holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Configuration in effect at a node.
    Catalog = 10,
    /// Known targets.
    Membership = 20,
    /// Coalescing of identical idempotent requests in flight.
    Join = 30,
    /// Load estimates of targets.
    Routing = 40,
    /// Admission control at the target.
    Gate = 50,
    /// Retry and probe budgets and crash containment.
    Budget = 60,
    /// Connections to the backend server and to other nodes.
    Pool = 70,
    /// Recent requests, for the `explain` statement.
    Explain = 80,
    /// Crash records that control processes have not acknowledged yet.
    Report = 90,
    /// Replica of the configuration log.
    Consensus = 110,
    /// Applied configuration.
    Config = 120,
    /// Claim registers.
    Claims = 130,
    /// Pending appends to the disk.
    Disk = 140,
}

thread_local! {
    static HELD_RANKS: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a rank.
pub struct Mutex<T> {
    rank: Rank,
    inner: RawMutex<T>,
}

impl<T> Mutex<T> {
    /// Creates a mutex with the given rank.
    pub const fn new(rank: Rank, value: T) -> Self {
        Self {
            rank,
            inner: RawMutex::new(value),
        }
    }

    /// Acquires the lock.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread already holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow_mut(|held| {
                let highest = held.iter().max();
                assert!(
                    highest.is_none_or(|highest| *highest < self.rank),
                    "lock order: {:?} acquired while {highest:?} is held",
                    self.rank
                );
                held.push(self.rank);
            });
        }
        Guard {
            rank: self.rank,
            inner: self.inner.lock(),
        }
    }
}

impl<T> fmt::Debug for Mutex<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mutex")
            .field("rank", &self.rank)
            .finish_non_exhaustive()
    }
}

/// RAII guard for the value of a [`Mutex`]; dropping it releases the lock.
pub struct Guard<'mutex, T> {
    rank: Rank,
    inner: RawGuard<'mutex, T>,
}

impl<T> fmt::Debug for Guard<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Guard")
            .field("rank", &self.rank)
            .finish_non_exhaustive()
    }
}

impl<T> ops::Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> ops::DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow_mut(|held| {
                if let Some(index) = held.iter().rposition(|rank| *rank == self.rank) {
                    held.remove(index);
                }
            });
        }
    }
}
