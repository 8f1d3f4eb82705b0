//! Which shards of a query another daemon asks on behalf of this one.
//!
//! Bytes between failure domains are dear. A daemon in the domain of the searchers asks many of
//! them with one request and returns one merged answer.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

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
    /// Where it is.
    pub reach: RelayScope,
}

/// Who asks for the shards of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// What others ask for.
    pub delegations: Vec<Delegation>,
    /// For each shard, whether this daemon is the one of its domain that usually asks for it.
    pub owned: Vec<bool>,
}

/// Which daemons may be asked for shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayScope {
    /// None.
    None,
    /// Those of the same failure domain.
    Domain,
    /// All.
    All,
}

/// Assigns shards to daemons within `reach`: those that have no usable searcher in the domain of
/// `me` to one that is near to them, and each of the others to its owner in the domain, which
/// knows its searchers best and holds connections to them. `turn` spreads the work over the
/// daemons of another domain.
pub fn assign(
    pools: &[PoolKey],
    fleet: &Fleet,
    me: &Vm,
    relays: &[&Member],
    reach: RelayScope,
    turn: usize,
    now: Time,
) -> Assignment {
    let mut delegations = match reach {
        RelayScope::All => {
            let far = |shard: &usize| !fleet.is_usable_in(pools[*shard], &me.domain, now);
            let far = (0..pools.len()).filter(far).collect();
            to_domains(far, pools, fleet, &me.domain, relays, turn, now)
        }
        RelayScope::Domain | RelayScope::None => Vec::new(),
    };
    let mut owned = vec![false; pools.len()];
    let mut others: BTreeMap<&str, (&Vm, Vec<usize>)> = BTreeMap::new();
    let peers: Vec<&Vm> =
        relays.iter().map(|it| &it.vm).filter(|it| it.domain == me.domain).collect();
    for (shard, &pool) in pools.iter().enumerate() {
        if delegations.iter().any(|it| it.shards.contains(&shard)) {
            continue;
        }
        let owner = owner(fleet.name_hash(pool), me, &peers);
        if owner.name == me.name {
            owned[shard] = true;
        } else if reach != RelayScope::None {
            others.entry(&owner.name).or_insert((owner, Vec::new())).1.push(shard);
        }
    }
    for (owner, shards) in others.into_values() {
        if shards.len() >= FEWEST_SHARDS {
            delegations.push(Delegation {
                relay: owner.clone(),
                shards,
                reach: RelayScope::Domain,
            });
        }
    }
    Assignment { delegations, owned }
}

/// The daemon of a domain that usually asks for a shard. It changes for few shards when daemons
/// come or go.
fn owner<'a>(pool: u64, me: &'a Vm, peers: &[&'a Vm]) -> &'a Vm {
    let weight = |vm: &Vm| xxh3_64_with_seed(vm.name.as_bytes(), pool);
    peers.iter().fold(me, |best, peer| if weight(peer) > weight(best) { peer } else { best })
}

fn to_domains(
    mut left: Vec<usize>,
    pools: &[PoolKey],
    fleet: &Fleet,
    home: &str,
    relays: &[&Member],
    turn: usize,
    now: Time,
) -> Vec<Delegation> {
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
        let relay = near[turn % near.len()].vm.clone();
        delegations.push(Delegation { relay, shards, reach: RelayScope::All });
    }
    delegations
}
