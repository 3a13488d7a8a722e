//! The acceptor: one member's replicas of the registers.
//!
//! Every positive reply comes with a [`Write`] that is synced before the reply
//! is sent, even when the register does not change, because the earlier write
//! that changed it may not be synced yet.

use serde::Deserialize;
use serde::Serialize;

use crate::ballot::Ballot;
use crate::epoch::Disk;
use crate::epoch::Group;
use crate::epoch::Member;
use crate::epoch::Number;
use crate::epoch::VotingState;
use crate::journal::Accepted;
use crate::journal::Register;
use crate::journal::Write;
use crate::key::Key;
use crate::message::Message;
use crate::message::Refusal;
use crate::message::Reply;
use crate::record::Record;
use crate::table::Table;
use crate::table::hour;
use shallotrill_model::time;

/// Epoch in which a group is formed. Only in this epoch may a member vote without having copied.
pub const FIRST_EPOCH: Number = Number(1);

/// Parameters of an acceptor.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Identifier of this member.
    pub member: Member,
    /// Disk that holds the registers of this member.
    pub disk: Disk,
    /// Memory use above which new keys are refused.
    pub limit_bytes: usize,
    /// Memory that known keys may use above `limit_bytes`, so that responses are still stored when
    /// new keys are refused.
    pub reserve_bytes: usize,
}

/// A promise to accept no lower ballot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// The record accepted under the highest ballot; `None` if none was accepted.
    pub accepted: Option<Accepted>,
    /// Write to sync before the promise is sent.
    pub write: Write,
}

/// A range of registers, sent to a copying member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Epoch in which the page was read.
    pub epoch: Number,
    /// Member that the page comes from.
    pub from: Member,
    /// Horizon of that member; see [`Acceptor::horizon`].
    pub horizon: time::Wall,
    /// Registers in the order of keys.
    pub registers: Vec<Register>,
    /// Whether this is the last page.
    pub last: bool,
}

/// The registers of one member.
#[derive(Clone, Debug)]
pub struct Acceptor {
    config: Config,
    group: Option<Group>,
    horizon: time::Wall,
    /// Voting members from which all registers have been copied in the current epoch, sorted.
    copied: Vec<Member>,
    table: Table,
}

