//! Tests of frames and of calls between processes.

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
use shallotrill_items::voters;
use shallotrill_wire::listen::Listener;

/// Time limit for a call that is expected to get a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

struct Case {
    name: &'static str,
    bytes: &'static [u8],
    expected: fn(&Error) -> bool,
}

/// Guards against a process that allocates the length claimed by an unknown peer, waits forever for the rest of a
/// truncated frame, or misinterprets the messages of another release.
const CASES: &[Case] = &[
    Case {
        name: "no bytes",
        bytes: b"",
        expected: |error| matches!(error, Error::Stream(_)),
    },
    Case {
        name: "truncated length",
        bytes: &[9, 0],
        expected: |error| matches!(error, Error::Stream(_)),
    },
    Case {
        name: "truncated body",
        bytes: &[9, 0, 0, 0, VERSION, 3],
        expected: |error| matches!(error, Error::Stream(_)),
    },
    Case {
        name: "length above the maximum",
        bytes: &[0, 0, 0, 0xFF],
        expected: |error| matches!(error, Error::InvalidLength(_)),
    },
    Case {
        name: "length of zero",
        bytes: &[0, 0, 0, 0],
        expected: |error| matches!(error, Error::InvalidLength(0)),
    },
    Case {
        name: "unknown version",
        bytes: &[2, 0, 0, 0, 9, 3],
        expected: |error| matches!(error, Error::Version(9)),
    },
    Case {
        name: "version 1, in which a view contained the complete list",
        bytes: &[2, 0, 0, 0, 1, 3],
        expected: |error| matches!(error, Error::Version(1)),
    },
    Case {
        name: "body of another message",
        bytes: &[2, 0, 0, 0, VERSION, 0xFF],
        expected: |error| matches!(error, Error::Codec(_)),
    },
    Case {
        name: "an HTTP request",
        bytes: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        expected: |error| matches!(error, Error::InvalidLength(_)),
    },
];

#[tokio::test]
async fn invalid_frames_are_rejected() {
    for case in CASES {
        let read: Result<Reply, Error> = frame::read(&mut Cursor::new(case.bytes)).await;
        let error = read.expect_err(case.name);
        assert!((case.expected)(&error), "{}: {error}", case.name);
    }
}

/// Guards against a call that receives the reply to an earlier call that timed out.
#[tokio::test]
async fn a_timed_out_call_does_not_leave_its_reply_on_the_link() {
    let listener = Listener::bind("127.0.0.1:0".parse().expect("the address is valid"))
        .await
        .expect("a port is available");
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
        voters: voters::first(Vec::new()),
    };
    let timed_out = link.call(&prepare(1), Duration::from_millis(50)).await;
    assert!(
        matches!(timed_out, Err(link::Error::Timeout(_))),
        "{timed_out:?}"
    );
    let next = link.call(&prepare(2), REPLY_TIMEOUT).await;
    assert!(
        matches!(next, Ok(Reply::Overtaken(Ballot { round: 2, .. }))),
        "{next:?}"
    );
}

/// Guards against a link that remains unusable after the other side closed its connection.
#[tokio::test]
async fn a_link_reconnects() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is available");
    let link = Link::new(listener.local_addr().expect("the listener has an address"));
    tokio::spawn(async move {
        let (first, _) = listener.accept().await.expect("the link connects");
        drop(first);
        let (mut second, _) = listener.accept().await.expect("the link connects");
        let request: Result<Request, Error> = frame::read(&mut second).await;
        assert!(request.is_ok());
        frame::write(&mut second, &Reply::Done)
            .await
            .expect("the reply is sent");
        second.flush().await.expect("the reply is sent");
        std::future::pending::<()>().await;
    });
    let request = Request::Prepare {
        ballot: Ballot::default(),
        keys: Vec::new(),
        voters: voters::first(Vec::new()),
    };
    assert!(link.call(&request, REPLY_TIMEOUT).await.is_err());
    assert!(matches!(
        link.call(&request, REPLY_TIMEOUT).await,
        Ok(Reply::Done)
    ));
}
