//! Tests of system calls that fail while a journal is in use.

mod common;

use std::fs;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::runtime::Builder;

use crate::common::KIND;
use crate::common::NAME;
use crate::common::body;
use crate::common::fill;
use crate::common::open;
use shallotrill_disk::calls::IoCalls;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::failure::Operation;
use shallotrill_disk::folder::Folder;
use shallotrill_disk::journal::Config;
use shallotrill_disk::journal::Journal;
use shallotrill_disk::position::Position;
use shallotrill_disk::refusal::Refusal;

/// Whether the fault is injected.
type FaultSwitch = Arc<AtomicBool>;

struct Case {
    name: &'static str,
    calls: fn(FaultSwitch) -> IoCalls,
    /// The failed operation that stops the journal; `None` when the journal continues.
    stopped_by: Option<Operation>,
}

fn fail_if(fault_active: &FaultSwitch, errno: i32) -> io::Result<()> {
    if fault_active.load(Ordering::SeqCst) {
        return Err(io::Error::from_raw_os_error(errno));
    }
    Ok(())
}

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// System calls whose writes are replaced by `fault` while it is injected.
fn faulty_writes(
    fault_active: FaultSwitch,
    fault: fn(&File, &[u8], u64) -> io::Result<usize>,
) -> IoCalls {
    let write = move |file: &File, bytes: &[u8], offset| {
        if fault_active.load(Ordering::SeqCst) {
            return fault(file, bytes, offset);
        }
        file.write_at(bytes, offset)
    };
    IoCalls {
        write: Box::new(write),
        ..IoCalls::default()
    }
}

/// System calls whose syncs fail while the fault is injected.
fn faulty_syncs(fault_active: FaultSwitch) -> IoCalls {
    IoCalls {
        sync: Box::new(move |file| fail_if(&fault_active, EIO).and_then(|()| file.sync_data())),
        ..IoCalls::default()
    }
}

/// Guards against an acknowledgement after a failed write or sync, and against an unnecessary stop of the journal.
const CASES: &[Case] = &[
    Case {
        name: "short writes",
        calls: |fault_active| {
            faulty_writes(fault_active, |f, b, offset| {
                f.write_at(&b[..b.len().min(5)], offset)
            })
        },
        stopped_by: None,
    },
    Case {
        name: "write error",
        calls: |fault_active| {
            faulty_writes(fault_active, |_, _, _| {
                Err(io::Error::from_raw_os_error(EIO))
            })
        },
        stopped_by: Some(Operation::Write),
    },
    Case {
        name: "write of zero bytes",
        calls: |fault_active| faulty_writes(fault_active, |_, _, _| Ok(0)),
        stopped_by: Some(Operation::Write),
    },
    Case {
        name: "no space despite the reservation",
        calls: |fault_active| {
            faulty_writes(fault_active, |_, _, _| {
                Err(io::Error::from_raw_os_error(ENOSPC))
            })
        },
        stopped_by: Some(Operation::Write),
    },
    Case {
        name: "sync error",
        calls: faulty_syncs,
        stopped_by: Some(Operation::Sync),
    },
];

fn operation(result: &Result<(), Refusal>) -> Option<Operation> {
    match result {
        Err(Refusal::Failed(Failure::Io { operation, .. })) => Some(*operation),
        _ => None,
    }
}

#[tokio::test]
async fn faults_stop_the_journal_or_are_tolerated() {
    for case in CASES {
        let path = tempfile::tempdir().expect("folder");
        let folder = Folder::open(path.path()).expect("folder");
        let fault_active = FaultSwitch::default();
        let calls = (case.calls)(Arc::clone(&fault_active));
        let (journal, _) = open(&folder, Config::default().calls(calls)).expect(case.name);
        fill(&journal, 1, 10).await.expect(case.name);
        fault_active.store(true, Ordering::SeqCst);
        let result = fill(&journal, 11, 11).await;
        assert_eq!(
            operation(&result),
            case.stopped_by,
            "{}: {result:?}",
            case.name
        );
        fault_active.store(false, Ordering::SeqCst);
        // A failed journal remains failed after the fault has ended.
        let later = fill(&journal, 12, 12).await;
        assert_eq!(operation(&later), case.stopped_by, "{}, later", case.name);
        let append = journal.append(KIND, &body(13)).map(drop);
        assert_eq!(operation(&append), case.stopped_by, "{}, append", case.name);
        drop(journal);
        let (_, replayed) = open(&folder, Config::default()).expect(case.name);
        let frames_min = if case.stopped_by.is_some() { 10 } else { 12 };
        assert!(
            replayed.frames.len() >= frames_min,
            "{}: {replayed:?}",
            case.name
        );
    }
}

