//! Response head of the backend server.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::connection::Connection;
use crate::pool::Pool;
use crate::response::Finish;
use crate::response::ResponseBody;
use shallotrill_wire::body::Body;

/// Status and headers of a response whose body has not been read yet.
pub struct Head {
    pub(crate) parts: Parts,
    pub(crate) not_run: bool,
    pub(crate) incoming: Incoming,
    pub(crate) remaining: Duration,
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
    /// The HTTP status of the response.
    pub const fn status(&self) -> StatusCode {
        self.parts.status
    }

    /// The end-to-end headers of the response.
    pub const fn headers(&self) -> &HeaderMap {
        &self.parts.headers
    }

    /// Whether the backend server states that it did not run the request.
    ///
    /// A backend server that sheds load may state it with `shallotrill-run: not-run`.
    /// Without that header, an error response does not prove that the request did not run.
    pub const fn states_not_run(&self) -> bool {
        self.not_run
    }

    /// Converts the head into a response with its body. `finish` is called once when the body has ended.
    pub fn into_response(self, finish: Finish) -> Response<Body> {
        let body = ResponseBody::new(
            self.incoming,
            self.remaining,
            self.connection,
            self.pool,
            finish,
        );
        Response::from_parts(self.parts, body.boxed_unsync())
    }
}
