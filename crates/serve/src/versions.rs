//! Versions of what operators have written.

use crate::store_revision::StoreRevision;

/// What a daemon has, or has heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct KnownVersions {
    /// Version of the configuration; 0 if there is none.
    pub config: u64,
    /// Store revision of the newest change of the evacuated failure domains.
    pub evacuations: StoreRevision,
}

impl KnownVersions {
    pub(crate) fn is_behind(self, newest: KnownVersions) -> bool {
        self.config < newest.config || self.evacuations < newest.evacuations
    }

    /// The later version of each.
    pub fn max(self, other: KnownVersions) -> KnownVersions {
        KnownVersions {
            config: self.config.max(other.config),
            evacuations: self.evacuations.max(other.evacuations),
        }
    }
}
