//! Frames and calls between processes.

use std::io::Cursor;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

use shallotrill_feed::frame;
use shallotrill_feed::frame::Error;
use shallotrill_feed::link;
use shallotrill_feed::link::Link;
use shallotrill_feed::message::Reply;
use shallotrill_feed::message::Request;
use shallotrill_feed::message::VERSION;
use shallotrill_feed::server;
use shallotrill_items::ballot::Ballot;
use shallotrill_wire::listen::Listener;

/// Longest wait of a test for something that must happen.
const LIMIT: Duration = Duration::from_secs(10);

struct Case {
    name: &'static str,
    bytes: &'static [u8],
    expected: fn(&Error) -> bool,
}

/// Guards against a process that allocates what a stranger claims, hangs on a cut frame, or misreads another release.
const CASES: &[Case] = &[
    Case {
        name: "nothing",
        bytes: b"",
        expected: |error| matches!(error, Error::Stream(_)),
    },
    Case {
        name: "cut in the length",
        bytes: &[9, 0],
        expected: |error| matches!(error, Error::Stream(_)),
    },
    Case {
        name: "cut in the body",
        bytes: &[9, 0, 0, 0, VERSION, 3],
        expected: |error| matches!(error, Error::Stream(_)),
    },
    Case {
        name: "longer than allowed",
        bytes: &[0, 0, 0, 0xFF],
        expected: |error| matches!(error, Error::Long(_)),
    },
    Case {
        name: "empty",
        bytes: &[0, 0, 0, 0],
        expected: |error| matches!(error, Error::Long(0)),
    },
    Case {
        name: "another version",
        bytes: &[2, 0, 0, 0, 9, 3],
        expected: |error| matches!(error, Error::Version(9)),
    },
    Case {
        name: "the version before, in which a view had the whole list",
        bytes: &[2, 0, 0, 0, 1, 3],
        expected: |error| matches!(error, Error::Version(1)),
    },
    Case {
        name: "another message",
        bytes: &[2, 0, 0, 0, VERSION, 0xFF],
        expected: |error| matches!(error, Error::Form(_)),
    },
    Case {
        name: "an HTTP request",
        bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        expected: |error| matches!(error, Error::Long(_)),
    },
];

#[tokio::test]
async fn bad_frames_are_refused() {
    for case in CASES {
        let read: Result<Reply, Error> = frame::read(&mut Cursor::new(case.bytes)).await;
        let error = read.expect_err(case.name);
        assert!((case.expected)(&error), "{}: {error}", case.name);
    }
}

/// Guards against a call that takes the reply of an earlier call that was given up.
#[tokio::test]
async fn a_call_that_was_given_up_leaves_no_reply_behind() {
    let listener = Listener::bind("127.0.0.1:0".parse().expect("address"))
        .await
        .expect("a port");
    let link = Link::new(listener.address());
    let (_stop, stopped) = watch::channel(false);
    let handler: server::Handler = Arc::new(|request| {
        Box::pin(async move {
            match request {
                Request::Prepare { ballot, .. } if ballot.round == 1 => {
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    Reply::Overtaken(ballot)
                }
                Request::Prepare { ballot, .. } => Reply::Overtaken(ballot),
                _ => Reply::Unable,
            }
        })
    });
    tokio::spawn(server::run(listener, 10, stopped, handler));
    let prepare = |round| Request::Prepare {
        ballot: Ballot {
            round,
            ..Ballot::default()
        },
        keys: Vec::new(),
    };
    let short = link.call(&prepare(1), Duration::from_millis(50)).await;
    assert!(matches!(short, Err(link::Error::Timeout(_))), "{short:?}");
    let next = link.call(&prepare(2), LIMIT).await;
    assert!(
        matches!(next, Ok(Reply::Overtaken(Ballot { round: 2, .. }))),
        "{next:?}"
    );
}

/// Guards against a link that stays unusable after its connection was closed.
#[tokio::test]
async fn a_link_connects_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::new(listener.local_addr().expect("an address"));
    tokio::spawn(async move {
        let (first, _) = listener.accept().await.expect("a connection");
        drop(first);
        let (mut second, _) = listener.accept().await.expect("a connection");
        let request: Result<Request, Error> = frame::read(&mut second).await;
        assert!(request.is_ok());
        frame::write(&mut second, &Reply::Done).await.expect("sent");
        second.flush().await.expect("sent");
        std::future::pending::<()>().await;
    });
    let request = Request::Prepare {
        ballot: Ballot::default(),
        keys: Vec::new(),
    };
    assert!(link.call(&request, LIMIT).await.is_err());
    assert!(matches!(link.call(&request, LIMIT).await, Ok(Reply::Done)));
}
