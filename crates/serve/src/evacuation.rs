//! The failure domains that operators have evacuated, as far as this daemon knows.
//!
//! The platform's store is the source of truth. Daemons that read it pass the set on to the others.
//! Each set is the content of the store at one revision, so that of two sets the one with the later
//! revision is valid, whichever way it came.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::store_revision::StoreRevision;

/// The evacuated domains at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedDomains {
    /// The revision; unknown if the set is.
    pub revision: StoreRevision,
    /// Names of the domains.
    pub domains: BTreeSet<String>,
}

/// A change of one key of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Revision of the change.
    pub revision: StoreRevision,
    /// Name of the domain.
    pub domain: String,
    /// Whether the domain is evacuated from then on.
    pub evacuated: bool,
}

/// What a call to the store or to another daemon has told of the evacuated domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// Nothing: the call didn't ask for them.
    Unread,
    /// All of them.
    Whole(EvacuatedDomains),
    /// The changes since the last call of the same watch, in the order of the store. The watch has
    /// begun at or before a whole set that this daemon has adopted.
    Changes(Vec<EvacuationChange>),
}

/// What has become different for a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationDiff {
    /// Revision of the new set.
    pub revision: StoreRevision,
    /// Whether no set was known before.
    pub is_first: bool,
    /// Domains that are evacuated now.
    pub started: Vec<String>,
    /// Domains that were evacuated before.
    pub ended: Vec<String>,
}

/// The newest set that a daemon knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    newest: EvacuatedDomains,
}

impl Evacuations {
    /// The newest set.
    pub fn newest(&self) -> &EvacuatedDomains {
        &self.newest
    }

    /// Adopts what is newer than the known set. `None` if nothing is.
    pub fn adopt(&mut self, update: EvacuationUpdate) -> Option<EvacuationDiff> {
        let next = match update {
            EvacuationUpdate::Unread => return None,
            EvacuationUpdate::Whole(next) => next,
            EvacuationUpdate::Changes(changes) => self.with_changes(changes),
        };
        if next.revision <= self.newest.revision {
            return None;
        }
        let before = std::mem::replace(&mut self.newest, next);
        let now = &self.newest;
        Some(EvacuationDiff {
            revision: now.revision,
            is_first: !before.revision.is_known(),
            started: now.domains.difference(&before.domains).cloned().collect(),
            ended: before.domains.difference(&now.domains).cloned().collect(),
        })
    }

    /// The known set after those changes that it doesn't contain yet.
    fn with_changes(&self, changes: Vec<EvacuationChange>) -> EvacuatedDomains {
        let mut next = self.newest.clone();
        for EvacuationChange { revision, domain, evacuated } in changes {
            // A peer may have told of the change already, and of later ones.
            if revision <= self.newest.revision {
                continue;
            }
            match evacuated {
                true => next.domains.insert(domain),
                false => next.domains.remove(&domain),
            };
            next.revision = next.revision.max(revision);
        }
        next
    }
}
