//! The compiled form of a configuration, in which requests look up their route.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::config::CallerLimits;
use crate::config::Config;
use crate::config::Route;
use crate::config::Target;
use crate::fleet::Fleet;
use crate::fleet::PoolKey;
use crate::members::TierSize;

/// All routes of one version.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    hosts: HashMap<String, Vec<Arc<CompiledRoute>>>,
    max_connections: HashMap<PoolKey, u32>,
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
    /// One searcher of the pool whose turn it is.
    Split(Rotation),
    /// One searcher of each pool; at least `min_shards` of them must answer.
    Gather {
        /// One pool for each shard.
        pools: Vec<PoolKey>,
        /// Records in the answer.
        max_records: usize,
        /// Fewest shards in an answer.
        min_shards: usize,
    },
}

impl RouteTable {
    /// Compiles a configuration, with the keys that `fleet` gives to its pools.
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
        RouteTable { version: config.version, limits: config.limits, hosts, max_connections }
    }

    /// Connections that one daemon may have to each searcher of a pool, if the tier uses `share`
    /// of what a searcher accepts. An owner of the pool, one in each domain, has what the others
    /// leave, who need one each.
    pub fn max_connections(
        &self,
        pool: PoolKey,
        sharers: TierSize,
        use_of: PoolRole,
        share: f64,
    ) -> usize {
        let all = f64::from(self.max_connections.get(&pool).copied().unwrap_or(1));
        let all = (all * share) as usize;
        let TierSize { daemons, domains } = sharers;
        let cap = match use_of {
            PoolRole::Equal => all / daemons.max(1),
            PoolRole::Owner => all.saturating_sub(daemons.saturating_sub(domains)) / domains.max(1),
            PoolRole::Guest => 1,
        };
        cap.max(1)
    }

    /// The route with the longest prefix that starts `path`, among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CompiledRoute>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|it| path.starts_with(&it.route.prefix))
    }

    /// The routes over many shards.
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
            let turns = shares.iter().map(|share| Turn {
                pool: fleet.pool(&share.pool),
                weight: share.weight.max(0.0),
                credit: 0.0,
            });
            CompiledTarget::Split(Rotation { turns: Mutex::new(turns.collect()) })
        }
        Target::Gather(gather) => {
            let pools: Vec<PoolKey> = gather.pools.iter().map(|name| fleet.pool(name)).collect();
            let min_shards = min_shards(pools.len(), gather.min_coverage);
            CompiledTarget::Gather { pools, max_records: gather.max_records, min_shards }
        }
    }
}

/// The fewest of `shards` whose share is not below `min_coverage`; an answer names at least one.
fn min_shards(shards: usize, min_coverage: f64) -> usize {
    (1..=shards)
        .find(|&covered| covered as f64 / shards as f64 >= min_coverage)
        .unwrap_or(shards)
        .max(1)
}

/// How a daemon uses a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolRole {
    /// As all daemons do.
    Equal,
    /// As the one of its domain that usually does.
    Owner,
    /// Now and then.
    Guest,
}

/// Deals requests to pools in proportion to their weights, without bursts to one of them.
#[derive(Debug)]
pub struct Rotation {
    turns: Mutex<Vec<Turn>>,
}

#[derive(Debug)]
struct Turn {
    pool: PoolKey,
    weight: f64,
    credit: f64,
}

impl Rotation {
    /// The pool of the next request; `None` if no pool has a weight.
    pub fn next(&self) -> Option<PoolKey> {
        let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
        let total: f64 = turns.iter().map(|turn| turn.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for turn in turns.iter_mut() {
            turn.credit += turn.weight;
        }
        let chosen = turns.iter_mut().max_by(|a, b| a.credit.total_cmp(&b.credit))?;
        chosen.credit -= total;
        Some(chosen.pool)
    }
}
