//! Statuses that a response may have.

use http::StatusCode;

/// Whether a status ends a request, as RFC 9110, section 15, defines it: 200 to 599.
///
/// hyper also accepts 600 to 999, which no client can interpret, and an interim response in the place of the final one.
pub const fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}
