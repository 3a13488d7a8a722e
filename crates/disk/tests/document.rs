//! Tests of a document: torn files, failed writes and a replaced disk.

use std::fs;
use std::io;

use tempfile::TempDir;

use shallotrill_disk::calls::IoCalls;
use shallotrill_disk::document::Document;
use shallotrill_disk::identity::Identity;

const IDENTITY: Identity = Identity(7);

struct Case {
    name: &'static str,
    /// Changes the bytes of the file.
    corrupt: fn(&mut Vec<u8>),
}

/// Guards against content that is accepted although a part of it is missing, was changed or belongs to another disk.
const CASES: &[Case] = &[
    Case {
        name: "emptied",
        corrupt: Vec::clear,
    },
    Case {
        name: "truncated at the end",
        corrupt: |bytes| bytes.truncate(bytes.len() - 1),
    },
    Case {
        name: "truncated in the header",
        corrupt: |bytes| bytes.truncate(10),
    },
    Case {
        name: "a byte of the content changed",
        corrupt: |bytes| bytes[30] ^= 1,
    },
    Case {
        name: "the identity changed",
        corrupt: |bytes| bytes[12] ^= 1,
    },
    Case {
        name: "bytes added",
        corrupt: |bytes| bytes.push(0),
    },
];

#[test]
fn corruption_is_detected() {
    for case in CASES {
        let folder = TempDir::new().expect(case.name);
        let document = Document::new(folder.path(), "state", IDENTITY, IoCalls::default());
        assert_eq!(document.read().expect(case.name), None, "{}", case.name);
        document.write(b"content").expect(case.name);
        let path = folder.path().join("state");
        let mut bytes = fs::read(&path).expect(case.name);
        (case.corrupt)(&mut bytes);
        fs::write(&path, bytes).expect(case.name);
        assert!(document.read().is_err(), "{}", case.name);
    }
}

struct FailedWrite {
    name: &'static str,
    calls: fn() -> IoCalls,
}

/// Guards against a failed write that removes the previous content.
const FAILED_WRITES: &[FailedWrite] = &[
    FailedWrite {
        name: "full disk",
        calls: || IoCalls {
            write: Box::new(|_, _, _| Err(io::ErrorKind::StorageFull.into())),
            ..IoCalls::default()
        },
    },
    FailedWrite {
        name: "failed sync",
        calls: || IoCalls {
            sync: Box::new(|_| Err(io::Error::other("sync"))),
            ..IoCalls::default()
        },
    },
];

#[test]
fn failed_writes_keep_the_content() {
    for case in FAILED_WRITES {
        let folder = TempDir::new().expect(case.name);
        let working = Document::new(folder.path(), "state", IDENTITY, IoCalls::default());
        working.write(b"first").expect(case.name);
        let failing = Document::new(folder.path(), "state", IDENTITY, (case.calls)());
        assert!(failing.write(b"second").is_err(), "{}", case.name);
        let content = working.read().expect(case.name);
        assert_eq!(content.as_deref(), Some(&b"first"[..]), "{}", case.name);
    }
}

/// Guards against a document of another disk that is accepted as a document of this disk.
#[test]
fn another_disk_is_detected() {
    let folder = TempDir::new().expect("folder");
    let document = Document::new(folder.path(), "state", IDENTITY, IoCalls::default());
    document.write(b"content").expect("written");
    let other = Document::new(folder.path(), "state", Identity(8), IoCalls::default());
    assert!(other.read().is_err());
}
