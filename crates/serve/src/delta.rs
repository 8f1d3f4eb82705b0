//! How one listing of searchers differs from another, for daemons that follow.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::registry::Sighting;
use crate::registry::digest;

/// Steps that are remembered. A daemon reads about one listing a second, so that these last longer
/// than another one is silent before it is forgotten.
const REMEMBERED: usize = 16;

/// What turns one listing into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Searchers that are new or say something else.
    pub changed: Vec<Sighting>,
    /// Ids of those that are gone.
    pub removed: Vec<String>,
}

impl Delta {
    /// What turns `old` into `new`.
    pub fn between(old: &[Sighting], new: &[Sighting]) -> Delta {
        let before: HashMap<&str, &Sighting> = old.iter().map(|it| (it.id.as_str(), it)).collect();
        let kept: HashSet<&str> = new.iter().map(|it| it.id.as_str()).collect();
        let is_new = |it: &&Sighting| before.get(it.id.as_str()) != Some(it);
        let is_gone = |it: &&Sighting| !kept.contains(it.id.as_str());
        Delta {
            changed: new.iter().filter(is_new).cloned().collect(),
            removed: old.iter().filter(is_gone).map(|it| it.id.clone()).collect(),
        }
    }

    /// The listing that `old` turns into.
    pub fn apply(self, old: &[Sighting]) -> Vec<Sighting> {
        let changed = self.changed.iter().map(|it| it.id.as_str());
        let replaced: HashSet<&str> =
            changed.chain(self.removed.iter().map(String::as_str)).collect();
        let stays = |it: &&Sighting| !replaced.contains(it.id.as_str());
        let mut listing: Vec<Sighting> = old.iter().filter(stays).cloned().collect();
        listing.extend(self.changed);
        listing
    }
}

/// The newest listing, and how it came from earlier ones.
#[derive(Debug, Default)]
pub struct Listings {
    newest: Vec<Sighting>,
    digest: u64,
    /// Digests of earlier listings, each with what turned it into the next one.
    steps: VecDeque<(u64, Delta)>,
}

impl Listings {
    /// Notes a listing.
    pub fn note(&mut self, listing: Vec<Sighting>) {
        let delta = Delta::between(&self.newest, &listing);
        if delta.changed.is_empty() && delta.removed.is_empty() {
            return;
        }
        self.steps.push_back((self.digest, delta));
        if self.steps.len() > REMEMBERED {
            self.steps.pop_front();
        }
        self.digest = digest(&listing);
        self.newest = listing;
    }

    /// The newest listing.
    pub fn newest(&self) -> &[Sighting] {
        &self.newest
    }

    /// The digest of the newest listing.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What turns the listing with a digest into the newest; `None` if it is not remembered.
    pub fn since(&self, digest: u64) -> Option<Delta> {
        let first = self.steps.iter().rposition(|(from, _)| *from == digest)?;
        let mut changed: HashMap<&str, &Sighting> = HashMap::new();
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
        Some(Delta {
            changed: changed.into_values().cloned().collect(),
            removed: removed.into_iter().map(str::to_owned).collect(),
        })
    }
}
