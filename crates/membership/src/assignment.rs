//! The assignment in the store: which members may own searchers, by epoch.
//!
//! The value also keeps members that have left, with the epochs of joining and leaving, for
//! as long as they may still hold halves. From these a new owner knows every process that
//! must release a half before it may take it, however many epochs ago that process was the
//! owner.

mod proposer;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainKey;
use crate::ids::Member;
use crate::ids::MemberId;
use crate::ownership::Candidate;
use tt_model::Epoch;

pub use proposer::AssignmentProposer;
pub use proposer::CallId;
pub use proposer::MAX_STABILITY_DELAY;
pub use proposer::STABILITY_DELAY;
pub use proposer::Step;
pub use proposer::Target;

/// Key of the assignment in the store.
pub const ASSIGNMENT_KEY: &str = "assignment";

/// One membership of a process: the epochs from its joining to its leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The process that is or was a member.
    #[serde(flatten)]
    pub id: MemberId,
    /// Index into [`Assignment::domains`].
    pub domain: u16,
    /// Share of searchers relative to the weights of other members.
    pub weight: u32,
    /// The first epoch of the membership.
    pub joined: Epoch,
    /// The first epoch after the membership, if it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<Epoch>,
    /// Whether the process certainly holds no half that was assigned to it during this
    /// membership. The record is kept until [`Assignment::base`] has reached [`Record::left`],
    /// because the pairs of those epochs can't be computed without it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released: bool,
    /// Whether the list of daemons in the store has contained the VM. From this, a daemon that
    /// starts later knows that the VM is gone if the list no longer contains it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub listed: bool,
    /// The epoch in which the record was last changed.
    pub changed: Epoch,
}

impl Record {
    fn covers(&self, epoch: Epoch) -> bool {
        self.joined <= epoch && self.left.is_none_or(|left| epoch < left)
    }
}

/// The value in the store, for one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Number of this value, one above the value before.
    pub epoch: Epoch,
    /// No process holds a half that was last assigned to it before this epoch.
    pub base: Epoch,
    /// The highest [`Record::left`] of all records that have been removed from `members`.
    pub pruned: Epoch,
    /// The process that wrote the value.
    pub proposer: MemberId,
    /// Random for each proposal, so that two proposals for the same epoch differ and a proposer
    /// recognises its own write after a lost reply.
    pub nonce: u64,
    /// Names of the failure domains that records refer to.
    pub domains: Vec<String>,
    /// Current members and ended memberships that are still needed, ordered by id and by epoch of
    /// joining.
    pub members: Vec<Record>,
}

/// The change from one epoch to a later one. The full value is too large to send to 2,700
/// daemons every few seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentDelta {
    /// The epoch of the value that the change applies to.
    pub from: Epoch,
    /// The epoch of the value that results.
    pub epoch: Epoch,
    /// See [`Assignment::base`].
    pub base: Epoch,
    /// See [`Assignment::pruned`].
    pub pruned: Epoch,
    /// See [`Assignment::proposer`].
    pub proposer: MemberId,
    /// See [`Assignment::nonce`].
    pub nonce: u64,
    /// See [`Assignment::domains`].
    pub domains: Vec<String>,
    /// Records of current members that changed after `from`.
    pub changed: Vec<Record>,
    /// All records of ended memberships that are kept.
    pub ended: Vec<Record>,
}

impl Assignment {
    /// The value of the first epoch.
    pub fn first(target: &Target, proposer: MemberId, nonce: u64) -> Assignment {
        let empty = Assignment {
            epoch: Epoch(0),
            base: Epoch(1),
            pruned: Epoch(0),
            proposer,
            nonce,
            domains: Vec::new(),
            members: Vec::new(),
        };
        empty.next(target, proposer, nonce)
    }

    /// The value of the next epoch with the members of `target`. Records that are no longer needed
    /// are removed.
    pub fn next(&self, target: &Target, proposer: MemberId, nonce: u64) -> Assignment {
        let Target { members, oldest_held_epochs, listed, .. } = target;
        let epoch = self.epoch.next();
        let oldest_held_epoch_of =
            |r: &Record| oldest_held_epochs.get(&r.id).copied().unwrap_or_default();
        let mut domains = self.domains.clone();
        let mut records = self.members.clone();
        for record in &mut records {
            if !record.listed && listed.contains(&record.id) {
                record.listed = true;
                record.changed = epoch;
            }
            record.released = record.left.is_some_and(|left| {
                record.released || oldest_held_epochs.get(&record.id).is_some_and(|&at| at >= left)
            });
        }
        let held = records.iter().filter(|r| !r.released);
        let oldest = held.map(oldest_held_epoch_of).min().unwrap_or_default();
        let base = self.base.max(oldest.min(self.epoch));
        let mut pruned = self.pruned;
        records.retain(|r| {
            let Some(left) = r.left.filter(|&left| left <= base) else { return true };
            pruned = pruned.max(left);
            false
        });
        let wanted: HashMap<MemberId, &Member> = members.iter().map(|m| (m.id, m)).collect();
        let mut present = HashSet::new();
        for record in records.iter_mut().filter(|r| r.left.is_none()) {
            let stays = wanted.get(&record.id).is_some_and(|m| {
                m.weight == record.weight
                    && Some(&m.domain) == self.domains.get(usize::from(record.domain))
            });
            if stays {
                present.insert(record.id);
            } else {
                record.left = Some(epoch);
                record.changed = epoch;
            }
        }
        for member in members {
            if !present.insert(member.id) {
                continue;
            }
            let domain = match domains.iter().position(|name| *name == member.domain) {
                Some(index) => index,
                None => {
                    domains.push(member.domain.clone());
                    domains.len() - 1
                }
            };
            records.push(Record {
                id: member.id,
                domain: domain as u16,
                weight: member.weight,
                joined: epoch,
                left: None,
                released: false,
                listed: listed.contains(&member.id),
                changed: epoch,
            });
        }
        records.sort_by_key(|r| (r.id, r.joined));
        Assignment { epoch, base, pruned, proposer, nonce, domains, members: records }
    }

