//! A TCP forwarder that delays bytes, swallows them or resets connections.
//!
//! It stands for the network between two processes. A cut is silent: both
//! ends keep their connections and hear nothing. A connection that was cut
//! stays silent after the cut ends, while new ones work.

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

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks under way in one direction of one connection.
const CHUNKS: usize = 1_024;

/// Which directions are cut, what is added to the delay, and what passed.
#[derive(Debug, Default)]
struct Cuts {
    there: AtomicBool,
    back: AtomicBool,
    /// Added to the delay, in milliseconds.
    slow_ms: AtomicU64,
    /// Ends all connections.
    reset: Notify,
    bytes: AtomicU64,
}

/// A listener that passes connections on to one address.
#[derive(Debug)]
pub struct Forward {
    address: SocketAddr,
    cuts: Arc<Cuts>,
}

impl Forward {
    /// Listens at `listen` and passes connections on to `to`, with `delay` in each direction.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be listened on.
    pub async fn start(listen: SocketAddr, to: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let cuts = Arc::new(Cuts::default());
        let shared = Arc::clone(&cuts);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, to, delay, Arc::clone(&shared)));
            }
        });
        Ok(Self { address, cuts })
    }

    /// Address to connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes read in both directions.
    pub fn bytes(&self) -> u64 {
        self.cuts.bytes.load(Ordering::Relaxed)
    }

    /// Cuts or restores what the opener of the connections sends (`there`) and what it hears (`back`).
    pub fn cut(&self, there: bool, back: bool) {
        self.cuts.there.store(there, Ordering::Relaxed);
        self.cuts.back.store(back, Ordering::Relaxed);
    }

    /// Adds to the delay of both directions, in whole milliseconds.
    pub fn slow(&self, by: Duration) {
        let millis = by.as_millis() as u64;
        self.cuts.slow_ms.store(millis, Ordering::Relaxed);
    }

    /// Resets all connections at both ends.
    pub fn reset(&self) {
        self.cuts.reset.notify_waiters();
    }
}

async fn pass(mut near: TcpStream, to: SocketAddr, delay: Duration, cuts: Arc<Cuts>) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = |cuts: &Cuts| cuts.there.load(Ordering::Relaxed);
        let back = |cuts: &Cuts| cuts.back.load(Ordering::Relaxed);
        let both = async {
            tokio::join!(
                direction(near_read, far_write, delay, &cuts, there),
                direction(far_read, near_write, delay, &cuts, back),
            )
        };
        tokio::select! {
            _ = both => false,
            () = cuts.reset.notified() => true,
        }
    };
    if reset {
        // Without time to linger, a close is a reset.
        drop(near.set_zero_linger());
        drop(far.set_zero_linger());
    }
}

async fn direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    delay: Duration,
    cuts: &Cuts,
    is_cut: impl Fn(&Cuts) -> bool,
) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS);
    let reading = async move {
        let mut silent = false;
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            silent |= is_cut(cuts);
            cuts.bytes.fetch_add(count as u64, Ordering::Relaxed);
            let chunk = buffer[..count].to_vec();
            if !silent && sender.send((Instant::now() + delay, chunk)).await.is_err() {
                return;
            }
        }
        if silent || is_cut(cuts) {
            // The end of the connection is swallowed like its bytes.
            future::pending::<()>().await;
        }
    };
    let mut due = if delay.is_zero() {
        receiver
    } else {
        wait(receiver)
    };
    let writing = async move {
        while let Some((at, chunk)) = due.recv().await {
            let slow = Duration::from_millis(cuts.slow_ms.load(Ordering::Relaxed));
            if !slow.is_zero() {
                time::sleep_until((at + slow).into()).await;
            }
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        // The end is passed on like the bytes before it.
        drop(to.shutdown().await);
    };
    let ((), ()) = tokio::join!(reading, writing);
}

/// Passes each chunk on when it is due.
///
/// A thread of its own waits, because the timer of the runtime counts whole milliseconds.
fn wait(mut from: mpsc::Receiver<(Instant, Vec<u8>)>) -> mpsc::Receiver<(Instant, Vec<u8>)> {
    let (sender, receiver) = mpsc::channel(CHUNKS);
    task::spawn_blocking(move || {
        while let Some((at, chunk)) = from.blocking_recv() {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if sender.blocking_send((at, chunk)).is_err() {
                return;
            }
        }
    });
    receiver
}
