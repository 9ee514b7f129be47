//! Log output that never makes a request wait and whose volume is bounded.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};

/// Lines a second beyond which lines are dropped.
const LINES: u64 = 5_000; // Five lines for each of a thousand task starts a second.
/// Bytes that wait for the thread that writes them.
const BYTES: usize = 1 << 20; // Half a second of the highest rate.
/// Pause between two writes.
const PAUSE: Duration = Duration::from_millis(100); // A write for each line doubled the processor time of a host.
/// Beginnings of the targets whose lines are written; other libraries report each caller that leaves as an error.
const TARGETS: [&str; 2] = ["decision", "yuccahoist"];

/// Numbers of log lines since the start of the process.
#[derive(Debug, Default)]
pub struct LineCounts {
    asked: AtomicU64,
    written: AtomicU64,
}

impl LineCounts {
    /// Lines that were to be written.
    #[must_use]
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::Relaxed)
    }

    /// Lines that were written; those that are missing for good were dropped.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

/// Passes on the lines of this project up to a rate.
#[derive(Debug)]
pub(super) struct Bounded<A> {
    inner: A,
    counts: Arc<LineCounts>,
    origin: Instant,
    second: AtomicU64,
    lines: AtomicU64,
}

impl<A> Bounded<A> {
    pub(super) fn new(inner: A, counts: Arc<LineCounts>) -> Self {
        Self { inner, counts, origin: Instant::now(), second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    fn has_room(&self) -> bool {
        let second = self.origin.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < LINES
    }
}

impl<A: Append> Append for Bounded<A> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !TARGETS.iter().any(|target| record.target().starts_with(target)) {
            return Ok(());
        }
        self.counts.asked.fetch_add(1, Ordering::Relaxed);
        if self.has_room() { self.inner.append(record, diagnostics) } else { Ok(()) }
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}

/// Collects lines in memory; a thread of its own writes them to standard output.
#[derive(Debug)]
pub(super) struct Collected {
    layout: JsonLayout,
    lines: Arc<Mutex<Lines>>,
    counts: Arc<LineCounts>,
}

/// Lines that wait for the thread.
#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
}

impl Collected {
    pub(super) fn new(counts: Arc<LineCounts>) -> Self {
        let collected = Self { layout: JsonLayout::default(), lines: Arc::default(), counts };
        let (lines, counts) = (collected.lines.clone(), collected.counts.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(PAUSE);
                write_out(&lines, &counts);
            }
        });
        collected
    }
}

fn write_out(lines: &Mutex<Lines>, counts: &LineCounts) {
    let taken = std::mem::take(&mut *lines.lock().unwrap_or_else(PoisonError::into_inner));
    let mut output = std::io::stdout().lock();
    for line in taken.bytes.split_inclusive(|byte| *byte == b'\n') {
        // A closed output leaves nowhere to report the error.
        if output.write_all(line).is_ok() {
            counts.written.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for Collected {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.bytes.len() + line.len() < BYTES {
            lines.bytes.extend_from_slice(&line);
            lines.bytes.push(b'\n');
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write_out(&self.lines, &self.counts);
        Ok(())
    }
}
