//! Claim registers of this member, and the claim rounds that it runs on behalf of nodes.

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

/// Journal record kind: a write of the acceptor.
pub(crate) const WRITE: u8 = 1;

/// Journal record kind: the start number of this process.
pub(crate) const START_NUMBER: u8 = 2;

/// Timeout for all rounds of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

const ROUND_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks for expired grants.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Additional time before the record of an expired grant is changed to unknown while the holder of the grant is alive.
const HOLDER_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum time by which the issue time of a new key may lie in the future. Callers' clocks differ,
/// and a key that is further ahead would be retained that much longer.
const KEY_AHEAD_MAX: Duration = Duration::from_mins(5);

/// Interval before recording the start number is retried when the disk is full.
const START_NUMBER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An expired grant whose holder is alive.
#[derive(Clone, Debug)]
struct ExpiredGrant {
    key: Key,
    attempt: attempt::Number,
    since: Instant,
}

/// The registers of this member.
#[derive(Debug)]
pub(crate) struct Claims {
    pub(crate) acceptor: Acceptor,
    pub(crate) grant_expiry: GrantExpiry,
    pub(crate) sequence: Sequence,
    expired_grants: Vec<ExpiredGrant>,
    /// Start number: counts the starts of the process and is part of each ballot.
    pub(crate) start_number: u64,
    /// Whether the start number is durable. Before that, a crash could lead to a second start with the same start number.
    start_number_recorded: bool,
    /// Total bytes written to the journal at the time of its last snapshot.
    pub(crate) bytes_at_snapshot: u64,
}

impl Claims {
    pub(crate) const fn new(acceptor: Acceptor, member: Member, start_number: u64) -> Self {
        Self {
            acceptor,
            grant_expiry: GrantExpiry::new(),
            sequence: Sequence::new(member, start_number),
            start_number,
            start_number_recorded: false,
            expired_grants: Vec::new(),
            bytes_at_snapshot: 0,
        }
    }
}

/// Stores the start number of this process durably; claim rounds are refused until then.
///
/// Two starts with the same start number would use the same ballots for different records.
pub(crate) async fn record_start_number(state: Arc<State>) {
    let start_number = state.claims.lock().start_number;
    let bytes = postcard::to_allocvec(&start_number).expect("numbers can be encoded");
    let position = loop {
        match state.claims_journal.append(START_NUMBER, &bytes) {
            Ok(position) => break position,
            Err(Refusal::Busy { attempt, .. }) => {
                if let Err(refusal) = state.claims_journal.wait_for_space(attempt).await {
                    error!(event = "start-not-counted"; "cannot record the start number in the claim journal: {refusal}");
                    return;
                }
            }
            Err(refusal @ Refusal::Full { .. }) => {
                warn!(event = "start-not-counted"; "cannot record the start number in the claim journal, retrying: {refusal}");
                time::sleep(START_NUMBER_RETRY_INTERVAL).await;
            }
            Err(refusal) => {
                error!(event = "start-not-counted"; "cannot record the start number in the claim journal: {refusal}");
                return;
            }
        }
    };
    if state.claims_journal.wait_durable(position).await.is_ok() {
        state.claims.lock().start_number_recorded = true;
    }
}

/// Handles a claim request of a node.
pub(crate) async fn handle(state: Arc<State>, request: claim::Request) -> claim::Reply {
    let result = match check(&state, &request) {
        Ok(()) => run(&state, request.key, request.task).await,
        Err(refusal) => Err(refusal),
    };
    state.metrics.count_claim(&result);
    result
}

/// Refuses a request that the claim group of this region must not decide.
fn check(state: &State, request: &claim::Request) -> Result<(), claim::Refusal> {
    // If two groups stored records of one key, each could grant it.
    if request.region != state.identity.region {
        return Err(claim::Refusal::Region(state.identity.region.clone()));
    }
    let now = state.clock.wall();
    let opens = matches!(request.task, Task::Change(Change::Open { .. }));
    if opens && request.key.is_ahead(now, KEY_AHEAD_MAX) {
        return Err(claim::Refusal::Ahead(request.key.time().0 - now.0));
    }
    Ok(())
}

/// Runs rounds for one key until a round decides or the timeout expires.
pub(crate) async fn run(state: &Arc<State>, key: Key, task: Task) -> claim::Reply {
    let deadline = state.now() + REQUEST_TIMEOUT;
    loop {
        let (start_number_recorded, group) = {
            let claims = state.claims.lock();
            (
                claims.start_number_recorded,
                claims.acceptor.group().cloned(),
            )
        };
        if !start_number_recorded {
            return Err(claim::Refusal::Starting);
        }
        let group = group.ok_or(claim::Refusal::NoGroup)?;
        if group.seat(state.identity.member()).is_none() {
            return Err(claim::Refusal::NotMember);
        }
        let mut proposer = Proposer::new(group, key.clone(), task.clone());
        let failure = match claim_rounds(state, &mut proposer, deadline).await {
            Ok(report) => return Ok(report),
            Err(failure) => failure,
        };
        // Another member is in a later epoch, which this process enters once it has applied the configuration.
        let epoch = matches!(failure, Failure::Epoch(_));
        if !epoch || state.now() >= deadline {
            return Err(claim::Refusal::Claim(failure));
        }
        time::sleep(proposer.backoff(rand::random())).await;
    }
}

async fn claim_rounds(
    state: &Arc<State>,
    proposer: &mut Proposer,
    deadline: Instant,
) -> Result<Report, Failure> {
    loop {
        let failure = match claim_round(state, proposer).await {
            Ok(report) => return Ok(report),
            Err(failure) => failure,
        };
        let retryable = matches!(failure, Failure::Conflict { .. } | Failure::NoQuorum { .. });
        let pause = proposer.backoff(rand::random());
        if !retryable || state.now() + pause >= deadline {
            return Err(failure);
        }
        time::sleep(pause).await;
    }
}

