//! The operators' HTTP interface and its client.
