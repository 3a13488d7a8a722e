//! The registers of this member, and the rounds that it runs for nodes.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::error;
use log::warn;
use tokio::time;

use crate::state::State;
use shallotrill_claim::acceptor::Acceptor;
use shallotrill_claim::ballot::Ballot;
use shallotrill_claim::ballot::Sequence;
use shallotrill_claim::change::Change;
use shallotrill_claim::epoch::Member;
use shallotrill_claim::grant_expiry::GrantExpiry;
use shallotrill_claim::journal::Write;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Message;
use shallotrill_claim::message::Refusal as MessageRefusal;
use shallotrill_claim::message::Reply;
use shallotrill_claim::proposer::Envelope;
use shallotrill_claim::proposer::Failure;
use shallotrill_claim::proposer::Proposer;
use shallotrill_claim::proposer::Step;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_claim::record::State as RecordState;
use shallotrill_control_client::claim;
use shallotrill_disk::position::Position;
use shallotrill_disk::refusal::Refusal;
use shallotrill_membership::row::Row;
use shallotrill_model::attempt;
use shallotrill_model::time::Instant;
use shallotrill_replica::claims as messages;

/// Kind of the journal's records: a write of the acceptor.
pub(crate) const WRITE: u8 = 1;

/// Kind of the journal's records: a start of this process.
pub(crate) const START: u8 = 2;

/// Longest time for all rounds of one question.
const ASK_LIMIT: Duration = Duration::from_millis(1_500);

/// Longest time for one round.
const ROUND_LIMIT: Duration = Duration::from_millis(500);

/// Interval of looks for expired grants.
const LAPSE_INTERVAL: Duration = Duration::from_millis(500);

/// An open record whose holder is alive is left to the holder for this time.
const HOLDER_LIMIT: Duration = Duration::from_mins(1);

/// How far in the future a new key may be issued. Callers' clocks differ, and a
/// key that is further ahead would be kept that much longer.
const KEY_AHEAD_MAX: Duration = Duration::from_mins(5);

/// Pause before a start that could not be counted is counted again; the disk needs time to have space.
const COUNT_PAUSE: Duration = Duration::from_millis(500);

/// An expired grant whose holder is alive.
#[derive(Clone, Debug)]
struct Held {
    key: Key,
    attempt: attempt::Number,
    since: Instant,
}

/// The registers of this member.
#[derive(Debug)]
pub(crate) struct Claims {
    pub(crate) acceptor: Acceptor,
    pub(crate) clock: GrantExpiry,
    pub(crate) sequence: Sequence,
    held: Vec<Held>,
    /// Number of this start of the process.
    pub(crate) start: u64,
    /// Whether the start is counted on the disk. Before that a crash could lead to a second start of this number.
    counted: bool,
    /// Bytes of the journal at its last snapshot.
    pub(crate) shrunk_at: u64,
}

impl Claims {
    pub(crate) const fn new(acceptor: Acceptor, member: Member, start: u64) -> Self {
        Self {
            acceptor,
            clock: GrantExpiry::new(),
            sequence: Sequence::new(member, start),
            start,
            counted: false,
            held: Vec::new(),
            shrunk_at: 0,
        }
    }
}

/// Counts this start on the disk, after which rounds may be run.
///
/// Two starts of one number would use the same ballots for different records.
pub(crate) async fn count(state: Arc<State>) {
    let start = state.claims.lock().start;
    let bytes = postcard::to_allocvec(&start).expect("numbers can be encoded");
    let position = loop {
        match state.claims_journal.append(START, &bytes) {
            Ok(position) => break position,
            Err(Refusal::Busy { attempt, .. }) => {
                if let Err(refusal) = state.claims_journal.wait_for_space(attempt).await {
                    error!(event = "start-not-counted"; "{refusal}");
                    return;
                }
            }
            Err(refusal @ Refusal::Full { .. }) => {
                warn!(event = "start-not-counted"; "{refusal}");
                time::sleep(COUNT_PAUSE).await;
            }
            Err(refusal) => {
                error!(event = "start-not-counted"; "{refusal}");
                return;
            }
        }
    };
    if state.claims_journal.wait_durable(position).await.is_ok() {
        state.claims.lock().counted = true;
    }
}

/// Answers a question of a node.
pub(crate) async fn ask(state: Arc<State>, ask: claim::Ask) -> claim::Reply {
    let result = match check(&state, &ask) {
        Ok(()) => run(&state, ask.key, ask.task).await,
        Err(refusal) => Err(refusal),
    };
    state.metrics.claim_asked(&result);
    result
}

