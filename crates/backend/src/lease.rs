//! Places and connections of a pool that are given up when a request is cancelled.

use crate::connection::Connection;
use crate::pool::Pool;

/// A place counted as open while its connection is being opened; given up on drop.
pub(crate) struct Place<'pool> {
    pool: &'pool Pool,
}

impl<'pool> Place<'pool> {
    pub(crate) const fn new(pool: &'pool Pool) -> Self {
        Self { pool }
    }

    pub(crate) fn keep(self) {
        std::mem::forget(self);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.pool.give_up();
    }
}

/// A connection that is closed on drop unless it is released to an answer.
pub(crate) struct Lease<'pool> {
    pool: &'pool Pool,
    connection: Option<Connection>,
    sent: bool,
}

impl<'pool> Lease<'pool> {
    pub(crate) const fn new(pool: &'pool Pool, connection: Connection) -> Self {
        Self {
            pool,
            connection: Some(connection),
            sent: false,
        }
    }

    pub(crate) fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("present until release")
    }

    /// States whether the connection carries a request.
    pub(crate) fn set_sent(&mut self, sent: bool) {
        self.sent = sent;
    }

    pub(crate) fn release(mut self) -> Connection {
        self.connection.take().expect("present until release")
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        match self.connection.take() {
            Some(connection) if self.sent => self.pool.close(connection),
            Some(connection) => {
                drop(connection);
                self.pool.give_up();
            }
            None => {}
        }
    }
}
