//! Detection of request heads with both `Content-Length` and `Transfer-Encoding`, and of their arrival.
//!
//! hyper removes `Content-Length` when `Transfer-Encoding` is present too, in
//! either order, so the handler cannot distinguish such a request from a plain
//! chunked one. The received bytes are therefore scanned before hyper parses
//! them, only as far as needed to find the heads. Chunked bodies need not be
//! parsed, because the connection closes after a request with a chunked body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

use crate::ahead::Arrival;
use crate::ahead::Arrivals;
use crate::ahead::ReadAhead;

/// Value of a [`Verdict`] while no request of the connection is ambiguous.
const NO_REQUEST: u64 = u64::MAX;

/// Maximum buffered length of a header line. hyper refuses a head that exceeds its own buffer before that.
const LINE_MAX_BYTES: usize = 1 << 20;

/// Number of the first request of a connection whose head has both headers, shared with the handler.
#[derive(Clone, Debug)]
pub struct Verdict(Arc<AtomicU64>);

impl Verdict {
    /// Whether the request with this number, counted from 0, must be refused. All later requests are refused too.
    pub fn is_ambiguous(&self, request: u64) -> bool {
        request >= self.0.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
enum Position {
    Head,
    /// Inside a body; contains the number of remaining bytes.
    Body(u64),
    /// After the head of the connection's last request.
    End,
}

/// Scans the bytes of one connection for request heads.
#[derive(Debug)]
pub struct HeadScanner {
    position: Position,
    line: Vec<u8>,
    /// Number of lines of the current head so far.
    lines: usize,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    requests: u64,
    verdict: Verdict,
    /// Time at which the first byte of the current head arrived.
    arrived: Option<Instant>,
    arrivals: Arrivals,
}

impl Default for HeadScanner {
    fn default() -> Self {
        Self {
            position: Position::Head,
            line: Vec::new(),
            lines: 0,
            content_length: None,
            has_transfer_encoding: false,
            requests: 0,
            verdict: Verdict(Arc::new(AtomicU64::new(NO_REQUEST))),
            arrived: None,
            arrivals: Arrivals::default(),
        }
    }
}

impl HeadScanner {
    /// The verdict on the scanned heads, which is updated by [`HeadScanner::feed`].
    pub fn verdict(&self) -> Verdict {
        self.verdict.clone()
    }

    /// Arrival times of the scanned requests, which are updated by [`HeadScanner::feed`].
    pub fn arrivals(&self) -> Arrivals {
        self.arrivals.clone()
    }

    /// Scans the next bytes of the connection, which arrived at the given time.
    pub fn feed(&mut self, mut bytes: &[u8], arrived: Instant) {
        while !bytes.is_empty() {
            match self.position {
                Position::Head => {
                    self.arrived.get_or_insert(arrived);
                    bytes = self.scan_line(bytes);
                }
                Position::Body(remaining) => {
                    let consumed = remaining.min(bytes.len() as u64);
                    bytes = &bytes[consumed as usize..];
                    self.position = match remaining - consumed {
                        0 => Position::Head,
                        remaining => Position::Body(remaining),
                    };
                }
                Position::End => return,
            }
        }
    }

    /// Scans bytes up to the end of a line and returns the rest.
    fn scan_line<'bytes>(&mut self, bytes: &'bytes [u8]) -> &'bytes [u8] {
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
            // Empty lines before a request are skipped, as in hyper.
            [] if self.lines == 0 => self.arrived = None,
            [] => self.end_head(),
            _ => {
                self.lines += 1;
                self.parse_field(text);
            }
        }
        line.clear();
        self.line = line;
    }

    fn parse_field(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(line[colon + 1..].trim_ascii());
            // hyper refuses a length that is not a number, so the value used here does not matter.
            self.content_length = Some(value.ok().and_then(|v| v.parse().ok()).unwrap_or(0));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        }
    }

    fn end_head(&mut self) {
        if self.has_transfer_encoding && self.content_length.is_some() {
            self.verdict.0.store(self.requests, Ordering::Relaxed);
        }
        self.position = match (self.has_transfer_encoding, self.content_length) {
            (true, _) => Position::End,
            (false, None | Some(0)) => Position::Head,
            (false, Some(content_length)) => Position::Body(content_length),
        };
        if let Some(arrived) = self.arrived.take() {
            self.arrivals.push(Arrival(arrived));
        }
        self.requests += 1;
        self.lines = 0;
        self.content_length = None;
        self.has_transfer_encoding = false;
    }
}

/// A stream whose received bytes are passed to a [`HeadScanner`] when they arrive.
///
/// hyper polls a connection whenever its stream is ready, and each time ends with a write or a flush. What has arrived
/// is read ahead then, also while hyper does not read because a request is in progress.
#[derive(Debug)]
pub struct ScannedStream<S> {
    stream: S,
    scanner: HeadScanner,
    ahead: ReadAhead,
}

impl<S> ScannedStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, scanner: HeadScanner) -> Self {
        let ahead = ReadAhead::new(scanner.arrivals());
        Self {
            stream,
            scanner,
            ahead,
        }
    }
}

impl<S: AsyncRead + Unpin> ScannedStream<S> {
    fn read_ahead(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let scanner = &mut self.scanner;
        let scan = |bytes: &[u8], arrived| scanner.feed(bytes, arrived);
        self.ahead.fill(cx, &mut self.stream, scan);
        self.ahead.check()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ScannedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(taken) = self.ahead.take(buffer) {
            return Poll::Ready(taken);
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            let arrived = self.ahead.arrived();
            self.scanner.feed(&buffer.filled()[before..], arrived);
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ScannedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.read_ahead(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.read_ahead(cx)?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.ahead.is_lingering() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        let Self { stream, ahead, .. } = &mut *self;
        ahead.poll_linger(cx, stream).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.read_ahead(cx)?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