/// Refuses a question that this region's registers must not decide.
fn check(state: &State, ask: &claim::Ask) -> Result<(), claim::Refusal> {
    // Two groups that keep one key could each grant it.
    if ask.region != state.identity.region {
        return Err(claim::Refusal::Region(state.identity.region.clone()));
    }
    let now = state.clock.wall();
    let opens = matches!(ask.task, Task::Change(Change::Open { .. }));
    if opens && ask.key.is_ahead(now, KEY_AHEAD_MAX) {
        return Err(claim::Refusal::Ahead(ask.key.time().0 - now.0));
    }
    Ok(())
}

/// Runs rounds for one key until one decides or the time is up.
pub(crate) async fn run(state: &Arc<State>, key: Key, task: Task) -> claim::Reply {
    let deadline = state.now() + ASK_LIMIT;
    loop {
        let (counted, group) = {
            let claims = state.claims.lock();
            (claims.counted, claims.acceptor.group().cloned())
        };
        if !counted {
            return Err(claim::Refusal::Starting);
        }
        let group = group.ok_or(claim::Refusal::NoGroup)?;
        if group.seat(state.identity.member()).is_none() {
            return Err(claim::Refusal::NotMember);
        }
        let mut proposer = Proposer::new(group, key.clone(), task.clone());
        let failure = match rounds(state, &mut proposer, deadline).await {
            Ok(report) => return Ok(report),
            Err(failure) => failure,
        };
        // A member in a later epoch: this one will hear of it through the configuration.
        let epoch = matches!(failure, Failure::Epoch(_));
        if !epoch || state.now() >= deadline {
            return Err(claim::Refusal::Claim(failure));
        }
        time::sleep(proposer.backoff(rand::random())).await;
    }
}

async fn rounds(
    state: &Arc<State>,
    proposer: &mut Proposer,
    deadline: Instant,
) -> Result<Report, Failure> {
    loop {
        let failure = match round(state, proposer).await {
            Ok(report) => return Ok(report),
            Err(failure) => failure,
        };
        let again = matches!(failure, Failure::Conflict { .. } | Failure::NoQuorum { .. });
        let pause = proposer.backoff(rand::random());
        if !again || state.now() + pause >= deadline {
            return Err(failure);
        }
        time::sleep(pause).await;
    }
}

async fn round(state: &Arc<State>, proposer: &mut Proposer) -> Result<Report, Failure> {
    let first = proposer.start(&mut state.claims.lock().sequence);
    let mut ballot = proposer.ballot();
    let mut replies = FuturesUnordered::new();
    replies.extend(
        first
            .into_iter()
            .map(|envelope| deliver(state, envelope, ballot)),
    );
    let limit = time::sleep(ROUND_LIMIT);
    let mut limit = std::pin::pin!(limit);
    loop {
        let arrived = tokio::select! {
            arrived = replies.next() => arrived,
            () = limit.as_mut() => None,
        };
        let Some((from, of, reply)) = arrived else {
            return Err(proposer.expire());
        };
        let Some(reply) = reply else { continue };
        match proposer.step(from, of, &reply) {
            Step::Wait => {}
            Step::Send(envelopes) => {
                ballot = proposer.ballot();
                replies.extend(envelopes.into_iter().map(|e| deliver(state, e, ballot)));
            }
            Step::Finished(result) => return result,
        }
    }
}

/// Brings a message to a member and its reply back; nothing when none came.
async fn deliver(
    state: &Arc<State>,
    envelope: Envelope,
    ballot: Ballot,
) -> (Member, Ballot, Option<Reply>) {
    let to = envelope.to;
    let reply = if to == state.identity.member() {
        let replies = step(state, vec![envelope.message]).await;
        replies.into_iter().next().flatten()
    } else {
        match state.peers.get(u64::from(to.0)) {
            Some(peer) => peer.send_claim(envelope.message).await.ok(),
            None => None,
        }
    };
    (to, ballot, reply)
}

/// Answers the messages of another member.
pub(crate) async fn receive(state: Arc<State>, ask: messages::Ask) -> messages::Answer {
    let replies = step(&state, ask.messages).await;
    messages::Answer { replies }
}

