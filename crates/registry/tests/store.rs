//! Documents in the data folder of a registry process.

use std::os::unix::fs::FileExt;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tempfile::TempDir;
use tokio::runtime::Runtime;

use shallotrill_disk::calls::IoCalls;
use shallotrill_disk::document::Document;
use shallotrill_disk::failure::Failure;
use shallotrill_disk::folder::Folder;
use shallotrill_items::ballot::Ballot;
use shallotrill_items::ballot::Identity;
use shallotrill_items::item::Item;
use shallotrill_items::item::Key;
use shallotrill_items::item::Kind;
use shallotrill_items::replica::Proposed;
use shallotrill_items::replica::Replica;
use shallotrill_registry::store;
use shallotrill_registry::store::Content;
use shallotrill_registry::store::Revisions;

/// Time that a write to the slow disk of a test takes.
const WRITE_TIME: Duration = Duration::from_millis(100);

fn replica() -> Replica {
    let mut replica = Replica::default();
    let key = Key {
        kind: Kind::Route,
        name: "r".into(),
    };
    let item = Arc::new(Item {
        version: 3,
        ..Item::absent(key)
    });
    let ballot = Ballot {
        round: 1,
        proposer: Identity(1),
    };
    replica
        .accept(ballot, &[Proposed::unchanged(Arc::clone(&item))])
        .expect("accepted");
    replica.commit(ballot, &[item]);
    replica
}

struct Case {
    name: &'static str,
    /// Bytes at the end of the encoded content that the document lacks.
    missing_bytes: usize,
    /// Whether the content is read.
    remembered: bool,
}

/// Guards against a release that does not read the registers of the one before it: after an upgrade of all processes
/// every item would be gone.
const CASES: &[Case] = &[
    Case {
        name: "this release",
        missing_bytes: 0,
        remembered: true,
    },
    Case {
        name: "the release without a list of proposals",
        missing_bytes: 1,
        remembered: true,
    },
    Case {
        name: "an unknown format",
        missing_bytes: 4,
        remembered: false,
    },
];

#[tokio::test]
async fn registers_of_an_earlier_release_are_read() {
    for case in CASES {
        let folder = TempDir::new().expect("a temporary folder");
        let content = Content {
            founder: true,
            replica: replica(),
        };
        assert_eq!(content.replica.proposals_since(0), []);
        let mut bytes = store::encode(&content);
        bytes.truncate(bytes.len() - case.missing_bytes);
        let opened = Folder::open(folder.path()).expect("a data folder");
        let calls = IoCalls::default();
        Document::new(folder.path(), "registers", opened.identity(), calls)
            .write(&bytes)
            .expect("written");
        drop(opened);
        let opened = store::open(folder.path()).await;
        let expected = case.remembered.then_some(content);
        assert_eq!(opened.content, expected, "{}", case.name);
    }
}

/// Guards against a damaged document, with which a process never starts again: a call that is dropped leaves a write
/// behind that goes on, and the next call writes the same temporary file.
#[tokio::test]
async fn a_dropped_call_leaves_a_write_that_overlaps_the_next() {
    let folder = TempDir::new().expect("a temporary folder");
    let opened = Folder::open(folder.path()).expect("a data folder");
    let writing = Arc::new(AtomicUsize::new(0));
    let most = Arc::new(AtomicUsize::new(0));
    let (begun, ended) = (Arc::clone(&writing), Arc::clone(&writing));
    let observed = Arc::clone(&most);
    let calls = IoCalls {
        // The first of the three parts of a document begins a write.
        write: Box::new(move |file, bytes, offset| {
            if offset == 0 {
                let writes = begun.fetch_add(1, Ordering::SeqCst) + 1;
                observed.fetch_max(writes, Ordering::SeqCst);
                std::thread::sleep(WRITE_TIME);
            }
            file.write_at(bytes, offset)
        }),
        // The file is synced, and then its folder.
        sync: Box::new(move |file| {
            if file.metadata()?.is_dir() {
                ended.fetch_sub(1, Ordering::SeqCst);
            }
            file.sync_data()
        }),
        ..IoCalls::default()
    };
    let document = || Document::new(folder.path(), "d", opened.identity(), IoCalls::default());
    let written = Document::new(folder.path(), "d", opened.identity(), calls);
    let revisions = Arc::new(Revisions::new(written));
    let persist = |revision: u64| {
        let revisions = Arc::clone(&revisions);
        async move {
            let content = move || (revision, vec![revision as u8; 100]);
            revisions.persist(revision, &content).await
        }
    };
    for revision in 1..6 {
        let dropped = tokio::spawn(persist(2 * revision));
        while writing.load(Ordering::SeqCst) == 0 {
            tokio::time::sleep(WRITE_TIME / 20).await;
        }
        dropped.abort();
        persist(2 * revision + 1).await.expect("written");
        let read = document().read().expect("a sound document");
        assert_eq!(read, Some(vec![2 * revision as u8 + 1; 100]));
    }
    assert_eq!(most.load(Ordering::SeqCst), 1);
}

/// Guards against a registry process that ends with a panic because a write is due while its runtime shuts down.
#[test]
fn a_write_that_is_due_during_shutdown_fails_without_a_panic() {
    let folder = TempDir::new().expect("a temporary folder");
    let opened = Folder::open(folder.path()).expect("a data folder");
    let document = Document::new(folder.path(), "d", opened.identity(), IoCalls::default());
    let revisions = Revisions::new(document);
    let runtime = Runtime::new().expect("a runtime");
    let handle = runtime.handle().clone();
    runtime.shutdown_background();
    let content = || (1, vec![1; 100]);
    let written = handle.block_on(revisions.persist(1, &content));
    assert!(matches!(written, Err(Failure::Stopping)), "{written:?}");
}
