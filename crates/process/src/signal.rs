//! Signals that ask the process to stop.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for requests to stop: the first asks for a graceful stop, the second ends the process.
#[derive(Debug)]
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    /// Registers for `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when a handler cannot be registered.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime with I/O enabled.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal. The first call waits for the graceful stop, the second for the immediate one.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for requests to read the settings again.
#[derive(Debug)]
pub struct Reload {
    hangup: Signal,
}

impl Reload {
    /// Registers for `SIGHUP`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the handler cannot be registered.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime with I/O enabled.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        // The stream ends only with the runtime.
        let _ = self.hangup.recv().await;
    }
}
