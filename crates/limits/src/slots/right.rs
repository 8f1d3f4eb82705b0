//! How many slots of a searcher this daemon may use.

use tokio::time::Instant;

use crate::halves::Half;

/// Baselines and the chosen way to divide a searcher's slots between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotPolicy {
    /// The pair of owner and successor uses them.
    Owner,
    /// Every daemon has a fixed equal part. At least one slot each, so with more daemons
    /// than slots this baseline exceeds the searcher's limit.
    StaticShare {
        /// Number of daemons.
        daemons: u32,
    },
}

impl SlotPolicy {
    /// The right to use under this policy. `owned` is the right from the ownership state.
    pub fn right(self, owned: SlotRight, slots: u32) -> SlotRight {
        match self {
            SlotPolicy::Owner => owned,
            SlotPolicy::StaticShare { daemons } => {
                SlotRight::Half { slots: (slots / daemons.max(1)).max(1) }
            }
        }
    }
}

/// The right of this daemon to use a searcher's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotRight {
    /// No slot may be used.
    None,
    /// The daemon's own half may be used, with no end.
    Half {
        /// Slots of the half.
        slots: u32,
    },
    /// All slots may be used until the promise ends, and the half after that.
    Full {
        /// All slots.
        slots: u32,
        /// Slots of the half.
        half: u32,
        /// End of the promise.
        until: Instant,
    },
}

impl SlotRight {
    /// The right of an owner that holds a promise until `until`.
    pub fn promised(slots: u32, until: Instant) -> SlotRight {
        SlotRight::Full { slots, half: Half::Owner.of(slots), until }
    }

    /// The right to one half, without a promise.
    pub fn half(half: Half, slots: u32) -> SlotRight {
        SlotRight::Half { slots: half.of(slots) }
    }

    /// Slots that may be used at `now`.
    pub fn allowed(self, now: Instant) -> u32 {
        match self {
            SlotRight::None => 0,
            SlotRight::Half { slots } => slots,
            SlotRight::Full { slots, until, .. } if now < until => slots,
            SlotRight::Full { half, .. } => half,
        }
    }

    /// Slots that may be used without a promise.
    pub fn unbounded(self) -> u32 {
        match self {
            SlotRight::None => 0,
            SlotRight::Half { slots } => slots,
            SlotRight::Full { half, .. } => half,
        }
    }

    /// End of the promise, if there is one.
    pub fn until(self) -> Option<Instant> {
        match self {
            SlotRight::None | SlotRight::Half { .. } => None,
            SlotRight::Full { until, .. } => Some(until),
        }
    }
}
