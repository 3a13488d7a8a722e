//! Merging of the rows and last contacts that control processes receive from each other.

use std::sync::Arc;
use std::time::Duration;

use crate::change::Change;
use crate::change::Kind;
use crate::difference::Difference;
use crate::owner::Owner;
use crate::row::Presence;
use crate::row::Row;
use crate::table::Table;
use shallotrill_model::time::Instant;

impl Table {
    /// Merges a difference or snapshot that another control process exported.
    ///
    /// The greatest stamp wins, so neither order nor repetition of differences changes the
    /// result. When another process expired a lease that is still renewed here, the table
    /// replaces the expired row with a newer live one.
    pub fn merge_difference(&mut self, difference: &Difference, now: Instant) -> Vec<Change> {
        let source = &difference.version.source;
        if *source == self.local_owner {
            return Vec::new();
        }
        self.record_contact(source, now);
        for contact in &difference.last_contacts {
            self.record_contact_with_age(
                &contact.owner,
                Duration::from_millis(contact.age_ms),
                now,
            );
        }
        let rows = difference.rows.iter().chain(&difference.removed);
        let mut changes: Vec<Change> = rows.filter_map(|row| self.merge_row(row, now)).collect();
        if difference.is_snapshot() {
            changes.extend(self.expire_unlisted(difference, now));
        }
        changes
    }

    /// Expires rows that the snapshot of their owner no longer contains.
    ///
    /// A reader that was disconnected for longer than tombstones are kept would
    /// otherwise keep them for as long as the owner runs.
    fn expire_unlisted(&mut self, snapshot: &Difference, now: Instant) -> Vec<Change> {
        let source = &snapshot.version.source;
        let listed = |row: &Row| {
            contains_instance(&snapshot.rows, row) || contains_instance(&snapshot.removed, row)
        };
        let unlisted =
            |row: &&Arc<Row>| row.is_live() && row.stamp.owner == *source && !listed(row);
        let rows: Vec<Arc<Row>> = self.rows().filter(unlisted).cloned().collect();
        let expire = |row: Arc<Row>| self.mark_removed(&row, Presence::Expired, now);
        rows.into_iter().map(expire).collect()
    }

    /// Records a message received directly from a control process.
    pub fn record_contact(&mut self, owner: &Owner, now: Instant) {
        self.record_contact_with_age(owner, Duration::ZERO, now);
    }

    fn record_contact_with_age(&mut self, owner: &Owner, age: Duration, now: Instant) {
        if *owner == self.local_owner {
            return;
        }
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let contact_time = Instant(now.0.saturating_sub(age_us));
        match self
            .last_contacts
            .binary_search_by(|(known, _)| known.cmp(owner))
        {
            Ok(index) => {
                let last_contact = &mut self.last_contacts[index].1;
                *last_contact = contact_time.max(*last_contact);
            }
            Err(index) => self
                .last_contacts
                .insert(index, (owner.clone(), contact_time)),
        }
    }

    fn merge_row(&mut self, row: &Arc<Row>, now: Instant) -> Option<Change> {
        let known = self.row(&row.target.instance).map(Arc::clone);
        if known.as_ref().is_some_and(|known| known.stamp >= row.stamp) {
            return None;
        }
        self.record_first_contact(&row.stamp.owner, now);
        let stored = self.store_row(Row::clone(row), now);
        if self.is_renewed_here(&stored, known.as_deref(), now) {
            return Some(self.reclaim_renewed_lease(&stored, now));
        }
        let known_incarnation = known.as_ref().map(|known| known.stamp.incarnation);
        if stored.is_live() && known_incarnation == Some(stored.stamp.incarnation) {
            self.leases.mark_moved(&stored.target.instance);
        } else {
            self.leases.remove(&stored.target.instance);
        }
        let kind = change_kind(known.as_deref(), &stored);
        Some(Change { kind, row: stored })
    }

    /// Records the arrival of the first row of an owner as a contact, for an owner that is known only from rows.
    fn record_first_contact(&mut self, owner: &Owner, now: Instant) {
        let known = self
            .last_contacts
            .binary_search_by(|(known, _)| known.cmp(owner));
        if known.is_err() {
            self.record_contact(owner, now);
        }
    }

    fn is_renewed_here(&self, expired: &Row, known: Option<&Row>, now: Instant) -> bool {
        let same_incarnation =
            known.is_some_and(|known| known.stamp.incarnation == expired.stamp.incarnation);
        let last_renewal = self.leases.get(&expired.target.instance);
        let lease_valid =
            last_renewal.is_some_and(|renewed| now.since(renewed) < self.config.lease_period);
        expired.presence == Presence::Expired && same_incarnation && lease_valid
    }

    fn reclaim_renewed_lease(&mut self, stored: &Arc<Row>, now: Instant) -> Change {
        let instance = &stored.target.instance;
        let renewed = self.leases.get(instance).unwrap_or(now);
        let change = self.take_lease(stored, now);
        self.leases.set(instance, renewed);
        change
    }
}

fn contains_instance(rows: &[Arc<Row>], row: &Row) -> bool {
    let name = &row.target.instance;
    let position = rows.binary_search_by(|other| other.target.instance.cmp(name));
    position.is_ok()
}

fn change_kind(known: Option<&Row>, row: &Row) -> Kind {
    match row.presence {
        Presence::Left => Kind::Left,
        Presence::Expired => Kind::Expired,
        Presence::Live => match known {
            Some(known) if known.is_live() && known.target == row.target => Kind::Moved,
            Some(known) if known.is_live() => Kind::Updated,
            _ => Kind::Joined,
        },
    }
}
