//! HTTP/2 connections between nodes and the forwarding headers.
