//! Exponential backoff with jitter.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Retry delays that double up to a maximum. Each is reduced at random by up to half, so that
/// daemons that failed at the same time do not retry at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    seed: u64,
    initial: Duration,
    max: Duration,
    draws: u64,
    failures: u32,
}

impl Backoff {
    /// Starts with `initial` and doubles up to `max`. `seed` determines the jitter.
    pub fn new(seed: u64, initial: Duration, max: Duration) -> Backoff {
        Backoff { seed, initial, max, draws: 0, failures: 0 }
    }

    /// Counts a failure and returns the delay before the retry.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self.initial.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        self.draws += 1;
        let draw = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        let fraction = 0.5 + 0.5 * (draw >> 11) as f64 / (1u64 << 53) as f64;
        doubled.min(self.max).mul_f64(fraction)
    }

    /// Starts again with the initial delay, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The number of failures since the last reset.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
