//! The operator's configuration: which requests are allowed and which searchers serve them.

use std::time::Duration;

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools of searchers.
    pub pools: Vec<PoolSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// A rule for requests of one host below one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: String,
    /// Host header of its requests, in lower case and without a port.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Which searchers run its requests.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Most searchers of a pool that one request may run at.
    pub max_attempts: u32,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
}

/// The pools that run the requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// One searcher of this pool.
    One(String),
    /// One searcher of one of these pools, in proportion to their weights.
    Split(Vec<WeightedPool>),
    /// One searcher of each of these pools.
    Gather(Gather),
}

/// A pool's part of a split route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: String,
    /// Its part, relative to the sum of all weights.
    pub weight: f64,
}

/// A query over many shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Gather {
    /// Names of the pools, one for each shard.
    pub pools: Vec<String>,
    /// Number of records in the answer.
    pub max_records: usize,
    /// Least share of the shards that an answer must cover, 0 to 1.
    pub min_coverage: f64,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

/// A pool: searchers that answer alike.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// Its name.
    pub name: String,
    /// Connections that each of its searchers accepts from all daemons together.
    pub max_connections: u32,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub max_head_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Longest time that a connection may wait for its next request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
