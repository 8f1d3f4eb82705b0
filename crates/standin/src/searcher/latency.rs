//! The time that a searcher takes for a sub-query.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// A distribution of the time that sub-queries take.
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyProfile {
    /// Minimum time of a sub-query, before the factors below.
    pub base: Duration,
    /// Mean of an exponentially distributed time added to `base`.
    pub spread: Duration,
    /// Probability that a sub-query is a straggler, 0 to 1.
    pub straggler_rate: f64,
    /// Factor by which stragglers take longer.
    pub straggler_factor: f64,
    /// Factor by which every sub-query takes longer.
    pub slow_factor: f64,
    /// Time after the start of the searcher during which it is cold: its caches are empty.
    pub cold_period: Duration,
    /// Factor by which sub-queries take longer during the cold period.
    pub cold_factor: f64,
}

impl Default for LatencyProfile {
    fn default() -> Self {
        LatencyProfile {
            base: Duration::from_millis(2),
            spread: Duration::from_millis(1),
            straggler_rate: 0.0,
            straggler_factor: 10.0,
            slow_factor: 1.0,
            cold_period: Duration::ZERO,
            cold_factor: 5.0,
        }
    }
}

impl LatencyProfile {
    /// Draws the time of one sub-query at a searcher that started `age` ago.
    pub fn sample<R>(&self, age: Duration, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let mut time = self.base.as_secs_f64() - self.spread.as_secs_f64() * uniform.ln();
        if rng.random_bool(self.straggler_rate.clamp(0.0, 1.0)) {
            time *= self.straggler_factor;
        }
        if self.is_cold(age) {
            time *= self.cold_factor;
        }
        Duration::from_secs_f64(time * self.slow_factor)
    }

    /// Whether a searcher that started `age` ago is still cold.
    pub fn is_cold(&self, age: Duration) -> bool {
        age < self.cold_period
    }
}
