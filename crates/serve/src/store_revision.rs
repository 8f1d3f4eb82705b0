//! Points in the history of the platform's store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store. The store may come back from an older copy, after which it gives out
/// revisions again; its era then rises, so that the era orders revisions first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era of the store, from 1; 0 if it is unknown.
    pub era: u64,
    /// Number of changes before this point, as the store counts them. Above 0 if known.
    pub number: u64,
}

impl StoreRevision {
    /// Later than any revision of a store.
    pub const MAX: StoreRevision = StoreRevision { era: u64::MAX, number: u64::MAX };

    /// Whether this is a point in the history of the store, not the default of what is unknown.
    pub fn is_known(self) -> bool {
        self.number > 0
    }
}

impl FromStr for StoreRevision {
    type Err = ParseIntError;

    /// Parses the form that [`Display`](fmt::Display) writes. Without an era, it is 0.
    fn from_str(text: &str) -> Result<StoreRevision, ParseIntError> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        Ok(StoreRevision { era: era.parse()?, number: number.parse()? })
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
