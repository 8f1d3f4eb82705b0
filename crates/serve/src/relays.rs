//! Assigns the shards of a query to relays: other daemons that query searchers on behalf of this
//! one.
//!
//! Traffic between failure domains is expensive. A daemon in the domain of the searchers queries
//! many of them for one request and returns one merged answer.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Time;
use crate::capacity::EntryRole;
use crate::fleet::Fleet;
use crate::fleet::PoolKey;
use crate::members::Member;
use crate::members::Vm;

/// Minimum number of shards for which a relay is used.
const MIN_RELAY_SHARDS: usize = 2;

/// Shards that are left to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delegation {
    /// The daemon that queries the searchers.
    pub relay: Vm,
    /// Indices of the shards in the query.
    pub shards: Vec<usize>,
    /// [`RelayScope::Domain`] if the relay is in the failure domain of this daemon, otherwise
    /// [`RelayScope::All`].
    pub scope: RelayScope,
}

/// Which daemon queries which shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Shards that are left to relays.
    pub delegations: Vec<Delegation>,
    /// For each shard, whether this daemon is its owner in the domain and queries it itself.
    pub owned: Vec<bool>,
}

/// Which daemons may be used as relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayScope {
    /// No daemon.
    None,
    /// Daemons of the same failure domain.
    Domain,
    /// All daemons.
    All,
}

/// Assigns shards to relays within `scope`. A shard without a usable searcher in the domain of `me`
/// goes to a daemon in a domain that has one. Each other shard goes to its owner in the domain,
/// which knows its searchers best and holds connections to them. If the `role` of this daemon is
/// [`EntryRole::Standby`], it owns none. `rotation` spreads the work over the daemons of another
/// domain.
#[expect(clippy::too_many_arguments, reason = "all are inputs of one decision")]
pub fn assign(
    pools: &[PoolKey],
    fleet: &Fleet,
    me: &Vm,
    relays: &[&Member],
    role: EntryRole,
    scope: RelayScope,
    rotation: usize,
    now: Time,
) -> Assignment {
    let mut delegations = match scope {
        RelayScope::All => {
            let is_remote = |shard: &usize| !fleet.is_usable_in(pools[*shard], &me.domain, now);
            let remote = (0..pools.len()).filter(is_remote).collect();
            delegate_remote(remote, pools, fleet, &me.domain, relays, rotation, now)
        }
        RelayScope::Domain | RelayScope::None => Vec::new(),
    };
    let mut owned = vec![false; pools.len()];
    let mut by_owner: BTreeMap<&str, (&Vm, Vec<usize>)> = BTreeMap::new();
    let peers: Vec<&Vm> =
        relays.iter().map(|it| &it.vm).filter(|it| it.domain == me.domain).collect();
    for (shard, &pool) in pools.iter().enumerate() {
        if delegations.iter().any(|it| it.shards.contains(&shard)) {
            continue;
        }
        let candidates = peers.iter().copied();
        let owner = match role {
            EntryRole::Primary => owner(fleet.name_hash(pool), candidates.chain([me])),
            EntryRole::Standby => owner(fleet.name_hash(pool), candidates),
        };
        let Some(owner) = owner else { continue };
        if owner.name == me.name {
            owned[shard] = true;
        } else if scope != RelayScope::None {
            by_owner.entry(&owner.name).or_insert((owner, Vec::new())).1.push(shard);
        }
    }
    for (owner, shards) in by_owner.into_values() {
        if shards.len() >= MIN_RELAY_SHARDS {
            delegations.push(Delegation {
                relay: owner.clone(),
                shards,
                scope: RelayScope::Domain,
            });
        }
    }
    Assignment { delegations, owned }
}

/// The daemon of a domain that owns a shard, by rendezvous hashing: when daemons come or go, the
/// owner of few shards changes.
fn owner<'a, I>(pool: u64, candidates: I) -> Option<&'a Vm>
where
    I: Iterator<Item = &'a Vm>,
{
    candidates.max_by_key(|vm| xxh3_64_with_seed(vm.name.as_bytes(), pool))
}

/// Delegates shards without a usable searcher in `home` to daemons of other domains, beginning with
/// the domain that covers the largest number of them.
fn delegate_remote(
    mut remaining: Vec<usize>,
    pools: &[PoolKey],
    fleet: &Fleet,
    home: &str,
    relays: &[&Member],
    rotation: usize,
    now: Time,
) -> Vec<Delegation> {
    let mut domains: Vec<&str> = relays.iter().map(|relay| relay.vm.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.retain(|domain| *domain != home);
    if !domains.is_empty() {
        // Domains that cover equally many shards take turns.
        let start = rotation % domains.len();
        domains.rotate_left(start);
    }
    let mut delegations = Vec::new();
    while remaining.len() >= MIN_RELAY_SHARDS {
        let covered = |domain: &str| -> Vec<usize> {
            let is_local = |shard: &&usize| fleet.is_usable_in(pools[**shard], domain, now);
            remaining.iter().filter(is_local).copied().collect()
        };
        let best = domains.iter().map(|domain| (*domain, covered(domain)));
        let Some((domain, shards)) =
            best.reduce(|best, next| if next.1.len() > best.1.len() { next } else { best })
        else {
            break;
        };
        if shards.len() < MIN_RELAY_SHARDS {
            break;
        }
        let candidates: Vec<&&Member> = relays.iter().filter(|it| it.vm.domain == domain).collect();
        remaining.retain(|shard| !shards.contains(shard));
        let relay = candidates[rotation % candidates.len()].vm.clone();
        delegations.push(Delegation { relay, shards, scope: RelayScope::All });
    }
    delegations
}
