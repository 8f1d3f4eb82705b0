//! Settings of all query decisions.

use std::time::Duration;

/// How replicas, hedges and retries are decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Decides from observed latency, pressure and health, within the hedge budget.
    #[default]
    Adaptive,
    /// The baseline of measurements: replicas in turn, a fixed timeout, one retry, no hedges.
    Baseline,
}

/// Settings of a [`Router`](crate::Router).
#[derive(Debug, Clone)]
pub struct Settings {
    /// How replicas, hedges and retries are decided.
    pub policy: Policy,
    /// The part of a query's time that is kept back to assemble and send the answer.
    pub margin_ratio: f64,
    /// The least time kept back.
    pub min_margin: Duration,
    /// The most time kept back.
    pub max_margin: Duration,
    /// Hedge delay while too few latencies are known, as a part of the query's time.
    pub initial_hedge_ratio: f64,
    /// The least hedge delay.
    pub min_hedge_delay: Duration,
    /// Hedges for each shard of a query. The second one covers a straggling hedge.
    pub max_hedges: u8,
    /// Sub-queries for each shard of a query between restarts, whatever their kind.
    pub max_attempts: u8,
    /// The part of a query's time after which a `latency` class may answer early.
    pub early_time_ratio: f64,
    /// The part of the shards that an early answer must cover.
    pub early_coverage_ratio: f64,
    /// The part of a query's time that must be left for a restart.
    pub restart_time_ratio: f64,
    /// Time after which the baseline gives an attempt up.
    pub baseline_timeout: Duration,
    /// The hedge budget.
    pub budget: BudgetSettings,
    /// Health and slow start of searchers.
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

/// Settings of the hedge budget.
#[derive(Debug, Clone)]
pub struct BudgetSettings {
    /// Tokens earned by each primary sub-query.
    pub earn_ratio: f64,
    /// The most tokens that can be saved up, and the number at the start.
    pub capacity: f64,
    /// The part of replies reporting overload at which nothing is earned or spent.
    pub max_overload_ratio: f64,
    /// How much of the budget is restored each second after an overload.
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

/// Settings of the health of searchers.
#[derive(Debug, Clone)]
pub struct HealthSettings {
    /// Consecutive failures after which a searcher is ejected.
    pub max_failures: u32,
    /// Time before the first probe of an ejected searcher; doubles with each failed probe.
    pub probe_delay: Duration,
    /// The longest time between probes.
    pub max_probe_delay: Duration,
    /// Time without a sample after which a replica that is passed over is tried again.
    pub idle_probe_delay: Duration,
    /// Time for which in-band evidence outranks a health hint.
    pub evidence_ttl: Duration,
    /// Time for which a searcher that was seen leaving is not believed to be back.
    pub leaving_ttl: Duration,
    /// Length of one step of slow start.
    pub slow_start_step: Duration,
    /// Time for which a searcher that shed a sub-query counts as overloaded.
    pub shed_ttl: Duration,
    /// Time for which a pressure report is used.
    pub pressure_ttl: Duration,
    /// Time for which a searcher is not asked for a shard that it says it does not serve.
    pub wrong_shard_ttl: Duration,
    /// Time for which an owner daemon that could not be reached is avoided.
    pub owner_down_ttl: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            max_failures: 4,
            probe_delay: Duration::from_secs(1),
            max_probe_delay: Duration::from_secs(16),
            idle_probe_delay: Duration::from_secs(1),
            evidence_ttl: Duration::from_secs(2),
            leaving_ttl: Duration::from_secs(10),
            slow_start_step: Duration::from_secs(2),
            shed_ttl: Duration::from_millis(100),
            pressure_ttl: Duration::from_secs(1),
            wrong_shard_ttl: Duration::from_secs(5),
            owner_down_ttl: Duration::from_secs(1),
        }
    }
}
