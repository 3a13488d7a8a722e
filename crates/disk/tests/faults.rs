//! Faults of the operating system while a journal works.

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
use shallotrill_disk::calls::Calls;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::failure::Operation;
use shallotrill_disk::folder::Folder;
use shallotrill_disk::journal::Config;
use shallotrill_disk::journal::Journal;
use shallotrill_disk::position::Position;
use shallotrill_disk::refusal::Refusal;

/// Whether the fault is on.
type Switch = Arc<AtomicBool>;

struct Case {
    name: &'static str,
    calls: fn(Switch) -> Calls,
    /// The operation that stops the journal, or none when it goes on.
    stops: Option<Operation>,
}

fn code(on: &Switch, code: i32) -> io::Result<()> {
    if on.load(Ordering::SeqCst) {
        return Err(io::Error::from_raw_os_error(code));
    }
    Ok(())
}

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

/// Calls whose writes go through `fault` while it is on.
fn writes(on: Switch, fault: fn(&File, &[u8], u64) -> io::Result<usize>) -> Calls {
    let write = move |file: &File, bytes: &[u8], offset| {
        if on.load(Ordering::SeqCst) {
            return fault(file, bytes, offset);
        }
        file.write_at(bytes, offset)
    };
    Calls {
        write: Box::new(write),
        ..Calls::default()
    }
}

/// Calls whose syncs fail while the fault is on.
fn syncs(on: Switch) -> Calls {
    Calls {
        sync: Box::new(move |file| code(&on, EIO).and_then(|()| file.sync_data())),
        ..Calls::default()
    }
}

/// Guards against an acknowledgement after a failed write or sync, and against a stop without need.
const CASES: &[Case] = &[
    Case {
        name: "short writes",
        calls: |on| writes(on, |f, b, at| f.write_at(&b[..b.len().min(5)], at)),
        stops: None,
    },
    Case {
        name: "write error",
        calls: |on| writes(on, |_, _, _| Err(io::Error::from_raw_os_error(EIO))),
        stops: Some(Operation::Write),
    },
    Case {
        name: "nothing written",
        calls: |on| writes(on, |_, _, _| Ok(0)),
        stops: Some(Operation::Write),
    },
    Case {
        name: "no space in spite of the reservation",
        calls: |on| writes(on, |_, _, _| Err(io::Error::from_raw_os_error(ENOSPC))),
        stops: Some(Operation::Write),
    },
    Case {
        name: "sync error",
        calls: syncs,
        stops: Some(Operation::Sync),
    },
];

fn operation(result: &Result<(), Refusal>) -> Option<Operation> {
    match result {
        Err(Refusal::Failed(Failure::Io { operation, .. })) => Some(*operation),
        _ => None,
    }
}

#[tokio::test]
async fn faults_stop_the_journal_or_pass() {
    for case in CASES {
        let path = tempfile::tempdir().expect("folder");
        let folder = Folder::open(path.path()).expect("folder");
        let on = Switch::default();
        let calls = (case.calls)(Arc::clone(&on));
        let (journal, _) = open(&folder, Config::default().calls(calls)).expect(case.name);
        fill(&journal, 1, 10).await.expect(case.name);
        on.store(true, Ordering::SeqCst);
        let result = fill(&journal, 11, 11).await;
        assert_eq!(operation(&result), case.stops, "{}: {result:?}", case.name);
        on.store(false, Ordering::SeqCst);
        // A journal that has failed stays so after the fault is gone.
        let later = fill(&journal, 12, 12).await;
        assert_eq!(operation(&later), case.stops, "{}, later", case.name);
        let append = journal.append(KIND, &body(13)).map(drop);
        assert_eq!(operation(&append), case.stops, "{}, append", case.name);
        drop(journal);
        let (_, seen) = open(&folder, Config::default()).expect(case.name);
        let least = if case.stops.is_some() { 10 } else { 12 };
        assert!(seen.frames.len() >= least, "{}: {seen:?}", case.name);
    }
}

