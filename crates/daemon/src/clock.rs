//! The wall clock, for deadlines that other machines check.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

/// The current time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    since_1970().as_millis() as u64
}

/// The wall-clock time of `at`, in milliseconds since the Unix epoch; now if `at` has passed.
pub(crate) fn unix_ms_at(at: Instant) -> u64 {
    (since_1970() + at.saturating_duration_since(Instant::now())).as_millis() as u64
}

/// The `Instant` of a wall-clock time in milliseconds since the Unix epoch; now if it has passed.
pub(crate) fn instant_at(unix_ms: u64) -> Instant {
    let left = Duration::from_millis(unix_ms).saturating_sub(since_1970());
    Instant::now() + left
}

fn since_1970() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The current time of both clocks, for claims.
pub(crate) fn claims_now() -> tt_claims::Now {
    tt_claims::Now { instant: Instant::now(), unix_ms: unix_ms() }
}
