//! Admission at the target and the probe budget.
