//! Names of the headers that callers and backend servers use.

use http::HeaderName;

/// Names of the headers. Each front end supplies its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// Id of one attempt of a caller; the response repeats it.
    pub request: HeaderName,
    /// Time that the caller waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Proof that a response was created by the backend server.
    pub seal: HeaderName,
    /// Name of the backend server that a request is sent to; another one must refuse it.
    pub expected: HeaderName,
    /// Load of the backend server: running and waiting requests, slots, and the slowness of its
    /// machine in percent.
    pub load: HeaderName,
    /// Requests per second that the backend server accepts from all routers together, a decimal number.
    pub limit: HeaderName,
    /// `1` when the backend server is leaving and takes no further requests.
    pub leaving: HeaderName,
    /// Present when the backend server did not run the request.
    pub not_run: HeaderName,
    /// Service on whose instance a request was received.
    pub caller: HeaderName,
    /// Remaining time for which the backend server is cold, in a health response, in milliseconds.
    pub cold_ms: HeaderName,
    /// Key of a workspace in a request of a caller; never passed on.
    pub credential: HeaderName,
    /// Name of the workspace of a request, for the backend server.
    pub workspace: HeaderName,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            request: HeaderName::from_static("shallotrill-request"),
            deadline_ms: HeaderName::from_static("shallotrill-deadline-ms"),
            seal: HeaderName::from_static("shallotrill-seal"),
            expected: HeaderName::from_static("shallotrill-expected"),
            load: HeaderName::from_static("shallotrill-backend-load"),
            limit: HeaderName::from_static("shallotrill-backend-limit"),
            leaving: HeaderName::from_static("shallotrill-backend-leaving"),
            not_run: HeaderName::from_static("shallotrill-backend-not-run"),
            caller: HeaderName::from_static("shallotrill-caller"),
            cold_ms: HeaderName::from_static("shallotrill-backend-cold-ms"),
            credential: HeaderName::from_static("shallotrill-key"),
            workspace: HeaderName::from_static("shallotrill-workspace"),
        }
    }
}
