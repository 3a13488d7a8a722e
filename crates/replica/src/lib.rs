//! Another control process as a control process sees it.
