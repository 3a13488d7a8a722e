//! The head of an answer of the backend server.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::answer::Answer;
use crate::answer::Finish;
use crate::connection::Connection;
use crate::pool::Pool;
use shallotrill_wire::body::Body;

/// The head of an answer; its body is still at the backend server.
pub struct Head {
    pub(crate) parts: Parts,
    pub(crate) not_run: bool,
    pub(crate) incoming: Incoming,
    pub(crate) left: Duration,
    pub(crate) connection: Connection,
    pub(crate) pool: Arc<Pool>,
}

impl fmt::Debug for Head {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Head")
            .field("status", &self.parts.status)
            .finish_non_exhaustive()
    }
}

impl Head {
    /// The status of the answer.
    pub const fn status(&self) -> StatusCode {
        self.parts.status
    }

    /// Whether the backend server states that it did not run the request.
    ///
    /// A backend server that sheds load may say so with `shallotrill-run: not-run`
    /// on its answer; without that, an error answer proves nothing.
    pub const fn states_not_run(&self) -> bool {
        self.not_run
    }

    /// The whole answer. `finish` is called once, when its body has ended in one way or another.
    pub fn answer(self, finish: Finish) -> Response<Body> {
        let answer = Answer::new(self.incoming, self.left, self.connection, self.pool, finish);
        Response::from_parts(self.parts, answer.boxed_unsync())
    }
}
