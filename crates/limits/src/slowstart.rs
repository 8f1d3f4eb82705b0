//! Slow start of a searcher after a cold start.

use std::time::Duration;

use tokio::time::Instant;

/// Settings of [`SlowStart`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlowStartSettings {
    /// Number of steps until all slots may be used; step `i` allows `i / steps` of them.
    pub steps: u32,
    /// Minimum duration of a step.
    pub min_step_time: Duration,
    /// Number of sub-queries that must succeed in a step before the next one. Without this
    /// bound, an idle searcher would count as warm although its caches are still empty.
    pub min_successes: u32,
}

impl Default for SlowStartSettings {
    fn default() -> Self {
        SlowStartSettings { steps: 4, min_step_time: Duration::from_secs(2), min_successes: 4 }
    }
}

/// Raises the number of usable slots of one searcher in steps while its caches are cold.
#[derive(Debug, Clone)]
pub struct SlowStart {
    settings: SlowStartSettings,
    step: u32,
    step_began: Instant,
    successes: u32,
}

impl SlowStart {
    /// Begins the first step at `now`.
    pub fn new(now: Instant, settings: SlowStartSettings) -> SlowStart {
        SlowStart { settings, step: 1, step_began: now, successes: 0 }
    }

    /// Records a successful sub-query, which may begin the next step.
    pub fn record_success(&mut self, now: Instant) {
        self.successes = self.successes.saturating_add(1);
        let settings = &self.settings;
        let due = now.saturating_duration_since(self.step_began) >= settings.min_step_time;
        if due && self.successes >= settings.min_successes {
            self.step = self.step.saturating_add(1);
            self.step_began = now;
            self.successes = 0;
        }
    }

    /// How many of `slots` may be used in this step: at least one, unless `slots` is 0.
    pub fn limit(&self, slots: u32) -> u32 {
        if self.is_finished() {
            return slots;
        }
        let allowed = u64::from(slots) * u64::from(self.step) / u64::from(self.settings.steps);
        (allowed as u32).max(1).min(slots)
    }

    /// Whether the last step is reached, in which all slots may be used.
    pub fn is_finished(&self) -> bool {
        self.step >= self.settings.steps
    }
}
