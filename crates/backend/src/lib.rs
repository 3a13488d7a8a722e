//! Connections to the backend server and its announcements.
