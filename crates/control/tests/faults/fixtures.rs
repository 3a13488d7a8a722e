//! Helpers of the fault tests: raw claim messages to members, and claim requests as nodes send them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time;

use shallotrill_bench::group;
use shallotrill_bench::group::Group;
use shallotrill_claim::ballot::Ballot;
use shallotrill_claim::change::Change;
use shallotrill_claim::change::Holder;
use shallotrill_claim::epoch::Member;
use shallotrill_claim::epoch::Number;
use shallotrill_claim::grant;
use shallotrill_claim::key::IdempotencyKey;
use shallotrill_claim::key::Key;
use shallotrill_claim::message::Message;
use shallotrill_claim::message::Refusal;
use shallotrill_claim::message::Reply;
use shallotrill_claim::proposer::Failure;
use shallotrill_claim::proposer::Task;
use shallotrill_claim::record::Report;
use shallotrill_control_client::claim;
use shallotrill_language::result_table::Cell;
use shallotrill_model::attempt::Number as Attempt;
use shallotrill_model::digest::Digest;
use shallotrill_model::incarnation::Incarnation;
use shallotrill_model::outcome::Outcome;
use shallotrill_operator::client::Client;
use shallotrill_operator::wire::Request;
use shallotrill_replica::claims;

pub const DIGEST: Digest = Digest([7; 32]);
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a quorum after which a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub fn key() -> Key {
    key_at(SystemTime::now().duration_since(UNIX_EPOCH).unwrap())
}

pub fn key_at(issued: Duration) -> Key {
    let random_bits = u128::from(rand::random::<u64>() >> 2);
    let bits = issued.as_millis() << 80 | 7 << 76 | 2 << 62 | random_bits;
    Key {
        id: IdempotencyKey::new(bits).unwrap(),
        partner: "partner".try_into().unwrap(),
        service: "payments".try_into().unwrap(),
    }
}

pub fn holder() -> Holder {
    Holder {
        instance: "node-1".try_into().unwrap(),
        incarnation: Incarnation(1),
    }
}

pub fn open(attempt: u32) -> Change {
    Change::Open {
        digest: DIGEST,
        attempt: Attempt(attempt),
        holder: holder(),
        grant: grant::Id(u64::from(attempt)),
    }
}

/// A proposer that sends single messages to single members, without running complete rounds.
pub struct RawProposer<'group> {
    pub group: &'group Group,
    pub epoch: Number,
}

impl<'group> RawProposer<'group> {
    /// Learns the epoch from the refusal of a message of epoch 0.
    pub async fn new(group: &'group Group, index: usize) -> Self {
        let end = time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let proposer = Self {
                group,
                epoch: Number(0),
            };
            let reply = proposer.send(index, proposer.prepare(&key(), 1)).await;
            if let Some(Reply::Refused(Refusal::Epoch(epoch))) = reply {
                return Self { group, epoch };
            }
            assert!(
                time::Instant::now() < end,
                "member {index} did not report its epoch: {reply:?}"
            );
            time::sleep(Duration::from_millis(100)).await;
        }
    }

    pub fn ballot(&self, counter: u64) -> Ballot {
        Ballot {
            epoch: self.epoch,
            counter,
            member: Member(99),
            start: 1,
        }
    }

    pub fn prepare(&self, key: &Key, counter: u64) -> Message {
        Message::Prepare {
            key: key.clone(),
            ballot: self.ballot(counter),
        }
    }

    pub async fn send(&self, index: usize, message: Message) -> Option<Reply> {
        let request = claims::Request {
            messages: vec![message],
        };
        let link = self.group.link(index);
        let response: claims::Response = link
            .call(claims::METHOD, &request, REQUEST_TIMEOUT)
            .await
            .ok()?;
        response.replies.into_iter().next()?
    }
}

pub fn claim_request(key: &Key, task: Task) -> claim::Request {
    claim::Request {
        region: group::region(),
        key: key.clone(),
        task,
    }
}

/// Sends a change to one member until the claim group decides.
pub async fn decide(group: &Group, index: usize, key: &Key, change: Change) -> claim::Reply {
    let end = time::Instant::now() + WAIT_TIMEOUT;
    let claim_request = claim_request(key, Task::Change(change));
    loop {
        let reply = group.claim(index, &claim_request, REQUEST_TIMEOUT).await;
        match reply {
            Ok(Ok(report)) => return Ok(report),
            Ok(Err(refusal @ claim::Refusal::Claim(Failure::Refused(_)))) => return Err(refusal),
            other => assert!(
                time::Instant::now() < end,
                "claim group did not decide: {other:?}"
            ),
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Outcome that a fence of attempt 1 reports: `not run`, `held` (running or unknown) or `ran`.
pub async fn fence_outcome(group: &Group, index: usize, key: &Key) -> &'static str {
    let change = Change::Fence {
        digest: DIGEST,
        attempt: Attempt(1),
    };
    match decide(group, index, key, change).await {
        Ok(Report::Outcome { outcome, .. }) => match outcome {
            Outcome::NotRun(_) => "not run",
            Outcome::Running | Outcome::Unknown => "held",
            Outcome::Answer(_) => "ran",
        },
        other => panic!("fence did not report an outcome: {other:?}"),
    }
}

/// Member number of the leader, if the control process at this address knows one.
pub async fn leader(operator: SocketAddr) -> Option<u64> {
    let request = Request {
        statement: "show members".to_owned(),
        command: None,
        operator: "test".to_owned(),
    };
    let client = Client::new(vec![operator], REQUEST_TIMEOUT);
    let table = client.send(&request).await.ok()?;
    let is_leader = |row: &&Vec<Cell>| row.contains(&Cell::Flag(true));
    match table.rows.iter().find(is_leader)?.first() {
        Some(Cell::Count(number)) => Some(*number),
        _ => None,
    }
}
