//! Choice of a target from aged load reports.
