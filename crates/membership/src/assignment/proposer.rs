//! Proposes epochs by compare-and-swap and adopts newer ones.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use log::info;
use tokio::time::Instant;

use super::ASSIGNMENT_KEY;
use super::Assignment;
use crate::ids::Member;
use crate::ids::MemberId;
use tt_model::Epoch;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// A membership must be unchanged for this long before it is proposed, so that a restart
/// of several daemons makes few epochs.
pub const STABILITY_DELAY: Duration = Duration::from_secs(2);
/// Each further member in the order of proposers waits this much longer, because the first
/// may be cut off from the store or from many members without the others knowing.
pub const PROPOSER_DELAY: Duration = Duration::from_secs(5);
/// No member waits for more turns than this.
const MAX_PROPOSER_DELAYS: u32 = 8;
/// A fleet that changes all the time never is stable; it gets an epoch after this long.
pub const MAX_STABILITY_DELAY: Duration = Duration::from_secs(10);
/// Ended memberships are removed from the value no more often than this.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a call that failed or a read that was stale.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// A call without an outcome for this long counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What the member table wants the assignment to be.
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// The members of the next epoch.
    pub members: Vec<Member>,
    /// This daemon's place in the order of proposers, from 0; `None` if it must not propose,
    /// because it is stopping or assumes that it is partitioned.
    pub rank: Option<u32>,
    /// For each process the epoch since which it holds only what is assigned to it; the
    /// highest epoch for processes that have ended.
    pub oldest_held: HashMap<MemberId, Epoch>,
    /// Processes whose VM the platform's list has shown.
    pub listed: HashSet<MemberId>,
}

/// Pairs a call with its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(u64);

/// An action of [`AssignmentProposer`].
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Make this call and pass its outcome to [`AssignmentProposer::on_reply`].
    Call(CallId, StoreCall),
    /// A newer epoch is in force at this daemon.
    Adopted(Assignment),
}

#[derive(Debug)]
enum Phase {
    Idle,
    Reading(Outstanding),
    Writing(Outstanding, Assignment),
    ReadingBack(Outstanding, Assignment),
    WaitingToReadBack(Assignment),
}

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    id: CallId,
    since: Instant,
}

/// The assignment known to this daemon and its part in changing it.
#[derive(Debug)]
pub struct AssignmentProposer {
    me: MemberId,
    current: Option<Assignment>,
    phase: Phase,
    calls: u64,
    retry_at: Option<Instant>,
    wanted: Option<Wanted>,
    tidied: Option<Instant>,
}

#[derive(Debug)]
struct Wanted {
    members: Vec<Member>,
    first_seen: Instant,
    same_since: Instant,
}

impl AssignmentProposer {
    /// Knows no assignment.
    pub fn new(me: MemberId) -> AssignmentProposer {
        AssignmentProposer {
            me,
            current: None,
            phase: Phase::Idle,
            calls: 0,
            retry_at: None,
            wanted: None,
            tidied: None,
        }
    }

    /// The newest assignment known.
    pub fn current(&self) -> Option<&Assignment> {
        self.current.as_ref()
    }

    /// The epoch in force at this daemon; 0 before the first.
    pub fn epoch(&self) -> Epoch {
        self.current.as_ref().map_or(Epoch(0), |a| a.epoch)
    }

    /// Takes an assignment from a watch or a peer. Returns whether it is newer and now in
    /// force; older ones are stale and ignored.
    pub fn adopt(&mut self, value: Assignment) -> bool {
        if value.epoch <= self.epoch() {
            return false;
        }
        info!("member: epoch {} by {} is in force", value.epoch, value.proposer);
        self.current = Some(value);
        true
    }

