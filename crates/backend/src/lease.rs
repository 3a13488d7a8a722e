//! Guards that release slots and connections of a pool when a request is cancelled.

use crate::connection::Connection;
use crate::pool::Pool;

/// Slot that is counted as open while its connection is being opened. Dropping it releases the slot.
pub(crate) struct SlotReservation<'pool> {
    pool: &'pool Pool,
}

impl<'pool> SlotReservation<'pool> {
    pub(crate) const fn new(pool: &'pool Pool) -> Self {
        Self { pool }
    }

    pub(crate) fn commit(self) {
        std::mem::forget(self);
    }
}

impl Drop for SlotReservation<'_> {
    fn drop(&mut self) {
        self.pool.release_slot();
    }
}

/// Connection in use by a request; it is closed on drop unless it was released.
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
        self.connection
            .as_mut()
            .expect("the connection is present until release")
    }

    /// Sets whether a request was sent whose response is outstanding.
    pub(crate) fn set_sent(&mut self, sent: bool) {
        self.sent = sent;
    }

    pub(crate) fn release(mut self) -> Connection {
        self.connection
            .take()
            .expect("the connection is present until release")
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        match self.connection.take() {
            Some(connection) if self.sent => self.pool.close(connection),
            Some(connection) => {
                drop(connection);
                self.pool.release_slot();
            }
            None => {}
        }
    }
}
