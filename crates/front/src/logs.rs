//! Log lines on standard output that never hold up a request.
//!
//! Lines are collected in memory and written by a thread. If the reader of the output stalls,
//! lines beyond a bound are dropped and counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::sync::lock;

/// Bytes that wait for the writer at most.
const MAX_WAITING_BYTES: usize = 256 * 1024;

/// Time between two writes.
const FLUSH_EVERY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Clone, Default)]
struct Lines {
    waiting: Arc<Mutex<Waiting>>,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = lock(&self.waiting);
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn take(&self) -> Waiting {
        std::mem::take(&mut *lock(&self.waiting))
    }
}

/// Starts logging. `RUST_LOG` changes what is logged.
pub fn start() {
    let lines = Lines::default();
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .format(|out, record| {
            let level = record.level();
            writeln!(out, "time={} level={level} {}", out.timestamp_millis(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(lines.clone())))
        .init();
    std::thread::spawn(move || write_lines(&lines));
}

fn write_lines(lines: &Lines) {
    loop {
        std::thread::sleep(FLUSH_EVERY);
        let waiting = lines.take();
        let mut out = io::stdout().lock();
        if waiting.dropped > 0 {
            // Standard output is the only place to report to; if it fails, there is none.
            let _ = writeln!(out, "level=WARN log: lines_dropped={}", waiting.dropped);
        }
        if out.write_all(&waiting.bytes).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
