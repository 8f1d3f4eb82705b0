//! How the limit of a searcher is divided among the daemons.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::members::TierSize;
use crate::routes::PoolRole;

/// Share of a limit for the owner in the searcher's own failure domain, which prefers it to those
/// of other domains.
const LOCAL_OWNER_SHARE: f64 = 0.6;

/// Share of a limit for the owners in all other domains together.
const REMOTE_OWNERS_SHARE: f64 = 0.3;

/// Share of a limit for all daemons together that own the pool in no domain. They query it
/// directly only while the owner can't be reached.
const NON_OWNERS_SHARE: f64 = 0.1;

/// The daemons among which the limits of searchers are divided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tier {
    /// Name of the VM of this daemon.
    pub me: String,
    /// Number of daemons and of their failure domains.
    pub size: TierSize,
    /// The failure domains.
    pub domains: BTreeSet<String>,
    /// Names of the VMs of the other daemons in the failure domain of this one, whether they are
    /// live or not.
    pub neighbours: Vec<String>,
    /// How far these can be relied on.
    pub list: ListState,
}

/// How far the daemons that are known can be relied on to be all that have parts of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// The list of daemons has not been read since the start.
    Unread,
    /// It has been read, but others that start at the same time may be missing.
    Incomplete,
    /// It is up to date.
    Current,
    /// It has not been read for so long that others may no longer count this daemon.
    Outdated,
}

/// The part of a limit that one daemon may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Share {
    /// The part, 0 to 1.
    pub(super) ratio: f64,
    /// Number of daemons that have parts.
    pub(super) daemons: usize,
}

impl Tier {
    /// Whether this daemon is the owner of a pool with this hash of its name among all daemons of
    /// its domain that are known. Unlike the owner among the live ones, this is the same on both
    /// sides of a broken link, since the list comes from the store.
    pub(super) fn is_listed_owner(&self, pool: u64) -> bool {
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), pool);
        let own = weight(&self.me);
        self.neighbours.iter().all(|name| weight(name) <= own)
    }

    /// The share of the limit of a searcher in `domain` that is left to this daemon, which is in
    /// the domain `home` and has `role` for the pool.
    pub(super) fn share(&self, role: PoolRole, domain: &str, home: &str) -> Share {
        let TierSize { daemons, domains } = self.size;
        let others = domains.saturating_sub(1).max(1) as f64;
        let ratio = match role {
            PoolRole::Equal => 1.0 / daemons.max(1) as f64,
            PoolRole::Owner if domain == home => LOCAL_OWNER_SHARE,
            PoolRole::Owner if self.domains.contains(domain) => REMOTE_OWNERS_SHARE / others,
            PoolRole::Owner => (LOCAL_OWNER_SHARE + REMOTE_OWNERS_SHARE) / domains.max(1) as f64,
            PoolRole::NonOwner => NON_OWNERS_SHARE / daemons.saturating_sub(domains).max(1) as f64,
        };
        Share { ratio, daemons }
    }
}