async fn claim_round(state: &Arc<State>, proposer: &mut Proposer) -> Result<Report, Failure> {
    let first = proposer.start(&mut state.claims.lock().sequence);
    let mut ballot = proposer.ballot();
    let mut replies = FuturesUnordered::new();
    replies.extend(
        first
            .into_iter()
            .map(|envelope| deliver(state, envelope, ballot)),
    );
    let timeout = time::sleep(ROUND_TIMEOUT);
    let mut timeout = std::pin::pin!(timeout);
    loop {
        let received = tokio::select! {
            received = replies.next() => received,
            () = timeout.as_mut() => None,
        };
        let Some((from, of, reply)) = received else {
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

/// Sends a message to a member and returns its reply, or `None` when the member did not reply.
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

/// Handles claim messages of another member.
pub(crate) async fn receive(state: Arc<State>, request: messages::Request) -> messages::Response {
    let replies = step(&state, request.messages).await;
    messages::Response { replies }
}

/// Passes messages to the acceptor and syncs its writes. Returns `None` for a message whose write is not durable.
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
                    // The expiry of a key is final only when the horizon is durable.
                    last = last.max(Some(state.claims_journal.appended_position()));
                }
                replies.push(Some(reply));
                continue;
            };
            // Appended under the lock, so that the journal preserves the order of the acceptor's decisions.
            match append(state, &write) {
                Ok(position) => {
                    claims.apply_write(write, now);
                    last = Some(position);
                    replies.push(Some(reply));
                }
                Err(refusal) => {
                    warn!(event = "claim-not-written"; "cannot append to the claim journal: {refusal}");
                    replies.push(None);
                }
            }
        }
    }
    match last {
        Some(position) if state.claims_journal.wait_durable(position).await.is_err() => {
            error!(event = "claims-journal-failed"; "claim journal failed; this member no longer replies to claim messages");
            replies.iter().map(|_| None).collect()
        }
        _ => replies,
    }
}

/// Appends a write to the journal; it is durable only after a later sync.
pub(crate) fn append(state: &State, write: &Write) -> Result<Position, Refusal> {
    let bytes = postcard::to_allocvec(write).expect("every write can be encoded");
    state.claims_journal.append(WRITE, &bytes)
}

/// Changes open records with an expired grant to unknown.
///
/// This happens when the holder is no longer alive, or [`HOLDER_TIMEOUT`] after the expiry was
/// detected while the holder was alive.
pub(crate) async fn expire_grants(state: Arc<State>) {
    loop {
        time::sleep(EXPIRY_INTERVAL).await;
        let due = due_grants(&state);
        for (key, attempt) in due {
            let change = Task::Change(Change::Lapse { attempt });
            if let Err(refusal) = run(&state, key, change).await {
                log::debug!(event = "grant-not-lapsed"; "cannot mark an expired grant as unknown: {refusal:?}");
            }
        }
    }
}

fn due_grants(state: &State) -> Vec<(Key, attempt::Number)> {
    let now = state.now();
    let expired: Vec<(Key, attempt::Number)> = state.claims.lock().grant_expiry.expired(now);
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
        if alive && !claims.observe_holder_timeout(&key, attempt, now) {
            continue;
        }
        claims.remove_expired_grant(&key);
        due.push((key, attempt));
    }
    due
}

impl Claims {
    /// Applies a write that was appended to the journal.
    pub(crate) fn apply_write(&mut self, write: Write, now: Instant) {
        match &write {
            Write::Accept(key, _, record) => self.grant_expiry.observe(key, record, now),
            Write::Retire(horizon) => self.grant_expiry.expire_keys_before(*horizon),
            _ => {}
        }
        self.acceptor.apply(write);
    }

    /// Starts the grant expiry of copied open records.
    pub(crate) fn track_copied(&mut self, writes: &[Write], now: Instant) {
        for write in writes {
            if let Write::Copy(register) = write
                && let Some(accepted) = &register.accepted
            {
                self.grant_expiry
                    .observe(&register.key, &accepted.record, now);
            }
        }
    }

    /// Starts the grant expiry of all open records that were restored from the journal.
    pub(crate) fn track_all(&mut self) {
        let origin = Instant(0);
        for register in self.acceptor.table().after(None) {
            if let Some(accepted) = &register.accepted {
                self.grant_expiry
                    .observe(&register.key, &accepted.record, origin);
            }
        }
    }

    /// Returns whether [`HOLDER_TIMEOUT`] has passed since the grant was first seen as expired.
    ///
    /// The first call for a grant records the time and returns false.
    fn observe_holder_timeout(
        &mut self,
        key: &Key,
        attempt: attempt::Number,
        now: Instant,
    ) -> bool {
        match self
            .expired_grants
            .binary_search_by(|grant| grant.key.cmp(key))
        {
            Ok(index) if self.expired_grants[index].attempt == attempt => {
                now.since(self.expired_grants[index].since) >= HOLDER_TIMEOUT
            }
            found => {
                let grant = ExpiredGrant {
                    key: key.clone(),
                    attempt,
                    since: now,
                };
                match found {
                    Ok(index) => self.expired_grants[index] = grant,
                    Err(index) => self.expired_grants.insert(index, grant),
                }
                false
            }
        }
    }

    fn remove_expired_grant(&mut self, key: &Key) {
        if let Ok(index) = self
            .expired_grants
            .binary_search_by(|grant| grant.key.cmp(key))
        {
            self.expired_grants.remove(index);
        }
    }
}
