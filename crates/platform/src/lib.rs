//! Settings, signals, logs, metrics and facts about the process.
