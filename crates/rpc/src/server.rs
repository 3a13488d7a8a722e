//! Server side: typed methods on a `jsonrpsee` server.

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

/// JSON-RPC error code for a request that cannot be decoded.
const INVALID_PARAMS: i32 = -32602;

/// Interval between pings to a client.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without received data after which the connection of a client is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a server could not be started.
#[derive(Debug)]
pub struct Error {
    /// Requested listen address.
    pub address: SocketAddr,
    /// Error of the operating system.
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

/// Handle of a running server, to stop it.
#[derive(Debug)]
pub struct Handle(ServerHandle);

impl Handle {
    /// Accepts no more requests and waits until those in flight are answered.
    pub async fn stop(self) {
        // An error means that the server has already stopped.
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
    /// Creates an empty set of methods over a context.
    pub fn new(context: Arc<C>) -> Self {
        Self {
            module: RpcModule::from_arc(context),
        }
    }

    /// Adds a method. A request that cannot be decoded receives an error response with the reason.
    ///
    /// # Panics
    ///
    /// Panics when a method of this name exists, which is a programming error.
    pub fn add<Q, A, F>(&mut self, name: &'static str, handler: fn(Arc<C>, Q) -> F)
    where
        Q: DeserializeOwned + Send + 'static,
        A: Serialize + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        self.module
            .register_async_method(name, move |params, context, _| async move {
                let envelope: Envelope = params.one()?;
                let request = envelope.decode().map_err(|error| {
                    ErrorObjectOwned::owned(INVALID_PARAMS, error.to_string(), None::<()>)
                })?;
                let response = handler(context, request).await;
                Ok::<Envelope, ErrorObjectOwned>(Envelope::encode(&response))
            })
            .expect("method names are unique");
    }

    /// Starts the server, which runs until [`Handle::stop`]. Also returns the address with the assigned port.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the address cannot be bound.
    pub async fn serve(
        self,
        address: SocketAddr,
        connections_max: u32,
        message_bytes_max: u32,
    ) -> Result<(Handle, SocketAddr), Error> {
        let bind_error = |cause| Error { address, cause };
        let ping = PingConfig::new()
            .ping_interval(PING_INTERVAL)
            .inactive_limit(SILENCE_TIMEOUT)
            .max_failures(1);
        let config = ServerConfig::builder()
            .max_connections(connections_max)
            .max_request_body_size(message_bytes_max)
            .max_response_body_size(message_bytes_max)
            .enable_ws_ping(ping)
            .ws_only()
            .build();
        let server = Server::builder()
            .set_config(config)
            .build(address)
            .await
            .map_err(bind_error)?;
        let address = server.local_addr().map_err(bind_error)?;
        Ok((Handle(server.start(self.module)), address))
    }
}
