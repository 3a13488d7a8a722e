//! Tests of stop signals and of forwarding `slog` records.

use std::sync::Mutex;
use std::time::Duration;

use rustix::process;
use rustix::process::Signal;
use tokio::time;

use shallotrill_model::time::Wall;
use shallotrill_process::log::line;
use shallotrill_process::log::slog_logger;
use shallotrill_process::signal::Stop;

/// Maximum time to wait for a signal that was sent.
const SIGNAL_TIMEOUT: Duration = Duration::from_secs(5);

struct Case {
    name: &'static str,
    signal: Signal,
}

/// Guards against a signal that terminates the process with requests in flight, and against a second signal that is lost.
const CASES: &[Case] = &[
    Case {
        name: "graceful",
        signal: Signal::TERM,
    },
    Case {
        name: "immediate",
        signal: Signal::INT,
    },
];

#[tokio::test]
async fn signals_are_received() {
    let mut stop = Stop::listen().expect("signal handlers can be registered");
    for case in CASES {
        process::kill_process(process::getpid(), case.signal).expect(case.name);
        time::timeout(SIGNAL_TIMEOUT, stop.wait())
            .await
            .expect(case.name);
    }
}

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES
            .lock()
            .expect("the lock is not poisoned")
            .push(line(Wall(0), record));
    }

    fn flush(&self) {}
}

/// Guards against records of the HTTP library that are lost or lose their key-value pairs.
#[test]
fn slog_is_forwarded() {
    log::set_logger(&Capture).expect("no logger is set yet");
    log::set_max_level(log::LevelFilter::Trace);
    let logger = slog_logger().new(slog::o!("request" => "r1"));
    slog::warn!(logger, "late"; "ms" => 7);
    slog::debug!(logger, "hidden");
    let lines = LINES.lock().expect("the lock is not poisoned").clone();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let expected = r#""level":"warn","module":"signal","event":"late","request":"r1","ms":"7"}"#;
    assert!(lines[0].ends_with(expected), "{lines:?}");
}
