//! Which daemons are named to callers.

use std::net::SocketAddr;

use crate::fleet::Fleet;
use crate::routes::RouteTable;

/// Share of a query's shards that must have a searcher in a failure domain for its daemons to
/// be preferred: their sends then stay within the domain.
const NEAR_SHARE: f64 = 0.8;

/// A daemon that takes callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Where callers connect.
    pub front: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// The addresses of the candidates that callers use: those in domains where the shards have
/// searchers, or all if there are none.
pub fn directory_addresses(
    candidates: &[Candidate],
    table: &RouteTable,
    fleet: &Fleet,
) -> Vec<SocketAddr> {
    let near: Vec<SocketAddr> = candidates
        .iter()
        .filter(|candidate| is_near(&candidate.domain, table, fleet))
        .map(|candidate| candidate.front)
        .collect();
    if near.is_empty() { candidates.iter().map(|it| it.front).collect() } else { near }
}

fn is_near(domain: &str, table: &RouteTable, fleet: &Fleet) -> bool {
    table.gather_pools().all(|pools| {
        let served = pools.iter().filter(|&&pool| fleet.is_served_in(pool, domain)).count();
        served as f64 >= NEAR_SHARE * pools.len() as f64
    })
}
