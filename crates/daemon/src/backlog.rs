//! The expected wait at searchers, from what owners report with replies.

#[cfg(test)]
mod tests;

use std::time::Duration;

use tokio::time::Instant;

/// The expected wait of a query that starts now.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backlog {
    wait: Duration,
    seen: Option<Instant>,
}

impl Backlog {
    /// Takes in the wait that an owner reported for one searcher. A query waits for its
    /// slowest searcher, so only a longer wait than expected counts.
    pub(crate) fn observe(&mut self, now: Instant, wait: Duration) {
        if wait > self.wait(now) {
            self.wait = wait;
            self.seen = Some(now);
        }
    }

    /// The expected wait. Queues get shorter by the time that passes without news, so an entry
    /// that rejects everything starts to admit again.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let Some(seen) = self.seen else {
            return Duration::ZERO;
        };
        self.wait.saturating_sub(now.saturating_duration_since(seen))
    }
}
