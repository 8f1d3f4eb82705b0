//! A token bucket.

use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    /// An empty bucket without a rate.
    pub(crate) fn new(now: Instant) -> Bucket {
        Bucket { rate: 0.0, burst: 1.0, tokens: 0.0, updated: now }
    }

    pub(crate) fn fill(&mut self) {
        self.tokens = self.burst;
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes rate and burst. A higher burst adds no tokens, so that a part that moves
    /// between entries cannot be used twice.
    pub(crate) fn set(&mut self, now: Instant, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes a token, if there is one.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    fn refill(&mut self, now: Instant) {
        let seconds = now.saturating_duration_since(self.updated).as_secs_f64();
        if seconds > 0.0 {
            self.tokens = (self.tokens + seconds * self.rate).min(self.burst);
            self.updated = now;
        }
    }
}
