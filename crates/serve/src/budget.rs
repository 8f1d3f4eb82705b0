//! The budget for sending a request to a further searcher, one for each pool.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// Limits on extra sends to one pool, for all daemons together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Extra sends for each request.
    pub extra_ratio: f64,
    /// Extra sends in a window besides, shared by all daemons.
    pub shared_extras: f64,
    /// The window, which slides.
    pub window: Duration,
    /// Time from which on the shared part may be used. Until a window has passed, a process
    /// that ran here before may have used it.
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

/// Part of the allowance that is used; the rest covers sends that reach a searcher in a later
/// window than the one they were counted in.
const USABLE: f64 = 0.9;

/// Steps in which a window slides.
const STEPS: u32 = 50;

/// Requests and extra sends of this daemon to one pool.
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
        self.step(settings, now).requests += 1;
        self.requests += 1;
    }

    /// Takes an extra send, if this daemon's part of the budget allows it. `daemons` share
    /// what is not earned by requests.
    pub fn try_take(&mut self, settings: &RetryBudgetSettings, daemons: usize, now: Time) -> bool {
        self.step(settings, now);
        let shared = if now < settings.shared_from {
            0.0
        } else {
            settings.shared_extras / daemons.max(1) as f64
        };
        let allowed = USABLE * (settings.extra_ratio * f64::from(self.requests) + shared);
        if f64::from(self.extras + 1) > allowed {
            return false;
        }
        self.step(settings, now).extras += 1;
        self.extras += 1;
        true
    }

    fn step(&mut self, settings: &RetryBudgetSettings, now: Time) -> &mut Step {
        let length = settings.window / STEPS;
        while let Some(first) = self.steps.front() {
            // One step more than the window, since steps are counted whole.
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