/// Guards against a full disk that loses accepted frames or stops the journal for good.
#[tokio::test]
async fn full_disk_refuses_and_recovers() {
    let path = tempfile::tempdir().expect("folder");
    let folder = Folder::open(path.path()).expect("folder");
    let on = Switch::default();
    let full = Arc::clone(&on);
    let reserve = Calls::default().reserve;
    let calls = Calls {
        reserve: Box::new(move |file, size| {
            code(&full, ENOSPC)?;
            reserve(file, size)
        }),
        ..Calls::default()
    };
    let (journal, _) = open(&folder, Config::default().calls(calls)).expect("journal");
    fill(&journal, 1, 8).await.expect("durable");
    on.store(true, Ordering::SeqCst);
    let (accepted, attempt) = append_until_full(&journal, 9).await;
    journal
        .durable(Position(accepted))
        .await
        .expect("accepted frames are durable");
    on.store(false, Ordering::SeqCst);
    // The refused append made the writer ask again, perhaps before space returned.
    let again = journal.append(KIND, &body(accepted + 1));
    assert!(
        matches!(again, Err(Refusal::Full { .. }) | Ok(_)),
        "{again:?}"
    );
    journal.space(attempt).await.expect("space");
    let from = accepted + 1 + u64::from(again.is_ok());
    while let Err(Refusal::Full { attempt, .. }) = fill(&journal, from, from).await {
        journal.space(attempt).await.expect("space");
    }
    drop(journal);
    let (_, seen) = open(&folder, Config::default()).expect("journal");
    assert_eq!(seen.frames, (1..=from).collect::<Vec<_>>());
}

async fn append_until_full(journal: &Journal, from: u64) -> (u64, u64) {
    for number in from.. {
        match fill(journal, number, number).await {
            Ok(()) => assert!(number < 100, "a full disk still takes appends"),
            Err(Refusal::Full { attempt, .. }) => return (number - 1, attempt),
            Err(refusal) => panic!("{refusal}"),
        }
    }
    unreachable!("the range has no end")
}

/// Guards against segments dropped before the snapshot that replaces them is durable.
#[tokio::test]
async fn segments_are_dropped_after_the_snapshot() {
    for fails in [false, true] {
        let path = tempfile::tempdir().expect("folder");
        let folder = Folder::open(path.path()).expect("folder");
        let on = Switch::default();
        let calls = syncs(Arc::clone(&on));
        let (journal, _) = open(&folder, Config::default().calls(calls)).expect("journal");
        fill(&journal, 1, 20).await.expect("durable");
        on.store(fails, Ordering::SeqCst);
        let result = journal.snapshot(Position(16), b"state");
        let failed = matches!(result, Err(Refusal::Snapshot(_)));
        assert_eq!((failed, result.is_ok()), (fails, !fails), "{result:?}");
        on.store(false, Ordering::SeqCst);
        let early = journal.snapshot(Position(21), b"early");
        assert!(
            matches!(early, Err(Refusal::NotDurable { .. })),
            "{early:?}"
        );
        drop(journal);
        let (_, seen) = open(&folder, Config::default()).expect("journal");
        let first = if fails { 1 } else { 17 };
        assert_eq!(seen.frames, (first..=20).collect::<Vec<_>>());
        assert_eq!(seen.snapshot.is_some(), !fails);
        let segments = fs::read_dir(path.path().join(NAME)).expect("folder");
        let logs = segments.filter(|e| {
            e.as_ref()
                .is_ok_and(|e| e.path().extension().is_some_and(|e| e == "log"))
        });
        assert_eq!(logs.count(), if fails { 3 } else { 1 });
    }
}

/// Guards against a journal that hangs, or loses the last frame, when it closes right after an append.
#[test]
fn closing_writes_what_is_pending() {
    let path = tempfile::tempdir().expect("folder");
    let folder = Folder::open(path.path()).expect("folder");
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    for number in 1..=100 {
        let (journal, seen) = open(&folder, Config::default()).expect("journal");
        assert_eq!(seen.frames.len(), number - 1);
        while let Err(refusal) = journal.append(KIND, &body(number as u64)) {
            let Refusal::Busy { attempt, .. } = refusal else {
                panic!("{refusal}");
            };
            runtime.block_on(journal.space(attempt)).expect("space");
        }
    }
}
