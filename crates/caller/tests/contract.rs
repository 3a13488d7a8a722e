//! Tests of the listener for callers and its checks with raw bytes.

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

/// Timeout of a hung test; waits otherwise end when their condition holds.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const LIMITS: call::Limits = call::Limits {
    body_bytes: 64,
    body_timeout: Duration::from_millis(300),
};

/// Responds with the parsed request: method, service, path, forwarded header names and body.
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

/// Sends bytes and reads until the listener closes or, if `responses` is set, until that number of responses arrived
/// and one further request was answered.
async fn exchange(address: SocketAddr, bytes: &[u8], responses: Option<usize>) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // A refusal may close the connection before everything is written.
    let _ = stream.write_all(bytes).await;
    let mut read = Vec::new();
    let reading = async {
        read_responses(&mut stream, &mut read, responses).await;
        if let Some(responses) = responses {
            let further = b"GET /again HTTP/1.1\r\nHost: s\r\n\r\n";
            stream.write_all(further).await.expect("an open connection");
            read_responses(&mut stream, &mut read, Some(responses + 1)).await;
        }
    };
    time::timeout(TEST_TIMEOUT, reading)
        .await
        .expect("the exchange must end");
    String::from_utf8_lossy(&read).into_owned()
}

async fn read_responses(stream: &mut TcpStream, read: &mut Vec<u8>, responses: Option<usize>) {
    let mut buffer = [0; 4096];
    while responses.is_none_or(|responses| count_complete(read) < responses) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => read.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Counts complete responses; each response in these tests states its length.
fn count_complete(read: &[u8]) -> usize {
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
    /// Number of complete responses, including informational ones.
    responses: usize,
    /// Status codes and texts that the responses contain, in order.
    expected: &'static [&'static str],
    /// Whether the connection closes; otherwise one more request on it is answered.
    closed: bool,
}

/// Most cases send bytes after the first request that look like a request, so that a wrong end of the first
/// request leads to a response to `/smuggled`.
const SMUGGLING: &[Case] = &[
    Case {
        name: "Content-Length, then Transfer-Encoding",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "Transfer-Encoding, then Content-Length",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "both headers in the second request of a connection",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 3\r\n\r\nabc\r\nPOST /b HTTP/1.1\r\nHost: s\r\ntransfer-encoding:chunked\r\ncontent-length:5\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 2,
        expected: &["POST s /a [host] <abc>", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "a chunked body, then a request",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["200", "<abc>"],
        closed: true,
    },
    Case {
        name: "two different lengths",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\naGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a list of lengths",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 1, 9\r\n\r\naGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a signed length",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: +1\r\n\r\naGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a folded header",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nX-A: b\r\n Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a space before the colon",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "chunked, then another coding",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "another coding, then chunked",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: true,
    },
    Case {
        name: "a transfer coding with HTTP/1.0",
        sent: "POST /a HTTP/1.0\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400"],
        closed: true,
    },
    Case {
        name: "a chunk size that is not a number",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "body-incomplete"],
        closed: true,
    },
    Case {
        name: "a chunk size beyond 64 bits",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n1ffffffffffffffff\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "body-incomplete"],
        closed: true,
    },
    Case {
        name: "a bare line feed in a chunk extension",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3;a=\nb\r\nabc\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "body-incomplete"],
        closed: true,
    },
    Case {
        name: "a chunk extension is not forwarded",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n",
        responses: 1,
        expected: &["200", "<abc>"],
        closed: true,
    },
    Case {
        name: "two Hosts",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nHost: t\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "two Hosts and a service header",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nHost: t\r\nshallotrill-service: s\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "an absolute URI takes precedence over Host",
        sent: "GET http://u.example/a HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["200", "GET u /a"],
        closed: false,
    },
    Case {
        name: "CONNECT",
        sent: "CONNECT s:80 HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "TRACE",
        sent: "TRACE /a HTTP/1.1\r\nHost: s\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "Upgrade",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        responses: 1,
        expected: &["400", "head-unsafe"],
        closed: false,
    },
    Case {
        name: "hop-by-hop headers",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nConnection: keep-alive, X-Hop\r\nKeep-Alive: 5\r\nTE: trailers\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n",
        responses: 1,
        expected: &["200", "[host,x-end]"],
        closed: false,
    },
];

