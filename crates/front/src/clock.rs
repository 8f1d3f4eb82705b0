//! The steady clock of the process.

use tokio::time::Instant;

use tt_serve::Time;

/// Counts the time since the start of the process.
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

    /// The moment `time`, for timers.
    pub(crate) fn at(self, time: Time) -> Instant {
        self.origin + time
    }
}
