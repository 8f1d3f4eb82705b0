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

/// Most shards that one daemon asks for itself while there are others in its domain: the answers
/// of many searchers come at once and wait for the processor.
const MOST_SHARDS: usize = 12;

/// Shards that one daemon asks for another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delegation {
    /// The daemon that asks.
    pub relay: Vm,
    /// Indices of the shards.
    pub shards: Vec<usize>,
    /// Where it is.
    pub reach: Reach,
}

/// Which daemons may be asked for shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// None.
    Nobody,
    /// Those of the same failure domain.
    Domain,
    /// All.
    Everywhere,
}

/// Assigns shards to daemons within `reach`: those that have no usable searcher in `home` to one
/// that is near to them, and of the others what is too much for one daemon to others in `home`.
/// `turn` spreads the work over the daemons of a domain.
pub fn delegate(
    pools: &[PoolKey],
    fleet: &Fleet,
    home: &str,
    relays: &[&Member],
    reach: Reach,
    turn: usize,
    now: Time,
) -> Vec<Delegation> {
    let all = 0..pools.len();
    let (near, far): (Vec<usize>, Vec<usize>) =
        all.partition(|&shard| fleet.is_usable_in(pools[shard], home, now));
    match reach {
        Reach::Nobody => Vec::new(),
        Reach::Domain => share_out([near, far].concat(), home, relays, turn),
        Reach::Everywhere => {
            let mut delegations = to_domains(far, pools, fleet, home, relays, turn, now);
            let delegated = |shard: &usize| delegations.iter().any(|it| it.shards.contains(shard));
            let own = (0..pools.len()).filter(|shard| !delegated(shard)).collect();
            delegations.extend(share_out(own, home, relays, turn));
            delegations
        }
    }
}

/// Divides shards between this daemon and others of its domain.
fn share_out(own: Vec<usize>, home: &str, relays: &[&Member], turn: usize) -> Vec<Delegation> {
    let peers: Vec<&&Member> = relays.iter().filter(|it| it.vm.domain == home).collect();
    let parts = own.len().div_ceil(MOST_SHARDS).min(peers.len() + 1);
    if parts <= 1 {
        return Vec::new();
    }
    let size = own.len().div_ceil(parts);
    // This daemon keeps the first part.
    let rest = own.chunks(size).skip(1).enumerate();
    rest.map(|(part, shards)| Delegation {
        relay: peers[(turn + part) % peers.len()].vm.clone(),
        shards: shards.to_vec(),
        reach: Reach::Domain,
    })
    .collect()
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
        delegations.push(Delegation { relay, shards, reach: Reach::Everywhere });
    }
    delegations
}
