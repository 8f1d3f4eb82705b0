//! The usual latency of the sub-requests of a route, from which the hedge delay follows.

use std::time::Duration;

/// How the usual latency is learned.
#[derive(Debug, Clone, Copy)]
pub struct PaceSettings {
    /// Weight of a new observation.
    pub weight: f64,
    /// Mean deviations above the mean at which a sub-request counts as a straggler.
    pub deviations: f64,
    /// Least distance of a straggler from the mean, in means.
    pub stretch: f64,
    /// Observations before the estimate replaces the share of the objective.
    pub samples: u32,
    /// Part of the objective after which a hedge is sent while nothing is known.
    pub share: f64,
    /// Shortest hedge delay.
    pub floor: Duration,
}

impl Default for PaceSettings {
    fn default() -> Self {
        PaceSettings {
            weight: 0.03,
            deviations: 4.0,
            stretch: 1.7,
            samples: 20,
            share: 0.35,
            floor: Duration::from_millis(6),
        }
    }
}

/// Estimate of the usual latency on one route.
#[derive(Debug, Default)]
pub struct Pace {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Pace {
    /// Learns from the latency of a sub-request.
    pub fn observe(&mut self, settings: &PaceSettings, latency: Duration) {
        let mut value = latency.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = value;
            self.deviation = value / 4.0;
            return;
        }
        if self.samples > settings.samples {
            // Pauses and slow spells must not move what counts as usual.
            value = value.min(self.mean + settings.deviations * self.deviation);
        }
        let weight = settings.weight.max(1.0 / f64::from(self.samples));
        self.deviation += weight * ((value - self.mean).abs() - self.deviation);
        self.mean += weight * (value - self.mean);
    }

    /// The usual latency, if it is known.
    pub fn usual(&self, settings: &PaceSettings) -> Option<Duration> {
        (self.samples >= settings.samples).then(|| Duration::from_secs_f64(self.mean))
    }

    /// Delay after which a sub-request counts as a straggler.
    pub fn hedge_delay(&self, settings: &PaceSettings, goal: Duration) -> Duration {
        let start = goal.mul_f64(settings.share);
        if self.samples < settings.samples {
            return start.max(settings.floor);
        }
        let spread =
            (settings.deviations * self.deviation).max((settings.stretch - 1.0) * self.mean);
        Duration::from_secs_f64(self.mean + spread).max(settings.floor)
    }
}
