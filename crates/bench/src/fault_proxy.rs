//! A TCP proxy for fault injection: it delays or discards bytes, or resets connections.
//!
//! The proxy simulates the network between two processes. A blocked direction
//! gives no error: both ends keep their connections and receive nothing. A
//! connection that lost bytes while blocked stays blocked after the block is
//! lifted, while new connections work.

use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of queued chunks in one direction of one connection.
const QUEUED_CHUNKS_MAX: usize = 1_024;

/// Faults and counters that all connections share.
#[derive(Debug, Default)]
struct State {
    outbound_blocked: AtomicBool,
    inbound_blocked: AtomicBool,
    /// Delay in addition to the `delay` given to `start`, in milliseconds.
    extra_delay_ms: AtomicU64,
    /// Notifies all connections to reset.
    reset: Notify,
    bytes: AtomicU64,
}

/// A listener that forwards connections to one address.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<State>,
}

impl FaultProxy {
    /// Listens at `listen` and forwards connections to `to`, with `delay` in each direction.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be listened on.
    pub async fn start(listen: SocketAddr, to: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(proxy(client, to, delay, Arc::clone(&shared)));
            }
        });
        Ok(Self { address, state })
    }

    /// Address that the proxy listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes read in both directions, including discarded ones.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Blocks or restores the bytes that clients send (outbound) and receive (inbound).
    pub fn block(&self, outbound_blocked: bool, inbound_blocked: bool) {
        self.state
            .outbound_blocked
            .store(outbound_blocked, Ordering::Relaxed);
        self.state
            .inbound_blocked
            .store(inbound_blocked, Ordering::Relaxed);
    }

    /// Sets a delay for both directions in addition to the `delay` given to [`Self::start`], in whole milliseconds.
    pub fn set_extra_delay(&self, delay: Duration) {
        let millis = delay.as_millis() as u64;
        self.state.extra_delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Resets all connections at both ends.
    pub fn reset(&self) {
        self.state.reset.notify_waiters();
    }
}

async fn proxy(mut client: TcpStream, to: SocketAddr, delay: Duration, state: Arc<State>) {
    let Ok(mut server) = TcpStream::connect(to).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let reset = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let outbound_blocked = |state: &State| state.outbound_blocked.load(Ordering::Relaxed);
        let inbound_blocked = |state: &State| state.inbound_blocked.load(Ordering::Relaxed);
        let both = async {
            tokio::join!(
                forward(client_read, server_write, delay, &state, outbound_blocked),
                forward(server_read, client_write, delay, &state, inbound_blocked),
            )
        };
        tokio::select! {
            _ = both => false,
            () = state.reset.notified() => true,
        }
    };
    if reset {
        // With a linger time of zero, the close sends a reset.
        drop(client.set_zero_linger());
        drop(server.set_zero_linger());
    }
}

async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    delay: Duration,
    state: &State,
    is_blocked: impl Fn(&State) -> bool,
) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUED_CHUNKS_MAX);
    let reading = async move {
        let mut blocked = false;
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            blocked |= is_blocked(state);
            state.bytes.fetch_add(count as u64, Ordering::Relaxed);
            let chunk = buffer[..count].to_vec();
            if !blocked && sender.send((Instant::now() + delay, chunk)).await.is_err() {
                return;
            }
        }
        if blocked || is_blocked(state) {
            // A blocked direction discards the end of the stream as it discards bytes.
            future::pending::<()>().await;
        }
    };
    let mut due = if delay.is_zero() {
        receiver
    } else {
        delay_chunks(receiver)
    };
    let writing = async move {
        while let Some((due_at, chunk)) = due.recv().await {
            let extra_delay = Duration::from_millis(state.extra_delay_ms.load(Ordering::Relaxed));
            if !extra_delay.is_zero() {
                time::sleep_until((due_at + extra_delay).into()).await;
            }
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        // Forwards the end of the stream.
        drop(to.shutdown().await);
    };
    let ((), ()) = tokio::join!(reading, writing);
}

/// Delays each chunk until it is due.
///
/// A separate thread waits, because the timer of the runtime has a resolution of 1 ms.
fn delay_chunks(
    mut from: mpsc::Receiver<(Instant, Vec<u8>)>,
) -> mpsc::Receiver<(Instant, Vec<u8>)> {
    let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS_MAX);
    task::spawn_blocking(move || {
        while let Some((due_at, chunk)) = from.blocking_recv() {
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            if sender.blocking_send((due_at, chunk)).is_err() {
                return;
            }
        }
    });
    receiver
}
