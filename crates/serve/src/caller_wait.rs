//! How much of a route's objective remains when a request arrives.
//!
//! The objective counts from when the caller starts, but a caller may have asked the directory and
//! opened a connection before its request arrives. It states how long it still waits. Callers of
//! one route start with the same limit, so one that states less has spent the difference.

use std::time::Duration;

use crate::Time;

/// How the part of an objective that callers spend outside the entry is estimated.
#[derive(Debug, Clone, Copy)]
pub struct CallerWaitSettings {
    /// Round trip between caller and entry on an open connection, with margin for late timers.
    pub round_trip: Duration,
    /// Reserved if it is not known what the caller has spent: a round trip, a new connection and
    /// part of a question to the directory.
    pub default_reserve: Duration,
    /// Maximum of `default_reserve` as a ratio of the objective.
    pub default_ratio: f64,
    /// Maximum reserve for a known wait, as a ratio of the objective. A caller that has waited
    /// longer returns after a refusal, and its objective counts anew.
    pub max_ratio: f64,
    /// Number of requests on a route from which the longest limit among them is used.
    pub min_samples: u32,
    /// Time after which a limit that is no longer seen is forgotten; at most twice as long.
    pub window: Duration,
}

impl Default for CallerWaitSettings {
    fn default() -> Self {
        CallerWaitSettings {
            round_trip: Duration::from_millis(16),
            default_reserve: Duration::from_millis(22),
            default_ratio: 0.4,
            max_ratio: 0.65,
            min_samples: 10,
            window: Duration::from_secs(15),
        }
    }
}

/// The longest limits that callers of one route have stated lately.
#[derive(Debug, Default)]
pub struct CallerWait {
    current: Window,
    previous: Window,
    window_start: Time,
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    samples: u32,
    longest: Duration,
}

impl CallerWait {
    /// Records that a caller still waits for `limit`, and returns how long it has waited before its
    /// request arrived. `None` if that is not known.
    pub fn observe(
        &mut self,
        settings: &CallerWaitSettings,
        limit: Option<Duration>,
        now: Time,
    ) -> Option<Duration> {
        let limit = limit?;
        if now >= self.window_start + settings.window {
            self.previous = std::mem::take(&mut self.current);
            self.window_start = now;
        }
        self.current.samples += 1;
        self.current.longest = self.current.longest.max(limit);
        if self.current.samples + self.previous.samples < settings.min_samples {
            return None;
        }
        Some(self.current.longest.max(self.previous.longest) - limit)
    }
}

/// The part of `objective` that is not available between the arrival of a request and the start of
/// its answer, for a caller that had waited for `waited` before.
pub fn objective_reserve(
    settings: &CallerWaitSettings,
    objective: Duration,
    waited: Option<Duration>,
) -> Duration {
    let known = waited.map(|waited| waited + settings.round_trip);
    match known {
        Some(reserve) if reserve <= objective.mul_f64(settings.max_ratio) => reserve,
        _ => settings.default_reserve.min(objective.mul_f64(settings.default_ratio)),
    }
}
