//! A look at the heads of requests that hyper's answer to a double length hides.
//!
//! hyper drops `Content-Length` when `Transfer-Encoding` is there too, in
//! either order, so such a request looks like a plain chunked one to its
//! handler. The bytes are therefore looked at on their way in, only as far as
//! to find the heads. Chunked bodies need not be followed: the connection
//! closes after the request that has one.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// No request of the connection is ambiguous so far.
const NONE: u64 = u64::MAX;

/// Longest line that is kept; hyper refuses a head beyond its buffer before such a line ends.
const LINE_MAX_BYTES: usize = 1 << 20;

/// Number of the first request of a connection whose head states two lengths.
#[derive(Clone, Debug)]
pub struct Verdict(Arc<AtomicU64>);

impl Verdict {
    /// Whether the request of this number, from 0, must be refused. All later ones are refused with it.
    pub fn is_ambiguous(&self, request: u64) -> bool {
        request >= self.0.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
enum Position {
    Head,
    /// Inside a body of which this many bytes are still to come.
    Body(u64),
    /// After the head of the connection's last request.
    End,
}

/// Follows the heads of one connection.
#[derive(Debug)]
pub struct Scan {
    position: Position,
    line: Vec<u8>,
    /// Lines of the present head.
    lines: usize,
    length: Option<u64>,
    coded: bool,
    requests: u64,
    verdict: Verdict,
}

impl Default for Scan {
    fn default() -> Self {
        Self {
            position: Position::Head,
            line: Vec::new(),
            lines: 0,
            length: None,
            coded: false,
            requests: 0,
            verdict: Verdict(Arc::new(AtomicU64::new(NONE))),
        }
    }
}

impl Scan {
    /// The verdict on the heads, which changes as bytes are fed.
    pub fn verdict(&self) -> Verdict {
        self.verdict.clone()
    }

    /// Takes the next bytes of the connection.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.position {
                Position::Head => bytes = self.head(bytes),
                Position::Body(left) => {
                    let here = left.min(bytes.len() as u64);
                    bytes = &bytes[here as usize..];
                    self.position = match left - here {
                        0 => Position::Head,
                        left => Position::Body(left),
                    };
                }
                Position::End => return,
            }
        }
    }

    /// Takes bytes up to the end of a line and returns the rest.
    fn head<'bytes>(&mut self, bytes: &'bytes [u8]) -> &'bytes [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (part, rest) = match end {
            Some(end) => (&bytes[..end], &bytes[end + 1..]),
            None => (bytes, &bytes[bytes.len()..]),
        };
        self.line.extend_from_slice(part);
        if self.line.len() > LINE_MAX_BYTES {
            self.position = Position::End;
        } else if end.is_some() {
            self.end_line();
        }
        rest
    }

    fn end_line(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        let text = line.strip_suffix(b"\r").unwrap_or(&line);
        match text {
            // Empty lines before a request are skipped, as hyper does.
            [] if self.lines == 0 => {}
            [] => self.end_head(),
            _ => {
                self.lines += 1;
                self.field(text);
            }
        }
        line.clear();
        self.line = line;
    }

    fn field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(line[colon + 1..].trim_ascii());
            // hyper refuses a length that is no number.
            self.length = Some(value.ok().and_then(|v| v.parse().ok()).unwrap_or(0));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.coded = true;
        }
    }

    fn end_head(&mut self) {
        if self.coded && self.length.is_some() {
            self.verdict.0.store(self.requests, Ordering::Relaxed);
        }
        self.position = match (self.coded, self.length) {
            (true, _) => Position::End,
            (false, None | Some(0)) => Position::Head,
            (false, Some(length)) => Position::Body(length),
        };
        self.requests += 1;
        self.lines = 0;
        self.length = None;
        self.coded = false;
    }
}

/// A stream whose incoming bytes are fed to a [`Scan`].
#[derive(Debug)]
pub struct Watched<S> {
    stream: S,
    scan: Scan,
}

impl<S> Watched<S> {
    /// Watches a stream.
    pub const fn new(stream: S, scan: Scan) -> Self {
        Self { stream, scan }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.scan.feed(&buffer.filled()[before..]);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
