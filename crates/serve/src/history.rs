//! How one listing of searchers differs from another, for daemons that follow.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::registry::SearcherRecord;
use crate::registry::listing_digest;

/// Steps that are remembered. A daemon reads about one listing a second, so that these last longer
/// than another one is silent before it is forgotten.
const REMEMBERED: usize = 16;

/// What turns one listing into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListingDelta {
    /// Searchers that are new or say something else.
    pub changed: Vec<SearcherRecord>,
    /// Ids of those that are gone.
    pub removed: Vec<String>,
}

impl ListingDelta {
    /// What turns `old` into `new`.
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

    /// The listing that `old` turns into.
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

/// The newest listing, and how it came from earlier ones.
#[derive(Debug, Default)]
pub struct ListingHistory {
    newest: Vec<SearcherRecord>,
    digest: u64,
    /// Digests of earlier listings, each with what turned it into the next one.
    steps: VecDeque<(u64, ListingDelta)>,
}

impl ListingHistory {
    /// Notes a listing.
    pub fn push(&mut self, listing: Vec<SearcherRecord>) {
        let delta = ListingDelta::between(&self.newest, &listing);
        if delta.changed.is_empty() && delta.removed.is_empty() {
            return;
        }
        self.steps.push_back((self.digest, delta));
        if self.steps.len() > REMEMBERED {
            self.steps.pop_front();
        }
        self.digest = listing_digest(&listing);
        self.newest = listing;
    }

    /// The newest listing.
    pub fn newest(&self) -> &[SearcherRecord] {
        &self.newest
    }

    /// The digest of the newest listing.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What turns the listing with a digest into the newest; `None` if it is not remembered.
    pub fn delta_since(&self, digest: u64) -> Option<ListingDelta> {
        let first = self.steps.iter().rposition(|(from, _)| *from == digest)?;
        let mut changed: HashMap<&str, &SearcherRecord> = HashMap::new();
        let mut removed: HashSet<&str> = HashSet::new();
        for (_, delta) in self.steps.iter().skip(first) {
            for id in &delta.removed {
                changed.remove(id.as_str());
                removed.insert(id);
            }
            for sighting in &delta.changed {
                removed.remove(sighting.id.as_str());
                changed.insert(&sighting.id, sighting);
            }
        }
        Some(ListingDelta {
            changed: changed.into_values().cloned().collect(),
            removed: removed.into_iter().map(str::to_owned).collect(),
        })
    }
}
