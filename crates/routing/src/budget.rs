//! The hedge budget: a token bucket filled by primary sub-queries.

use tokio::time::Instant;

use crate::settings::BudgetSettings;

// Weight of one reply in the observed share of overloaded replies: the last 32 or so count.
const REPORT_WEIGHT: f64 = 1.0 / 32.0;

/// Whether an owner reported that its searcher's queue is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Slots were free or the queue was short.
    Normal,
    /// The sub-query was shed or met a long queue.
    Overloaded,
}

/// Pays for sub-queries beyond one for each shard.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: BudgetSettings,
    tokens: f64,
    overload: f64,
    factor: f64,
    restored: Instant,
}

impl Budget {
    /// A full bucket.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let tokens = settings.capacity;
        Budget { settings, tokens, overload: 0.0, factor: 1.0, restored: now }
    }

    /// Earns the share of `count` primary sub-queries.
    pub fn earn(&mut self, count: usize, now: Instant) {
        self.restore(now);
        let earned = count as f64 * self.settings.earn_ratio * self.factor;
        // A query that is larger than the bucket may still spend what it earned.
        let ceiling = self.settings.capacity.max(2.0 * earned);
        self.tokens = (self.tokens + earned).min(ceiling).max(self.tokens);
    }

    /// Takes one token if the bucket, scaled down under overload, holds one.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.restore(now);
        if self.available() < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes `count` tokens for a restart if the bucket is not empty. The bucket may go
    /// negative, because a restart of a large query costs more than the bucket holds; no
    /// hedge is allowed until the debt is earned back.
    pub fn try_overdraw(&mut self, count: usize, now: Instant) -> bool {
        self.restore(now);
        if self.available() < 1.0 {
            return false;
        }
        self.tokens -= count as f64;
        true
    }

    /// Takes in what one reply says about load.
    pub fn record_load(&mut self, load: Load, now: Instant) {
        let sample = match load {
            Load::Normal => 0.0,
            Load::Overloaded => 1.0,
        };
        self.overload += (sample - self.overload) * REPORT_WEIGHT;
        self.restore(now);
    }

    /// How full the bucket is, from 0 to 1, after scaling down under overload.
    pub fn level(&self) -> f64 {
        (self.tokens.max(0.0) / self.settings.capacity).min(1.0) * self.factor
    }

    /// What is left of the budget under overload: 1 without overload, 0 at the limit.
    pub fn overload_factor(&self) -> f64 {
        self.factor
    }

    fn available(&self) -> f64 {
        if self.factor <= 0.0 {
            return 0.0;
        }
        // A factor below 1 holds back a part of a full bucket.
        self.tokens - self.settings.capacity * (1.0 - self.factor)
    }

    fn target(&self) -> f64 {
        (1.0 - self.overload / self.settings.max_overload_ratio).clamp(0.0, 1.0)
    }

    fn restore(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.restored).as_secs_f64();
        self.restored = self.restored.max(now);
        let risen = self.factor + elapsed * self.settings.restore_rate;
        self.factor = risen.min(self.target()).max(self.factor.min(self.target()));
    }
}
