//! The log in memory, from the last snapshot on.

use crate::entry::Content;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::Term;
use crate::member::Set;

#[derive(Debug)]
pub(crate) struct Log {
    base: Position,
    base_members: Set,
    entries: Vec<Entry>,
    // Configurations in the entries, so that a truncation goes back to the one before.
    sets: Vec<(Index, Set)>,
}

impl Log {
    pub(crate) fn new(base: Position, members: Set) -> Self {
        Self {
            base,
            base_members: members,
            entries: Vec::new(),
            sets: Vec::new(),
        }
    }

    pub(crate) fn last(&self) -> Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.offset(index).map(|at| self.entries[at].position.term)
    }

    pub(crate) fn members(&self) -> &Set {
        self.sets.last().map_or(&self.base_members, |(_, set)| set)
    }

    /// Index of the entry that set the members, or that of the snapshot.
    pub(crate) fn members_index(&self) -> Index {
        self.sets
            .last()
            .map_or(self.base.index, |(index, _)| *index)
    }

    fn members_at(&self, index: Index) -> &Set {
        let at = self.sets.partition_point(|(of, _)| *of <= index);
        at.checked_sub(1)
            .map_or(&self.base_members, |at| &self.sets[at].1)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Content::Members(set) = &entry.content {
            self.sets.push((entry.position.index, set.clone()));
        }
        self.entries.push(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: Index) {
        if let Some(at) = self.offset(index) {
            self.entries.truncate(at);
            self.sets.retain(|(of, _)| *of < index);
        }
    }

    /// Drops the entries up to `index` and returns their end and the members there.
    pub(crate) fn compact(&mut self, index: Index) -> Option<(Position, Set)> {
        let at = self.offset(index)?;
        let position = self.entries[at].position;
        let members = self.members_at(index).clone();
        self.entries.drain(..=at);
        self.sets.retain(|(of, _)| *of > index);
        self.base = position;
        self.base_members = members.clone();
        Some((position, members))
    }

    /// The entries after `after` up to and with `until`.
    pub(crate) fn range(&self, after: Index, until: Index) -> &[Entry] {
        let from = self.clamp(after);
        let to = self.clamp(until).max(from);
        &self.entries[from..to]
    }

    /// The entries after `after` up to a size, but at least one.
    pub(crate) fn batch(&self, after: Index, limit_bytes: usize) -> &[Entry] {
        let rest = &self.entries[self.clamp(after)..];
        let mut bytes = 0;
        let fit = rest
            .iter()
            .take_while(|entry| {
                bytes += entry.size_bytes();
                bytes <= limit_bytes
            })
            .count();
        &rest[..fit.max(1).min(rest.len())]
    }

    /// Last position at or before `hint` whose term is not above that of `hint`.
    pub(crate) fn agree(&self, hint: Position) -> Index {
        let upto = self.clamp(hint.index);
        let at = self.entries[..upto].partition_point(|entry| entry.position.term <= hint.term);
        match at.checked_sub(1) {
            Some(at) => self.entries[at].position.index,
            None => self.base.index.min(hint.index),
        }
    }

    /// Where a leader should look for agreement when the entry at `index` is missing or of another term.
    pub(crate) fn hint(&self, index: Index, floor: Index) -> Position {
        if index > self.last().index {
            return self.last();
        }
        let term = self.term_at(index);
        let mut at = index;
        while at > floor && self.term_at(at) == term {
            at = at.previous();
        }
        Position {
            index: at,
            term: self.term_at(at).unwrap_or_default(),
        }
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let after = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(after)
            .ok()
            .filter(|at| *at < self.entries.len())
    }

    /// Number of held entries up to and with `index`.
    fn clamp(&self, index: Index) -> usize {
        let count = index.0.saturating_sub(self.base.index.0);
        usize::try_from(count).map_or(self.entries.len(), |count| count.min(self.entries.len()))
    }
}
