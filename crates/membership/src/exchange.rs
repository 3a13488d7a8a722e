//! Merging of rows between control processes.

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
    /// Merges what another control process exported.
    ///
    /// The greatest stamp wins, so neither order nor repetition of differences
    /// changes the result. An expiry elsewhere of a lease that is renewed here
    /// is answered with a newer live row.
    pub fn exchange(&mut self, difference: &Difference, now: Instant) -> Vec<Change> {
        let source = &difference.version.source;
        if *source == self.own {
            return Vec::new();
        }
        self.hear(source, now);
        for heard in &difference.heard {
            self.hear_aged(&heard.owner, Duration::from_millis(heard.age_ms), now);
        }
        let rows = difference.rows.iter().chain(&difference.removed);
        let mut changes: Vec<Change> = rows.filter_map(|row| self.merge(row, now)).collect();
        if difference.is_snapshot() {
            changes.extend(self.drop_unlisted(difference, now));
        }
        changes
    }

    /// Expires rows that their owner does not hold any longer.
    ///
    /// A reader that was away for longer than tombstones are kept would
    /// otherwise keep them for as long as the owner lives.
    fn drop_unlisted(&mut self, snapshot: &Difference, now: Instant) -> Vec<Change> {
        let source = &snapshot.version.source;
        let listed = |row: &Row| lists(&snapshot.rows, row) || lists(&snapshot.removed, row);
        let unlisted =
            |row: &&Arc<Row>| row.is_live() && row.stamp.owner == *source && !listed(row);
        let rows: Vec<Arc<Row>> = self.rows().filter(unlisted).cloned().collect();
        let remove = |row: Arc<Row>| self.remove(&row, Presence::Expired, now);
        rows.into_iter().map(remove).collect()
    }

    /// Notes that a control process was heard from directly.
    pub fn hear(&mut self, owner: &Owner, now: Instant) {
        self.hear_aged(owner, Duration::ZERO, now);
    }

    fn hear_aged(&mut self, owner: &Owner, age: Duration, now: Instant) {
        if *owner == self.own {
            return;
        }
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = Instant(now.0.saturating_sub(age));
        match self.owners.binary_search_by(|(known, _)| known.cmp(owner)) {
            Ok(index) => {
                let last = &mut self.owners[index].1;
                *last = at.max(*last);
            }
            Err(index) => self.owners.insert(index, (owner.clone(), at)),
        }
    }

    fn merge(&mut self, row: &Arc<Row>, now: Instant) -> Option<Change> {
        let known = self.row(&row.target.instance).map(Arc::clone);
        if known.as_ref().is_some_and(|known| known.stamp >= row.stamp) {
            return None;
        }
        self.introduce(&row.stamp.owner, now);
        let stored = self.store(Row::clone(row), now);
        if self.renewed_here(&stored, known.as_deref(), now) {
            return Some(self.hold_as_before(&stored, now));
        }
        let same = known.as_ref().map(|known| known.stamp.incarnation);
        if stored.is_live() && same == Some(stored.stamp.incarnation) {
            self.leases.mark_moved(&stored.target.instance);
        } else {
            self.leases.remove(&stored.target.instance);
        }
        let kind = kind(known.as_deref(), &stored);
        Some(Change { kind, row: stored })
    }

    /// An owner that is known from its rows only counts as heard from when its first row arrives.
    fn introduce(&mut self, owner: &Owner, now: Instant) {
        let known = self.owners.binary_search_by(|(known, _)| known.cmp(owner));
        if known.is_err() {
            self.hear(owner, now);
        }
    }

    fn renewed_here(&self, expired: &Row, known: Option<&Row>, now: Instant) -> bool {
        let same = known.is_some_and(|known| known.stamp.incarnation == expired.stamp.incarnation);
        let renewed = self.leases.get(&expired.target.instance);
        let valid = renewed.is_some_and(|renewed| now.since(renewed) < self.config.lease);
        expired.presence == Presence::Expired && same && valid
    }

    fn hold_as_before(&mut self, stored: &Arc<Row>, now: Instant) -> Change {
        let instance = &stored.target.instance;
        let renewed = self.leases.get(instance).unwrap_or(now);
        let change = self.hold(stored, now);
        self.leases.set(instance, renewed);
        change
    }
}

fn lists(rows: &[Arc<Row>], row: &Row) -> bool {
    let name = &row.target.instance;
    let found = rows.binary_search_by(|other| other.target.instance.cmp(name));
    found.is_ok()
}

fn kind(known: Option<&Row>, row: &Row) -> Kind {
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
