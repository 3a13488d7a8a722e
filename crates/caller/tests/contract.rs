//! The listener for callers and its checks, against raw bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use shallotrill_caller::call;
use shallotrill_caller::listener;
use shallotrill_model::request::Id;
use shallotrill_wire::body;
use shallotrill_wire::body::Body;
use shallotrill_wire::listen::Listener;

/// Waits of the tests end on a condition; this only ends a hung run.
const LIMIT: Duration = Duration::from_secs(20);

const LIMITS: call::Limits = call::Limits {
    body_bytes: 64,
    body: Duration::from_millis(300),
};

/// Answers with what was understood of the request: method, service, path, forwarded header names and body.
async fn echo(request: Request<Incoming>) -> Response<Body> {
    let call = match call::read(request, &LIMITS).await {
        Ok(call) => call,
        Err(refusal) => return refusal.response(Id(1)),
    };
    let names: Vec<&str> = call.headers.keys().map(http::HeaderName::as_str).collect();
    let text = format!(
        "{} {} {} [{}] <{}>",
        call.method,
        call.service,
        call.path,
        names.join(","),
        String::from_utf8_lossy(&call.body)
    );
    let mut response = Response::new(body::full(Bytes::from(text)));
    let code = HeaderValue::from_static("none");
    response.headers_mut().insert("shallotrill-error", code);
    response
}

async fn start() -> (SocketAddr, watch::Sender<bool>) {
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = Listener::bind(any).await.expect("a free port");
    let address = listener.address();
    let (stop, stopped) = watch::channel(false);
    let config = listener::Config::default().header_timeout(Duration::from_millis(300));
    let handler: listener::Handler = Arc::new(|request| Box::pin(echo(request)));
    tokio::spawn(listener::run(listener, config, stopped, handler));
    (address, stop)
}

/// Sends bytes and reads until the listener closes, or until `answers` answers came and a further request got its own.
async fn exchange(address: SocketAddr, bytes: &[u8], answers: Option<usize>) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // A refusal may close the connection before everything is written.
    let _ = stream.write_all(bytes).await;
    let mut read = Vec::new();
    let reading = async {
        read_answers(&mut stream, &mut read, answers).await;
        if let Some(answers) = answers {
            let again = b"GET /again HTTP/1.1\r\nHost: s\r\n\r\n";
            stream.write_all(again).await.expect("an open connection");
            read_answers(&mut stream, &mut read, Some(answers + 1)).await;
        }
    };
    time::timeout(LIMIT, reading).await.expect("an end");
    String::from_utf8_lossy(&read).into_owned()
}

async fn read_answers(stream: &mut TcpStream, read: &mut Vec<u8>, answers: Option<usize>) {
    let mut buffer = [0; 4096];
    while answers.is_none_or(|answers| complete(read) < answers) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => read.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Counts whole answers; every one here states its length.
fn complete(read: &[u8]) -> usize {
    let mut text = String::from_utf8_lossy(read).into_owned();
    let mut count = 0;
    while let Some(end) = text.find("\r\n\r\n") {
        let head = text[..end].to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        if text.len() < end + 4 + length {
            break;
        }
        text = text[end + 4 + length..].to_owned();
        count += 1;
    }
    count
}

struct Case {
    name: &'static str,
    sent: &'static str,
    /// Whole answers, informational ones included.
    answers: usize,
    /// Status and text that the answers contain, in order.
    expected: &'static [&'static str],
    /// Whether the connection ends; otherwise one more request on it is answered.
    closed: bool,
}

/// Each case is followed on its connection by bytes that look like a request, so that a wrong end of the
/// first one shows as an answer to `/smuggled`.
const SMUGGLING: &[Case] = &[
    Case {
        name: "length, then coding",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "coding, then length",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "both in the second request of a connection",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\n\r\nabc\r\nPOST /b HTTP/1.1\r\nHost: s\r\ntransfer-encoding:chunked\r\ncontent-length:5\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 2,
        expected: &["POST s /a [host] <abc>", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "a chunked body, then a request",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["200", "<abc>"],
        closed: true,
    },
    Case {
        name: "two lengths that differ",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\naGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a list of lengths",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 1, 9\r\n\r\naGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a signed length",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: +1\r\n\r\naGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a folded header",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nX-A: b\r\n Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a space before the colon",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "chunked, then another coding",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "another coding, then chunked",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "a coding on HTTP/1.0",
        sent: "POST /a HTTP/1.0\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a chunk size that is no number",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "body-incomplete"],
        closed: true,
    },
    Case {
        name: "a chunk size beyond 64 bits",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n1ffffffffffffffff\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "body-incomplete"],
        closed: true,
    },
    Case {
        name: "a line feed alone in a chunk extension",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3;a=\nb\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "body-incomplete"],
        closed: true,
    },
    Case {
        name: "a chunk extension is not forwarded",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n",
        answers: 1,
        expected: &["200", "<abc>"],
        closed: true,
    },
    Case {
        name: "two Hosts",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nHost: t\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "two Hosts beside a named service",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nHost: t\r\nshallotrill-service: s\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "an absolute URI goes before Host",
        sent: "GET http://u.example/a HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["200", "GET u /a"],
        closed: false,
    },
    Case {
        name: "CONNECT",
        sent: "CONNECT s:80 HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "TRACE",
        sent: "TRACE /a HTTP/1.1\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "Upgrade",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        answers: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "headers of one connection",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nConnection: keep-alive, X-Hop\r\nKeep-Alive: 5\r\nTE: trailers\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n",
        answers: 1,
        expected: &["200", "[host,x-end]"],
        closed: false,
    },
];

