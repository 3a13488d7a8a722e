//! A small HTTP/1.1 client for examples and tests.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request as HttpRequest;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

/// An HTTP request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Value of the `Host` header.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Headers other than `Host`.
    pub headers: Vec<(&'static str, String)>,
    /// Complete request body.
    pub body: Bytes,
}

impl Request {
    /// Creates a GET with no headers but `Host`.
    pub fn get(host: &str, path: &str) -> Self {
        Self {
            method: Method::GET,
            host: host.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST with an idempotency key.
    pub fn post(host: &str, path: &str, key: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            host: host.to_owned(),
            path: path.to_owned(),
            headers: vec![("idempotency-key", key.to_owned())],
            body: Bytes::from(body.to_owned()),
        }
    }

    /// Returns the request with one more header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// An HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// Response status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl Response {
    /// Returns the value of a header, or an empty string when it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the body as text, with replacement characters where it is not UTF-8.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reason why a request got no complete response.
#[derive(Debug)]
pub enum Failure {
    /// The connection could not be opened.
    Connect(io::Error),
    /// The connection failed, or the response was truncated.
    Lost(hyper::Error),
    /// No complete response arrived within this time.
    Timeout(Duration),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "cannot open a connection: {cause}"),
            Self::Lost(cause) => write!(f, "connection lost before the complete response: {cause}"),
            Self::Timeout(timeout) => write!(f, "no complete response within {timeout:?}"),
        }
    }
}

impl error::Error for Failure {}

/// A persistent connection that carries one request at a time.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").finish_non_exhaustive()
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Connect`].
    pub async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(Failure::Connect)?;
        stream.set_nodelay(true).map_err(Failure::Connect)?;
        let handshake = http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(Failure::Lost)?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Lost`] when the response is incomplete.
    pub async fn send(&mut self, request: &Request) -> Result<Response, Failure> {
        let mut outgoing = HttpRequest::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        if let Ok(uri) = request.path.parse() {
            *outgoing.uri_mut() = uri;
        }
        let headers = outgoing.headers_mut();
        if let Ok(host) = request.host.parse() {
            headers.insert(http::header::HOST, host);
        }
        for (name, value) in &request.headers {
            if let Ok(value) = value.parse() {
                headers.append(*name, value);
            }
        }
        self.sender.ready().await.map_err(Failure::Lost)?;
        let response = self
            .sender
            .send_request(outgoing)
            .await
            .map_err(Failure::Lost)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(Failure::Lost)?.to_bytes();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Returns a [`Failure`] when no complete response arrived within `timeout`.
pub async fn send(
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Result<Response, Failure> {
    let sending = async {
        let mut connection = Connection::open(address).await?;
        connection.send(request).await
    };
    time::timeout(timeout, sending)
        .await
        .unwrap_or(Err(Failure::Timeout(timeout)))
}

/// Returns a new idempotency key: a version 7 UUID with the current time.
pub fn new_idempotency_key() -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = now.map_or(0, |now| now.as_millis() as u64);
    let random: u128 = rand::random();
    let bits = (u128::from(millis) << 80)
        | (0x7 << 76)
        | (random & (0xfff << 64))
        | (0x2 << 62)
        | (random & ((1 << 62) - 1));
    let text = format!("{bits:032x}");
    format!(
        "{}-{}-{}-{}-{}",
        &text[..8],
        &text[8..12],
        &text[12..16],
        &text[16..20],
        &text[20..]
    )
}