impl Acceptor {
    /// Creates an acceptor that holds nothing and is in no group.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            group: None,
            horizon: time::Wall(0),
            copied: Vec::new(),
            table: Table::default(),
        }
    }

    /// Applies a write that the journal has taken, or replays it after a restart.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Enter(group) => {
                self.copied.clear();
                self.group = Some(group);
            }
            Write::Promise(key, ballot) => {
                self.change(&key, |register| {
                    register.promised = register.promised.max(ballot);
                });
            }
            Write::Accept(key, ballot, record) => self.change(&key, |register| {
                register.promised = register.promised.max(ballot);
                register.accepted = Some(Accepted { ballot, record });
            }),
            Write::Copy(register) => {
                let key = register.key.clone();
                self.change(&key, |stored| *stored = register);
            }
            Write::Copied(member) => {
                if let Err(index) = self.copied.binary_search(&member) {
                    self.copied.insert(index, member);
                }
            }
            Write::Retire(horizon) => {
                self.horizon = self.horizon.max(horizon);
                self.table.expire_keys_before(self.horizon);
            }
        }
    }

    /// Enters an epoch; messages of all other epochs are refused from then on.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the epoch is not higher than the current one,
    /// when the group does not list this member with this disk, or when it
    /// would vote without having copied from every voting member.
    pub fn enter(&mut self, group: &Group) -> Result<Write, Refusal> {
        let write = self.decide_enter(group)?;
        if self.group.as_ref() != Some(group) {
            self.apply(write.clone());
        }
        Ok(write)
    }

    /// Returns the write that enters an epoch and changes nothing; it is applied once the journal has
    /// taken it.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] as [`Acceptor::enter`] does.
    pub fn decide_enter(&self, group: &Group) -> Result<Write, Refusal> {
        let seat = group
            .seat(self.config.member)
            .filter(|seat| seat.disk == self.config.disk)
            .ok_or(Refusal::Stranger(self.config.member))?;
        if let Some(own) = &self.group
            && own.epoch >= group.epoch
            && own != group
        {
            return Err(Refusal::Epoch(own.epoch));
        }
        if seat.voting_state == VotingState::Voting && !self.may_vote(group.epoch) {
            return Err(Refusal::NotCopied);
        }
        Ok(Write::Enter(group.clone()))
    }

    /// Promises to accept no ballot of the key below `ballot`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the ballot is too low or of another epoch, the
    /// key is expired, the table is full or this member is copying.
    pub fn prepare(&mut self, key: &Key, ballot: Ballot) -> Result<Promise, Refusal> {
        let promise = self.decide_prepare(key, ballot)?;
        self.apply(promise.write.clone());
        Ok(promise)
    }

    fn decide_prepare(&self, key: &Key, ballot: Ballot) -> Result<Promise, Refusal> {
        if self.check_epoch_and_horizon(key, ballot)? == VotingState::Copying {
            return Err(Refusal::Copying);
        }
        let register = self.check_promise(key, ballot)?;
        let accepted = register.and_then(|r| r.accepted.clone());
        self.check_space(key, 0)?;
        let write = Write::Promise(key.clone(), ballot);
        Ok(Promise { accepted, write })
    }

    /// Accepts a record under `ballot`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] as [`Acceptor::prepare`] does, except that a copying member accepts records.
    pub fn accept(&mut self, key: &Key, ballot: Ballot, record: &Record) -> Result<Write, Refusal> {
        let write = self.decide_accept(key, ballot, record)?;
        self.apply(write.clone());
        Ok(write)
    }

    fn decide_accept(&self, key: &Key, ballot: Ballot, record: &Record) -> Result<Write, Refusal> {
        self.check_epoch_and_horizon(key, ballot)?;
        self.check_promise(key, ballot)?;
        self.check_space(key, record.heap_bytes())?;
        Ok(Write::Accept(key.clone(), ballot, record.clone()))
    }

    /// Handles a message; the write, if any, is synced before the reply is sent.
    pub fn step(&mut self, message: &Message) -> (Reply, Option<Write>) {
        let (reply, write) = self.decide(message);
        if let Some(write) = &write {
            self.apply(write.clone());
        }
        (reply, write)
    }

    /// Decides on a message and changes nothing.
    ///
    /// The write is applied once the journal has taken it. A journal without
    /// space takes no write, and a record that is in the table but not in the
    /// journal would be reported to a later round as if it were durable.
    pub fn decide(&self, message: &Message) -> (Reply, Option<Write>) {
        let result = match message {
            Message::Prepare { key, ballot } => self
                .decide_prepare(key, *ballot)
                .map(|promise| (Reply::Promised(promise.accepted), promise.write)),
            Message::Accept {
                key,
                ballot,
                record,
            } => self
                .decide_accept(key, *ballot, record)
                .map(|write| (Reply::Accepted, write)),
        };
        match result {
            Ok((reply, write)) => (reply, Some(write)),
            Err(refusal) => (Reply::Refused(refusal), None),
        }
    }

    /// Raises the horizon, rounded down to a whole bucket, and drops the registers of keys issued before it.
    pub fn raise_horizon(&mut self, horizon: time::Wall) -> Option<Write> {
        let write = self.decide_raise_horizon(horizon)?;
        self.apply(write.clone());
        Some(write)
    }

    /// Returns the write that raises the horizon and changes nothing; `None` when the horizon does not
    /// rise by a whole bucket.
    pub fn decide_raise_horizon(&self, horizon: time::Wall) -> Option<Write> {
        let floor = time::Wall(hour(horizon) * crate::table::BUCKET_MS);
        (floor > self.horizon).then_some(Write::Retire(floor))
    }

    /// Reads the registers after a key for a copying member: at least one, and no more than fit into
    /// `limit_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when this member is in another epoch, since it could
    /// still accept ballots of that epoch, or when it is itself copying.
    pub fn page(
        &self,
        epoch: Number,
        after: Option<&Key>,
        limit_bytes: usize,
    ) -> Result<Page, Refusal> {
        if self.voting_state(epoch)? == VotingState::Copying {
            return Err(Refusal::Copying);
        }
        let mut registers = Vec::new();
        let mut bytes = 0;
        let mut last = true;
        for register in self.table.after(after) {
            bytes += register.bytes();
            if bytes > limit_bytes && !registers.is_empty() {
                last = false;
                break;
            }
            registers.push(register.clone());
        }
        Ok(Page {
            epoch,
            from: self.config.member,
            horizon: self.horizon,
            registers,
            last,
        })
    }

    /// Merges a page of a voting member into the registers of this copying member.
    ///
    /// The pages of a voting member are merged in order; after the last one,
    /// that member counts as copied. Its horizon is merged too, because a key
    /// that is expired at the voting member must not appear as absent here.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] when the page is of another epoch or this member is not copying.
    pub fn merge(&mut self, page: &Page) -> Result<Vec<Write>, Refusal> {
        if self.voting_state(page.epoch)? == VotingState::Voting {
            return Err(Refusal::Epoch(page.epoch));
        }
        let mut writes: Vec<Write> = self.raise_horizon(page.horizon).into_iter().collect();
        for received in &page.registers {
            if self.is_expired(&received.key) {
                continue;
            }
            let mut register = self.register(&received.key);
            let ballot = |r: &Register| r.accepted.as_ref().map(|a| a.ballot);
            if ballot(received) > ballot(&register) {
                register.accepted.clone_from(&received.accepted);
            }
            register.promised = register.promised.max(received.promised);
            writes.push(Write::Copy(register));
            self.apply(writes[writes.len() - 1].clone());
        }
        if page.last {
            writes.push(Write::Copied(page.from));
            self.apply(Write::Copied(page.from));
        }
        Ok(writes)
    }

    /// The writes that restore the state of this acceptor, for the start of a new journal file.
    pub fn snapshot(&self) -> impl Iterator<Item = Write> {
        let group = self.group.iter().cloned().map(Write::Enter);
        let copied = self.copied.iter().copied().map(Write::Copied);
        let horizon = [Write::Retire(self.horizon)];
        let registers = self.table.after(None).cloned().map(Write::Copy);
        group.chain(copied).chain(horizon).chain(registers)
    }

    /// Whether this member may vote in the next epoch: it votes already or has copied from every
    /// voting member.
    ///
    /// A member is admitted as a voter only when this is true and its writes are
    /// synced. A member that is admitted earlier cannot enter the epoch in which
    /// it votes, and the group loses it.
    pub fn can_vote_in_next_epoch(&self) -> bool {
        let seat = |group: &Group| group.seat(self.config.member).map(|seat| seat.voting_state);
        match self.group.as_ref().map(|group| (group, seat(group))) {
            Some((_, Some(VotingState::Voting))) => true,
            Some((group, Some(VotingState::Copying))) => group
                .voters()
                .all(|voter| self.copied.binary_search(&voter).is_ok()),
            _ => false,
        }
    }

    /// The group in the current epoch; `None` before the first epoch is entered.
    pub const fn group(&self) -> Option<&Group> {
        self.group.as_ref()
    }

    /// The registers.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Keys issued before this time are refused; zero until the horizon is first raised.
    pub const fn horizon(&self) -> time::Wall {
        self.horizon
    }

    fn register(&self, key: &Key) -> Register {
        let register = self.table.get(key).cloned();
        register.unwrap_or_else(|| Register::new(key.clone()))
    }

    fn change(&mut self, key: &Key, change: impl FnOnce(&mut Register)) {
        if !self.is_expired(key) {
            self.table.change(key, change);
        }
    }

    fn is_expired(&self, key: &Key) -> bool {
        hour(key.time()) < hour(self.horizon)
    }

    fn voting_state(&self, epoch: Number) -> Result<VotingState, Refusal> {
        let group = self
            .group
            .as_ref()
            .ok_or(Refusal::Stranger(self.config.member))?;
        if group.epoch != epoch {
            return Err(Refusal::Epoch(group.epoch));
        }
        let seat = group.seat(self.config.member);
        seat.map(|seat| seat.voting_state)
            .ok_or(Refusal::Stranger(self.config.member))
    }

    fn check_epoch_and_horizon(&self, key: &Key, ballot: Ballot) -> Result<VotingState, Refusal> {
        let voting_state = self.voting_state(ballot.epoch)?;
        if self.is_expired(key) {
            return Err(Refusal::Expired(self.horizon));
        }
        Ok(voting_state)
    }

    fn check_promise(&self, key: &Key, ballot: Ballot) -> Result<Option<&Register>, Refusal> {
        let register = self.table.get(key);
        match register {
            Some(register) if register.promised > ballot => {
                Err(Refusal::Promised(register.promised))
            }
            _ => Ok(register),
        }
    }

    /// Checks that a record of `record_bytes` fits when it replaces the stored record of the key.
    fn check_space(&self, key: &Key, record_bytes: usize) -> Result<(), Refusal> {
        let bytes = self.table.bytes();
        let replaced_bytes =
            |r: &Register| r.accepted.as_ref().map_or(0, |a| a.record.heap_bytes());
        let (added_bytes, reserved_bytes) = match self.table.get(key) {
            Some(register) => (
                record_bytes.saturating_sub(replaced_bytes(register)),
                self.config.reserve_bytes,
            ),
            None => (Register::new(key.clone()).bytes() + record_bytes, 0),
        };
        let limit_bytes = self.config.limit_bytes + reserved_bytes;
        if added_bytes > 0 && bytes + added_bytes > limit_bytes {
            return Err(Refusal::Full { bytes, limit_bytes });
        }
        Ok(())
    }

    fn may_vote(&self, epoch: Number) -> bool {
        if self.group.is_none() {
            return epoch == FIRST_EPOCH;
        }
        self.can_vote_in_next_epoch()
    }
}
