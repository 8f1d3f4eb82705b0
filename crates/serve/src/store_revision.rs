//! Points in the history of the platform's store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store. The store may come back from an older copy, after which it gives out
/// revisions again; its era then rises, so that the era orders revisions first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era of the store; 0 if it states none.
    pub era: u64,
    /// Number of changes before this point, as the store counts them. Above 0 if known.
    pub number: u64,
}

impl StoreRevision {
    /// Whether this is a point in the history of the store, not the default of what is unknown.
    pub fn is_known(self) -> bool {
        self.number > 0
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
