//! Division of a searcher's limits between its owner and its successor.

/// Role of a member in the pair of daemons that may start work at a searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PairRole {
    /// Its half of a limit is rounded up.
    Owner,
    /// Its half of a limit is rounded down.
    Successor,
}

impl PairRole {
    /// The half of `limit` for this role. The halves of both roles add up to `limit`.
    pub fn half_of(self, limit: u32) -> u32 {
        match self {
            PairRole::Owner => limit.div_ceil(2),
            PairRole::Successor => limit / 2,
        }
    }
}
