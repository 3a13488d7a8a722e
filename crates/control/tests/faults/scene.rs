//! What the tests share: raw messages to members, questions as nodes ask them.

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
use shallotrill_claim::key::Id;
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
pub const LIMIT: Duration = Duration::from_secs(2);
/// A test that finds no quorum for so long has failed.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub fn key() -> Key {
    key_at(SystemTime::now().duration_since(UNIX_EPOCH).unwrap())
}

pub fn key_at(issued: Duration) -> Key {
    let low = u128::from(rand::random::<u64>() >> 2);
    let bits = issued.as_millis() << 80 | 7 << 76 | 2 << 62 | low;
    Key {
        id: Id::new(bits).unwrap(),
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

/// A proposer that sends what a test wants, to whom it wants.
pub struct Rogue<'group> {
    pub group: &'group Group,
    pub epoch: Number,
}

impl<'group> Rogue<'group> {
    /// Learns the epoch from the refusal of a message of epoch 0.
    pub async fn new(group: &'group Group, index: usize) -> Self {
        let end = time::Instant::now() + PATIENCE;
        loop {
            let rogue = Self {
                group,
                epoch: Number(0),
            };
            let reply = rogue.send(index, rogue.prepare(&key(), 1)).await;
            if let Some(Reply::Refused(Refusal::Epoch(epoch))) = reply {
                return Self { group, epoch };
            }
            assert!(time::Instant::now() < end, "no epoch: {reply:?}");
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
        let ask = claims::Request {
            messages: vec![message],
        };
        let link = self.group.link(index);
        let answer: claims::Response = link.ask(claims::METHOD, &ask, LIMIT).await.ok()?;
        answer.replies.into_iter().next()?
    }
}

pub fn ask(key: &Key, task: Task) -> claim::Request {
    claim::Request {
        region: group::region(),
        key: key.clone(),
        task,
    }
}

/// Asks one member until the claim group decides.
pub async fn decide(group: &Group, index: usize, key: &Key, change: Change) -> claim::Reply {
    let end = time::Instant::now() + PATIENCE;
    let ask = ask(key, Task::Change(change));
    loop {
        let reply = group.claim(index, &ask, LIMIT).await;
        match reply {
            Ok(Ok(report)) => return Ok(report),
            Ok(Err(refusal @ claim::Refusal::Claim(Failure::Refused(_)))) => return Err(refusal),
            other => assert!(time::Instant::now() < end, "not decided: {other:?}"),
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// What a fence of attempt 1 finds: `not run`, `held` (running or unknown) or `ran`.
pub async fn fate(group: &Group, index: usize, key: &Key) -> &'static str {
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
        other => panic!("{other:?}"),
    }
}

/// Number of the leader, if a control process knows one.
pub async fn leader(operator: SocketAddr) -> Option<u64> {
    let request = Request {
        statement: "show members".to_owned(),
        command: None,
        operator: "test".to_owned(),
    };
    let client = Client::new(vec![operator], LIMIT);
    let answer = client.send(&request).await.ok()?;
    let leads = |row: &&Vec<Cell>| row.contains(&Cell::Flag(true));
    match answer.rows.iter().find(leads)?.first() {
        Some(Cell::Count(number)) => Some(*number),
        _ => None,
    }
}
