//! Messages between the processes that share searchers. All may be lost, delayed or
//! duplicated.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use super::Clock;
use super::Half;
use super::Halves;
use super::Request;
use super::Usage;
use super::searcher::Lend;
use crate::ids::MemberId;
use crate::ids::SearcherKey;
use tt_model::Epoch;

/// A message that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// To the successor.
    Renew(Renew),
    /// To a process that may hold a half.
    Release(Release),
}

/// The owner asks for a promise on all searchers that it shares with one successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The owner.
    pub from: MemberId,
    /// The successor.
    pub to: MemberId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Pairs the answer with the time of the request.
    pub sequence: u64,
    /// The searchers.
    pub searchers: Vec<SearcherKey>,
}

/// The successor's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// The successor.
    pub from: MemberId,
    /// The owner.
    pub to: MemberId,
    /// The successor's epoch.
    pub epoch: Epoch,
    /// The sequence of the request.
    pub sequence: u64,
    /// The searchers that were not promised.
    pub refused: Vec<SearcherKey>,
}

/// A process to which halves are assigned asks an earlier holder to release them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The process that asks.
    pub from: MemberId,
    /// The process that may hold the halves.
    pub to: MemberId,
    /// The epoch of the process that asks.
    pub epoch: Epoch,
    /// The halves.
    pub halves: Vec<(SearcherKey, Half)>,
}

/// The answer to [`Release`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// The process that answers. If it is a later process at the address that was asked,
    /// the one that was asked has ended.
    pub from: MemberId,
    /// The process that asked.
    pub to: MemberId,
    /// The epoch of the process that answers. If it is below the epoch of the question,
    /// nothing is released; the process has to learn the newer epoch first.
    pub epoch: Epoch,
    /// The halves that the process does not hold at that epoch.
    pub released: Vec<(SearcherKey, Half)>,
}

impl Halves {
    /// Answers an owner. Returns `None` for a message to an earlier process.
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
            let ours = pair.is_some_and(|p| p.owner == renew.from && p.successor == self.me);
            let lent = match self.searchers.get_mut(&key).filter(|_| ours) {
                Some(entry) => entry.lend(Lend { to: renew.from, until }, usage(key), now),
                None => false,
            };
            if !lent {
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

    /// Takes the answer of a successor to the request with the same sequence.
    pub fn on_renew_answer(&mut self, answer: &RenewAnswer) {
        let Some(request) = self.renewals.get(&answer.sequence) else { return };
        if answer.to != self.me || answer.from != request.to {
            return;
        }
        let settings = &self.settings;
        let length = settings.lease_duration - settings.max_clock_error;
        let until = request.sent.now + length;
        let until_unix_ms = request.sent.unix_ms + length.as_millis() as u64;
        for key in request.searchers.iter().filter(|key| !answer.refused.contains(key)) {
            if let Some(entry) = self.searchers.get_mut(key) {
                entry.promised(until, until_unix_ms);
            }
        }
    }

    /// Answers a process that waits for halves.
    pub fn on_release<U>(&mut self, release: &Release, usage: U, now: Instant) -> ReleaseAnswer
    where
        U: Fn(SearcherKey) -> Usage,
    {
        let mut released = Vec::new();
        if release.to == self.me && release.epoch <= self.epoch() {
            for &(key, half) in &release.halves {
                let free = match self.searchers.get_mut(&key) {
                    Some(entry) => entry.release(half, usage(key), now),
                    None => true,
                };
                if free {
                    released.push((key, half));
                }
            }
        }
        ReleaseAnswer { from: self.me, to: release.from, epoch: self.epoch(), released }
    }

    /// Takes the answer of an earlier holder.
    pub fn on_release_answer(&mut self, answer: &ReleaseAnswer, now: Instant) {
        if answer.to != self.me {
            return;
        }
        let older: Vec<MemberId> = self
            .assignment
            .iter()
            .flat_map(|a| &a.members)
            .map(|r| r.id)
            .filter(|id| answer.from.supersedes(id))
            .collect();
        for id in older {
            self.member_ended(id, now);
        }
        if answer.epoch < self.epoch() {
            return;
        }
        for &(key, half) in &answer.released {
            if let Some(entry) = self.searchers.get_mut(&key) {
                entry.released_by(half, answer.from);
            }
        }
        self.take_free_halves(now);
    }

    /// One message for each successor. A promise is of use only with the upper half.
    pub(super) fn renew(&mut self, sent: Clock) -> Vec<Renew> {
        let oldest = sent.now.checked_sub(self.settings.lease_duration);
        self.renewals.retain(|_, request| oldest.is_none_or(|oldest| request.sent.now > oldest));
        let mut by_peer: BTreeMap<MemberId, Vec<SearcherKey>> = BTreeMap::new();
        for (&key, entry) in &self.searchers {
            let Some(pair) = self.ownership.pair(key) else { continue };
            let shared = pair.owner == self.me && pair.successor != self.me;
            if shared && entry.holds(Half::Upper) && !entry.holds(Half::Lower) {
                by_peer.entry(pair.successor).or_default().push(key);
            }
        }
        let mut messages = Vec::new();
        for (to, mut searchers) in by_peer {
            searchers.sort_unstable();
            self.sequence += 1;
            self.renewals.insert(self.sequence, Request { to, sent, searchers: searchers.clone() });
            messages.push(Renew {
                from: self.me,
                to,
                epoch: self.epoch(),
                sequence: self.sequence,
                searchers,
            });
        }
        messages
    }

    /// One message for each process that may hold halves that are assigned to this one.
    pub(super) fn questions(&self) -> Vec<Release> {
        let mut by_peer: BTreeMap<MemberId, Vec<(SearcherKey, Half)>> = BTreeMap::new();
        for (&key, entry) in &self.searchers {
            for (half, id) in entry.holders() {
                by_peer.entry(id).or_default().push((key, half));
            }
        }
        let question = |(to, mut halves): (MemberId, Vec<(SearcherKey, Half)>)| {
            halves.sort_unstable();
            Release { from: self.me, to, epoch: self.epoch(), halves }
        };
        by_peer.into_iter().map(question).collect()
    }
}
