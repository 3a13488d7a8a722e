//! The answering side: typed methods on a `jsonrpsee` server.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::envelope::Envelope;

/// Error code of JSON-RPC for a question that cannot be read.
const INVALID_PARAMS: i32 = -32602;

/// Pause between pings to a client.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which a client counts as gone.
const SILENCE: Duration = Duration::from_secs(4);

/// A server that could not be started.
#[derive(Debug)]
pub struct Error {
    /// Address that was asked for.
    pub address: SocketAddr,
    /// Why it could not be listened on.
    pub cause: io::Error,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot listen on {}: {}", self.address, self.cause)
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        Some(&self.cause)
    }
}

/// A running server.
#[derive(Debug)]
pub struct Handle(ServerHandle);

impl Handle {
    /// Takes no more questions and waits until those in flight are answered.
    pub async fn stop(self) {
        // An error says that the server had stopped before.
        if self.0.stop().is_ok() {
            self.0.stopped().await;
        }
    }
}

/// The methods of a server over a shared context.
pub struct Methods<C> {
    module: RpcModule<C>,
}

impl<C> fmt::Debug for Methods<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Methods").finish_non_exhaustive()
    }
}

impl<C: Send + Sync + 'static> Methods<C> {
    /// No methods yet.
    pub fn new(context: Arc<C>) -> Self {
        Self {
            module: RpcModule::from_arc(context),
        }
    }

    /// Adds a method. A question of another form or version is answered with an error that says so.
    ///
    /// # Panics
    ///
    /// Panics when the method exists, which is a programming fault.
    pub fn add<Q, A, F>(&mut self, name: &'static str, answer: fn(Arc<C>, Q) -> F)
    where
        Q: DeserializeOwned + Send + 'static,
        A: Serialize + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        self.module
            .register_async_method(name, move |params, context, _| async move {
                let envelope: Envelope = params.one()?;
                let question = envelope.open().map_err(|error| {
                    ErrorObjectOwned::owned(INVALID_PARAMS, error.to_string(), None::<()>)
                })?;
                let answer = answer(context, question).await;
                Ok::<Envelope, ErrorObjectOwned>(Envelope::seal(&answer))
            })
            .expect("method names are unique");
    }

    /// Starts serving. The server stops when the returned handle is told to.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the address cannot be listened on.
    pub async fn serve(
        self,
        address: SocketAddr,
        connections_max: u32,
        message_bytes: u32,
    ) -> Result<(Handle, SocketAddr), Error> {
        let failed = |cause| Error { address, cause };
        let ping = PingConfig::new()
            .ping_interval(PING_INTERVAL)
            .inactive_limit(SILENCE)
            .max_failures(1);
        let config = ServerConfig::builder()
            .max_connections(connections_max)
            .max_request_body_size(message_bytes)
            .max_response_body_size(message_bytes)
            .enable_ws_ping(ping)
            .ws_only()
            .build();
        let server = Server::builder()
            .set_config(config)
            .build(address)
            .await
            .map_err(failed)?;
        let address = server.local_addr().map_err(failed)?;
        Ok((Handle(server.start(self.module)), address))
    }
}
