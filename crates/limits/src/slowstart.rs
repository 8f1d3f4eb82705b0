//! Gradual use of a searcher after its cold start.

use std::time::Duration;

use tokio::time::Instant;

/// Settings of [`SlowStart`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartSettings {
    /// Number of steps from the first slot to all of them.
    pub steps: u32,
    /// Shortest time of one step.
    pub min_step_time: Duration,
    /// Sub-queries that must have succeeded in a step before the next one. Without this
    /// an idle searcher would count as warm although its caches are still empty.
    pub min_successes: u32,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        SlowStartSettings { steps: 4, min_step_time: Duration::from_secs(2), min_successes: 4 }
    }
}

/// Limits the slots of one searcher after a cold start.
#[derive(Debug, Clone)]
pub struct SlowStart {
    settings: SlowStartSettings,
    step: u32,
    since: Instant,
    successes: u32,
}

impl SlowStart {
    /// Starts with the first step at `now`.
    pub fn new(now: Instant, settings: SlowStartSettings) -> SlowStart {
        SlowStart { settings, step: 1, since: now, successes: 0 }
    }

    /// Records a successful sub-query.
    pub fn record_success(&mut self, now: Instant) {
        self.successes = self.successes.saturating_add(1);
        let settings = &self.settings;
        let due = now.saturating_duration_since(self.since) >= settings.min_step_time;
        if due && self.successes >= settings.min_successes {
            self.step = self.step.saturating_add(1);
            self.since = now;
            self.successes = 0;
        }
    }

    /// The part of `slots` that may be used, at least one.
    pub fn limit(&self, slots: u32) -> u32 {
        if self.is_finished() {
            return slots;
        }
        let part = u64::from(slots) * u64::from(self.step) / u64::from(self.settings.steps);
        (part as u32).max(1).min(slots)
    }

    /// Whether all slots may be used.
    pub fn is_finished(&self) -> bool {
        self.step >= self.settings.steps
    }
}
