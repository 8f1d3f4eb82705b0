//! The failure domains that operators have evacuated, as far as this daemon knows.
//!
//! The platform's store is the source of truth. Daemons that read it pass the set on to the others.
//! Each set is the content of the store at one revision, so that of two sets the one with the later
//! revision is valid, whichever way it came.
//!
//! A store that has come back from an older copy lacks the latest evacuations until the operators
//! have written them again. Until then those that were known before hold too.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::Time;
use crate::outage::REWRITE_PERIOD;
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
    /// Domains that have begun to count as evacuated.
    pub started: Vec<String>,
    /// Domains that no longer count as evacuated.
    pub ended: Vec<String>,
}

/// Domains whose evacuation the store may have lost.
#[derive(Debug)]
struct Unconfirmed {
    domains: BTreeSet<String>,
    until: Time,
}

/// The newest set that a daemon knows.
#[derive(Debug, Default)]
pub struct Evacuations {
    newest: EvacuatedDomains,
    unconfirmed: Option<Unconfirmed>,
}

impl Evacuations {
    /// The newest set, as the store holds it.
    pub fn newest(&self) -> &EvacuatedDomains {
        &self.newest
    }

    /// The domains that count as evacuated.
    pub fn domains(&self) -> BTreeSet<String> {
        let unconfirmed = self.unconfirmed.iter().flat_map(|it| &it.domains);
        self.newest.domains.iter().chain(unconfirmed).cloned().collect()
    }

    /// Adopts what is newer than the known set. `None` if nothing is.
    pub fn adopt(&mut self, update: EvacuationUpdate, now: Time) -> Option<EvacuationDiff> {
        let before = self.domains();
        let next = match update {
            EvacuationUpdate::Unread => return None,
            EvacuationUpdate::Whole(next) => next,
            EvacuationUpdate::Changes(changes) => self.with_changes(changes),
        };
        let known = self.newest.revision;
        if next.revision <= known {
            return None;
        }
        if known.is_known() && known.era < next.revision.era {
            let until = now + REWRITE_PERIOD;
            self.unconfirmed = Some(Unconfirmed { domains: before.clone(), until });
        }
        self.newest = next;
        Some(EvacuationDiff { is_first: !known.is_known(), ..self.diff(&before) })
    }

    /// Ends evacuations that have not been written again in time. To be called at short intervals.
    /// `None` if nothing becomes different.
    pub fn end_unconfirmed(&mut self, now: Time) -> Option<EvacuationDiff> {
        if self.unconfirmed.as_ref().is_none_or(|it| now < it.until) {
            return None;
        }
        let before = self.domains();
        self.unconfirmed = None;
        Some(self.diff(&before)).filter(|diff| !diff.ended.is_empty())
    }

    /// What has become different since the domains `before` counted as evacuated.
    fn diff(&self, before: &BTreeSet<String>) -> EvacuationDiff {
        let domains = self.domains();
        EvacuationDiff {
            revision: self.newest.revision,
            is_first: false,
            started: domains.difference(before).cloned().collect(),
            ended: before.difference(&domains).cloned().collect(),
        }
    }

    /// The known set after those changes that it doesn't contain yet.
    fn with_changes(&mut self, changes: Vec<EvacuationChange>) -> EvacuatedDomains {
        let mut next = self.newest.clone();
        for EvacuationChange { revision, domain, evacuated } in changes {
            // A peer may have told of the change already, and of later ones.
            if revision <= self.newest.revision {
                continue;
            }
            if let Some(unconfirmed) = &mut self.unconfirmed {
                unconfirmed.domains.remove(&domain);
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
