//! Server side of the connections: reads requests of other processes and writes the replies.

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
use shallotrill_wire::connection::Tracker;
use shallotrill_wire::listen;
use shallotrill_wire::listen::Limit;
use shallotrill_wire::listen::Listener;

/// Time without a request after which a connection is closed. Clients send requests at much shorter intervals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// `TCP_USER_TIMEOUT`: time after which a connection with unacknowledged bytes is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Future that resolves to the reply to one request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Function that processes one request.
pub type Handler = Arc<dyn Fn(Request) -> ResponseFuture + Send + Sync>;

/// Serves connections from `listener`, at most `connections_max` concurrently, until `stop` becomes true.
pub async fn run(
    listener: Listener,
    connections_max: usize,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let stop_receiver = stop.clone();
    let serve_connection = move |stream, _| {
        let handler = Arc::clone(&handler);
        let mut stop = stop_receiver.clone();
        async move {
            tokio::select! {
                () = listen::stopped(&mut stop) => {}
                result = connection(stream, handler, None) => {
                    if let Err(error) = result {
                        debug!(event = "feed-connection-lost"; "connection of another process failed: {error}");
                    }
                }
            }
        }
    };
    listener.run(connections_max, stop, serve_connection).await;
}

/// Serves connections as [`run`] does, with a budget for arriving messages, and closes idle connections for
/// new ones at the limit.
pub async fn run_within(
    listener: Listener,
    limit: Arc<Limit>,
    stop: watch::Receiver<bool>,
    handler: Handler,
) {
    let stop_receiver = stop.clone();
    let serve_connection = move |stream, tracker: Arc<Tracker>| {
        let handler = Arc::clone(&handler);
        let mut stop = stop_receiver.clone();
        async move {
            tokio::select! {
                () = listen::stopped(&mut stop) => {}
                result = connection(stream, handler, Some(&tracker)) => {
                    if let Err(error) = result {
                        debug!(event = "feed-connection-lost"; "connection of another process failed: {error}");
                    }
                }
            }
        }
    };
    listener.run_within(limit, stop, serve_connection).await;
}

async fn connection(
    stream: TcpStream,
    handler: Handler,
    tracker: Option<&Arc<Tracker>>,
) -> Result<(), frame::Error> {
    listen::configure_stream(&stream, USER_TIMEOUT).map_err(frame::Error::Stream)?;
    let mut stream = BufReader::new(stream);
    loop {
        let budget = tracker.map(|tracker| tracker.budget());
        let reading = frame::read_within(&mut stream, budget);
        let Ok(request) = time::timeout(IDLE_TIMEOUT, reading).await else {
            return Ok(());
        };
        let _busy = tracker.map(Tracker::begin);
        let reply = handler(request?).await;
        frame::write(&mut stream, &reply).await?;
    }
}
