//! The status of an earlier change, and the history of an environment.

use crate::catalog::Catalog;
use crate::catalog::ChangeId;
use crate::catalog::ChangeRecord;
use crate::catalog::EntryKey;
use crate::catalog::HISTORY_LEN;
use tt_model::Revision;

/// What a catalog says about a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It was accepted.
    Accepted {
        /// What it changed.
        key: EntryKey,
        /// The catalog revision that it made.
        revision: Revision,
    },
    /// It was not accepted up to this catalog revision.
    NotAccepted {
        /// The catalog revision.
        as_of: Revision,
    },
    /// It is not among the changes that the catalog still holds.
    NotInHistory {
        /// The catalog revision.
        as_of: Revision,
    },
}

/// The status of a change to an environment. Decided from the catalog given; the store's is
/// the newest.
pub fn status(catalog: &Catalog, environment: &str, change: &ChangeId) -> ChangeStatus {
    let as_of = catalog.revision;
    let entries = || catalog.entries.values().filter(|e| e.key.environment == environment);
    for entry in entries() {
        if let Some(record) = entry.find(change) {
            return ChangeStatus::Accepted { key: entry.key.clone(), revision: record.revision };
        }
    }
    if entries().any(|entry| entry.history.len() >= HISTORY_LEN) {
        return ChangeStatus::NotInHistory { as_of };
    }
    ChangeStatus::NotAccepted { as_of }
}

/// The changes of an environment that the catalog holds, newest first.
pub fn history<'a>(
    catalog: &'a Catalog,
    environment: &str,
) -> Vec<(&'a EntryKey, &'a ChangeRecord)> {
    let mut changes: Vec<_> = catalog
        .entries
        .values()
        .filter(|entry| entry.key.environment == environment)
        .flat_map(|entry| entry.history.iter().map(move |record| (&entry.key, record)))
        .collect();
    changes.sort_by_key(|(_, record)| std::cmp::Reverse(record.revision));
    changes
}
