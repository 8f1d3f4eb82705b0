//! The owner and the successor of each searcher, by weighted rendezvous hashing over the
//! members of an epoch.
//!
//! Two daemons in the same epoch must compute the same pairs. Scores are therefore integers:
//! the logarithm of a floating-point library may differ between machines. The hash covers a
//! member's address without the incarnation, so a restarted daemon gets its searchers back.

mod log2;

use std::collections::HashMap;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::assignment::Assignment;
use crate::ids::DomainKey;
use crate::ids::MemberId;
use crate::ids::SearcherKey;
use crate::ids::hash_address;
use tt_model::Epoch;

/// A member that may become the owner or successor of searchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The member's process.
    pub id: MemberId,
    /// The member's failure domain.
    pub domain: DomainKey,
    /// See [`crate::assignment::Record::released`].
    pub released: bool,
    weight: u32,
    hash: u64,
}

/// The two members that share a searcher in an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pair {
    /// Queues sub-queries for the searcher; the upper half is assigned to it.
    pub owner: MemberId,
    /// The lower half is assigned to it; the owner itself if there is no other member.
    pub successor: MemberId,
}

/// A searcher with its limits, which hold for the whole tier together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearcherSpec {
    /// Key of the searcher's address.
    pub key: SearcherKey,
    /// The searcher's failure domain.
    pub domain: DomainKey,
    /// Maximum number of sub-queries that it runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
}

/// The score of a member for a key; the member with the smallest is first.
pub type Score = (u64, u64, SocketAddr);

impl Candidate {
    /// A candidate that has not released its halves. `weight` is its share of keys relative to the
    /// others; 0 counts as 1.
    pub fn new(id: MemberId, domain: DomainKey, weight: u32) -> Candidate {
        let hash = hash_address(id.address);
        Candidate { id, domain, released: false, weight: weight.max(1), hash }
    }

    /// The score of this member for `key`: the negative logarithm of a uniform hash, divided by
    /// the weight, so that shares of keys are proportional to weights.
    pub fn score(&self, key: u64) -> Score {
        self.score_of_hash(self.hash_with(key))
    }

    fn hash_with(&self, key: u64) -> u64 {
        let mut bytes = [0u8; 16];
        bytes[..8].copy_from_slice(&self.hash.to_le_bytes());
        bytes[8..].copy_from_slice(&key.to_le_bytes());
        xxh3_64(&bytes)
    }

    fn score_of_hash(&self, hash: u64) -> Score {
        (log2::negative_log2(hash) / u64::from(self.weight), !hash, self.id.address)
    }
}

/// The candidate with the smallest score. Candidates of equal weight are compared by hash alone,
/// which saves the logarithm and the division for nearly all of them.
fn first_ranked<'a, I>(candidates: I, key: u64) -> Option<&'a Candidate>
where
    I: Iterator<Item = &'a Candidate>,
{
    let mut best: Option<(&Candidate, u64)> = None;
    for candidate in candidates {
        let hash = candidate.hash_with(key);
        let wins = match best {
            None => true,
            Some((other, best_hash)) if other.weight == candidate.weight && hash != best_hash => {
                hash > best_hash
            }
            Some((other, best_hash)) => {
                candidate.score_of_hash(hash) < other.score_of_hash(best_hash)
            }
        };
        if wins {
            best = Some((candidate, hash));
        }
    }
    best.map(|(candidate, _)| candidate)
}

/// The pair for a searcher; `None` without candidates. The owner comes from the searcher's domain
/// if that has members. The successor comes from another domain than the owner if there is one.
pub fn pair(candidates: &[Candidate], key: SearcherKey, domain: DomainKey) -> Option<Pair> {
    let [owner, successor] = ranked_pair(candidates, key, domain)?;
    Some(Pair { owner: owner.id, successor: successor.id })
}

