//! Non-blocking output for log lines.
//!
//! Lines pass through a bounded queue to a dedicated writer thread. When the queue is full because
//! the reader is slow, or when the rate limit is exceeded, lines are dropped and counted. The count
//! is written with the next batch of lines.

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

/// Maximum size of the queued lines.
const QUEUE_BYTES_MAX: usize = 1024 * 1024;

/// Maximum number of lines per second, so that a repeated failure does not exhaust the processor or the disk of the log reader.
const LINES_PER_SECOND: u32 = 400;

#[derive(Debug)]
struct Queue {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
    dropped: u64,
    /// Number of lines that the writer thread is writing.
    writing: usize,
    second_start: Instant,
    lines_in_second: u32,
}

#[derive(Debug)]
struct Shared {
    queue: Mutex<Queue>,
    /// Wakes the writer thread and the callers of [`Output::flush`].
    changed: Condvar,
}

/// A sink with a dedicated writer thread.
#[derive(Clone, Debug)]
pub struct Output {
    shared: Arc<Shared>,
}

/// Queues lines for an [`Output`]; each write is one line and never blocks on the sink.
#[derive(Clone, Debug)]
pub struct LineWriter {
    shared: Arc<Shared>,
}

impl Output {
    /// Starts the thread that writes to `sink`.
    ///
    /// # Panics
    ///
    /// Panics when the operating system cannot create the thread.
    pub fn start(sink: Box<dyn Write + Send>) -> Self {
        let queue = Queue {
            lines: VecDeque::new(),
            bytes: 0,
            dropped: 0,
            writing: 0,
            second_start: Instant::now(),
            lines_in_second: 0,
        };
        let shared = Arc::new(Shared {
            queue: Mutex::new(queue),
            changed: Condvar::new(),
        });
        let writer = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run_writer(sink))
            .expect("the thread that writes the log can be created");
        Self { shared }
    }

    /// Returns a writer that queues lines for this output.
    pub fn line_writer(&self) -> LineWriter {
        LineWriter {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Number of dropped lines that are not yet reported in the output.
    pub fn dropped(&self) -> u64 {
        self.shared.lock().dropped
    }

    /// Waits until all queued lines are written, but not longer than `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let queue = self.shared.lock();
        let pending = |queue: &mut Queue| !queue.lines.is_empty() || queue.writing > 0;
        let waited = self
            .shared
            .changed
            .wait_timeout_while(queue, timeout, pending);
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
        if now.duration_since(queue.second_start) >= Duration::from_secs(1) {
            queue.second_start = now;
            queue.lines_in_second = 0;
        }
        queue.lines_in_second += 1;
        if queue.lines_in_second > LINES_PER_SECOND || queue.bytes + line.len() > QUEUE_BYTES_MAX {
            queue.dropped += 1;
            return;
        }
        queue.bytes += line.len();
        queue.lines.push_back(line.to_vec());
        drop(queue);
        self.changed.notify_all();
    }

    /// Runs the writer thread. It writes all queued lines in one call, so that a burst causes few wake-ups.
    fn run_writer(&self, mut sink: Box<dyn Write + Send>) {
        loop {
            let mut bytes = Vec::new();
            {
                let queue = self.lock();
                let queue_is_empty = |queue: &mut Queue| queue.lines.is_empty();
                let waited = self.changed.wait_while(queue, queue_is_empty);
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
            // A closed output must not terminate the process, and there is no other place to report the error.
            let _ = sink.write_all(&bytes).and_then(|()| sink.flush());
            self.lock().writing = 0;
            self.changed.notify_all();
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.shared.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