/// Steps the acceptor and syncs what it wrote. No reply is given for what could not be made durable.
async fn step(state: &State, messages: Vec<Message>) -> Vec<Option<Reply>> {
    let now = state.now();
    let mut last = None;
    let mut replies = Vec::with_capacity(messages.len());
    {
        let mut claims = state.claims.lock();
        for message in &messages {
            let (reply, write) = claims.acceptor.decide(message);
            let Some(write) = write else {
                if matches!(reply, Reply::Refused(MessageRefusal::Expired(_))) {
                    // A key is expired for good only once the horizon is on the disk.
                    last = last.max(Some(state.claims_journal.appended_position()));
                }
                replies.push(Some(reply));
                continue;
            };
            // Appended under the lock, so that the journal has the order of the acceptor's decisions.
            match append(state, &write) {
                Ok(position) => {
                    claims.take(write, now);
                    last = Some(position);
                    replies.push(Some(reply));
                }
                Err(refusal) => {
                    warn!(event = "claim-not-written"; "{refusal}");
                    replies.push(None);
                }
            }
        }
    }
    match last {
        Some(position) if state.claims_journal.wait_durable(position).await.is_err() => {
            error!(event = "claims-journal-failed"; "this member answers no more claims");
            replies.iter().map(|_| None).collect()
        }
        _ => replies,
    }
}

/// Puts a write in line for the disk.
pub(crate) fn append(state: &State, write: &Write) -> Result<Position, Refusal> {
    let bytes = postcard::to_allocvec(write).expect("writes can be encoded");
    state.claims_journal.append(WRITE, &bytes)
}

/// Turns open records whose grants expired into unknown ones, when their holders are gone.
pub(crate) async fn lapse(state: Arc<State>) {
    loop {
        time::sleep(LAPSE_INTERVAL).await;
        let due = due(&state);
        for (key, attempt) in due {
            let change = Task::Change(Change::Lapse { attempt });
            if let Err(refusal) = run(&state, key, change).await {
                log::debug!(event = "grant-not-lapsed"; "{refusal:?}");
            }
        }
    }
}

fn due(state: &State) -> Vec<(Key, attempt::Number)> {
    let now = state.now();
    let expired: Vec<(Key, attempt::Number)> = state.claims.lock().clock.expired(now);
    let mut due = Vec::new();
    for (key, attempt) in expired {
        let holder = {
            let claims = state.claims.lock();
            let register = claims.acceptor.table().get(&key);
            let record = register.and_then(|register| register.accepted.as_ref());
            record.and_then(|accepted| match &accepted.record.state {
                RecordState::Open { holder, .. } => Some(holder.clone()),
                _ => None,
            })
        };
        let Some(holder) = holder else { continue };
        let alive = {
            let members = state.members.lock();
            let row = members.table.row(&holder.instance);
            row.is_some_and(|row: &Arc<Row>| {
                row.is_live() && row.target.incarnation == holder.incarnation
            })
        };
        let mut claims = state.claims.lock();
        if alive && !claims.held_too_long(&key, attempt, now) {
            continue;
        }
        claims.forget(&key);
        due.push((key, attempt));
    }
    due
}

impl Claims {
    /// Takes over a write that the journal has taken.
    pub(crate) fn take(&mut self, write: Write, now: Instant) {
        match &write {
            Write::Accept(key, _, record) => self.clock.observe(key, record, now),
            Write::Retire(horizon) => self.clock.retire(*horizon),
            _ => {}
        }
        self.acceptor.apply(write);
    }

    /// Starts the count of the open records that were copied.
    pub(crate) fn observe(&mut self, writes: &[Write], now: Instant) {
        for write in writes {
            if let Write::Copy(register) = write
                && let Some(accepted) = &register.accepted
            {
                self.clock.observe(&register.key, &accepted.record, now);
            }
        }
    }

    /// Starts the count of all open records that were read back.
    pub(crate) fn observe_all(&mut self) {
        let origin = Instant(0);
        for register in self.acceptor.table().after(None) {
            if let Some(accepted) = &register.accepted {
                self.clock.observe(&register.key, &accepted.record, origin);
            }
        }
    }

    fn held_too_long(&mut self, key: &Key, attempt: attempt::Number, now: Instant) -> bool {
        match self.held.binary_search_by(|held| held.key.cmp(key)) {
            Ok(index) if self.held[index].attempt == attempt => {
                now.since(self.held[index].since) >= HOLDER_LIMIT
            }
            found => {
                let held = Held {
                    key: key.clone(),
                    attempt,
                    since: now,
                };
                match found {
                    Ok(index) => self.held[index] = held,
                    Err(index) => self.held.insert(index, held),
                }
                false
            }
        }
    }

    fn forget(&mut self, key: &Key) {
        if let Ok(index) = self.held.binary_search_by(|held| held.key.cmp(key)) {
            self.held.remove(index);
        }
    }
}
