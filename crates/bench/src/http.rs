//! A small HTTP/1.1 caller for examples and tests.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

/// A request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Method.
    pub method: Method,
    /// Value of `Host`.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl Ask {
    /// A GET without further headers.
    pub fn get(host: &str, path: &str) -> Self {
        Self {
            method: Method::GET,
            host: host.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A POST with an idempotency key.
    pub fn post(host: &str, path: &str, key: &str, body: &str) -> Self {
        Self {
            method: Method::POST,
            host: host.to_owned(),
            path: path.to_owned(),
            headers: vec![("idempotency-key", key.to_owned())],
            body: Bytes::from(body.to_owned()),
        }
    }

    /// The same request with one more header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// A header as text, empty when it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request that got no whole answer.
#[derive(Debug)]
pub enum Failure {
    /// The connection could not be opened.
    Connect(io::Error),
    /// The connection failed, or the answer was cut.
    Lost(hyper::Error),
    /// The time was up.
    Timeout(Duration),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "no connection: {cause}"),
            Self::Lost(cause) => write!(f, "the connection was lost: {cause}"),
            Self::Timeout(limit) => write!(f, "no answer within {limit:?}"),
        }
    }
}

impl error::Error for Failure {}

/// A connection that carries one request after another.
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

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Lost`] when the answer did not come whole.
    pub async fn send(&mut self, ask: &Ask) -> Result<Answer, Failure> {
        let mut request = Request::new(Full::new(ask.body.clone()));
        *request.method_mut() = ask.method.clone();
        if let Ok(uri) = ask.path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        if let Ok(host) = ask.host.parse() {
            headers.insert(http::header::HOST, host);
        }
        for (name, value) in &ask.headers {
            if let Ok(value) = value.parse() {
                headers.append(*name, value);
            }
        }
        self.sender.ready().await.map_err(Failure::Lost)?;
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(Failure::Lost)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(Failure::Lost)?.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
///
/// Returns a [`Failure`] when no whole answer came within `limit`.
pub async fn send(address: SocketAddr, ask: &Ask, limit: Duration) -> Result<Answer, Failure> {
    let sending = async {
        let mut connection = Connection::open(address).await?;
        connection.send(ask).await
    };
    time::timeout(limit, sending)
        .await
        .unwrap_or(Err(Failure::Timeout(limit)))
}

/// A new idempotency key: a UUID of version 7 with the present time.
pub fn key() -> String {
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
