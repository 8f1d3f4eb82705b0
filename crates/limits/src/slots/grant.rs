//! How many slots of a searcher this daemon may use.

use tokio::time::Instant;

use crate::pair::PairRole;

/// How the slots of a searcher are divided between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotPolicy {
    /// Only the searcher's owner and successor use them.
    Owner,
    /// Baseline for comparison: every daemon has a fixed equal number of slots, at least
    /// one, so with more daemons than slots the searcher's limit is exceeded.
    StaticShare {
        /// Number of daemons.
        daemons: u32,
    },
}

impl SlotPolicy {
    /// The grant to use under this policy for a searcher with `slots` slots. `owned` is
    /// the grant from the ownership state.
    pub fn grant(self, owned: SlotGrant, slots: u32) -> SlotGrant {
        match self {
            SlotPolicy::Owner => owned,
            SlotPolicy::StaticShare { daemons } => {
                SlotGrant::Own { slots: (slots / daemons.max(1)).max(1) }
            }
        }
    }
}

/// The slots of a searcher that this daemon may use.
///
/// Usually, the owner and the successor each have half of the slots as their own, and the
/// successor leases its half to the owner for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotGrant {
    /// The daemon may not use the searcher; its queued sub-queries are rejected.
    None,
    /// The daemon's own slots, without an end. With 0 slots, sub-queries wait in the queue.
    Own {
        /// Number of own slots.
        slots: u32,
    },
    /// Own and leased slots until the lease expires, only the own slots after that.
    Leased {
        /// Number of own and leased slots together.
        slots: u32,
        /// Number of own slots.
        own_slots: u32,
        /// When the lease expires.
        until: Instant,
    },
}

impl SlotGrant {
    /// The grant of an owner that has a lease of the successor's half until `until`. `slots` is
    /// the searcher's slot limit.
    pub fn leased(slots: u32, until: Instant) -> SlotGrant {
        SlotGrant::Leased { slots, own_slots: PairRole::Owner.half_of(slots), until }
    }

    /// The grant of a pair member without a lease. `slots` is the searcher's slot limit.
    pub fn own_half(role: PairRole, slots: u32) -> SlotGrant {
        SlotGrant::Own { slots: role.half_of(slots) }
    }

    /// Number of slots that may be used at `now`.
    pub fn allowed_slots(self, now: Instant) -> u32 {
        match self {
            SlotGrant::None => 0,
            SlotGrant::Own { slots } => slots,
            SlotGrant::Leased { slots, until, .. } if now < until => slots,
            SlotGrant::Leased { own_slots, .. } => own_slots,
        }
    }

    /// Number of slots that may be used without a lease.
    pub fn own_slots(self) -> u32 {
        match self {
            SlotGrant::None => 0,
            SlotGrant::Own { slots } => slots,
            SlotGrant::Leased { own_slots, .. } => own_slots,
        }
    }

    /// When the lease expires, if there is one.
    pub fn lease_end(self) -> Option<Instant> {
        match self {
            SlotGrant::None | SlotGrant::Own { .. } => None,
            SlotGrant::Leased { until, .. } => Some(until),
        }
    }
}
