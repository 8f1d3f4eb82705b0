//! Which shards of a query another daemon asks on behalf of this one.
//!
//! Bytes between failure domains are dear. A daemon in the domain of the searchers asks many of
//! them with one request and returns one merged answer.

use crate::Time;
use crate::fleet::Fleet;
use crate::fleet::PoolKey;
use crate::members::Member;
use crate::members::Vm;

/// Fewest shards that are worth a relay.
const FEWEST_SHARDS: usize = 2;

/// Shards that one daemon asks for another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delegation {
    /// The daemon that asks.
    pub relay: Vm,
    /// Indices of the shards.
    pub shards: Vec<usize>,
}

/// Assigns the shards that have no usable searcher in `home` to daemons that are near to one.
/// `turn` spreads the work over the daemons of a domain.
pub fn delegate(
    pools: &[PoolKey],
    fleet: &Fleet,
    home: &str,
    relays: &[&Member],
    turn: usize,
    now: Time,
) -> Vec<Delegation> {
    let mut left: Vec<usize> =
        (0..pools.len()).filter(|&shard| !fleet.is_usable_in(pools[shard], home, now)).collect();
    let mut domains: Vec<&str> = relays.iter().map(|relay| relay.vm.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.retain(|domain| *domain != home);
    if !domains.is_empty() {
        // Domains that cover alike take turns.
        let start = turn % domains.len();
        domains.rotate_left(start);
    }
    let mut delegations = Vec::new();
    while left.len() >= FEWEST_SHARDS {
        let covered = |domain: &str| -> Vec<usize> {
            let near = |shard: &&usize| fleet.is_usable_in(pools[**shard], domain, now);
            left.iter().filter(near).copied().collect()
        };
        let best = domains.iter().map(|domain| (*domain, covered(domain)));
        let Some((domain, shards)) =
            best.reduce(|best, next| if next.1.len() > best.1.len() { next } else { best })
        else {
            break;
        };
        if shards.len() < FEWEST_SHARDS {
            break;
        }
        let near: Vec<&&Member> = relays.iter().filter(|it| it.vm.domain == domain).collect();
        left.retain(|shard| !shards.contains(shard));
        delegations.push(Delegation { relay: near[turn % near.len()].vm.clone(), shards });
    }
    delegations
}