    /// Proposes a change if this daemon is the proposer and the change is stable. Call it
    /// a few times a second.
    pub fn tick(&mut self, target: &Target, now: Instant) -> Vec<Step> {
        if let Some(call) = self.outstanding() {
            if now >= call.since + CALL_TIMEOUT {
                return self.on_reply(call.id, StoreReply::Lost, target, 0, now);
            }
            return Vec::new();
        }
        let paused = self.retry_at.is_some_and(|at| now < at);
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::WaitingToReadBack(value) if paused => {
                self.phase = Phase::WaitingToReadBack(value);
                Vec::new()
            }
            Phase::WaitingToReadBack(value) => {
                let (call, step) = self.get(now);
                self.phase = Phase::ReadingBack(call, value);
                vec![step]
            }
            _ => {
                if !self.should_propose(target, now) || paused {
                    return Vec::new();
                }
                let (call, step) = self.get(now);
                self.phase = Phase::Reading(call);
                vec![step]
            }
        }
    }

    /// Takes the outcome of a call. `nonce` is a random number for a proposal that may
    /// follow.
    pub fn on_reply(
        &mut self,
        id: CallId,
        reply: StoreReply,
        target: &Target,
        nonce: u64,
        now: Instant,
    ) -> Vec<Step> {
        if self.outstanding().is_none_or(|call| call.id != id) {
            return Vec::new();
        }
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Reading(_) => self.on_read(reply, target, nonce, now),
            Phase::Writing(_, value) => self.on_write(&reply, value, now),
            Phase::ReadingBack(_, value) => self.on_read_back(reply, value, now),
            Phase::Idle | Phase::WaitingToReadBack(_) => Vec::new(),
        }
    }

    fn on_read(
        &mut self,
        reply: StoreReply,
        target: &Target,
        nonce: u64,
        now: Instant,
    ) -> Vec<Step> {
        let (base, expect) = match reply {
            StoreReply::Value { revision, value } => match Assignment::decode(&value) {
                Some(value) if value.epoch > self.epoch() => {
                    self.adopt(value.clone());
                    return vec![Step::Adopted(value)];
                }
                Some(value) if value.epoch == self.epoch() => (value, revision),
                _ => return self.pause(now),
            },
            StoreReply::Missing if self.current.is_none() => {
                if !self.should_propose(target, now) {
                    return Vec::new();
                }
                let first = Assignment::first(target, self.me, nonce);
                return self.put(first, Revision(0), now);
            }
            _ => return self.pause(now),
        };
        if !self.should_propose(target, now) {
            return Vec::new();
        }
        let next = base.next(target, self.me, nonce);
        self.put(next, expect, now)
    }

    fn on_write(&mut self, reply: &StoreReply, value: Assignment, now: Instant) -> Vec<Step> {
        match reply {
            StoreReply::Written { .. } => {
                self.tidied = Some(now);
                self.adopted(value)
            }
            StoreReply::Conflict { .. } => Vec::new(),
            StoreReply::Lost => {
                let (call, step) = self.get(now);
                self.phase = Phase::ReadingBack(call, value);
                vec![step]
            }
            StoreReply::Value { .. } | StoreReply::Missing | StoreReply::Unavailable => {
                self.pause(now)
            }
        }
    }

    fn on_read_back(&mut self, reply: StoreReply, ours: Assignment, now: Instant) -> Vec<Step> {
        let found = match reply {
            StoreReply::Value { value, .. } => Assignment::decode(&value),
            StoreReply::Missing => None,
            _ => {
                self.phase = Phase::WaitingToReadBack(ours);
                return self.pause(now);
            }
        };
        // An older value means that the write had no effect yet. If it takes effect later,
        // the next proposal fails, because both expect the same revision.
        match found {
            Some(found) => self.adopted(found),
            None => self.pause(now),
        }
    }

    fn adopted(&mut self, value: Assignment) -> Vec<Step> {
        if self.adopt(value.clone()) { vec![Step::Adopted(value)] } else { Vec::new() }
    }

    fn pause(&mut self, now: Instant) -> Vec<Step> {
        self.retry_at = Some(now + RETRY_DELAY);
        Vec::new()
    }

    fn get(&mut self, now: Instant) -> (Outstanding, Step) {
        let call = self.next_call(now);
        (call, Step::Call(call.id, StoreCall::Get { key: ASSIGNMENT_KEY.to_owned() }))
    }

    fn put(&mut self, value: Assignment, expect: Revision, now: Instant) -> Vec<Step> {
        let call = self.next_call(now);
        let put = StoreCall::Put { key: ASSIGNMENT_KEY.to_owned(), expect, value: value.encode() };
        self.phase = Phase::Writing(call, value);
        vec![Step::Call(call.id, put)]
    }

    fn next_call(&mut self, now: Instant) -> Outstanding {
        self.calls += 1;
        Outstanding { id: CallId(self.calls), since: now }
    }

    fn outstanding(&self) -> Option<Outstanding> {
        match &self.phase {
            Phase::Reading(call) | Phase::Writing(call, _) | Phase::ReadingBack(call, _) => {
                Some(*call)
            }
            Phase::Idle | Phase::WaitingToReadBack(_) => None,
        }
    }

    fn should_propose(&mut self, target: &Target, now: Instant) -> bool {
        let Some(rank) = target.rank.filter(|_| !target.members.is_empty()) else {
            self.wanted = None;
            return false;
        };
        if self.matches(&target.members) {
            self.wanted = None;
            let rested = self.tidied.is_none_or(|at| now >= at + CLEANUP_INTERVAL);
            return rank == 0
                && rested
                && self.current.as_ref().is_some_and(|a| a.needs_cleanup(target));
        }
        let wanted = self.wanted.get_or_insert_with(|| Wanted {
            members: target.members.clone(),
            first_seen: now,
            same_since: now,
        });
        if wanted.members != target.members {
            wanted.members.clone_from(&target.members);
            wanted.same_since = now;
        }
        let turn = PROPOSER_DELAY * rank.min(MAX_PROPOSER_DELAYS);
        now >= wanted.same_since + STABILITY_DELAY + turn
            || now >= wanted.first_seen + MAX_STABILITY_DELAY + turn
    }

    fn matches(&self, members: &[Member]) -> bool {
        let Some(current) = &self.current else { return false };
        let mut old: Vec<Member> = current.current().map(|r| current.member(r)).collect();
        let mut new = members.to_vec();
        old.sort_by_key(|m| m.id);
        new.sort_by_key(|m| m.id);
        old == new
    }
}
