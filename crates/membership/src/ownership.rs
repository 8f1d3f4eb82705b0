//! The owner and the successor of each searcher: weighted rendezvous hashing over the
//! members of an epoch.
//!
//! Two daemons in the same epoch must compute the same pairs, so ranks use integers only;
//! the logarithm of a floating point library may differ between machines. Members are
//! ranked by address without the incarnation: a restarted daemon gets its searchers back.

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

/// A member as seen by the ranking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The process.
    pub id: MemberId,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Whether it certainly holds nothing that was assigned to it.
    pub released: bool,
    weight: u32,
    hash: u64,
}

/// The members that share a searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pair {
    /// The member that queues sub-queries for the searcher.
    pub owner: MemberId,
    /// The member that holds the other half; the owner itself if there is no other member.
    pub successor: MemberId,
}

/// A searcher and its limits for the whole tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearcherSpec {
    /// The searcher.
    pub key: SearcherKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Sub-queries that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// A rank; the smallest is first.
pub type Score = (u64, u64, SocketAddr);

impl Candidate {
    /// A candidate with its share of keys relative to others; a weight of 0 counts as 1.
    pub fn new(id: MemberId, domain: DomainKey, weight: u32) -> Candidate {
        let hash = hash_address(id.address);
        Candidate { id, domain, released: false, weight: weight.max(1), hash }
    }

    /// The rank of this member for `key`: minus the logarithm of a uniform hash, divided by
    /// the weight, so that shares are proportional to weights.
    pub fn score(&self, key: u64) -> Score {
        self.score_of(self.mix(key))
    }

    fn mix(&self, key: u64) -> u64 {
        let mut bytes = [0u8; 16];
        bytes[..8].copy_from_slice(&self.hash.to_le_bytes());
        bytes[8..].copy_from_slice(&key.to_le_bytes());
        xxh3_64(&bytes)
    }

    fn score_of(&self, hash: u64) -> Score {
        (log2::negative_log2(hash) / u64::from(self.weight), !hash, self.id.address)
    }
}

/// The first in rank. Members of equal weight rank by their hash alone, which saves the
/// logarithm and the division for nearly all of them.
fn first<'a, I>(candidates: I, key: u64) -> Option<&'a Candidate>
where
    I: Iterator<Item = &'a Candidate>,
{
    let mut best: Option<(&Candidate, u64)> = None;
    for candidate in candidates {
        let hash = candidate.mix(key);
        let wins = match best {
            None => true,
            Some((other, high)) if other.weight == candidate.weight && hash != high => hash > high,
            Some((other, high)) => candidate.score_of(hash) < other.score_of(high),
        };
        if wins {
            best = Some((candidate, hash));
        }
    }
    best.map(|(candidate, _)| candidate)
}

/// The pair for a searcher. The owner comes from the domain of the searcher if it has
/// members; the successor comes from another domain than the owner if there is one.
pub fn pair(candidates: &[Candidate], key: SearcherKey, domain: DomainKey) -> Option<Pair> {
    let [owner, successor] = ranked_pair(candidates, key, domain)?;
    Some(Pair { owner: owner.id, successor: successor.id })
}

/// The members of the pair for a searcher.
pub(crate) fn ranked_pair(
    candidates: &[Candidate],
    key: SearcherKey,
    domain: DomainKey,
) -> Option<[&Candidate; 2]> {
    let near = candidates.iter().filter(|c| c.domain == domain);
    let owner = first(near, key.0).or_else(|| first(candidates.iter(), key.0))?;
    let others = || candidates.iter().filter(|c| c.id.address != owner.id.address);
    let successor = first(others().filter(|c| c.domain != owner.domain), key.0)
        .or_else(|| first(others(), key.0))
        .unwrap_or(owner);
    Some([owner, successor])
}

/// The pairs of all searchers in the current epoch.
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
    /// The epoch of the pairs; 0 before the first.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The members of the epoch.
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

    /// Replaces the searchers. Those that stay with an unchanged domain keep their pair.
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

    /// Moves to a newer epoch; an older one is ignored. A searcher is ranked anew only if
    /// a member of its pair has gone; otherwise it is only compared with the new members.
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
            let contenders = current.and_then(|p| {
                if p.owner == p.successor {
                    return None;
                }
                Some([*kept.get(&p.owner)?, *kept.get(&p.successor)?])
            });
            row.pair = match contenders {
                None => pair(&next, spec.key, spec.domain),
                Some(_) if joined.is_empty() => continue,
                Some([owner, successor]) => {
                    let winner = joined
                        .iter()
                        .chain([&owner])
                        .min_by_key(|c| (c.domain != spec.domain, c.score(spec.key.0)))
                        .unwrap_or(&owner);
                    if winner.id != owner.id {
                        pair(&next, spec.key, spec.domain)
                    } else {
                        let second = joined
                            .iter()
                            .chain([&successor])
                            .min_by_key(|c| (c.domain == owner.domain, c.score(spec.key.0)))
                            .unwrap_or(&successor);
                        Some(Pair { owner: owner.id, successor: second.id })
                    }
                }
            };
        }
        self.candidates = next;
    }
}
