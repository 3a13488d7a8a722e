//! A TCP relay that counts the payload bytes between processes.

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

/// Payload bytes that were forwarded.
#[derive(Debug, Default)]
pub struct ByteCounts {
    /// Bytes from clients to the target.
    pub from_clients: AtomicU64,
    /// Bytes from the target to clients.
    pub to_clients: AtomicU64,
}

impl ByteCounts {
    /// Sum of both directions.
    pub fn total(&self) -> u64 {
        self.from_clients.load(Ordering::Relaxed) + self.to_clients.load(Ordering::Relaxed)
    }
}

/// A listener that forwards connections to one target.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Bytes that were forwarded.
    pub byte_counts: Arc<ByteCounts>,
    close_connections: watch::Sender<u64>,
}

impl Relay {
    /// Listens at `listen` and forwards each connection to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be listened on.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let byte_counts = Arc::new(ByteCounts::default());
        let close_connections = watch::Sender::new(0);
        tokio::spawn(accept(
            listener,
            target,
            Arc::clone(&byte_counts),
            close_connections.clone(),
        ));
        Ok(Self {
            address,
            byte_counts,
            close_connections,
        })
    }

    /// Closes all current connections.
    pub fn close_connections(&self) {
        self.close_connections.send_modify(|count| *count += 1);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    byte_counts: Arc<ByteCounts>,
    close_connections: watch::Sender<u64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let byte_counts = Arc::clone(&byte_counts);
        let mut closed = close_connections.subscribe();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            // Nagle's algorithm would delay small messages, and nodes disable it as well.
            if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
                return;
            }
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                _ = copy(client_read, server_write, &byte_counts.from_clients) => {}
                _ = copy(server_read, client_write, &byte_counts.to_clients) => {}
                _ = closed.changed() => {}
            }
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    byte_count: &AtomicU64,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        byte_count.fetch_add(length as u64, Ordering::Relaxed);
        to.write_all(&buffer[..length]).await?;
    }
}
