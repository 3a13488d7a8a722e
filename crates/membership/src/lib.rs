//! Announcements, incarnations, leases and expiry of targets.
