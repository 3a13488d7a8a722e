//! A control process as a node sees it.
