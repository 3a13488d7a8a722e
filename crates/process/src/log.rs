//! Logging as JSON: one object per line with stable keys.

use std::fmt;
use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use log::kv;

use crate::calendar;
use crate::clock;
use crate::output::Output;
use shallotrill_model::time::Instant;
use shallotrill_model::time::Wall;

/// Reserved keys; a key-value pair with one of these keys is written with the prefix `field_`.
const RESERVED_KEYS: [&str; 4] = ["time", "level", "module", "message"];

/// Key of a record that contains the name of the event.
const EVENT_KEY: &str = "event";

/// Libraries that log each request or connection at level `info`.
const VERBOSE_LIBRARIES: [&str; 4] = ["dropshot", "jsonrpsee", "hyper", "h2"];

/// Sends records of `level` and above to standard output. `RUST_LOG` takes precedence when it is set.
///
/// The libraries that log each request or connection are limited to warnings and above, unless
/// `RUST_LOG` sets another level. Logging never blocks on the output; see [`crate::output`].
///
/// # Errors
///
/// Returns an error when a logger is already set.
pub fn start(level: log::LevelFilter) -> Result<Output, log::SetLoggerError> {
    let output = Output::start(Box::new(io::stdout()));
    let mut builder = env_logger::Builder::new();
    builder.target(env_logger::Target::Pipe(Box::new(output.line_writer())));
    builder.filter_level(level);
    for module in VERBOSE_LIBRARIES {
        builder.filter_module(module, level.min(log::LevelFilter::Warn));
    }
    builder.parse_default_env();
    builder.format(|out, record| writeln!(out, "{}", line(clock::wall(), record)));
    builder.try_init()?;
    Ok(output)
}

/// Formats a record as one line, without the line break.
///
/// When the record has the key `event`, that value becomes `event` and the text of the record
/// becomes `message`. Otherwise the text becomes `event`.
pub fn line(time: Wall, record: &log::Record<'_>) -> String {
    let module = record.module_path().unwrap_or(record.target());
    let message = record.args().to_string();
    let event = record.key_values().get(kv::Key::from(EVENT_KEY));
    let event = event.map(|name| name.to_string());
    let has_event = event.is_some();
    let mut text = format!(
        "{{\"time\":\"{}\",\"level\":\"{}\",\"module\":{},\"event\":{}",
        calendar::format(time),
        record.level().as_str().to_ascii_lowercase(),
        quote(module),
        quote(event.as_ref().unwrap_or(&message)),
    );
    if has_event && !message.is_empty() {
        text.push_str(",\"message\":");
        text.push_str(&quote(&message));
    }
    // A value that cannot be formatted ends the visit; the reserved keys are already written.
    let _ = record
        .key_values()
        .visit(&mut PairWriter { text: &mut text });
    text.push('}');
    text
}

fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

/// Appends key-value pairs to a line.
struct PairWriter<'line> {
    text: &'line mut String,
}

impl<'kvs> kv::VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let key = match key.as_str() {
            EVENT_KEY => return Ok(()),
            reserved if RESERVED_KEYS.contains(&reserved) => format!("field_{reserved}"),
            other => other.to_owned(),
        };
        let value = encode(&value);
        self.text.push(',');
        self.text.push_str(&quote(&key));
        self.text.push(':');
        self.text.push_str(&value);
        Ok(())
    }
}

fn encode(value: &kv::Value<'_>) -> String {
    if let Some(number) = value.to_u64() {
        return number.to_string();
    }
    if let Some(number) = value.to_i64() {
        return number.to_string();
    }
    if let Some(flag) = value.to_bool() {
        return flag.to_string();
    }
    quote(&value.to_string())
}

/// A logger for libraries that use `slog`; it forwards to `log`.
pub fn slog_logger() -> slog::Logger {
    slog::Logger::root(SlogDrain, slog::o!())
}

struct SlogDrain;

impl slog::Drain for SlogDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let level = level(record.level());
        let metadata = log::Metadata::builder()
            .level(level)
            .target(record.module())
            .build();
        if !log::log_enabled!(target: record.module(), level) {
            return Ok(());
        }
        let mut pairs = CollectedPairs(Vec::new());
        // Collecting cannot fail: the serializer only formats values into strings.
        let _ = slog::KV::serialize(values, record, &mut pairs);
        let _ = slog::KV::serialize(&record.kv(), record, &mut pairs);
        log::logger().log(
            &log::Record::builder()
                .metadata(metadata)
                .module_path(Some(record.module()))
                .key_values(&pairs.0)
                .args(*record.msg())
                .build(),
        );
        Ok(())
    }
}

const fn level(level: slog::Level) -> log::Level {
    match level {
        slog::Level::Critical | slog::Level::Error => log::Level::Error,
        slog::Level::Warning => log::Level::Warn,
        slog::Level::Info => log::Level::Info,
        slog::Level::Debug => log::Level::Debug,
        slog::Level::Trace => log::Level::Trace,
    }
}

struct CollectedPairs(Vec<(String, String)>);

impl slog::Serializer for CollectedPairs {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

/// Rate limit in lines per second for one kind of log line.
///
/// It is checked before a line is formatted, so a suppressed line costs almost nothing.
#[derive(Debug)]
pub struct Quota {
    per_second: u32,
    second: AtomicU64,
    lines_in_second: AtomicU32,
    suppressed: AtomicU64,
}

impl Quota {
    /// Creates a quota of `per_second` lines per second.
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            second: AtomicU64::new(0),
            lines_in_second: AtomicU32::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Whether one more line may be written at `now`; counts the line as written or suppressed.
    pub fn allows(&self, now: Instant) -> bool {
        let second = now.0 / 1_000_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines_in_second.store(0, Ordering::Relaxed);
        }
        let allowed = self.lines_in_second.fetch_add(1, Ordering::Relaxed) < self.per_second;
        if !allowed {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Total number of suppressed lines, for metrics.
    pub fn suppressed(&self) -> u64 {
        self.suppressed.load(Ordering::Relaxed)
    }
}
