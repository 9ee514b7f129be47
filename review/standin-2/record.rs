//! Record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    /// Name of the deployment, where a scenario plays several beside each other.
    label: String,
}

impl Record {
    /// Creates `record.txt` in the current folder.
    pub fn create() -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create("record.txt")?)),
            label: String::new(),
        })
    }

    /// Returns a record in the same file whose lines begin with `label`.
    pub fn labelled(&self, label: &str) -> Record {
        Record { start: self.start, file: self.file.clone(), label: format!("{label} ") }
    }

    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        // A record that can't be written changes nothing for the verdict.
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.3} {}{text}", self.label);
    }

    /// Writes the verdict to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{}{text}", self.label);
    }
}
