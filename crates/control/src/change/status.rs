//! The status of an earlier change, and the history of an environment.

use crate::catalog::Catalog;
use crate::catalog::ChangeId;
use crate::catalog::ChangeRecord;
use crate::catalog::MAX_HISTORY_LEN;
use crate::catalog::StageKey;
use tt_model::Revision;

/// The status of a change according to a catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStatus {
    /// The change was accepted.
    Accepted {
        /// The environment and stage that it changed.
        key: StageKey,
        /// The catalog revision that it created.
        revision: Revision,
    },
    /// The change was not accepted at or before catalog revision `as_of`. A change in progress may
    /// still be accepted later.
    NotAccepted {
        /// The revision of the catalog that was searched.
        as_of: Revision,
    },
    /// The change is not in the history, which is no longer complete, so the change may have been
    /// accepted earlier.
    NotInHistory {
        /// The revision of the catalog that was searched.
        as_of: Revision,
    },
}

/// Looks up a change to an environment in `catalog`. Only the catalog in the store is certain to
/// be the newest.
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

/// All changes of an environment in the history of the catalog, newest first.
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
