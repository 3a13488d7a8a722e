//! Names of the headers that callers and backend servers use.

use http::HeaderName;

/// Names of the headers. Another front end brings its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// Identity of one attempt of a caller; answers repeat it.
    pub request: HeaderName,
    /// Time that the caller will wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Proof of the backend server that an answer is its own.
    pub seal: HeaderName,
    /// Which life of a backend server a request is meant for.
    pub expected: HeaderName,
    /// Load of the backend server: running, waiting, slots, and the slowness of its machine in percent.
    pub load: HeaderName,
    /// States that the backend server did not run the request.
    pub not_run: HeaderName,
    /// Service on whose instance a request began.
    pub caller: HeaderName,
}

impl Default for Names {
    fn default() -> Self {
        Self {
            request: HeaderName::from_static("shallotrill-request"),
            deadline_ms: HeaderName::from_static("shallotrill-deadline-ms"),
            seal: HeaderName::from_static("shallotrill-seal"),
            expected: HeaderName::from_static("shallotrill-expected"),
            load: HeaderName::from_static("shallotrill-backend-load"),
            not_run: HeaderName::from_static("shallotrill-backend-not-run"),
            caller: HeaderName::from_static("shallotrill-caller"),
        }
    }
}
