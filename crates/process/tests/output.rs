//! Tests of the log output with a reader that is slow or has closed the output.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use shallotrill_process::output::Output;

/// Maximum time to wait for the writer thread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Default)]
struct SinkState {
    open: bool,
    bytes: Vec<u8>,
}

/// A sink that blocks all writes until it is opened.
#[derive(Clone, Default)]
struct BlockingSink {
    state: Arc<(Mutex<SinkState>, Condvar)>,
    fails: bool,
}

impl BlockingSink {
    fn open(&self) {
        self.state.0.lock().expect("the lock is not poisoned").open = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        let state = self.state.0.lock().expect("the lock is not poisoned");
        String::from_utf8_lossy(&state.bytes).into_owned()
    }
}

impl Write for BlockingSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().expect("the lock is not poisoned");
        let mut state = self
            .state
            .1
            .wait_while(state, |s| !s.open)
            .expect("the lock is not poisoned");
        if self.fails {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        state.bytes.extend_from_slice(bytes);
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
    /// Whether lines are expected to be dropped.
    drops: bool,
}

/// Guards against writers that block on the log reader, and against dropped lines that are not counted.
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
        name: "more bytes than the queue can store",
        lines: 100,
        bytes: 64 * 1024,
        fails: false,
        drops: true,
    },
    Case {
        name: "the reader has closed the output",
        lines: 10,
        bytes: 100,
        fails: true,
        drops: false,
    },
];

#[test]
fn writers_never_block_on_the_reader() {
    for case in CASES {
        let sink = BlockingSink {
            fails: case.fails,
            ..BlockingSink::default()
        };
        let output = Output::start(Box::new(sink.clone()));
        let mut lines = output.line_writer();
        let mut line = vec![b'x'; case.bytes];
        line.push(b'\n');
        // The sink is still blocked: if a write waited for it, this loop would never finish.
        for _ in 0..case.lines {
            lines.write_all(&line).expect(case.name);
        }
        sink.open();
        output.flush(WRITE_TIMEOUT);
        // The number of dropped lines is written together with the next line.
        let dropped = output.dropped();
        std::thread::sleep(Duration::from_millis(1_050));
        lines.write_all(b"last\n").expect(case.name);
        output.flush(WRITE_TIMEOUT);
        let text = sink.text();
        assert_eq!(
            text.contains("log-lines-dropped"),
            case.drops,
            "{}",
            case.name
        );
        if !case.fails {
            assert!(text.contains("last"), "{}", case.name);
            let written_lines = text.lines().filter(|l| l.starts_with('x')).count();
            assert_eq!(written_lines < case.lines, case.drops, "{}", case.name);
        }
        assert!(dropped == 0 || case.drops, "{}", case.name);
    }
}
