//! Tests of corruption that is detected when a journal is opened.

mod common;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use crate::common::NAME;
use crate::common::fill;
use crate::common::open;
use shallotrill_disk::failure::Corruption;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::folder::Folder;
use shallotrill_disk::journal::Config;

/// Size of a frame. The journal has three segments with 7, 7 and 6 frames of 57 bytes after a header of 48 bytes.
const FRAME: usize = 57;
const HEADER: usize = 48;

struct Case {
    name: &'static str,
    corrupt: fn(&Path),
    expected: fn(&Failure) -> bool,
}

fn segment(folder: &Path, number: u64) -> PathBuf {
    folder.join(NAME).join(format!("{number:016x}.log"))
}

fn edit(path: &Path, change: impl FnOnce(&mut Vec<u8>)) {
    let mut bytes = fs::read(path).expect("file");
    change(&mut bytes);
    fs::write(path, bytes).expect("write");
}

fn is_checksum_damage(failure: &Failure, name: &str, expected_offset: usize) -> bool {
    matches!(failure, Failure::Damaged { path, offset, damage: Corruption::Checksum }
        if path.ends_with(name) && *offset == expected_offset as u64)
}

/// Guards against a start with lost acknowledged frames or with data of another disk.
const REFUSED: &[Case] = &[
    Case {
        name: "bit flip in a body, followed by valid frames",
        corrupt: |folder| edit(&segment(folder, 3), |b| b[HEADER + FRAME + 20] ^= 1),
        expected: |f| is_checksum_damage(f, "0000000000000003.log", HEADER + FRAME),
    },
    Case {
        name: "bit flip in a length, followed by valid frames",
        corrupt: |folder| edit(&segment(folder, 3), |b| b[HEADER + FRAME + 2] ^= 8),
        expected: |f| is_checksum_damage(f, "0000000000000003.log", HEADER + FRAME),
    },
    Case {
        name: "last frame of an earlier segment torn",
        corrupt: |folder| edit(&segment(folder, 1), |b| b.truncate(HEADER + 7 * FRAME - 3)),
        expected: |f| is_checksum_damage(f, "0000000000000001.log", HEADER + 6 * FRAME),
    },
    Case {
        name: "bit flip in a segment header",
        corrupt: |folder| edit(&segment(folder, 2), |b| b[30] ^= 1),
        expected: |f| is_checksum_damage(f, "0000000000000002.log", HEADER - 4),
    },
    Case {
        name: "unknown magic number",
        corrupt: |folder| edit(&segment(folder, 1), |b| b[0] = 0),
        expected: |f| {
            matches!(
                f,
                Failure::Damaged {
                    damage: Corruption::Magic,
                    offset: 0,
                    ..
                }
            )
        },
    },
    Case {
        name: "segment truncated within its header",
        corrupt: |folder| edit(&segment(folder, 3), |b| b.truncate(20)),
        expected: |f| {
            matches!(
                f,
                Failure::Damaged {
                    damage: Corruption::Short,
                    offset: 20,
                    ..
                }
            )
        },
    },
    Case {
        name: "frame repeated",
        corrupt: |folder| {
            edit(&segment(folder, 3), |b| {
                b.copy_within(HEADER..HEADER + FRAME, HEADER + FRAME);
            });
        },
        expected: |f| {
            matches!(
                f,
                Failure::Damaged {
                    damage: Corruption::Order { .. },
                    ..
                }
            )
        },
    },
    Case {
        name: "first segment missing",
        corrupt: |folder| fs::remove_file(segment(folder, 1)).expect("remove"),
        expected: |f| matches!(f, Failure::Missing { segment: 1, .. }),
    },
    Case {
        name: "middle segment missing",
        corrupt: |folder| fs::remove_file(segment(folder, 2)).expect("remove"),
        expected: |f| matches!(f, Failure::Missing { segment: 2, .. }),
    },
    Case {
        name: "last segment missing",
        corrupt: |folder| fs::remove_file(segment(folder, 3)).expect("remove"),
        expected: |f| matches!(f, Failure::Missing { segment: 3, .. }),
    },
    Case {
        name: "segments swapped",
        corrupt: |folder| {
            let other = folder.join("other");
            fs::rename(segment(folder, 1), &other).expect("rename");
            fs::rename(segment(folder, 2), segment(folder, 1)).expect("rename");
            fs::rename(&other, segment(folder, 2)).expect("rename");
        },
        expected: |f| {
            matches!(
                f,
                Failure::Swapped {
                    expected: 1,
                    found: 2,
                    ..
                }
            )
        },
    },
    Case {
        name: "identity replaced",
        corrupt: |folder| {
            let other = tempfile::tempdir().expect("folder");
            drop(Folder::open(other.path()).expect("folder"));
            fs::copy(other.path().join("identity"), folder.join("identity")).expect("copy");
        },
        expected: |f| matches!(f, Failure::WrongIdentity { .. }),
    },
    Case {
        name: "identity lost",
        corrupt: |folder| fs::remove_file(folder.join("identity")).expect("remove"),
        expected: |f| matches!(f, Failure::NoIdentity { .. }),
    },
    Case {
        name: "bit flip in the identity",
        corrupt: |folder| edit(&folder.join("identity"), |b| b[14] ^= 1),
        expected: |f| {
            matches!(
                f,
                Failure::Damaged {
                    damage: Corruption::Checksum,
                    offset: 28,
                    ..
                }
            )
        },
    },
    Case {
        name: "segment of a later format",
        corrupt: |folder| edit(&segment(folder, 2), |b| b[8] = 9),
        expected: |f| {
            matches!(
                f,
                Failure::Damaged {
                    offset: 8,
                    damage: Corruption::Version(9),
                    ..
                }
            )
        },
    },
    Case {
        name: "snapshot of a later format",
        corrupt: |folder| {
            let mut bytes = b"SHTRSNAP".to_vec();
            bytes.extend_from_slice(&9_u32.to_le_bytes());
            bytes.resize(100, 0);
            fs::write(folder.join(NAME).join("snapshot"), bytes).expect("write");
        },
        expected: |f| {
            matches!(
                f,
                Failure::Damaged {
                    offset: 8,
                    damage: Corruption::Version(9),
                    ..
                }
            )
        },
    },
    Case {
        name: "identity of a later format",
        corrupt: |folder| edit(&folder.join("identity"), |b| b[8] = 9),
        expected: |f| {
            matches!(
                f,
                Failure::Damaged {
                    damage: Corruption::Version(9),
                    ..
                }
            )
        },
    },
];

