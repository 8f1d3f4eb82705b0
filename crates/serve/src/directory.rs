//! The choice of the daemons whose addresses the directory gives to callers.

use std::net::SocketAddr;

use crate::fleet::Fleet;
use crate::routes::RouteTable;

/// Share of a query's shards that must have a searcher in a failure domain for its daemons to
/// be preferred: their attempts then stay within the domain.
const MIN_LOCAL_RATIO: f64 = 0.8;

/// A daemon that accepts callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// The addresses that callers should use: those of the candidates in domains where the shards
/// have searchers, or of all candidates if none is in such a domain.
pub fn directory_addresses(
    candidates: &[Candidate],
    table: &RouteTable,
    fleet: &Fleet,
) -> Vec<SocketAddr> {
    let local: Vec<SocketAddr> = candidates
        .iter()
        .filter(|candidate| has_local_searchers(&candidate.domain, table, fleet))
        .map(|candidate| candidate.front)
        .collect();
    if local.is_empty() { candidates.iter().map(|it| it.front).collect() } else { local }
}

fn has_local_searchers(domain: &str, table: &RouteTable, fleet: &Fleet) -> bool {
    table.gather_pools().all(|pools| {
        let local = pools.iter().filter(|&&pool| fleet.has_ready_in(pool, domain)).count();
        local as f64 >= MIN_LOCAL_RATIO * pools.len() as f64
    })
}
