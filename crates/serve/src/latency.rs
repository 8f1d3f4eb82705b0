//! The latency estimate of a route's sub-queries, from which the hedge delay is derived.

use std::collections::VecDeque;
use std::time::Duration;

/// How the latency of a route is estimated, and the bounds of the hedge delay.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimateSettings {
    /// Number of samples that are kept.
    pub max_samples: usize,
    /// Number of samples from which the estimate is used.
    pub min_samples: usize,
    /// Quantile of the samples that is the hedge delay, 0 to 1. The share of sub-queries above it
    /// must fit the retry budget.
    pub quantile: f64,
    /// Hedge delay as a ratio of the objective while there is no estimate.
    pub initial_delay_ratio: f64,
    /// Maximum hedge delay as a ratio of the objective: the answer to the hedge must arrive in time
    /// too.
    pub max_delay_ratio: f64,
    /// Minimum hedge delay.
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

/// Number of samples between two updates of the estimate.
const SAMPLES_PER_ESTIMATE: usize = 10;

/// Estimate of the latency of one route's sub-queries.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    samples: VecDeque<Duration>,
    /// Number of samples since the last update of the estimate.
    new_samples: usize,
    median: Option<Duration>,
    quantile: Duration,
}

impl LatencyEstimate {
    /// Adds the latency of a sub-query as a sample.
    pub fn observe(&mut self, settings: &LatencyEstimateSettings, latency: Duration) {
        self.samples.push_back(latency);
        if self.samples.len() > settings.max_samples {
            self.samples.pop_front();
        }
        self.new_samples += 1;
        if self.samples.len() >= settings.min_samples && self.new_samples >= SAMPLES_PER_ESTIMATE {
            self.new_samples = 0;
            self.update(settings);
        }
    }

    fn update(&mut self, settings: &LatencyEstimateSettings) {
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let last = sorted.len() - 1;
        self.median = Some(sorted[last / 2]);
        self.quantile = sorted[(last as f64 * settings.quantile) as usize];
    }

    /// The median latency; `None` until there are enough samples.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// The delay after which a sub-query on a route with this objective counts as a straggler.
    pub fn hedge_delay(&self, settings: &LatencyEstimateSettings, objective: Duration) -> Duration {
        let delay = match self.median {
            Some(_) => self.quantile.min(objective.mul_f64(settings.max_delay_ratio)),
            None => objective.mul_f64(settings.initial_delay_ratio),
        };
        delay.max(settings.min_delay)
    }
}
