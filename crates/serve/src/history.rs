//! The newest listing of searchers with its recent changes, so that other daemons can fetch a delta
//! instead of the whole listing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::registry::SearcherRecord;
use crate::registry::listing_digest;

/// Number of deltas that are kept. A daemon reads about one listing per second, so they reach back
/// further than the time after which a silent daemon is removed from the members.
const MAX_DELTAS: usize = 16;

/// A change of one registration, as the store reports it.
#[derive(Debug, Clone, PartialEq)]
pub enum ListingChange {
    /// It was written.
    Put(SearcherRecord),
    /// The registration with this id was removed, or can't be read any more.
    Removed(String),
}

/// The difference between two listings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListingDelta {
    /// Records of searchers that are new or whose record differs.
    pub changed: Vec<SearcherRecord>,
    /// Ids of the searchers that are no longer listed.
    pub removed: Vec<String>,
}

impl ListingDelta {
    /// The difference that turns `old` into `new`.
    pub fn between(old: &[SearcherRecord], new: &[SearcherRecord]) -> ListingDelta {
        let before: HashMap<&str, &SearcherRecord> =
            old.iter().map(|it| (it.id.as_str(), it)).collect();
        let kept: HashSet<&str> = new.iter().map(|it| it.id.as_str()).collect();
        let is_new = |it: &&SearcherRecord| before.get(it.id.as_str()) != Some(it);
        let is_gone = |it: &&SearcherRecord| !kept.contains(it.id.as_str());
        ListingDelta {
            changed: new.iter().filter(is_new).cloned().collect(),
            removed: old.iter().filter(is_gone).map(|it| it.id.clone()).collect(),
        }
    }

    /// The difference that a series of changes makes; of several changes of one registration the
    /// last counts.
    pub fn from_changes(changes: Vec<ListingChange>) -> ListingDelta {
        let mut last: BTreeMap<String, Option<SearcherRecord>> = BTreeMap::new();
        for change in changes {
            match change {
                ListingChange::Put(record) => last.insert(record.id.clone(), Some(record)),
                ListingChange::Removed(id) => last.insert(id, None),
            };
        }
        let mut delta = ListingDelta { changed: Vec::new(), removed: Vec::new() };
        for (id, record) in last {
            match record {
                Some(record) => delta.changed.push(record),
                None => delta.removed.push(id),
            }
        }
        delta
    }

    /// Whether the listings are equal.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }

    /// Applies the difference to `old` and returns the new listing.
    pub fn apply(self, old: &[SearcherRecord]) -> Vec<SearcherRecord> {
        let changed = self.changed.iter().map(|it| it.id.as_str());
        let replaced: HashSet<&str> =
            changed.chain(self.removed.iter().map(String::as_str)).collect();
        let stays = |it: &&SearcherRecord| !replaced.contains(it.id.as_str());
        let mut listing: Vec<SearcherRecord> = old.iter().filter(stays).cloned().collect();
        listing.extend(self.changed);
        listing
    }
}

/// The newest listing and the deltas that led to it.
#[derive(Debug, Default)]
pub struct ListingHistory {
    newest: Vec<SearcherRecord>,
    digest: u64,
    /// Digests of earlier listings, each with the delta to the next one.
    deltas: VecDeque<(u64, ListingDelta)>,
}

impl ListingHistory {
    /// Makes `listing` the newest one.
    pub fn push(&mut self, listing: Vec<SearcherRecord>) {
        let delta = ListingDelta::between(&self.newest, &listing);
        if delta.is_empty() {
            return;
        }
        self.deltas.push_back((self.digest, delta));
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.digest = listing_digest(&listing);
        self.newest = listing;
    }

    /// The newest listing.
    pub fn newest(&self) -> &[SearcherRecord] {
        &self.newest
    }

    /// Digest of the newest listing; 0 before the first one.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The delta from the listing with this digest to the newest one; `None` if that listing is not
    /// or no longer known.
    pub fn delta_since(&self, digest: u64) -> Option<ListingDelta> {
        if digest == self.digest {
            return Some(ListingDelta { changed: Vec::new(), removed: Vec::new() });
        }
        let first = self.deltas.iter().rposition(|(from, _)| *from == digest)?;
        let mut changed: HashMap<&str, &SearcherRecord> = HashMap::new();
        let mut removed: HashSet<&str> = HashSet::new();
        for (_, delta) in self.deltas.iter().skip(first) {
            for id in &delta.removed {
                changed.remove(id.as_str());
                removed.insert(id);
            }
            for record in &delta.changed {
                removed.remove(record.id.as_str());
                changed.insert(&record.id, record);
            }
        }
        Some(ListingDelta {
            changed: changed.into_values().cloned().collect(),
            removed: removed.into_iter().map(str::to_owned).collect(),
        })
    }
}
