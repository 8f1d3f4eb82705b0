//! Log lines on standard output that never hold up a request.
//!
//! Lines are collected in memory and written by a thread. If the reader of the output stalls,
//! lines beyond a bound are dropped and counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
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

/// The lines of this process.
static LINES: OnceLock<Lines> = OnceLock::new();

/// Starts logging. `RUST_LOG` changes what is logged.
pub fn start() {
    let lines = LINES.get_or_init(Lines::default).clone();
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

/// Writes what waits, before the process ends.
pub fn flush() {
    if let Some(lines) = LINES.get()
        && let Err(error) = write_waiting(lines)
    {
        eprintln!("trefoiltiller: the last log lines are lost: {error}");
    }
}

fn write_lines(lines: &Lines) {
    loop {
        std::thread::sleep(FLUSH_EVERY);
        // Without a reader there is nowhere to report to.
        if write_waiting(lines).is_err() {
            return;
        }
    }
}

fn write_waiting(lines: &Lines) -> io::Result<()> {
    let mut out = io::stdout().lock();
    let waiting = lines.take();
    if waiting.dropped > 0 {
        writeln!(out, "level=WARN log: lines_dropped={}", waiting.dropped)?;
    }
    out.write_all(&waiting.bytes)?;
    out.flush()
}
