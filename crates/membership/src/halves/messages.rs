//! Messages between the processes that share searchers. Any of them may be lost, delayed or
//! duplicated.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::Clock;
use super::Half;
use super::Halves;
use super::SentRenewal;
use super::Usage;
use super::searcher::GrantedLease;
use crate::ids::MemberId;
use crate::ids::SearcherKey;
use tt_model::Epoch;

/// A request that is due, with its receiver in `to`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// From the owner to the successor.
    Renew(Renew),
    /// To a process that may hold a half that is assigned to this one.
    Release(Release),
}

/// An owner's request for a lease, or for its renewal, on all searchers that it shares with one
/// successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The owner.
    pub from: MemberId,
    /// The successor.
    pub to: MemberId,
    /// The epoch in force at the owner.
    pub epoch: Epoch,
    /// Identifies the request. The lease is counted from the time at which it was sent.
    pub sequence: u64,
    /// The searchers for whose lower half the owner requests a lease.
    pub searchers: Vec<SearcherKey>,
}

/// The successor's answer to [`Renew`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// The successor.
    pub from: MemberId,
    /// The owner.
    pub to: MemberId,
    /// The epoch in force at the successor.
    pub epoch: Epoch,
    /// The same as in the request.
    pub sequence: u64,
    /// The searchers of the request for which no lease is granted.
    pub refused: Vec<SearcherKey>,
}

/// A request to release halves, from the process to which they are assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The process that asks.
    pub from: MemberId,
    /// The process that may hold the halves.
    pub to: MemberId,
    /// The epoch in force at the process that asks.
    pub epoch: Epoch,
    /// The halves to be released.
    pub halves: Vec<(SearcherKey, Half)>,
}

/// Tells the process that sent a [`Release`] which of the halves the other does not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// The process that answers. A later process at the address that was asked answers too, which
    /// shows that the earlier one has ended.
    pub from: MemberId,
    /// The process that asked.
    pub to: MemberId,
    /// The epoch in force at the process that answers. If it is older than that of the request,
    /// nothing is released: the process has to learn the newer epoch first.
    pub epoch: Epoch,
    /// The halves of the request that the process does not hold, and will not take under an epoch
    /// up to this one.
    pub released: Vec<(SearcherKey, Half)>,
}

impl Halves {
    /// Grants leases to an owner. Returns `None` for a request to an earlier process.
    pub fn on_renew<U>(&mut self, renew: &Renew, usage: U, now: Instant) -> Option<RenewAnswer>
    where
        U: Fn(SearcherKey) -> Usage,
    {
        if renew.to != self.me {
            return None;
        }
        let until = now + self.settings.lease_duration;
        let mut refused = Vec::new();
        for &key in &renew.searchers {
            let pair = self.ownership.pair(key);
            let in_pair = pair.is_some_and(|p| p.owner == renew.from && p.successor == self.me);
            let granted = match self.searchers.get_mut(&key).filter(|_| in_pair) {
                Some(halves) => {
                    halves.grant_lease(GrantedLease { to: renew.from, until }, usage(key), now)
                }
                None => false,
            };
            if !granted {
                refused.push(key);
            }
        }
        Some(RenewAnswer {
            from: self.me,
            to: renew.from,
            epoch: self.epoch(),
            sequence: renew.sequence,
            refused,
        })
    }

    /// Takes the leases that a successor has granted. They last from the time of the request, so
    /// that they end here before they end at the successor.
    pub fn on_renew_answer(&mut self, answer: &RenewAnswer) {
        let Some(request) = self.sent_renewals.get(&answer.sequence) else { return };
        if answer.to != self.me || answer.from != request.to {
            return;
        }
        let settings = &self.settings;
        let duration = settings.lease_duration - settings.max_clock_error;
        let until = request.sent.now + duration;
        let until_unix_ms = request.sent.unix_ms + duration.as_millis() as u64;
        for key in request.searchers.iter().filter(|key| !answer.refused.contains(key)) {
            if let Some(halves) = self.searchers.get_mut(key) {
                halves.accept_lease(until, until_unix_ms);
            }
        }
    }

    /// Releases halves to the process to which they are assigned, as far as possible now.
    pub fn on_release<U>(&mut self, release: &Release, usage: U, now: Instant) -> ReleaseAnswer
    where
        U: Fn(SearcherKey) -> Usage,
    {
        let mut released = Vec::new();
        if release.to == self.me && release.epoch <= self.epoch() {
            for &(key, half) in &release.halves {
                let not_held = match self.searchers.get_mut(&key) {
                    Some(halves) => halves.try_release(half, usage(key), now),
                    None => true,
                };
                if not_held {
                    released.push((key, half));
                }
            }
        }
        ReleaseAnswer { from: self.me, to: release.from, epoch: self.epoch(), released }
    }

    /// Takes the halves that an earlier holder has released.
    pub fn on_release_answer(&mut self, answer: &ReleaseAnswer, now: Instant) {
        if answer.to != self.me {
            return;
        }
        let ended: Vec<MemberId> = self
            .assignment
            .iter()
            .flat_map(|a| &a.members)
            .map(|r| r.id)
            .filter(|id| answer.from.supersedes(id))
            .collect();
        for id in ended {
            self.member_ended(id, now);
        }
        if answer.epoch < self.epoch() {
            return;
        }
        for &(key, half) in &answer.released {
            if let Some(halves) = self.searchers.get_mut(&key) {
                halves.released_by(half, answer.from);
            }
        }
        self.take_free_halves(now);
    }

    /// One request for each successor, on the searchers whose upper half is held: a lease of the
    /// lower half is of use only with it.
    pub(super) fn renewals(&mut self, sent: Clock) -> Vec<Renew> {
        let oldest = sent.now.checked_sub(self.settings.lease_duration);
        self.sent_renewals
            .retain(|_, request| oldest.is_none_or(|oldest| request.sent.now > oldest));
        let mut by_peer: BTreeMap<MemberId, Vec<SearcherKey>> = BTreeMap::new();
        for (&key, halves) in &self.searchers {
            let Some(pair) = self.ownership.pair(key) else { continue };
            let shared = pair.owner == self.me && pair.successor != self.me;
            if shared && halves.holds(Half::Upper) && !halves.holds(Half::Lower) {
                by_peer.entry(pair.successor).or_default().push(key);
            }
        }
        let mut messages = Vec::new();
        for (to, mut searchers) in by_peer {
            searchers.sort_unstable();
            self.last_sequence += 1;
            self.sent_renewals
                .insert(self.last_sequence, SentRenewal { to, sent, searchers: searchers.clone() });
            messages.push(Renew {
                from: self.me,
                to,
                epoch: self.epoch(),
                sequence: self.last_sequence,
                searchers,
            });
        }
        messages
    }

    /// One request for each process that may hold halves that are assigned to this one.
    pub(super) fn release_requests(&self) -> Vec<Release> {
        let mut by_peer: BTreeMap<MemberId, Vec<(SearcherKey, Half)>> = BTreeMap::new();
        for (&key, halves) in &self.searchers {
            for (half, id) in halves.holders() {
                by_peer.entry(id).or_default().push((key, half));
            }
        }
        let request = |(to, mut halves): (MemberId, Vec<(SearcherKey, Half)>)| {
            halves.sort_unstable();
            Release { from: self.me, to, epoch: self.epoch(), halves }
        };
        by_peer.into_iter().map(request).collect()
    }
}
