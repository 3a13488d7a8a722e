//! A document on a disk that tears, refuses and is exchanged.

use std::fs;
use std::io;

use tempfile::TempDir;

use shallotrill_disk::calls::Calls;
use shallotrill_disk::document::Document;
use shallotrill_disk::identity::Identity;

const IDENTITY: Identity = Identity(7);

struct Case {
    name: &'static str,
    /// Changes the bytes of the file.
    damage: fn(&mut Vec<u8>),
}

/// Guards against content that is taken although a part of it is missing, changed or of another disk.
const CASES: &[Case] = &[
    Case {
        name: "emptied",
        damage: Vec::clear,
    },
    Case {
        name: "cut at the end",
        damage: |bytes| bytes.truncate(bytes.len() - 1),
    },
    Case {
        name: "cut in the header",
        damage: |bytes| bytes.truncate(10),
    },
    Case {
        name: "a byte of the content changed",
        damage: |bytes| bytes[30] ^= 1,
    },
    Case {
        name: "the identity changed",
        damage: |bytes| bytes[12] ^= 1,
    },
    Case {
        name: "bytes added",
        damage: |bytes| bytes.push(0),
    },
];

#[test]
fn damage_is_noticed() {
    for case in CASES {
        let folder = TempDir::new().expect(case.name);
        let document = Document::new(folder.path(), "state", IDENTITY, Calls::default());
        assert_eq!(document.read().expect(case.name), None, "{}", case.name);
        document.write(b"content").expect(case.name);
        let path = folder.path().join("state");
        let mut bytes = fs::read(&path).expect(case.name);
        (case.damage)(&mut bytes);
        fs::write(&path, bytes).expect(case.name);
        assert!(document.read().is_err(), "{}", case.name);
    }
}

struct Refusal {
    name: &'static str,
    calls: fn() -> Calls,
}

/// Guards against a refused write that takes the earlier content away.
const REFUSALS: &[Refusal] = &[
    Refusal {
        name: "full disk",
        calls: || Calls {
            write: Box::new(|_, _, _| Err(io::ErrorKind::StorageFull.into())),
            ..Calls::default()
        },
    },
    Refusal {
        name: "failed sync",
        calls: || Calls {
            sync: Box::new(|_| Err(io::Error::other("sync"))),
            ..Calls::default()
        },
    },
];

#[test]
fn refused_writes_keep_the_content() {
    for case in REFUSALS {
        let folder = TempDir::new().expect(case.name);
        let good = Document::new(folder.path(), "state", IDENTITY, Calls::default());
        good.write(b"first").expect(case.name);
        let bad = Document::new(folder.path(), "state", IDENTITY, (case.calls)());
        assert!(bad.write(b"second").is_err(), "{}", case.name);
        let content = good.read().expect(case.name);
        assert_eq!(content.as_deref(), Some(&b"first"[..]), "{}", case.name);
    }
}

/// Guards against a document of another disk that is taken for the own one.
#[test]
fn another_disk_is_noticed() {
    let folder = TempDir::new().expect("folder");
    let document = Document::new(folder.path(), "state", IDENTITY, Calls::default());
    document.write(b"content").expect("written");
    let other = Document::new(folder.path(), "state", Identity(8), Calls::default());
    assert!(other.read().is_err());
}
