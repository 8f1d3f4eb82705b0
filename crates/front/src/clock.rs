//! The monotonic clock of the process.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use tokio::time::Instant;

use tt_serve::Time;

/// Distance of timers that are too late for the clock.
const MAX_TIMER: Duration = Duration::from_secs(365 * 24 * 3600);

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

    /// The time since the boot of the VM, suspensions included. Zero if the kernel does not tell.
    pub(crate) fn boot_time(self) -> Duration {
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
    }

    /// Converts `time` to an instant for timers; one that is too late for the clock becomes a
    /// distant one.
    pub(crate) fn instant(self, time: Time) -> Instant {
        self.origin.checked_add(time).unwrap_or_else(|| self.origin + MAX_TIMER)
    }
}
