//! Answers the calls of other processes.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::frame;
use crate::message::Reply;
use crate::message::Request;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Listener;

/// A connection without a request for this long is closed; callers renew well within it.
const IDLE: Duration = Duration::from_secs(15);

/// Unacknowledged bytes close a connection after this time.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// The future of one reply.
pub type Answer = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// The function that answers one request.
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// Serves other processes until `stop` becomes true.
pub async fn run(
    listener: Listener,
    connections_max: usize,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let watched = stop.clone();
    let serve = move |stream, _| {
        let handler = Arc::clone(&handler);
        let mut stop = watched.clone();
        async move {
            tokio::select! {
                () = listen::stopped(&mut stop) => {}
                ended = connection(stream, handler) => {
                    if let Err(error) = ended {
                        debug!(event = "feed-connection-lost"; "{error}");
                    }
                }
            }
        }
    };
    listener.run(connections_max, stop, serve).await;
}

async fn connection(stream: TcpStream, handler: Handler) -> Result<(), frame::Error> {
    listen::tune(&stream, USER_TIMEOUT).map_err(frame::Error::Stream)?;
    let mut stream = BufReader::new(stream);
    loop {
        let Ok(request) = time::timeout(IDLE, frame::read(&mut stream)).await else {
            return Ok(());
        };
        let reply = handler(request?).await;
        frame::write(&mut stream, &reply).await?;
    }
}
