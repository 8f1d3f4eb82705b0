//! The operator's configuration: the routes, and the searchers that serve them.

use std::fmt;
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
    /// The organisations whose callers may use routes that are not public. `None` if requests carry
    /// no API keys.
    pub organisations: Option<Vec<Organisation>>,
}

/// An organisation whose callers send requests with API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// The name by which searchers know it.
    pub name: String,
    /// The keys that its callers may use.
    pub api_keys: Vec<ApiKey>,
    /// Priority of its requests, which takes precedence over that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit on its requests at all daemons together; `None` if they are not limited.
    pub allowance: Option<Allowance>,
    /// Regions that its requests must not leave; empty if they may go to any.
    pub allowed_regions: Vec<String>,
}

/// A secret that shows which organisation a caller belongs to.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(pub String);

impl fmt::Debug for ApiKey {
    /// Leaves out the key: debug output gets into logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// The rate of requests that an organisation may send to all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Requests a second.
    pub per_second: f64,
    /// Requests that may come at once after a time with fewer.
    pub burst: f64,
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
    /// Whether its requests need no API key.
    pub public: bool,
    /// Regions that its requests must not leave; empty if they may go to any.
    pub allowed_regions: Vec<String>,
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
    /// Requests a second that a cold searcher accepts from all daemons together; 0 if it doesn't
    /// limit them.
    pub cold_rate: f64,
    /// Time after its start in which a searcher is cold.
    pub cold_period: Duration,
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
