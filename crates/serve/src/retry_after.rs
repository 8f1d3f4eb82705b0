//! The delay after which a caller should retry a request that has not run.

use std::time::Duration;

/// Why a request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The searchers refused all attempts or could not be reached.
    Busy,
    /// Too few shards have a searcher that accepts a request of this daemon before this time has
    /// passed.
    Limited(Duration),
    /// There is no configuration, or too few shards have a searcher that accepts requests.
    Unserved,
}

/// The delays that are given to callers.
#[derive(Debug, Clone, Copy)]
pub struct RetryAfterSettings {
    /// Delay after [`Refusal::Busy`]; the queues of searchers are shorter than this.
    pub busy_delay: Duration,
    /// Maximum delay after [`Refusal::Unserved`]: the platform promises that registrations are back
    /// within this time after an outage of its store.
    pub unserved_delay: Duration,
    /// Maximum delay as a ratio of the time that the caller has left. Callers wait no longer than a
    /// third of that time.
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

/// The delay after which a caller should retry that has `time_left` until its deadline. It is as
/// long as the caller accepts, since a later retry has a better chance that the outage is over.
/// A caller without a deadline gets `busy_delay`.
pub fn retry_after(
    refusal: Refusal,
    time_left: Option<Duration>,
    settings: &RetryAfterSettings,
) -> Duration {
    let max_delay = match refusal {
        Refusal::Busy => settings.busy_delay,
        Refusal::Limited(wait) => settings.busy_delay.max(wait),
        Refusal::Unserved => settings.unserved_delay,
    };
    match time_left {
        Some(time_left) => max_delay.min(time_left.mul_f64(settings.remaining_ratio)),
        None => settings.busy_delay,
    }
}
