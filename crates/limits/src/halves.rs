//! Division of a searcher's limits between its owner and its successor.

/// A member's place in the pair that serves a searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Half {
    /// The owner's half, rounded up.
    Owner,
    /// The successor's half, rounded down.
    Successor,
}

impl Half {
    /// This half of `limit`. Both halves together are exactly `limit`.
    pub fn of(self, limit: u32) -> u32 {
        match self {
            Half::Owner => limit.div_ceil(2),
            Half::Successor => limit / 2,
        }
    }
}
