//! The operator's configuration: the routes, and the searchers that serve them.

use std::time::Duration;

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version number; increases with each change, not necessarily by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools of searchers.
    pub pools: Vec<PoolSpec>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

/// A rule for the requests for one host whose path has one prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Host of its requests, in lower case and without a port.
    pub host: String,
    /// Path prefix of its requests; begins and ends with a slash.
    pub prefix: String,
    /// Pools whose searchers run its requests.
    pub target: Target,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// Time after which a request fails.
    pub timeout: Duration,
    /// Latency objective: the answer should be given within this time.
    pub objective: Duration,
    /// Maximum number of searchers of a pool at which one request may run.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
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

/// A pool of a split route with its weight.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: String,
    /// Share of the requests, relative to the sum of all weights.
    pub weight: f64,
}

/// A query over many shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Gather {
    /// Names of the pools, one for each shard.
    pub pools: Vec<String>,
    /// Maximum number of records in the answer.
    pub max_records: usize,
    /// Minimum share of the shards that an answer must cover, 0 to 1.
    pub min_coverage: f64,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Repeated runs do no harm, so it may run any number of times.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// A pool: searchers that serve the same shard and are interchangeable.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// The name by which routes and the registrations of searchers refer to it.
    pub name: String,
    /// Number of connections that each of its searchers accepts from all daemons together.
    pub max_connections: u32,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum time that a connection may wait for its next request.
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
