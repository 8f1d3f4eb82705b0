//! What a run writes to `record.txt`, and how it ends.

use std::fmt::Write;
use std::fs;
use std::path::PathBuf;
use std::time::Instant;

pub struct Record {
    start: Instant,
    path: PathBuf,
    text: String,
}

impl Record {
    pub fn new(path: PathBuf) -> Record {
        Record { start: Instant::now(), path, text: String::new() }
    }

    /// Seconds since the start of the run.
    pub fn at(&self, time: Instant) -> f64 {
        time.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Adds a line that happened at `time`.
    pub fn line(&mut self, time: Instant, line: &str) {
        let at = self.at(time);
        let _ = writeln!(self.text, "{at:9.3} {line}");
    }

    /// Adds a line without a time.
    pub fn note(&mut self, line: &str) {
        println!("{line}");
        let _ = writeln!(self.text, "{line}");
    }

    pub fn write(&self) {
        if let Err(error) = fs::write(&self.path, &self.text) {
            eprintln!("{}: {error}", self.path.display());
        }
    }
}
