//! A relay that counts the bytes between processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Bytes that passed.
#[derive(Debug, Default)]
pub struct Count {
    /// From those that connect.
    pub asked: AtomicU64,
    /// To those that connect.
    pub answered: AtomicU64,
}

impl Count {
    /// Bytes in both directions.
    pub fn total(&self) -> u64 {
        self.asked.load(Ordering::Relaxed) + self.answered.load(Ordering::Relaxed)
    }
}

/// A listener whose connections are passed on.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// What passed.
    pub count: Arc<Count>,
    cut: watch::Sender<u64>,
}

impl Relay {
    /// Listens at `listen` and passes each connection on to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be listened on.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let count = Arc::new(Count::default());
        let cut = watch::Sender::new(0);
        tokio::spawn(accept(listener, target, Arc::clone(&count), cut.clone()));
        Ok(Self {
            address,
            count,
            cut,
        })
    }

    /// Ends all present connections.
    pub fn cut(&self) {
        self.cut.send_modify(|count| *count += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    count: Arc<Count>,
    cut: watch::Sender<u64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let count = Arc::clone(&count);
        let mut ended = cut.subscribe();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            // Without it small messages wait for each other, which no node does.
            if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
                return;
            }
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                _ = copy(client_read, server_write, &count.asked) => {}
                _ = copy(server_read, client_write, &count.answered) => {}
                _ = ended.changed() => {}
            }
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    count: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
        to.write_all(&buffer[..length]).await?;
    }
}
