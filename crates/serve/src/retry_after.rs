//! When a caller is told to come back with a request that has not run.

use std::time::Duration;

/// Why a request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The searchers that it needs took none of its sends, or could not be reached.
    Busy,
    /// There is nothing to try: no configuration, or no searcher that takes work.
    Unserved,
}

/// How long callers are told to wait.
#[derive(Debug, Clone, Copy)]
pub struct RetryAfterSettings {
    /// Wait after searchers were busy; their queues are shorter than this.
    pub busy_delay: Duration,
    /// Longest wait while there is nothing to try: the platform promises that registrations are
    /// back within this time after an outage of its store.
    pub unserved_delay: Duration,
    /// Part of the time that a caller has left; callers wait no longer than a third of it.
    pub remaining_ratio: f64,
}

impl Default for RetryAfterSettings {
    fn default() -> Self {
        RetryAfterSettings {
            busy_delay: Duration::from_millis(150),
            unserved_delay: Duration::from_secs(2),
            remaining_ratio: 0.3,
        }
    }
}

/// When a caller that has `left` is told to come back. A later attempt has better chances the
/// longer an outage has had to end, so that it is as late as the caller accepts.
pub fn retry_after(
    refusal: Refusal,
    left: Option<Duration>,
    settings: &RetryAfterSettings,
) -> Duration {
    let most = match refusal {
        Refusal::Busy => settings.busy_delay,
        Refusal::Unserved => settings.unserved_delay,
    };
    match left {
        Some(left) => most.min(left.mul_f64(settings.remaining_ratio)),
        None => settings.busy_delay,
    }
}
