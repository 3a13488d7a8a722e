//! An output that never keeps its writers waiting.
//!
//! Lines go through a bounded queue to a thread of their own. When the reader of
//! the output is slow or gone, or when more lines come than the rate allows,
//! lines are dropped, counted, and the count is written as soon as there is room.

use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Most bytes that wait for the reader.
const QUEUE_BYTES_MAX: usize = 1024 * 1024;

/// Most lines in a second, so that a failure that repeats does not use up the processor or the disk of its reader.
const LINES_PER_SECOND: u32 = 400;

#[derive(Debug)]
struct Queue {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    dropped: u64,
    /// Lines that are being written now.
    writing: usize,
    second: Instant,
    in_second: u32,
}

#[derive(Debug)]
struct Shared {
    queue: Mutex<Queue>,
    /// Wakes the thread that writes, and those that wait for it to finish.
    changed: Condvar,
}

/// An output with a thread that writes to it.
#[derive(Clone, Debug)]
pub struct Output {
    shared: Arc<Shared>,
}

/// Takes lines for an output; each write is one line.
#[derive(Clone, Debug)]
pub struct Lines {
    shared: Arc<Shared>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    ///
    /// # Panics
    ///
    /// Panics when the system refuses a thread.
    pub fn start(sink: Box<dyn Write + Send>) -> Self {
        let queue = Queue {
            lines: VecDeque::new(),
            bytes: 0,
            dropped: 0,
            writing: 0,
            second: Instant::now(),
            in_second: 0,
        };
        let shared = Arc::new(Shared {
            queue: Mutex::new(queue),
            changed: Condvar::new(),
        });
        let writing = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writing.write(sink))
            .expect("the system grants a thread");
        Self { shared }
    }

    /// A place for lines.
    pub fn lines(&self) -> Lines {
        Lines {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Lines that were dropped and not yet reported in the output.
    pub fn dropped(&self) -> u64 {
        self.shared.lock().dropped
    }

    /// Waits until all lines are written, `limit` at most.
    pub fn flush(&self, limit: Duration) {
        let queue = self.shared.lock();
        let pending = |queue: &mut Queue| !queue.lines.is_empty() || queue.writing > 0;
        let waited = self
            .shared
            .changed
            .wait_timeout_while(queue, limit, pending);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut queue = self.lock();
        let now = Instant::now();
        if now.duration_since(queue.second) >= Duration::from_secs(1) {
            queue.second = now;
            queue.in_second = 0;
        }
        queue.in_second += 1;
        if queue.in_second > LINES_PER_SECOND || queue.bytes + line.len() > QUEUE_BYTES_MAX {
            queue.dropped += 1;
            return;
        }
        queue.bytes += line.len();
        queue.lines.push_back(line.to_vec());
        drop(queue);
        self.changed.notify_all();
    }

    /// Writes all lines that wait in one call, so that a burst costs few wake-ups.
    fn write(&self, mut sink: Box<dyn Write + Send>) {
        loop {
            let mut bytes = Vec::new();
            {
                let queue = self.lock();
                let idle = |queue: &mut Queue| queue.lines.is_empty();
                let waited = self.changed.wait_while(queue, idle);
                let mut queue = waited.unwrap_or_else(PoisonError::into_inner);
                queue.writing = queue.lines.len();
                for line in queue.lines.drain(..) {
                    bytes.extend_from_slice(&line);
                }
                queue.bytes = 0;
                let dropped = std::mem::take(&mut queue.dropped);
                if dropped > 0 {
                    let line = format!(
                        "{{\"level\":\"warn\",\"event\":\"log-lines-dropped\",\"lines\":{dropped}}}\n"
                    );
                    bytes.extend_from_slice(line.as_bytes());
                }
            }
            // A reader that is gone must not end the process, and there is no other place to report it.
            let _ = sink.write_all(&bytes).and_then(|()| sink.flush());
            self.lock().writing = 0;
            self.changed.notify_all();
        }
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.shared.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
