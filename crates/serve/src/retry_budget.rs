//! The retry budget: a limit on retries and hedges, one budget for each pool.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// Limits on extra attempts (retries and hedges) at one pool, for all daemons together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Extra attempts allowed per request, as a ratio.
    pub extra_ratio: f64,
    /// Further extra attempts allowed per window, divided among all daemons.
    pub shared_extras: f64,
    /// Length of the sliding window in which requests and extra attempts are counted.
    pub window: Duration,
    /// Time from which on `shared_extras` may be used. During the first window after a start,
    /// the previous process on this VM may have used them already.
    pub shared_from: Time,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        RetryBudgetSettings {
            extra_ratio: 0.2,
            shared_extras: 10.0,
            window: Duration::from_secs(10),
            shared_from: Time::ZERO,
        }
    }
}

/// Share of the allowance that is used. The rest covers attempts that reach a searcher in a later
/// window than the one they were counted in.
const USABLE_RATIO: f64 = 0.9;

/// Number of steps in which the window slides.
const WINDOW_STEPS: u32 = 50;

/// Requests and extra attempts of this daemon at one pool within the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    steps: VecDeque<Step>,
    requests: u32,
    extras: u32,
}

#[derive(Debug)]
struct Step {
    start: Time,
    requests: u32,
    extras: u32,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn count_request(&mut self, settings: &RetryBudgetSettings, now: Time) {
        self.current_step(settings, now).requests += 1;
        self.requests += 1;
    }

    /// Takes one extra attempt if this daemon's part of the budget allows it. `shared_extras` are
    /// divided by `divisor`.
    pub fn try_take(&mut self, settings: &RetryBudgetSettings, divisor: f64, now: Time) -> bool {
        self.current_step(settings, now);
        let shared = if now < settings.shared_from {
            0.0
        } else {
            settings.shared_extras / divisor.max(1.0)
        };
        let allowed = USABLE_RATIO * (settings.extra_ratio * f64::from(self.requests) + shared);
        if f64::from(self.extras + 1) > allowed {
            return false;
        }
        self.current_step(settings, now).extras += 1;
        self.extras += 1;
        true
    }

    /// Drops the steps that have left the window and returns the current one.
    fn current_step(&mut self, settings: &RetryBudgetSettings, now: Time) -> &mut Step {
        let length = settings.window / WINDOW_STEPS;
        while let Some(first) = self.steps.front() {
            // One step longer than the window, since a step is dropped as a whole.
            if first.start + settings.window + length > now {
                break;
            }
            self.requests -= first.requests;
            self.extras -= first.extras;
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|last| last.start + length <= now) {
            self.steps.push_back(Step { start: now, requests: 0, extras: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
