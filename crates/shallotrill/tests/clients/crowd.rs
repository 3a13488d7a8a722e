//! Clients that misbehave.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Request;
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::fixture::BODY_BYTES;

/// Context of a forwarded request that has 10 s left.
const FORWARDED: &str = "lending-0;1;lending;lending;10000;1000;10000;0;i;0;;shop.example";

/// Interval of a client that sends or reads a few bytes a second.
const SLOW_INTERVAL: Duration = Duration::from_millis(300);

/// What one client of a crowd does. It then keeps its connection open.
#[derive(Clone, Copy, Debug)]
pub enum Conduct {
    /// A body of the maximum size in one piece, without its last byte.
    Whole,
    /// A body of this length in one piece, without its last byte.
    Short(usize),
    /// A body of the maximum size in pieces of 512 bytes, without its last byte.
    Pieces,
    /// A quarter of the maximum size in chunks of one byte, without the last chunk.
    Chunks,
    /// A body of this length, with its length stated.
    OverWithLength(usize),
    /// A body of this length in chunks of 64 KiB.
    OverInChunks(usize),
    /// A head of this many fields of one letter, without its end.
    Fields(usize),
    /// This many requests for large responses, of which nothing is read.
    Ahead(usize),
    /// A request for a large response, which is read at a few bytes a second.
    SlowReader,
    /// A body that is sent at a few bytes a second.
    SlowBody,
    /// A head that is sent at a few bytes a second.
    SlowHead,
    /// Nothing is sent.
    HalfOpen,
    /// This many requests of another router on one connection, each with a body of the maximum size without its last byte.
    Streams(usize),
    /// A frame of the messages between processes of this length, without its last byte.
    Frame(usize),
}

fn head(path: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nshallotrill-attempt-id: crowd\r\n{fields}\r\n"
    )
}

/// Connects and misbehaves until the connection fails or the task is aborted. `done` is dropped
/// when everything that the client sends at full speed is sent.
pub async fn client<T>(to: SocketAddr, path: &str, conduct: Conduct, done: T) {
    let result = misbehave(to, path, conduct, done).await;
    // An error means that the process has closed the connection, which is allowed.
    drop(result);
}

async fn misbehave<T>(to: SocketAddr, path: &str, conduct: Conduct, done: T) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    if matches!(conduct, Conduct::SlowReader | Conduct::Ahead(_)) {
        socket.set_recv_buffer_size(4_096)?;
    }
    let mut stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    match conduct {
        Conduct::Whole => send_short(&mut stream, path, BODY_BYTES).await?,
        Conduct::Short(length) => send_short(&mut stream, path, length).await?,
        Conduct::Pieces => {
            let head = head(path, &format!("content-length: {BODY_BYTES}\r\n"));
            stream.write_all(head.as_bytes()).await?;
            for _ in 1..BODY_BYTES / 512 {
                stream.write_all(&[b'p'; 512]).await?;
            }
            stream.write_all(&[b'p'; 511]).await?;
        }
        Conduct::Chunks => {
            let head = head(path, "transfer-encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).await?;
            let chunks = b"1\r\nc\r\n".repeat(1_024);
            for _ in 0..BODY_BYTES / 4 / 1_024 {
                stream.write_all(&chunks).await?;
            }
        }
        Conduct::OverWithLength(length) => {
            let head = head(path, &format!("content-length: {length}\r\n"));
            stream.write_all(head.as_bytes()).await?;
            let piece = vec![b'o'; 65_536];
            for _ in 0..length / 65_536 {
                stream.write_all(&piece).await?;
            }
        }
        Conduct::OverInChunks(length) => {
            let head = head(path, "transfer-encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).await?;
            let mut chunk = b"10000\r\n".to_vec();
            chunk.extend(vec![b'o'; 65_536]);
            chunk.extend(b"\r\n");
            for _ in 0..length / 65_536 {
                stream.write_all(&chunk).await?;
            }
        }
        Conduct::Fields(count) => {
            let start = format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\n");
            stream.write_all(start.as_bytes()).await?;
            stream.write_all(&b"f:1\r\n".repeat(count)).await?;
        }
        Conduct::Ahead(count) => {
            let request = format!(
                "GET {path}large HTTP/1.1\r\nhost: shop.example\r\nshallotrill-attempt-id: crowd\r\n\r\n"
            );
            for _ in 0..count {
                stream.write_all(request.as_bytes()).await?;
            }
        }
        Conduct::SlowReader => {
            let request = format!(
                "GET {path}large HTTP/1.1\r\nhost: shop.example\r\nshallotrill-attempt-id: crowd\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).await?;
            drop(done);
            loop {
                stream.read_u8().await?;
                time::sleep(SLOW_INTERVAL).await;
            }
        }
        Conduct::SlowBody => {
            let head = head(path, &format!("content-length: {BODY_BYTES}\r\n"));
            stream.write_all(head.as_bytes()).await?;
            drop(done);
            return trickle(stream, b"s").await;
        }
        Conduct::SlowHead => {
            let start = format!("GET {path} HTTP/1.1\r\nhost: shop.example\r\nx: ");
            stream.write_all(start.as_bytes()).await?;
            drop(done);
            return trickle(stream, b"s").await;
        }
        Conduct::HalfOpen => {}
        Conduct::Streams(count) => {
            return send_streams(stream, count, done).await;
        }
        Conduct::Frame(length) => {
            stream.write_u32_le(length as u32).await?;
            stream.write_all(&vec![1; length - 1]).await?;
        }
    }
    drop(done);
    // Nothing is read, and the connection stays open.
    std::future::pending::<()>().await;
    drop(stream);
    Ok(())
}

/// Sends a body of this length in one piece, without its last byte.
async fn send_short(stream: &mut TcpStream, path: &str, length: usize) -> io::Result<()> {
    let head = head(path, &format!("content-length: {length}\r\n"));
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'w'; length - 1]).await
}

/// A request as another router forwards it, whose body lacks its last byte.
fn forwarded() -> io::Result<Request<impl http_body::Body<Data = Bytes, Error = Infallible>>> {
    let first = Bytes::from(vec![b'f'; BODY_BYTES - 1]);
    let frames = stream::once(async { Ok(Frame::data(first)) }).chain(stream::pending());
    Request::builder()
        .method("POST")
        .uri("http://router/work/")
        .header("shallotrill-forwarded", FORWARDED)
        .header("content-length", BODY_BYTES)
        .body(StreamBody::new(Box::pin(frames)))
        .map_err(io::Error::other)
}

/// Sends forwarded requests on one connection until all of them have ended.
async fn send_streams<T>(stream: TcpStream, count: usize, done: T) -> io::Result<()> {
    let executor = TokioExecutor::new();
    let (mut sender, connection) = http2::handshake(executor, TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let mut requests = JoinSet::new();
    requests.spawn(async move { drop(connection.await) });
    for _ in 0..count {
        let response = sender.send_request(forwarded()?);
        requests.spawn(async move { drop(response.await) });
    }
    drop(done);
    while requests.join_next().await.is_some() {}
    Ok(())
}

async fn trickle(mut stream: TcpStream, byte: &[u8]) -> io::Result<()> {
    loop {
        stream.write_all(byte).await?;
        time::sleep(SLOW_INTERVAL).await;
    }
}
