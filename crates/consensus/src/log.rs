//! The in-memory log, with the entries after the last snapshot.

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
    // Members set by the entries in `entries`, so that a truncation restores the earlier members.
    member_sets: Vec<(Index, Set)>,
}

impl Log {
    pub(crate) fn new(base: Position, members: Set) -> Self {
        Self {
            base,
            base_members: members,
            entries: Vec::new(),
            member_sets: Vec::new(),
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
        self.offset(index)
            .map(|offset| self.entries[offset].position.term)
    }

    pub(crate) fn members(&self) -> &Set {
        self.member_sets
            .last()
            .map_or(&self.base_members, |(_, set)| set)
    }

    /// Index of the entry that set the current members, or index of the snapshot.
    pub(crate) fn members_index(&self) -> Index {
        self.member_sets
            .last()
            .map_or(self.base.index, |(index, _)| *index)
    }

    fn members_at(&self, index: Index) -> &Set {
        let offset = self
            .member_sets
            .partition_point(|(set_index, _)| *set_index <= index);
        offset
            .checked_sub(1)
            .map_or(&self.base_members, |offset| &self.member_sets[offset].1)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Content::Members(set) = &entry.content {
            self.member_sets.push((entry.position.index, set.clone()));
        }
        self.entries.push(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub(crate) fn truncate(&mut self, index: Index) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
            self.member_sets.retain(|(set_index, _)| *set_index < index);
        }
    }

    /// Drops the entries up to and including `index`, and returns the position and the members at `index`.
    /// Returns `None` if there is no entry at `index`.
    pub(crate) fn compact(&mut self, index: Index) -> Option<(Position, Set)> {
        let offset = self.offset(index)?;
        let position = self.entries[offset].position;
        let members = self.members_at(index).clone();
        self.entries.drain(..=offset);
        self.member_sets.retain(|(set_index, _)| *set_index > index);
        self.base = position;
        self.base_members = members.clone();
        Some((position, members))
    }

    /// The entries after `after` up to and including `until`.
    pub(crate) fn range(&self, after: Index, until: Index) -> &[Entry] {
        let start = self.count_up_to(after);
        let end = self.count_up_to(until).max(start);
        &self.entries[start..end]
    }

    /// The entries after `after` whose total size is at most `limit_bytes`, but at least one.
    pub(crate) fn batch(&self, after: Index, limit_bytes: usize) -> &[Entry] {
        let remaining = &self.entries[self.count_up_to(after)..];
        let mut bytes = 0;
        let count = remaining
            .iter()
            .take_while(|entry| {
                bytes += entry.size_bytes();
                bytes <= limit_bytes
            })
            .count();
        &remaining[..count.max(1).min(remaining.len())]
    }

    /// Index of the last entry at or before `hint` whose term is not above that of `hint`.
    pub(crate) fn last_possible_match(&self, hint: Position) -> Index {
        let count = self.count_up_to(hint.index);
        let offset =
            self.entries[..count].partition_point(|entry| entry.position.term <= hint.term);
        match offset.checked_sub(1) {
            Some(offset) => self.entries[offset].position.index,
            None => self.base.index.min(hint.index),
        }
    }

    /// Position at or before which the log may match the leader's, when the entry at `index` is missing or
    /// has another term. It is the end of the log or the last entry of an earlier term, and not below
    /// `floor`.
    pub(crate) fn mismatch_hint(&self, index: Index, floor: Index) -> Position {
        if index > self.last().index {
            return self.last();
        }
        let term = self.term_at(index);
        let mut candidate = index;
        while candidate > floor && self.term_at(candidate) == term {
            candidate = candidate.previous();
        }
        Position {
            index: candidate,
            term: self.term_at(candidate).unwrap_or_default(),
        }
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let after = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(after)
            .ok()
            .filter(|offset| *offset < self.entries.len())
    }

    /// Number of entries in memory up to and including `index`.
    fn count_up_to(&self, index: Index) -> usize {
        let count = index.0.saturating_sub(self.base.index.0);
        usize::try_from(count).map_or(self.entries.len(), |count| count.min(self.entries.len()))
    }
}