    /// The members of this epoch.
    pub fn current(&self) -> impl Iterator<Item = &Record> {
        self.members.iter().filter(|r| r.left.is_none())
    }

    /// Whether a process is a member of this epoch.
    pub fn contains(&self, id: MemberId) -> bool {
        self.current().any(|r| r.id == id)
    }

    /// The name of a member's domain; empty if the value is malformed.
    pub fn domain(&self, record: &Record) -> &str {
        self.domains.get(usize::from(record.domain)).map_or("", String::as_str)
    }

    /// The member that a record describes.
    pub fn member(&self, record: &Record) -> Member {
        Member { id: record.id, domain: self.domain(record).to_owned(), weight: record.weight }
    }

    /// The members of this epoch as candidates for the pairs of searchers.
    pub fn candidates(&self) -> Vec<Candidate> {
        self.candidates_at(self.epoch)
    }

    /// The candidates of the earlier epochs from which halves may still be held, newest first.
    /// Epochs with the same members as the one before are left out.
    pub fn history(&self) -> Vec<Vec<Candidate>> {
        let changes: BTreeSet<Epoch> = self
            .members
            .iter()
            .flat_map(|r| [Some(r.joined), r.left])
            .flatten()
            .chain([self.base])
            .filter(|&epoch| self.base <= epoch && epoch < self.epoch)
            .collect();
        changes.into_iter().rev().map(|epoch| self.candidates_at(epoch)).collect()
    }

    /// Whether a new epoch is of use although the members don't change: it would mark a VM as
    /// listed or an ended membership as released, or remove a record.
    pub fn needs_cleanup(&self, target: &Target) -> bool {
        let oldest_held_epoch_of =
            |r: &Record| target.oldest_held_epochs.get(&r.id).copied().unwrap_or_default();
        let held = self.members.iter().filter(|r| !r.released);
        let base = held.map(oldest_held_epoch_of).min().unwrap_or_default();
        self.members.iter().any(|r| match r.left {
            Some(left) => left <= base || (!r.released && oldest_held_epoch_of(r) >= left),
            None => !r.listed && target.listed.contains(&r.id),
        })
    }

    /// The change from epoch `from` to this one. `None` if `from` is not older, if it is 0 (there
    /// is no value to apply a change to), or if one of its records has been removed since.
    pub fn delta(&self, from: Epoch) -> Option<AssignmentDelta> {
        if from >= self.epoch || from < self.pruned || from == Epoch(0) {
            return None;
        }
        Some(AssignmentDelta {
            from,
            epoch: self.epoch,
            base: self.base,
            pruned: self.pruned,
            proposer: self.proposer,
            nonce: self.nonce,
            domains: self.domains.clone(),
            changed: self.current().filter(|r| r.changed > from).cloned().collect(),
            ended: self.members.iter().filter(|r| r.left.is_some()).cloned().collect(),
        })
    }

    /// The value after a change; `None` if the change applies to another epoch.
    pub fn apply(&self, delta: AssignmentDelta) -> Option<Assignment> {
        if delta.from != self.epoch {
            return None;
        }
        let replaced: HashSet<(MemberId, Epoch)> =
            delta.ended.iter().chain(&delta.changed).map(|r| (r.id, r.joined)).collect();
        let mut members: Vec<Record> = self
            .current()
            .filter(|r| !replaced.contains(&(r.id, r.joined)))
            .chain(&delta.changed)
            .cloned()
            .collect();
        members.extend(delta.ended.iter().cloned());
        members.sort_by_key(|r| (r.id, r.joined));
        Some(Assignment {
            epoch: delta.epoch,
            base: delta.base,
            pruned: delta.pruned,
            proposer: delta.proposer,
            nonce: delta.nonce,
            domains: delta.domains,
            members,
        })
    }

    /// The value as JSON for the store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an assignment is always valid JSON")
    }

    /// Reads a value of the store; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Assignment> {
        serde_json::from_slice(bytes).ok()
    }

    fn candidates_at(&self, epoch: Epoch) -> Vec<Candidate> {
        let keys: Vec<DomainKey> = self.domains.iter().map(|name| DomainKey::of(name)).collect();
        let domain = |r: &Record| keys.get(usize::from(r.domain)).copied().unwrap_or(DomainKey(0));
        self.members
            .iter()
            .filter(|r| r.covers(epoch))
            .map(|r| {
                let mut candidate = Candidate::new(r.id, domain(r), r.weight);
                candidate.released = r.released;
                candidate
            })
            .collect()
    }
}
