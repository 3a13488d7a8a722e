//! Bodies that are read to their end without being kept.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;

use shallotrill_wire::body;

const LIMIT_BYTES: usize = 10_000;
const CHUNK_BYTES: usize = 1_000;
const TIMEOUT: Duration = Duration::from_millis(200);

/// A chunk of a body that counts the chunks in memory.
struct Chunk {
    bytes: [u8; CHUNK_BYTES],
    kept: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Chunk {
    fn drop(&mut self) {
        self.kept.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Case {
    name: &'static str,
    /// Number of chunks.
    chunks: usize,
    /// Whether the body ends after its chunks; a body that does not stays silent.
    ends: bool,
    expected: &'static str,
}

/// Guards against a discarded body that is kept in memory, or that is read without end.
const CASES: &[Case] = &[
    Case {
        name: "an empty body",
        chunks: 0,
        ends: true,
        expected: "complete",
    },
    Case {
        name: "a body of the limit",
        chunks: LIMIT_BYTES / CHUNK_BYTES,
        ends: true,
        expected: "complete",
    },
    Case {
        name: "a body above the limit",
        chunks: LIMIT_BYTES / CHUNK_BYTES + 1,
        ends: true,
        expected: "too large",
    },
    Case {
        name: "a body without end",
        chunks: usize::MAX,
        ends: false,
        expected: "too large",
    },
    Case {
        name: "a silent body",
        chunks: 1,
        ends: false,
        expected: "timeout",
    },
];

#[tokio::test]
async fn discarded_bodies_are_not_kept() {
    for case in CASES {
        let kept = Arc::new(AtomicUsize::new(0));
        let most_kept = Arc::new(AtomicUsize::new(0));
        let (counted, most) = (Arc::clone(&kept), Arc::clone(&most_kept));
        let chunks = stream::iter(0..case.chunks).map(move |_| {
            let kept = counted.fetch_add(1, Ordering::SeqCst) + 1;
            most.fetch_max(kept, Ordering::SeqCst);
            let chunk = Chunk {
                bytes: [0; CHUNK_BYTES],
                kept: Arc::clone(&counted),
            };
            Ok(Frame::data(Bytes::from_owner(chunk)))
        });
        let body = if case.ends {
            StreamBody::new(chunks).boxed_unsync()
        } else {
            StreamBody::new(chunks.chain(stream::pending())).boxed_unsync()
        };
        let outcome = match body::discard(body, LIMIT_BYTES, TIMEOUT).await {
            Ok(()) => "complete",
            Err(body::Error::TooLarge(_)) => "too large",
            Err(body::Error::Timeout(_)) => "timeout",
            Err(body::Error::Truncated(_)) => "truncated",
            Err(body::Error::Refused(_)) => "refused",
        };
        assert_eq!(outcome, case.expected, "{}", case.name);
        assert!(most_kept.load(Ordering::SeqCst) <= 2, "{}", case.name);
        assert_eq!(kept.load(Ordering::SeqCst), 0, "{}", case.name);
    }
}
