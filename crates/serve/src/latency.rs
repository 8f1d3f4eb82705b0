//! The usual latency of the sub-requests of a route, from which the hedge delay follows.

use std::collections::VecDeque;
use std::time::Duration;

/// How the usual latency is learned.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimateSettings {
    /// Observations that are remembered.
    pub max_samples: usize,
    /// Observations before the estimate replaces the share of the objective.
    pub min_samples: usize,
    /// Share of the sub-requests that are faster than a straggler; the rest must fit the budget.
    pub quantile: f64,
    /// Part of the objective after which a hedge is sent while nothing is known.
    pub initial_delay_ratio: f64,
    /// Part of the objective after which a hedge is sent at the latest, since its answer must
    /// come in time too.
    pub max_delay_ratio: f64,
    /// Shortest hedge delay.
    pub min_delay: Duration,
}

impl Default for LatencyEstimateSettings {
    fn default() -> Self {
        LatencyEstimateSettings {
            max_samples: 200,
            min_samples: 20,
            quantile: 0.92,
            initial_delay_ratio: 0.3,
            max_delay_ratio: 0.4,
            min_delay: Duration::from_millis(6),
        }
    }
}

/// Observations between two estimates.
const ESTIMATE_EVERY: usize = 10;

/// Estimate of the usual latency on one route.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    recent: VecDeque<Duration>,
    since: usize,
    median: Option<Duration>,
    slow: Duration,
}

impl LatencyEstimate {
    /// Learns from the latency of a sub-request.
    pub fn observe(&mut self, settings: &LatencyEstimateSettings, latency: Duration) {
        self.recent.push_back(latency);
        if self.recent.len() > settings.max_samples {
            self.recent.pop_front();
        }
        self.since += 1;
        if self.recent.len() >= settings.min_samples && self.since >= ESTIMATE_EVERY {
            self.since = 0;
            self.estimate(settings);
        }
    }

    fn estimate(&mut self, settings: &LatencyEstimateSettings) {
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let last = sorted.len() - 1;
        self.median = Some(sorted[last / 2]);
        self.slow = sorted[(last as f64 * settings.quantile) as usize];
    }

    /// The usual latency, if it is known.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Delay after which a sub-request counts as a straggler.
    pub fn hedge_delay(&self, settings: &LatencyEstimateSettings, objective: Duration) -> Duration {
        let delay = match self.median {
            Some(_) => self.slow.min(objective.mul_f64(settings.max_delay_ratio)),
            None => objective.mul_f64(settings.initial_delay_ratio),
        };
        delay.max(settings.min_delay)
    }
}
