//! Settings of the query decisions.

use std::time::Duration;

/// The policy for choosing replicas and for sending hedges and retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Uses observed latency, queue pressure and health, within the retry budget.
    #[default]
    Adaptive,
    /// Round robin over replicas, a fixed timeout, one retry and no hedges. Measurements
    /// compare the adaptive policy with it.
    Baseline,
}

/// Settings of a [`Router`](crate::Router).
#[derive(Debug, Clone)]
pub struct Settings {
    /// The policy for choosing replicas and for sending hedges and retries.
    pub policy: Policy,
    /// Fraction of the time until the deadline that is reserved for assembling and sending
    /// the answer.
    pub margin_ratio: f64,
    /// Lower bound of the reserved time.
    pub min_margin: Duration,
    /// Upper bound of the reserved time.
    pub max_margin: Duration,
    /// Hedge delay while there are too few latency samples, as a fraction of the query's
    /// time.
    pub initial_hedge_ratio: f64,
    /// Lower bound of the hedge delay.
    pub min_hedge_delay: Duration,
    /// Maximum number of hedges for each sub-query. A second one is needed when the first
    /// hedge is late too.
    pub max_hedges: u8,
    /// Attempts after which a sub-query is no longer hedged, nor retried if an attempt may
    /// have run. A restart begins to count anew.
    pub max_attempts: u8,
    /// Fraction of the query's time after which a class that prefers latency may answer
    /// early.
    pub early_time_ratio: f64,
    /// Fraction of the shards that an early answer must cover.
    pub early_coverage_ratio: f64,
    /// Fraction of the query's time that must remain for a restart.
    pub restart_time_ratio: f64,
    /// Time after which the baseline policy gives up an attempt.
    pub baseline_timeout: Duration,
    /// The budget for hedges, retries and restarts.
    pub budget: BudgetSettings,
    /// Ejection and slow start of searchers.
    pub health: HealthSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            policy: Policy::Adaptive,
            margin_ratio: 0.05,
            min_margin: Duration::from_millis(2),
            max_margin: Duration::from_millis(20),
            initial_hedge_ratio: 0.25,
            min_hedge_delay: Duration::from_millis(1),
            max_hedges: 2,
            max_attempts: 6,
            early_time_ratio: 0.75,
            early_coverage_ratio: 0.9,
            restart_time_ratio: 0.25,
            baseline_timeout: Duration::from_millis(200),
            budget: BudgetSettings::default(),
            health: HealthSettings::default(),
        }
    }
}

/// Settings of the retry budget.
#[derive(Debug, Clone)]
pub struct BudgetSettings {
    /// Tokens earned by each primary attempt.
    pub earn_ratio: f64,
    /// Maximum number of tokens, and the initial number. One query with many shards may
    /// earn more.
    pub capacity: f64,
    /// Fraction of replies that report overload at which the budget is closed: no tokens
    /// are earned or spent.
    pub max_overload_ratio: f64,
    /// Fraction of the budget that becomes available again each second after an overload.
    pub restore_rate: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings {
            earn_ratio: 0.05,
            capacity: 32.0,
            max_overload_ratio: 0.25,
            restore_rate: 0.2,
        }
    }
}

/// Settings of the health and slow start of searchers.
#[derive(Debug, Clone)]
pub struct HealthSettings {
    /// Consecutive failures after which a searcher is ejected.
    pub max_failures: u32,
    /// Delay before the first probe of an ejected searcher. It doubles with each failed
    /// probe.
    pub probe_delay: Duration,
    /// Upper bound of the delay between probes of an ejected searcher.
    pub max_probe_delay: Duration,
    /// Time since the last attempt after which a replica that is not chosen any more gets a
    /// probe, so that its latency estimate does not stay out of date.
    pub idle_probe_delay: Duration,
    /// Time after an answer for which reports of a cold or unhealthy searcher are ignored.
    pub answer_ttl: Duration,
    /// Time after a searcher was seen leaving for which reports that it takes work are ignored.
    pub leaving_ttl: Duration,
    /// Length of one step of slow start.
    pub slow_start_step: Duration,
    /// Time after a shed attempt for which the searcher counts as overloaded.
    pub shed_ttl: Duration,
    /// Time after which a pressure report is no longer used.
    pub pressure_ttl: Duration,
    /// Time for which a searcher is not asked for a shard that it reported not to serve.
    pub wrong_shard_ttl: Duration,
    /// Time for which the searchers of an unreachable owner are avoided.
    pub owner_down_ttl: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            max_failures: 4,
            probe_delay: Duration::from_secs(1),
            max_probe_delay: Duration::from_secs(16),
            idle_probe_delay: Duration::from_secs(1),
            answer_ttl: Duration::from_secs(2),
            leaving_ttl: Duration::from_secs(10),
            slow_start_step: Duration::from_secs(2),
            shed_ttl: Duration::from_millis(100),
            pressure_ttl: Duration::from_secs(1),
            wrong_shard_ttl: Duration::from_secs(5),
            owner_down_ttl: Duration::from_secs(1),
        }
    }
}
