//! Test helpers: a journal with small segments and predictable frames.

use shallotrill_disk::failure::Failure;
use shallotrill_disk::folder::Folder;
use shallotrill_disk::journal::Config;
use shallotrill_disk::journal::Journal;
use shallotrill_disk::position::Position;
use shallotrill_disk::refusal::Refusal;
use shallotrill_disk::replay::Event;

pub const NAME: &str = "log";
/// Segment size in bytes, which is sufficient for seven frames of the tests.
pub const SEGMENT_BYTES: u64 = 512;
pub const KIND: u8 = 3;

/// Replayed snapshot and positions of the replayed frames.
#[derive(Debug, Default, PartialEq)]
pub struct Replayed {
    pub snapshot: Option<(Position, Vec<u8>)>,
    pub frames: Vec<u64>,
}

pub fn body(number: u64) -> Vec<u8> {
    number.to_le_bytes().repeat(5)
}

pub fn open(folder: &Folder, config: Config) -> Result<(Journal, Replayed), Failure> {
    let mut replayed = Replayed::default();
    let journal = Journal::open(
        folder,
        NAME,
        config.segment_bytes(SEGMENT_BYTES),
        &mut |event| match event {
            Event::Snapshot { covers, bytes } => replayed.snapshot = Some((covers, bytes.to_vec())),
            Event::Frame {
                position,
                kind,
                body: actual,
            } => {
                assert_eq!((kind, actual), (KIND, body(position.0).as_slice()));
                replayed.frames.push(position.0);
            }
        },
    )?;
    Ok((journal, replayed))
}

/// Appends frames `from..=to`, waiting for space, and waits until they are durable.
pub async fn fill(journal: &Journal, from: u64, to: u64) -> Result<(), Refusal> {
    for number in from..=to {
        let position = loop {
            match journal.append(KIND, &body(number)) {
                Err(Refusal::Busy { attempt, .. }) => journal.wait_for_space(attempt).await?,
                other => break other?,
            }
        };
        assert_eq!(position, Position(number));
    }
    journal.wait_durable(Position(to)).await
}
