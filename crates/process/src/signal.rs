//! Signals that request a stop of the process or a reload of its settings.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Receives stop signals: the first requests a graceful stop, the second an immediate one.
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
    /// Returns the error of the operating system when a handler cannot be registered.
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

    /// Waits for the next stop signal. The first call returns on the request for a graceful stop, the second on the one for an immediate stop.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Receives the signal that requests a reload of the settings.
#[derive(Debug)]
pub struct Reload {
    hangup: Signal,
}

impl Reload {
    /// Registers for `SIGHUP`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the handler cannot be registered.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime with I/O enabled.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next reload signal.
    pub async fn wait(&mut self) {
        // `recv` returns `None` only when the runtime shuts down.
        let _ = self.hangup.recv().await;
    }
}
