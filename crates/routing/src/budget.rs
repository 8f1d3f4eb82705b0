//! The retry budget: a token bucket that primary attempts fill.

use tokio::time::Instant;

use crate::settings::BudgetSettings;

// Weight of one reply in the moving average of overloaded replies: the average covers about
// the last 32 replies.
const LOAD_SAMPLE_RATIO: f64 = 1.0 / 32.0;

/// The load of a searcher as one reply reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// No more sub-queries are queued than the searcher has slots.
    Normal,
    /// The attempt was shed, or more sub-queries are queued than the searcher has slots.
    Overloaded,
}

/// Limits hedges, retries and restarts to a fraction of the primary attempts.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: BudgetSettings,
    tokens: f64,
    overload_ratio: f64,
    overload_factor: f64,
    restored_at: Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new(settings: BudgetSettings, now: Instant) -> Self {
        let tokens = settings.capacity;
        Budget { settings, tokens, overload_ratio: 0.0, overload_factor: 1.0, restored_at: now }
    }

    /// Adds the tokens for `count` primary attempts.
    pub fn earn(&mut self, count: usize, now: Instant) {
        self.restore(now);
        let earned = count as f64 * self.settings.earn_ratio * self.overload_factor;
        // A query with many shards may earn, and then spend, more than the bucket holds.
        let limit = self.settings.capacity.max(2.0 * earned);
        self.tokens = (self.tokens + earned).min(limit).max(self.tokens);
    }

    /// Takes one token and returns true if one is available under the current load.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.restore(now);
        if self.available() < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes `count` tokens for a restart and returns true if at least one token is
    /// available. The balance may become negative, because a restart of a large query costs
    /// more than the bucket holds. Then nothing can be spent until primary attempts have
    /// earned the difference.
    pub fn try_overdraw(&mut self, count: usize, now: Instant) -> bool {
        self.restore(now);
        if self.available() < 1.0 {
            return false;
        }
        self.tokens -= count as f64;
        true
    }

    /// Records the load that one reply reports.
    pub fn record_load(&mut self, load: Load, now: Instant) {
        let sample = match load {
            Load::Normal => 0.0,
            Load::Overloaded => 1.0,
        };
        self.overload_ratio += (sample - self.overload_ratio) * LOAD_SAMPLE_RATIO;
        self.restore(now);
    }

    /// Fill level of the bucket from 0 to 1, scaled down under overload.
    pub fn fill_level(&self) -> f64 {
        (self.tokens.max(0.0) / self.settings.capacity).min(1.0) * self.overload_factor
    }

    /// Usable fraction of the budget: 1 without overload, 0 when the fraction of overloaded
    /// replies reaches [`BudgetSettings::max_overload_ratio`].
    pub fn overload_factor(&self) -> f64 {
        self.overload_factor
    }

    fn available(&self) -> f64 {
        if self.overload_factor <= 0.0 {
            return 0.0;
        }
        // Under overload, the corresponding fraction of a full bucket cannot be spent.
        self.tokens - self.settings.capacity * (1.0 - self.overload_factor)
    }

    fn target_factor(&self) -> f64 {
        (1.0 - self.overload_ratio / self.settings.max_overload_ratio).clamp(0.0, 1.0)
    }

    fn restore(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.restored_at).as_secs_f64();
        self.restored_at = self.restored_at.max(now);
        let restored = self.overload_factor + elapsed * self.settings.restore_rate;
        self.overload_factor =
            restored.min(self.target_factor()).max(self.overload_factor.min(self.target_factor()));
    }
}