/// Guards against a refusal to start after a crash that tore only unacknowledged frames. Cases: name, size of the last
/// segment, number of remaining frames.
const TORN: &[(&str, usize, u64)] = &[
    ("all frames complete", HEADER + 6 * FRAME, 20),
    ("last byte missing", HEADER + 6 * FRAME - 1, 19),
    ("body missing", HEADER + 5 * FRAME + 17, 19),
    ("torn within a frame header", HEADER + 5 * FRAME + 3, 19),
    ("two frames missing", HEADER + 4 * FRAME, 18),
    ("no frame after the segment header", HEADER, 14),
];

async fn prepare(path: &Path) {
    let folder = Folder::open(path).expect("folder");
    let (journal, _) = open(&folder, Config::default()).expect("journal");
    fill(&journal, 1, 20).await.expect("durable");
}

#[tokio::test]
async fn damage_is_refused() {
    for case in REFUSED {
        let folder = tempfile::tempdir().expect("folder");
        prepare(folder.path()).await;
        (case.corrupt)(folder.path());
        let result = Folder::open(folder.path()).and_then(|f| open(&f, Config::default()));
        match result {
            Ok((_, replayed)) => panic!("{}: the journal was opened with {replayed:?}", case.name),
            Err(failure) => assert!((case.expected)(&failure), "{}: {failure}", case.name),
        }
    }
}

#[tokio::test]
async fn torn_end_is_truncated() {
    for (name, size, frames) in TORN {
        let path = tempfile::tempdir().expect("folder");
        prepare(path.path()).await;
        edit(&segment(path.path(), 3), |bytes| bytes.truncate(*size));
        let folder = Folder::open(path.path()).expect("folder");
        let (journal, replayed) = open(&folder, Config::default()).expect(name);
        assert_eq!(replayed.frames, (1..=*frames).collect::<Vec<_>>(), "{name}");
        fill(&journal, frames + 1, 30).await.expect("durable");
        drop(journal);
        let (_, replayed) = open(&folder, Config::default()).expect(name);
        assert_eq!(
            replayed.frames,
            (1..=30).collect::<Vec<_>>(),
            "{name}, appended"
        );
    }
}

/// Guards against two processes that write to the same journal.
#[test]
fn folder_is_locked() {
    let path = tempfile::tempdir().expect("folder");
    let first = Folder::open(path.path()).expect("folder");
    let second = Folder::open(path.path());
    assert!(matches!(second, Err(Failure::Locked { .. })), "{second:?}");
    let identity = first.identity();
    drop(first);
    let again = Folder::open(path.path()).expect("folder");
    assert_eq!(again.identity(), identity);
}
