//! A mutex that knows its place in the lock order.
//!
//! Worker threads share tables under locks, and a deadlock between two tables
//! shows only under load. Each table therefore states a [`Rank`]; in debug
//! builds an acquisition out of order panics in the first test that reaches it.

use std::cell::RefCell;
use std::fmt;
use std::ops;

use parking_lot::Mutex as Inner;
use parking_lot::MutexGuard as InnerGuard;

/// Place of a table in the lock order, listed in `docs/design.md`.
///
/// A thread acquires a lock only when its rank is higher than those of all the locks that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Configuration in force at a node.
    Catalog = 10,
    /// Known targets.
    Membership = 20,
    /// Idempotent copies in flight.
    Join = 30,
    /// Load estimates.
    Routing = 40,
    /// Admission at the target.
    Gate = 50,
    /// Retry and probe budgets and crash containment.
    Budget = 60,
    /// Connections to the backend server and to other nodes.
    Pool = 70,
    /// Recent requests.
    Explain = 80,
    /// Facts that control does not have yet.
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
    static HELD: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a rank.
pub struct Mutex<T> {
    rank: Rank,
    inner: Inner<T>,
}

impl<T> Mutex<T> {
    /// Makes a mutex of the given rank.
    pub const fn new(rank: Rank, value: T) -> Self {
        Self {
            rank,
            inner: Inner::new(value),
        }
    }

    /// Acquires the lock.
    ///
    /// # Panics
    ///
    /// Panics in debug builds when the thread already holds a lock of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            HELD.with_borrow_mut(|held| {
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

/// Access to the value of a [`Mutex`]; the lock is released on drop.
pub struct Guard<'mutex, T> {
    rank: Rank,
    inner: InnerGuard<'mutex, T>,
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
            HELD.with_borrow_mut(|held| {
                if let Some(index) = held.iter().rposition(|rank| *rank == self.rank) {
                    held.remove(index);
                }
            });
        }
    }
}
