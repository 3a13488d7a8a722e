//! An output whose reader is slow or gone.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use shallotrill_process::output::Output;

/// Longest wait for the thread that writes.
const LIMIT: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Held {
    open: bool,
    bytes: Vec<u8>,
}

/// A reader that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate {
    state: Arc<(Mutex<Held>, Condvar)>,
    fails: bool,
}

impl Gate {
    fn open(&self) {
        self.state.0.lock().expect("no panic").open = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        let held = self.state.0.lock().expect("no panic");
        String::from_utf8_lossy(&held.bytes).into_owned()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let held = self.state.0.lock().expect("no panic");
        let mut held = self
            .state
            .1
            .wait_while(held, |h| !h.open)
            .expect("no panic");
        if self.fails {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        held.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Case {
    name: &'static str,
    lines: usize,
    bytes: usize,
    fails: bool,
    /// Whether some lines must be dropped.
    drops: bool,
}

/// Guards against work that waits for a reader of the log, and against lines that are lost without a count.
const CASES: &[Case] = &[
    Case {
        name: "a few lines all arrive",
        lines: 10,
        bytes: 100,
        fails: false,
        drops: false,
    },
    Case {
        name: "more lines than the rate allows",
        lines: 5_000,
        bytes: 10,
        fails: false,
        drops: true,
    },
    Case {
        name: "more bytes than the queue holds",
        lines: 100,
        bytes: 64 * 1024,
        fails: false,
        drops: true,
    },
    Case {
        name: "the reader is gone",
        lines: 10,
        bytes: 100,
        fails: true,
        drops: false,
    },
];

#[test]
fn writers_never_wait() {
    for case in CASES {
        let gate = Gate {
            fails: case.fails,
            ..Gate::default()
        };
        let output = Output::start(Box::new(gate.clone()));
        let mut lines = output.lines();
        let mut line = vec![b'x'; case.bytes];
        line.push(b'\n');
        // The reader is closed: if a write waited for it, this loop would not end.
        for _ in 0..case.lines {
            lines.write_all(&line).expect(case.name);
        }
        gate.open();
        output.flush(LIMIT);
        // One more line lets the count of the dropped ones be written.
        let dropped = output.dropped();
        std::thread::sleep(Duration::from_millis(1_050));
        lines.write_all(b"last\n").expect(case.name);
        output.flush(LIMIT);
        let text = gate.text();
        assert_eq!(
            text.contains("log-lines-dropped"),
            case.drops,
            "{}",
            case.name
        );
        if !case.fails {
            assert!(text.contains("last"), "{}", case.name);
            let whole = text.lines().filter(|l| l.starts_with('x')).count();
            assert_eq!(whole < case.lines, case.drops, "{}", case.name);
        }
        assert!(dropped == 0 || case.drops, "{}", case.name);
    }
}
