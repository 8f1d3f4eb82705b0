//! Divides the work of a tier whose VMs have very different processor shares.
//!
//! A query over many shards takes milliseconds of a core, which at a small share is a good part of
//! its objective. Where shares differ widely, callers, shards and relayed work go to the *primary*
//! entries, which have the large shares. The *standby* entries pass on what reaches them, and do
//! the work themselves only while their failure domain has no primary entry.

use crate::Time;
use crate::members::Member;
use crate::members::Members;
use crate::members::TierSize;
use crate::routes::PoolRole;

/// Ratio of the largest to the smallest processor share from which a tier is uneven. Below it, the
/// processor time of a query differs less between entries than the time that callers wait for
/// searchers, and more entries are of more use than larger ones.
const UNEVEN_RATIO: u32 = 4;

/// Ratio of the largest processor share from which an entry is a primary one.
const PRIMARY_RATIO: f64 = 0.5;

/// Minimum number of primary entries that callers are sent to: with a single one, all callers would
/// wait for its failure to be noticed.
const MIN_PRIMARIES: usize = 2;

/// Share of a limit of the whole tier that its primary entries divide among themselves. Standby
/// entries need the rest while primary ones fail.
const PRIMARY_LIMIT_RATIO: f64 = 0.9;

/// Ratio of the connections of a searcher that the primary entries open. Each standby entry may
/// need one when a relay fails.
const PRIMARY_CONNECTION_RATIO: f64 = 0.7;

/// How the processor shares of the entries compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Capacity {
    /// They are similar, or not known.
    #[default]
    Even,
    /// They differ widely.
    Uneven {
        /// Minimum processor share of a primary entry, in thousandths of a core.
        min_primary: u32,
    },
}

/// Whether an entry does the work of requests itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryRole {
    /// It does.
    Primary,
    /// It leaves work to the primary entries of its failure domain.
    Standby,
}

impl Capacity {
    /// Compares the processor shares of entries, in thousandths of a core; 0 if one is not known.
    pub fn new<I>(millicores: I) -> Capacity
    where
        I: Iterator<Item = u32>,
    {
        let known = millicores.filter(|share| *share > 0);
        let range = known.fold(None, |range: Option<(u32, u32)>, share| match range {
            None => Some((share, share)),
            Some((min, max)) => Some((min.min(share), max.max(share))),
        });
        match range {
            Some((min, max)) if max >= min.saturating_mul(UNEVEN_RATIO) => {
                Capacity::Uneven { min_primary: (f64::from(max) * PRIMARY_RATIO).ceil() as u32 }
            }
            _ => Capacity::Even,
        }
    }

    /// The role of an entry with this processor share.
    pub fn role(self, millicores: u32) -> EntryRole {
        match self {
            Capacity::Uneven { min_primary } if millicores < min_primary => EntryRole::Standby,
            Capacity::Uneven { .. } | Capacity::Even => EntryRole::Primary,
        }
    }

    fn is_primary(self, member: &Member) -> bool {
        self.role(member.status.millicores) == EntryRole::Primary
    }

    /// Leaves the relays that do work themselves: in each failure domain the primary ones, or all
    /// if it has none. Returns the role of this daemon, which is in `domain` and would have `role`
    /// by its processor share.
    pub fn select_relays(
        self,
        relays: &mut Vec<&Member>,
        domain: &str,
        role: EntryRole,
    ) -> EntryRole {
        if self == Capacity::Even {
            return EntryRole::Primary;
        }
        let primaries: Vec<&Member> =
            relays.iter().copied().filter(|relay| self.is_primary(relay)).collect();
        let has_primary = |domain: &str| primaries.iter().any(|it| it.vm.domain == domain);
        let is_alone = role == EntryRole::Primary;
        relays.retain(|relay| {
            let in_home = relay.vm.domain == domain;
            self.is_primary(relay) || !(has_primary(&relay.vm.domain) || (in_home && is_alone))
        });
        match role {
            EntryRole::Standby if has_primary(domain) => EntryRole::Standby,
            EntryRole::Standby | EntryRole::Primary => EntryRole::Primary,
        }
    }

    /// Whether callers are sent only to primary entries, given how many of them are open.
    pub fn prefers_primaries(self, open_primaries: usize) -> bool {
        self != Capacity::Even && open_primaries >= MIN_PRIMARIES
    }
}

/// The part that one entry has of the limits of the whole tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryShare {
    /// How the processor shares of the entries compare.
    pub capacity: Capacity,
    /// The role of this entry by its own share.
    pub role: EntryRole,
    /// Number of primary entries, this one included if it is one.
    pub primaries: usize,
    /// Number of entries whose processor share is not known. They count in the group of this one, so
    /// that the parts of a limit don't add up to more than the whole.
    pub unknown: usize,
    /// The size of the tier.
    pub size: TierSize,
}

impl EntryShare {
    /// By how many the limits of the tier are divided to give the part of this entry.
    pub fn limit_divisor(&self) -> f64 {
        let daemons = self.size.daemons.max(1);
        match (self.capacity, self.role) {
            (Capacity::Even, _) => daemons as f64,
            (Capacity::Uneven { .. }, EntryRole::Primary) => {
                (self.primaries + self.unknown).max(1) as f64 / PRIMARY_LIMIT_RATIO
            }
            (Capacity::Uneven { .. }, EntryRole::Standby) => {
                let standbys = daemons.saturating_sub(self.primaries).max(1);
                standbys as f64 / (1.0 - PRIMARY_LIMIT_RATIO)
            }
        }
    }

    /// Number of connections that this entry may open to a searcher in an uneven tier, of `all` that
    /// it accepts from the tier. `None` in an even tier.
    pub fn connections(&self, all: f64, pool_role: PoolRole) -> Option<usize> {
        if self.capacity == Capacity::Even {
            return None;
        }
        let primary = all * PRIMARY_CONNECTION_RATIO;
        let max = match (self.role, pool_role) {
            (EntryRole::Primary, PoolRole::Equal) => {
                primary / (self.primaries + self.unknown).max(1) as f64
            }
            (EntryRole::Primary, PoolRole::Owner) => primary / self.size.domains.max(1) as f64,
            (EntryRole::Standby, PoolRole::Equal) => {
                let standbys = self.size.daemons.saturating_sub(self.primaries).max(1);
                (all - primary) / standbys as f64
            }
            (EntryRole::Standby, PoolRole::Owner) | (_, PoolRole::NonOwner) => 1.0,
        };
        Some((max as usize).max(1))
    }
}

impl Members {
    /// The part of the limits of the tier for this daemon with this processor share, in thousandths
    /// of a core.
    pub fn entry_share(&self, millicores: u32, now: Time) -> EntryShare {
        let others = || self.known().map(|member| member.status.millicores);
        let capacity = Capacity::new(others().chain([millicores]));
        let is_primary = |share: &u32| *share > 0 && capacity.role(*share) == EntryRole::Primary;
        EntryShare {
            capacity,
            role: capacity.role(millicores),
            primaries: others().chain([millicores]).filter(is_primary).count(),
            unknown: others().filter(|share| *share == 0).count(),
            size: self.tier_size(now),
        }
    }
}
