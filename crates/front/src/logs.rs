//! Log lines on standard output that never block a request.
//!
//! Lines are buffered in memory and written by a thread. If the reader of the output stalls, lines
//! beyond a bound are dropped and counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use crate::sync::lock;

/// Size of the buffer; lines beyond it are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Interval between writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

#[derive(Debug, Clone, Default)]
struct LogWriter {
    buffer: Arc<Mutex<Buffer>>,
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = lock(&self.buffer);
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped_lines += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogWriter {
    fn take(&self) -> Buffer {
        std::mem::take(&mut *lock(&self.buffer))
    }
}

/// The writer of this process; set by [`start`].
static LOG_WRITER: OnceLock<LogWriter> = OnceLock::new();

/// Starts logging. The variable `RUST_LOG` sets the filter; the default is `info`.
pub fn start() {
    let log_writer = LOG_WRITER.get_or_init(LogWriter::default).clone();
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let level = record.level();
            writeln!(out, "time={} level={level} {}", out.timestamp_millis(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(log_writer.clone())))
        .init();
    std::thread::spawn(move || write_periodically(&log_writer));
}

/// Writes the buffered lines; to be called before the process ends.
pub fn flush() {
    if let Some(log_writer) = LOG_WRITER.get()
        && let Err(error) = write_buffered(log_writer)
    {
        eprintln!("trefoiltiller: the last log lines are lost: {error}");
    }
}

fn write_periodically(log_writer: &LogWriter) {
    loop {
        std::thread::sleep(FLUSH_INTERVAL);
        // Standard output is closed: there is nowhere to report the error.
        if write_buffered(log_writer).is_err() {
            return;
        }
    }
}

fn write_buffered(log_writer: &LogWriter) -> io::Result<()> {
    let mut out = io::stdout().lock();
    let buffer = log_writer.take();
    if buffer.dropped_lines > 0 {
        writeln!(out, "level=WARN log: lines_dropped={}", buffer.dropped_lines)?;
    }
    out.write_all(&buffer.bytes)?;
    out.flush()
}
