//! The expected wait at searchers, estimated from the waits that owners report in replies.

#[cfg(test)]
mod tests;

use std::time::Duration;

use tokio::time::Instant;

/// The expected wait of a query that starts now.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backlog {
    wait: Duration,
    updated: Option<Instant>,
}

impl Backlog {
    /// Updates the expected wait with one that an owner reported for a searcher. Only a longer
    /// wait counts, because a query waits for its slowest searcher.
    pub(crate) fn observe(&mut self, now: Instant, wait: Duration) {
        if wait > self.wait(now) {
            self.wait = wait;
            self.updated = Some(now);
        }
    }

    /// The expected wait. It decreases by the time since the last update, so that an entry that
    /// rejects everything admits queries again.
    pub(crate) fn wait(&self, now: Instant) -> Duration {
        let Some(updated) = self.updated else {
            return Duration::ZERO;
        };
        self.wait.saturating_sub(now.saturating_duration_since(updated))
    }
}