/// Guards against a full disk that loses accepted frames or stops the journal permanently.
#[tokio::test]
async fn full_disk_refuses_and_recovers() {
    let path = tempfile::tempdir().expect("folder");
    let folder = Folder::open(path.path()).expect("folder");
    let fault_active = FaultSwitch::default();
    let full = Arc::clone(&fault_active);
    let reserve = IoCalls::default().reserve;
    let calls = IoCalls {
        reserve: Box::new(move |file, size| {
            fail_if(&full, ENOSPC)?;
            reserve(file, size)
        }),
        ..IoCalls::default()
    };
    let (journal, _) = open(&folder, Config::default().calls(calls)).expect("journal");
    fill(&journal, 1, 8).await.expect("durable");
    fault_active.store(true, Ordering::SeqCst);
    let (accepted, attempt) = append_until_full(&journal, 9).await;
    journal
        .wait_durable(Position(accepted))
        .await
        .expect("accepted frames are durable");
    fault_active.store(false, Ordering::SeqCst);
    // The refused append made the writer retry the reservation, possibly before space was available again.
    let retried = journal.append(KIND, &body(accepted + 1));
    assert!(
        matches!(retried, Err(Refusal::Full { .. }) | Ok(_)),
        "{retried:?}"
    );
    journal.wait_for_space(attempt).await.expect("space");
    let from = accepted + 1 + u64::from(retried.is_ok());
    while let Err(Refusal::Full { attempt, .. }) = fill(&journal, from, from).await {
        journal.wait_for_space(attempt).await.expect("space");
    }
    drop(journal);
    let (_, replayed) = open(&folder, Config::default()).expect("journal");
    assert_eq!(replayed.frames, (1..=from).collect::<Vec<_>>());
}

async fn append_until_full(journal: &Journal, from: u64) -> (u64, u64) {
    for number in from.. {
        match fill(journal, number, number).await {
            Ok(()) => assert!(number < 100, "appends succeed although the disk is full"),
            Err(Refusal::Full { attempt, .. }) => return (number - 1, attempt),
            Err(refusal) => panic!("{refusal}"),
        }
    }
    unreachable!("the range has no end")
}

/// Guards against segments that are removed before the snapshot that replaces them is durable.
#[tokio::test]
async fn segments_are_removed_after_the_snapshot() {
    for sync_fails in [false, true] {
        let path = tempfile::tempdir().expect("folder");
        let folder = Folder::open(path.path()).expect("folder");
        let fault_active = FaultSwitch::default();
        let calls = faulty_syncs(Arc::clone(&fault_active));
        let (journal, _) = open(&folder, Config::default().calls(calls)).expect("journal");
        fill(&journal, 1, 20).await.expect("durable");
        fault_active.store(sync_fails, Ordering::SeqCst);
        let result = journal.snapshot(Position(16), b"state");
        let failed = matches!(result, Err(Refusal::Snapshot(_)));
        assert_eq!(
            (failed, result.is_ok()),
            (sync_fails, !sync_fails),
            "{result:?}"
        );
        fault_active.store(false, Ordering::SeqCst);
        let early = journal.snapshot(Position(21), b"early");
        assert!(
            matches!(early, Err(Refusal::NotDurable { .. })),
            "{early:?}"
        );
        drop(journal);
        let (_, replayed) = open(&folder, Config::default()).expect("journal");
        let first = if sync_fails { 1 } else { 17 };
        assert_eq!(replayed.frames, (first..=20).collect::<Vec<_>>());
        assert_eq!(replayed.snapshot.is_some(), !sync_fails);
        let entries = fs::read_dir(path.path().join(NAME)).expect("folder");
        let segments = entries.filter(|e| {
            e.as_ref()
                .is_ok_and(|e| e.path().extension().is_some_and(|e| e == "log"))
        });
        assert_eq!(segments.count(), if sync_fails { 3 } else { 1 });
    }
}

/// Guards against a journal that hangs or loses the last frame when it closes immediately after an append.
#[test]
fn closing_writes_queued_frames() {
    let path = tempfile::tempdir().expect("folder");
    let folder = Folder::open(path.path()).expect("folder");
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    for number in 1..=100 {
        let (journal, replayed) = open(&folder, Config::default()).expect("journal");
        assert_eq!(replayed.frames.len(), number - 1);
        while let Err(refusal) = journal.append(KIND, &body(number as u64)) {
            let Refusal::Busy { attempt, .. } = refusal else {
                panic!("{refusal}");
            };
            runtime
                .block_on(journal.wait_for_space(attempt))
                .expect("space");
        }
    }
}
