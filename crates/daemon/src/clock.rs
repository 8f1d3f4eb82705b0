//! The wall clock, for deadlines that other machines read.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

/// Milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    since_1970().as_millis() as u64
}

/// The wall-clock time of `at`, in milliseconds since 1970.
pub(crate) fn unix_ms_at(at: Instant) -> u64 {
    (since_1970() + at.saturating_duration_since(Instant::now())).as_millis() as u64
}

/// The point on this machine's clock at a wall-clock time.
pub(crate) fn instant_at(unix_ms: u64) -> Instant {
    let left = Duration::from_millis(unix_ms).saturating_sub(since_1970());
    Instant::now() + left
}

fn since_1970() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Both clocks, for claims.
pub(crate) fn claims_now() -> tt_claims::Now {
    tt_claims::Now { instant: Instant::now(), unix_ms: unix_ms() }
}
