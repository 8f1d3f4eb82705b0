//! The compiled form of a configuration, in which the route of a request is found.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use xxhash_rust::xxh3::Xxh3;

use crate::config::CallerLimits;
use crate::config::Config;
use crate::config::Route;
use crate::config::Target;
use crate::fleet::Fleet;
use crate::fleet::PoolKey;
use crate::keys::KeyRing;
use crate::members::TierSize;

/// All routes of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// The API keys that callers need on routes that are not public; `None` if they need none.
    pub keys: Option<KeyRing>,
    /// Routes by host, the longest prefix first.
    hosts: HashMap<String, Vec<Arc<CompiledRoute>>>,
    /// Connections that each searcher of a pool accepts from all daemons together.
    max_connections: HashMap<PoolKey, u32>,
    /// Digest of the sets of shards that its routes query; 0 if there are none. Versions that only
    /// change timeouts, or routes to single searchers, have the same.
    pub shards_digest: u64,
}

/// A route with the keys of its pools.
#[derive(Debug)]
pub struct CompiledRoute {
    /// The route as configured.
    pub route: Route,
    /// Its pools.
    pub target: CompiledTarget,
}

/// The pools of a route, by key.
#[derive(Debug)]
pub enum CompiledTarget {
    /// One searcher of this pool.
    One(PoolKey),
    /// One searcher of the pool that the rotation chooses.
    Split(Rotation),
    /// One searcher of each pool; at least `min_shards` of them must answer.
    Gather {
        /// One pool for each shard.
        pools: Vec<PoolKey>,
        /// Maximum number of records in the answer.
        max_records: usize,
        /// Minimum number of shards in an answer.
        min_shards: usize,
        /// Digest of the names of the pools in their order, the same on all daemons.
        digest: u64,
    },
}

impl CompiledTarget {
    /// Digest of the shards that it queries; `None` if it queries one searcher.
    pub fn shards_digest(&self) -> Option<u64> {
        match self {
            CompiledTarget::One(_) | CompiledTarget::Split(_) => None,
            CompiledTarget::Gather { digest, .. } => Some(*digest),
        }
    }
}

impl RouteTable {
    /// Compiles a configuration; the keys of its pools come from `fleet`.
    pub fn new(config: &Config, fleet: &mut Fleet) -> RouteTable {
        let mut hosts: HashMap<String, Vec<Arc<CompiledRoute>>> = HashMap::new();
        for route in &config.routes {
            let target = compile(&route.target, fleet);
            let compiled = CompiledRoute { route: route.clone(), target };
            hosts.entry(route.host.clone()).or_default().push(Arc::new(compiled));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.route.prefix.len()));
        }
        let max_connections = config
            .pools
            .iter()
            .map(|spec| (fleet.pool(&spec.name), spec.max_connections))
            .collect();
        let sets: BTreeSet<u64> =
            hosts.values().flatten().filter_map(|it| it.target.shards_digest()).collect();
        RouteTable {
            version: config.version,
            limits: config.limits,
            keys: config.organisations.as_deref().map(KeyRing::new),
            hosts,
            max_connections,
            shards_digest: sets.iter().fold(0, |sum, digest| sum ^ digest),
        }
    }

    /// Number of connections that one daemon may open to each searcher of a pool.
    /// `connection_ratio` is the share of the searcher's connections that the tier uses. The owners
    /// of the pool, one per domain, divide what remains after one connection for each other daemon.
    pub fn max_connections(
        &self,
        pool: PoolKey,
        size: TierSize,
        role: PoolRole,
        connection_ratio: f64,
    ) -> usize {
        let all = f64::from(self.max_connections.get(&pool).copied().unwrap_or(1));
        let all = (all * connection_ratio) as usize;
        let TierSize { daemons, domains } = size;
        let max = match role {
            PoolRole::Equal => all / daemons.max(1),
            PoolRole::Owner => all.saturating_sub(daemons.saturating_sub(domains)) / domains.max(1),
            PoolRole::NonOwner => 1,
        };
        max.max(1)
    }

    /// The route of `host` with the longest prefix that `path` begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|it| path.starts_with(&it.route.prefix))
    }

    /// The pools of each gather route.
    pub fn gather_pools(&self) -> impl Iterator<Item = &[PoolKey]> {
        self.hosts.values().flatten().filter_map(|it| match &it.target {
            CompiledTarget::Gather { pools, .. } => Some(pools.as_slice()),
            CompiledTarget::One(_) | CompiledTarget::Split(_) => None,
        })
    }
}

fn compile(target: &Target, fleet: &mut Fleet) -> CompiledTarget {
    match target {
        Target::One(pool) => CompiledTarget::One(fleet.pool(pool)),
        Target::Split(shares) => {
            let pools = shares.iter().map(|share| RotationPool {
                pool: fleet.pool(&share.pool),
                weight: share.weight.max(0.0),
                credit: 0.0,
            });
            CompiledTarget::Split(Rotation { pools: Mutex::new(pools.collect()) })
        }
        Target::Gather(gather) => {
            let pools: Vec<PoolKey> = gather.pools.iter().map(|name| fleet.pool(name)).collect();
            let min_shards = min_shards(pools.len(), gather.min_coverage);
            CompiledTarget::Gather {
                pools,
                max_records: gather.max_records,
                min_shards,
                digest: pools_digest(&gather.pools),
            }
        }
    }
}

fn pools_digest(names: &[String]) -> u64 {
    let mut hasher = Xxh3::new();
    names.hash(&mut hasher);
    hasher.finish()
}

/// The smallest number of `shards` whose share is not below `min_coverage`, but at least one.
fn min_shards(shards: usize, min_coverage: f64) -> usize {
    (1..=shards)
        .find(|&covered| covered as f64 / shards as f64 >= min_coverage)
        .unwrap_or(shards)
        .max(1)
}

/// The role of a daemon for a pool, which decides how many connections it may open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolRole {
    /// All daemons use the pool equally.
    Equal,
    /// It is the owner of the shard in its domain.
    Owner,
    /// It uses the pool only occasionally; another daemon is the owner.
    NonOwner,
}

/// Distributes requests over pools in proportion to their weights, by smooth weighted round robin:
/// without bursts to one pool.
#[derive(Debug)]
pub struct Rotation {
    pools: Mutex<Vec<RotationPool>>,
}

#[derive(Debug)]
struct RotationPool {
    pool: PoolKey,
    weight: f64,
    credit: f64,
}

impl Rotation {
    /// The pool of the next request; `None` if no pool has a positive weight.
    pub fn next(&self) -> Option<PoolKey> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let total: f64 = pools.iter().map(|it| it.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for pool in pools.iter_mut() {
            pool.credit += pool.weight;
        }
        let chosen = pools.iter_mut().max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        chosen.credit -= total;
        Some(chosen.pool)
    }
}