/// Each case: what a caller sends gets its own answer with its own code, or none.
const REQUESTS: &[Case] = &[
    Case {
        name: "pipelined requests are answered in order",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\n\r\nPOST /b HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\nhiGET /c HTTP/1.1\r\nHost: u\r\n\r\n",
        answers: 3,
        expected: &[
            "GET s /a [host] <>",
            "POST t /b [host] <hi>",
            "GET u /c [host] <>",
        ],
        closed: false,
    },
    Case {
        name: "HTTP/1.0 closes",
        sent: "GET /a HTTP/1.0\r\nHost: s\r\n\r\n",
        answers: 1,
        expected: &["200", "GET s /a"],
        closed: true,
    },
    Case {
        name: "Expect is answered and not forwarded",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nhi",
        answers: 2,
        expected: &["100 Continue", "POST s /a [host] <hi>"],
        closed: false,
    },
    Case {
        name: "no Host",
        sent: "GET /a HTTP/1.1\r\n\r\n",
        answers: 1,
        expected: &["400", "service-missing"],
        closed: false,
    },
    Case {
        name: "a Host that is no service",
        sent: "GET /a HTTP/1.1\r\nHost: s_x\r\n\r\n",
        answers: 1,
        expected: &["400", "service-missing"],
        closed: false,
    },
    Case {
        name: "a stated length beyond the limit",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 65\r\n\r\n",
        answers: 1,
        expected: &["413", "body-large"],
        closed: true,
    },
    Case {
        name: "a chunked body beyond the limit",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n41\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n0\r\n\r\n",
        answers: 1,
        expected: &["413", "body-large"],
        closed: true,
    },
    Case {
        name: "a body that does not come",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\nhalf",
        answers: 1,
        expected: &["408", "body-timeout"],
        closed: true,
    },
    Case {
        name: "a head that does not come",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nX-",
        answers: 0,
        expected: &[],
        closed: true,
    },
    Case {
        name: "a depth that is no number",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-depth: x\r\n\r\n",
        answers: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "a depth beyond the limit",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-depth: 14\r\n\r\n",
        answers: 1,
        expected: &["508", "depth-exceeded"],
        closed: false,
    },
    Case {
        name: "an attempt of 0",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-attempt: 0\r\n\r\n",
        answers: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "tokens stated twice",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-retry-tokens: 1\r\nshallotrill-retry-tokens: 2\r\n\r\n",
        answers: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "a deadline beyond the limit",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-deadline-ms: 3600001\r\n\r\n",
        answers: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "a request id of another form",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-request: 12\r\n\r\n",
        answers: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "headers of this protocol are not forwarded as sent",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-incarnation: 7\r\nshallotrill-run: not-run\r\nX-End: 2\r\n\r\n",
        answers: 1,
        expected: &["200", "[host,x-end]"],
        closed: false,
    },
    Case {
        name: "HTTP/2 without negotiation",
        sent: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        answers: 0,
        expected: &[],
        closed: true,
    },
];

async fn check(cases: &[Case]) {
    let (address, _stop) = start().await;
    let mut wrong = Vec::new();
    for case in cases {
        let answers = (!case.closed).then_some(case.answers);
        let read = exchange(address, case.sent.as_bytes(), answers).await;
        let right_end = read.contains("/again") != case.closed;
        let right_count = complete(read.as_bytes()) == case.answers + usize::from(!case.closed);
        let mut rest = read.as_str();
        let in_order = case.expected.iter().all(|part| match rest.find(part) {
            Some(at) => {
                rest = &rest[at + part.len()..];
                true
            }
            None => false,
        });
        if !in_order || !right_end || !right_count || read.contains("/smuggled") {
            wrong.push(format!("{}: {read:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a second reader of the bytes seeing other requests than this one.
#[tokio::test]
async fn smuggling() {
    check(SMUGGLING).await;
}

/// Guards against requests that get another's answer, no code, or end the process.
#[tokio::test]
async fn requests() {
    check(REQUESTS).await;
}

/// Guards against a head without end that fills the memory.
#[tokio::test]
async fn oversize_head() {
    let (address, _stop) = start().await;
    let long = "x".repeat(64 * 1024);
    for sent in [
        format!("GET /a HTTP/1.1\r\nHost: s\r\nX-Long: {long}\r\n\r\n"),
        format!("GET /{long} HTTP/1.1\r\nHost: s\r\n\r\n"),
    ] {
        let read = exchange(address, sent.as_bytes(), None).await;
        assert!(!read.contains("200 OK"), "{read}");
    }
    let read = exchange(address, b"GET /a HTTP/1.1\r\nHost: s\r\n\r\n", Some(1)).await;
    assert!(read.contains("200 OK"));
}
