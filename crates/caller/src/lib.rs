//! HTTP listener for callers and checks of their requests.
