//! The node role: the process beside each backend server.
