//! Documents in the data folder of a registry process.

use std::sync::Arc;

use tempfile::TempDir;

use shallotrill_disk::calls::IoCalls;
use shallotrill_disk::document::Document;
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
            votes: true,
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
