//! Rate-limited, buffered log output that never blocks the thread that logs.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Maximum lines per second: five lines for each of a thousand task starts.
const MAX_LINES_PER_SECOND: u64 = 5_000;
/// Maximum bytes buffered for the writer thread, about half a second at the maximum line rate.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Interval between writes to standard output. Writing each line separately doubled the CPU time of a host.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Prefixes of the log targets that are written. Other libraries log every client disconnect as an error.
const TARGET_PREFIXES: [&str; 2] = ["decision", "yuccahoist"];

/// Log line counters since the start of the process.
#[derive(Debug, Default)]
pub struct LineCounts {
    submitted: AtomicU64,
    written: AtomicU64,
}

impl LineCounts {
    /// Returns the number of lines submitted, including those dropped by the rate limit or a full buffer.
    #[must_use]
    pub fn submitted(&self) -> u64 {
        self.submitted.load(Ordering::Relaxed)
    }

    /// Returns the number of lines written. It trails [`Self::submitted`] by the buffered and the dropped lines.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// Appender that filters by target and drops lines above [`MAX_LINES_PER_SECOND`].
#[derive(Debug)]
pub(super) struct RateLimited<A> {
    inner: A,
    counts: Arc<LineCounts>,
    origin: Instant,
    window: AtomicU64,
    window_lines: AtomicU64,
}

impl<A> RateLimited<A> {
    pub(super) fn new(inner: A, counts: Arc<LineCounts>) -> Self {
        Self {
            inner,
            counts,
            origin: Instant::now(),
            window: AtomicU64::new(0),
            window_lines: AtomicU64::new(0),
        }
    }

    /// Counts a line in the current one-second window and returns whether it is within the limit.
    fn admit_line(&self) -> bool {
        let window = self.origin.elapsed().as_secs();
        if self.window.swap(window, Ordering::Relaxed) != window {
            self.window_lines.store(0, Ordering::Relaxed);
        }
        self.window_lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}

impl<A: Append> Append for RateLimited<A> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !TARGET_PREFIXES.iter().any(|prefix| record.target().starts_with(prefix)) {
            return Ok(());
        }
        self.counts.submitted.fetch_add(1, Ordering::Relaxed);
        if self.admit_line() { self.inner.append(record, diagnostics) } else { Ok(()) }
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}

/// Appender that buffers JSON lines in memory; a dedicated thread writes them to standard output.
///
/// Lines that do not fit in the buffer are dropped.
#[derive(Debug)]
pub(super) struct BufferedStdout {
    layout: JsonLayout,
    buffer: Arc<Mutex<LineBuffer>>,
    counts: Arc<LineCounts>,
}

/// Lines not yet written, each ending in a newline.
#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
}

impl BufferedStdout {
    /// Creates the appender and starts its writer thread.
    pub(super) fn new(counts: Arc<LineCounts>) -> Self {
        let stdout = Self { layout: JsonLayout::default(), buffer: Arc::default(), counts };
        let (buffer, counts) = (stdout.buffer.clone(), stdout.counts.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(WRITE_INTERVAL);
                write_buffered(&buffer, &counts);
            }
        });
        stdout
    }
}

fn write_buffered(buffer: &Mutex<LineBuffer>, counts: &LineCounts) {
    let pending = std::mem::take(&mut *buffer.lock().unwrap_or_else(PoisonError::into_inner));
    let mut output = std::io::stdout().lock();
    for line in pending.bytes.split_inclusive(|byte| *byte == b'\n') {
        // A write error cannot be logged, because this is the log output.
        if output.write_all(line).is_ok() {
            counts.written.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for BufferedStdout {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() < MAX_BUFFERED_BYTES {
            buffer.bytes.extend_from_slice(&line);
            buffer.bytes.push(b'\n');
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write_buffered(&self.buffer, &self.counts);
        Ok(())
    }
}
