//! The monotonic clock of the process.

use tokio::time::Instant;

use tt_serve::Time;

/// Measures the time since the start of the daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    pub(crate) fn now(self) -> Time {
        self.origin.elapsed()
    }

    /// Converts `time` to an instant for timers.
    pub(crate) fn instant(self, time: Time) -> Instant {
        self.origin + time
    }
}
