//! How long a sub-query takes.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// A distribution of service times.
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyProfile {
    /// Least time of a sub-query.
    pub base: Duration,
    /// Mean of the exponential part that is added.
    pub spread: Duration,
    /// Part of the sub-queries that take longer.
    pub straggler_rate: f64,
    /// How many times longer these take.
    pub straggler_factor: f64,
    /// How many times longer every sub-query takes.
    pub slow_factor: f64,
    /// Time after the start during which caches are empty.
    pub cold_period: Duration,
    /// How many times longer sub-queries take during that time.
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
    pub fn sample<R>(&self, age: Duration, random: &mut R) -> Duration
    where
        R: Rng,
    {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let mut time = self.base.as_secs_f64() - self.spread.as_secs_f64() * uniform.ln();
        if random.random_bool(self.straggler_rate.clamp(0.0, 1.0)) {
            time *= self.straggler_factor;
        }
        if self.is_cold(age) {
            time *= self.cold_factor;
        }
        Duration::from_secs_f64(time * self.slow_factor)
    }

    /// Whether caches are still empty `age` after the start.
    pub fn is_cold(&self, age: Duration) -> bool {
        age < self.cold_period
    }
}
