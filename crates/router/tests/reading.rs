//! Reading of items from several registry processes.

use shallotrill_router::reading::Progress;
use shallotrill_router::reading::Stated;

/// A reply: hash and revision of the process, whether its items were read, and the hash of the router afterwards.
type Reply = (u64, u64, bool, u64);

struct Case {
    name: &'static str,
    replies: &'static [Reply],
    differs: bool,
    revision: u64,
}

/// Guards against items that are read again and again from a process that lags behind, which keeps the router from
/// reading newer ones elsewhere, and against newer items that are never read.
const CASES: &[Case] = &[
    Case {
        name: "the same items",
        replies: &[(7, 3, false, 7)],
        differs: false,
        revision: 3,
    },
    Case {
        name: "other items that were not read yet",
        replies: &[(8, 4, false, 7)],
        differs: true,
        revision: 0,
    },
    Case {
        name: "newer items that were read",
        replies: &[(8, 4, false, 7), (8, 4, true, 8)],
        differs: false,
        revision: 4,
    },
    Case {
        name: "newer items that another process sent first",
        replies: &[(8, 4, false, 7), (8, 4, false, 8)],
        differs: false,
        revision: 4,
    },
    Case {
        name: "a process that lags behind and was read once",
        replies: &[(6, 2, false, 7), (6, 2, true, 7), (6, 2, false, 7)],
        differs: false,
        revision: 2,
    },
    Case {
        name: "a process that lags behind and has changed since it was read",
        replies: &[(6, 2, true, 7), (9, 3, false, 7)],
        differs: true,
        revision: 2,
    },
    Case {
        name: "a process that did not know what is in force and sent nothing",
        replies: &[(8, 4, false, 0), (8, 4, false, 7)],
        differs: true,
        revision: 0,
    },
];

#[test]
fn items_are_read_while_they_are_news() {
    for case in CASES {
        let mut progress = Progress::default();
        for &(hash, revision, was_read, own_hash) in case.replies {
            let stated = Stated {
                hash,
                revision,
                was_read,
            };
            progress.record(stated, own_hash);
        }
        assert_eq!(progress.differs(), case.differs, "{}", case.name);
        assert_eq!(progress.revision(), case.revision, "{}", case.name);
    }
}
