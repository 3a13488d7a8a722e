//! Holders of memory that is still arriving, and which of them is ended first.

use std::time::Duration;

use shallotrill_model::time::Instant;

/// A holder in a [`Table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Id(usize);

#[derive(Debug)]
struct Holder<T> {
    since: Instant,
    bytes: u64,
    /// Set when the holder has been chosen to be ended and has not released its memory yet.
    ending: bool,
    value: T,
}

/// The holders, each with a value by which it is notified.
#[derive(Debug)]
pub struct Table<T> {
    holders: Vec<Option<Holder<T>>>,
    free: Vec<usize>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            holders: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Table<T> {
    /// Adds a holder without memory.
    pub fn add(&mut self, value: T, now: Instant) -> Id {
        let holder = Some(Holder {
            since: now,
            bytes: 0,
            ending: false,
            value,
        });
        if let Some(index) = self.free.pop() {
            self.holders[index] = holder;
            return Id(index);
        }
        self.holders.push(holder);
        Id(self.holders.len() - 1)
    }

    /// Sets how much a holder holds.
    pub fn set_bytes(&mut self, id: Id, bytes: u64) {
        if let Some(Some(holder)) = self.holders.get_mut(id.0) {
            holder.bytes = bytes;
        }
    }

    /// Removes a holder.
    pub fn remove(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(id.0)
            && holder.take().is_some()
        {
            self.free.push(id.0);
        }
    }

    /// Chooses the holder that holds the most for the longest, by bytes multiplied by time, and marks it as ending.
    pub fn end_worst(&mut self, now: Instant) -> Option<(Id, &T)> {
        self.end_worst_of(now, |_| true)
    }

    /// Chooses the worst holder as [`Table::end_worst`] does, among those whose value is `eligible`.
    ///
    /// `None` while a chosen holder has not released its memory yet, or when no holder has any: one
    /// refused request must not end more holders than it needs.
    pub fn end_worst_of(
        &mut self,
        now: Instant,
        eligible: impl Fn(&T) -> bool,
    ) -> Option<(Id, &T)> {
        if self.holders.iter().flatten().any(|h| h.ending) {
            return None;
        }
        let held = self.holders.iter_mut().enumerate();
        let held = held.filter_map(|(index, h)| Some((index, h.as_mut()?)));
        let (index, holder) = held
            .filter(|(_, holder)| holder.bytes > 0 && eligible(&holder.value))
            .max_by_key(|(_, holder)| {
                let held_for = now.since(holder.since) + Duration::from_millis(1);
                u128::from(holder.bytes) * held_for.as_micros()
            })?;
        holder.ending = true;
        Some((Id(index), &holder.value))
    }
}
