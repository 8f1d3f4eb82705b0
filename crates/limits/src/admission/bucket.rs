//! Token bucket for the request rate of one service.

use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenBucket {
    /// Tokens added a second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    tokens: f64,
    last_refill: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket that is not refilled.
    pub(crate) fn new(now: Instant) -> TokenBucket {
        TokenBucket { rate: 0.0, burst: 1.0, tokens: 0.0, last_refill: now }
    }

    pub(crate) fn fill(&mut self) {
        self.tokens = self.burst;
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes rate and burst. A higher burst adds no tokens, so that quota that moves from
    /// one entry to another is not used by both.
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
        let seconds = now.saturating_duration_since(self.last_refill).as_secs_f64();
        if seconds > 0.0 {
            self.tokens = (self.tokens + seconds * self.rate).min(self.burst);
            self.last_refill = now;
        }
    }
}