/// Requests with the expected response and error code, or with no response.
const REQUESTS: &[Case] = &[
    Case {
        name: "pipelined requests are answered in order",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\n\r\nPOST /b HTTP/1.1\r\nHost: t\r\nContent-Length: 2\r\n\r\nhiGET /c HTTP/1.1\r\nHost: u\r\n\r\n",
        responses: 3,
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
        responses: 1,
        expected: &["200", "GET s /a"],
        closed: true,
    },
    Case {
        name: "Expect is answered and not forwarded",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nhi",
        responses: 2,
        expected: &["100 Continue", "POST s /a [host] <hi>"],
        closed: false,
    },
    Case {
        name: "no Host",
        sent: "GET /a HTTP/1.1\r\n\r\n",
        responses: 1,
        expected: &["400", "service-missing"],
        closed: false,
    },
    Case {
        name: "a Host that is not a service name",
        sent: "GET /a HTTP/1.1\r\nHost: s_x\r\n\r\n",
        responses: 1,
        expected: &["400", "service-missing"],
        closed: false,
    },
    Case {
        name: "a stated length beyond the limit",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 65\r\n\r\n",
        responses: 1,
        expected: &["413", "body-large"],
        closed: true,
    },
    Case {
        name: "a chunked body beyond the limit",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n41\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n0\r\n\r\n",
        responses: 1,
        expected: &["413", "body-large"],
        closed: true,
    },
    Case {
        name: "incomplete body until the timeout",
        sent: "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\nhalf",
        responses: 1,
        expected: &["408", "body-timeout"],
        closed: true,
    },
    Case {
        name: "incomplete head until the timeout",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nX-",
        responses: 0,
        expected: &[],
        closed: true,
    },
    Case {
        name: "a depth that is not a number",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-depth: x\r\n\r\n",
        responses: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "a depth beyond the limit",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-depth: 14\r\n\r\n",
        responses: 1,
        expected: &["508", "depth-exceeded"],
        closed: false,
    },
    Case {
        name: "an attempt of 0",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-attempt: 0\r\n\r\n",
        responses: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "tokens stated twice",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-retry-tokens: 1\r\nshallotrill-retry-tokens: 2\r\n\r\n",
        responses: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "a deadline beyond the limit",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-deadline-ms: 3600001\r\n\r\n",
        responses: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "a malformed request id",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-request: 12\r\n\r\n",
        responses: 1,
        expected: &["400", "header-invalid"],
        closed: false,
    },
    Case {
        name: "headers of this protocol are not forwarded as sent",
        sent: "GET /a HTTP/1.1\r\nHost: s\r\nshallotrill-incarnation: 7\r\nshallotrill-run: not-run\r\nX-End: 2\r\n\r\n",
        responses: 1,
        expected: &["200", "[host,x-end]"],
        closed: false,
    },
    Case {
        name: "HTTP/2 without negotiation",
        sent: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        responses: 0,
        expected: &[],
        closed: true,
    },
];

async fn check(cases: &[Case]) {
    let (address, _stop) = start().await;
    let mut failures = Vec::new();
    for case in cases {
        let responses = (!case.closed).then_some(case.responses);
        let read = exchange(address, case.sent.as_bytes(), responses).await;
        let end_matches = read.contains("/again") != case.closed;
        let count_matches =
            count_complete(read.as_bytes()) == case.responses + usize::from(!case.closed);
        let mut rest = read.as_str();
        let in_order = case.expected.iter().all(|part| match rest.find(part) {
            Some(position) => {
                rest = &rest[position + part.len()..];
                true
            }
            None => false,
        });
        if !in_order || !end_matches || !count_matches || read.contains("/smuggled") {
            failures.push(format!("{}: {read:?}", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against request smuggling: another parser of the same bytes finds different requests.
#[tokio::test]
async fn smuggling() {
    check(SMUGGLING).await;
}

/// Guards against requests that receive the response to another request or no error code, or that crash the process.
#[tokio::test]
async fn requests() {
    check(REQUESTS).await;
}

/// Guards against an unbounded request head that exhausts the memory.
#[tokio::test]
async fn oversize_head() {
    let (address, _stop) = start().await;
    let long_value = "x".repeat(64 * 1024);
    for sent in [
        format!("GET /a HTTP/1.1\r\nHost: s\r\nX-Long: {long_value}\r\n\r\n"),
        format!("GET /{long_value} HTTP/1.1\r\nHost: s\r\n\r\n"),
    ] {
        let read = exchange(address, sent.as_bytes(), None).await;
        assert!(!read.contains("200 OK"), "{read}");
    }
    let read = exchange(address, b"GET /a HTTP/1.1\r\nHost: s\r\n\r\n", Some(1)).await;
    assert!(read.contains("200 OK"));
}