/// The owner and the successor for a searcher, as in [`pair`].
pub(crate) fn ranked_pair(
    candidates: &[Candidate],
    key: SearcherKey,
    domain: DomainKey,
) -> Option<[&Candidate; 2]> {
    let local = candidates.iter().filter(|c| c.domain == domain);
    let owner = first_ranked(local, key.0).or_else(|| first_ranked(candidates.iter(), key.0))?;
    let others = || candidates.iter().filter(|c| c.id.address != owner.id.address);
    let successor = first_ranked(others().filter(|c| c.domain != owner.domain), key.0)
        .or_else(|| first_ranked(others(), key.0))
        .unwrap_or(owner);
    Some([owner, successor])
}

/// The pairs of all searchers of the documents in the current epoch.
#[derive(Debug, Default)]
pub struct Ownership {
    epoch: Epoch,
    candidates: Vec<Candidate>,
    pairs: HashMap<SearcherKey, Row>,
}

#[derive(Debug, Clone, Copy)]
struct Row {
    spec: SearcherSpec,
    pair: Option<Pair>,
}

impl Ownership {
    /// The epoch of the pairs; 0 before the first assignment.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The members of the epoch as candidates.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// The pair of a searcher; `None` if the searcher is unknown or there is no member.
    pub fn pair(&self, key: SearcherKey) -> Option<Pair> {
        self.pairs.get(&key).and_then(|row| row.pair)
    }

    /// All searchers with their pairs.
    pub fn iter(&self) -> impl Iterator<Item = (SearcherSpec, Option<Pair>)> {
        self.pairs.values().map(|row| (row.spec, row.pair))
    }

    /// Replaces the searchers. A searcher that stays in the same domain keeps its pair.
    pub fn set_searchers(&mut self, specs: &[SearcherSpec]) {
        let mut old = std::mem::take(&mut self.pairs);
        for &spec in specs {
            let kept = old.remove(&spec.key).filter(|row| row.spec.domain == spec.domain);
            let pair = match kept {
                Some(row) => row.pair,
                None => pair(&self.candidates, spec.key, spec.domain),
            };
            self.pairs.insert(spec.key, Row { spec, pair });
        }
    }

    /// Moves to a newer epoch; an older one is ignored. For speed, a searcher is ranked over all
    /// members only if a member of its pair has left; otherwise the pair is only compared with the
    /// members that joined.
    pub fn set_epoch(&mut self, assignment: &Assignment) {
        if assignment.epoch <= self.epoch {
            return;
        }
        self.epoch = assignment.epoch;
        let next = assignment.candidates();
        let old: HashMap<MemberId, Candidate> =
            self.candidates.iter().map(|c| (c.id, *c)).collect();
        let kept: HashMap<MemberId, Candidate> =
            next.iter().filter(|c| old.get(&c.id) == Some(*c)).map(|c| (c.id, *c)).collect();
        let joined: Vec<Candidate> =
            next.iter().filter(|c| !kept.contains_key(&c.id)).copied().collect();
        for row in self.pairs.values_mut() {
            let Row { spec, pair: current } = row;
            let kept_pair = current.and_then(|p| {
                if p.owner == p.successor {
                    return None;
                }
                Some([*kept.get(&p.owner)?, *kept.get(&p.successor)?])
            });
            row.pair = match kept_pair {
                None => pair(&next, spec.key, spec.domain),
                Some(_) if joined.is_empty() => continue,
                Some([owner, successor]) => {
                    let best_owner = joined
                        .iter()
                        .chain([&owner])
                        .min_by_key(|c| (c.domain != spec.domain, c.score(spec.key.0)))
                        .unwrap_or(&owner);
                    if best_owner.id != owner.id {
                        pair(&next, spec.key, spec.domain)
                    } else {
                        let best_successor = joined
                            .iter()
                            .chain([&successor])
                            .min_by_key(|c| (c.domain == owner.domain, c.score(spec.key.0)))
                            .unwrap_or(&successor);
                        Some(Pair { owner: owner.id, successor: best_successor.id })
                    }
                }
            };
        }
        self.candidates = next;
    }
}
