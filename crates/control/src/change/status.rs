//! The status of an earlier change, and the history of an environment.

use crate::catalog::Catalog;
use crate::catalog::ChangeId;
use crate::catalog::ChangeRecord;
use crate::catalog::MAX_HISTORY_LEN;
use crate::catalog::StageKey;
use tt_model::Revision;

/// What a catalog says about a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStatus {
    /// It was accepted.
    Accepted {
        /// What it changed.
        key: StageKey,
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
    let records =
        || catalog.records.values().filter(|record| record.key.environment == environment);
    for record in records() {
        if let Some(accepted) = record.find_change(change) {
            return ChangeStatus::Accepted { key: record.key.clone(), revision: accepted.revision };
        }
    }
    if records().any(|record| record.history.len() >= MAX_HISTORY_LEN) {
        return ChangeStatus::NotInHistory { as_of };
    }
    ChangeStatus::NotAccepted { as_of }
}

/// The changes of an environment that the catalog holds, newest first.
pub fn history<'a>(
    catalog: &'a Catalog,
    environment: &str,
) -> Vec<(&'a StageKey, &'a ChangeRecord)> {
    let mut changes: Vec<_> = catalog
        .records
        .values()
        .filter(|record| record.key.environment == environment)
        .flat_map(|record| record.history.iter().map(move |change| (&record.key, change)))
        .collect();
    changes.sort_by_key(|(_, change)| std::cmp::Reverse(change.revision));
    changes
}
