//! Proposes assignments by compare-and-swap in the store and adopts newer ones.

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

/// The wanted members must be unchanged for this long before they are proposed, so that a
/// restart of several daemons causes few epochs.
pub const STABILITY_DELAY: Duration = Duration::from_secs(2);
/// A member waits this much longer for each member before it in the order of proposers. An
/// earlier member may be cut off from the store or from many members without the others knowing.
pub const PROPOSER_DELAY: Duration = Duration::from_secs(5);
/// Maximum number of times that a member waits [`PROPOSER_DELAY`].
const MAX_PROPOSER_DELAYS: u32 = 8;
/// After this long a change is proposed although the members still change, because a large tier
/// may never be stable.
pub const MAX_STABILITY_DELAY: Duration = Duration::from_secs(10);
/// Minimum time between a write and a proposal that only cleans up records.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
/// Wait after a failed call or a stale read.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// A store call without an outcome after this long counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The assignment that the member table asks for; see [`crate::Members::target`].
#[derive(Debug, Clone, Default)]
pub struct Target {
    /// The members of the next epoch.
    pub members: Vec<Member>,
    /// This daemon's position in the order of proposers, from 0; `None` if it must not propose,
    /// because it is stopping or assumes a partition.
    pub rank: Option<u32>,
    /// For each process the oldest epoch from which it may still hold a half; `Epoch(u64::MAX)`
    /// if it holds none and has ended.
    pub oldest_held_epochs: HashMap<MemberId, Epoch>,
    /// Processes whose VM has been in the list of daemons in the store.
    pub listed: HashSet<MemberId>,
}

/// Identifies a store call, to match its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(u64);

/// What the daemon has to do for [`AssignmentProposer`].
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Make this call to the store, and pass its outcome to [`AssignmentProposer::on_reply`].
    Call(CallId, StoreCall),
    /// Put this newer epoch into force.
    Adopted(Assignment),
}

#[derive(Debug)]
enum Phase {
    Idle,
    Reading(PendingCall),
    Writing(PendingCall, Assignment),
    ReadingBack(PendingCall, Assignment),
    WaitingToReadBack(Assignment),
}

#[derive(Debug, Clone, Copy)]
struct PendingCall {
    id: CallId,
    since: Instant,
}

/// The assignment in force at this daemon, and the state of this daemon's proposal of the next.
#[derive(Debug)]
pub struct AssignmentProposer {
    me: MemberId,
    current: Option<Assignment>,
    phase: Phase,
    last_call: u64,
    retry_at: Option<Instant>,
    wanted: Option<WantedMembers>,
    /// When the last write of this daemon succeeded.
    last_write: Option<Instant>,
}

/// Members that differ from those of the current epoch.
#[derive(Debug)]
struct WantedMembers {
    members: Vec<Member>,
    /// When the members first differed from those of the epoch.
    first_seen: Instant,
    /// When `members` last changed.
    unchanged_since: Instant,
}

impl AssignmentProposer {
    /// A proposer that knows no assignment yet.
    pub fn new(me: MemberId) -> AssignmentProposer {
        AssignmentProposer {
            me,
            current: None,
            phase: Phase::Idle,
            last_call: 0,
            retry_at: None,
            wanted: None,
            last_write: None,
        }
    }

    /// The assignment in force at this daemon, which is the newest that it knows.
    pub fn current(&self) -> Option<&Assignment> {
        self.current.as_ref()
    }

    /// The epoch in force at this daemon; 0 before the first.
    pub fn epoch(&self) -> Epoch {
        self.current.as_ref().map_or(Epoch(0), |a| a.epoch)
    }

    /// Takes an assignment from a watch or a peer. Returns whether it is newer than the current
    /// one and so in force now; an older one is ignored.
    pub fn adopt(&mut self, value: Assignment) -> bool {
        if value.epoch <= self.epoch() {
            return false;
        }
        info!("member: epoch {} by {} is in force", value.epoch, value.proposer);
        self.current = Some(value);
        true
    }

    /// Starts a proposal when the wanted members are stable and it is this daemon's turn. Call it
    /// a few times a second.
    pub fn tick(&mut self, target: &Target, now: Instant) -> Vec<Step> {
        if let Some(call) = self.pending_call() {
            if now >= call.since + CALL_TIMEOUT {
                return self.on_reply(call.id, StoreReply::Lost, target, 0, now);
            }
            return Vec::new();
        }
        let must_wait = self.retry_at.is_some_and(|at| now < at);
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::WaitingToReadBack(value) if must_wait => {
                self.phase = Phase::WaitingToReadBack(value);
                Vec::new()
            }
            Phase::WaitingToReadBack(value) => {
                let (call, step) = self.get(now);
                self.phase = Phase::ReadingBack(call, value);
                vec![step]
            }
            _ => {
                if !self.should_propose(target, now) || must_wait {
                    return Vec::new();
                }
                let (call, step) = self.get(now);
                self.phase = Phase::Reading(call);
                vec![step]
            }
        }
    }

    /// Takes the outcome of a store call. `nonce` is a random number for the proposal that may
    /// follow.
    pub fn on_reply(
        &mut self,
        id: CallId,
        reply: StoreReply,
        target: &Target,
        nonce: u64,
        now: Instant,
    ) -> Vec<Step> {
        if self.pending_call().is_none_or(|call| call.id != id) {
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
                _ => return self.retry_later(now),
            },
            StoreReply::Missing if self.current.is_none() => {
                if !self.should_propose(target, now) {
                    return Vec::new();
                }
                let first = Assignment::first(target, self.me, nonce);
                return self.put(first, Revision(0), now);
            }
            _ => return self.retry_later(now),
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
                self.last_write = Some(now);
                self.adopt_step(value)
            }
            StoreReply::Conflict { .. } => Vec::new(),
            StoreReply::Lost => {
                let (call, step) = self.get(now);
                self.phase = Phase::ReadingBack(call, value);
                vec![step]
            }
            StoreReply::Value { .. } | StoreReply::Missing | StoreReply::Unavailable => {
                self.retry_later(now)
            }
        }
    }

    fn on_read_back(&mut self, reply: StoreReply, ours: Assignment, now: Instant) -> Vec<Step> {
        let found = match reply {
            StoreReply::Value { value, .. } => Assignment::decode(&value),
            StoreReply::Missing => None,
            _ => {
                self.phase = Phase::WaitingToReadBack(ours);
                return self.retry_later(now);
            }
        };
        // An older value means that the write has not taken effect. If it takes effect later,
        // the next proposal fails, because both expect the same revision.
        match found {
            Some(found) => self.adopt_step(found),
            None => self.retry_later(now),
        }
    }

    fn adopt_step(&mut self, value: Assignment) -> Vec<Step> {
        if self.adopt(value.clone()) { vec![Step::Adopted(value)] } else { Vec::new() }
    }

    fn retry_later(&mut self, now: Instant) -> Vec<Step> {
        self.retry_at = Some(now + RETRY_DELAY);
        Vec::new()
    }

    fn get(&mut self, now: Instant) -> (PendingCall, Step) {
        let call = self.next_call(now);
        (call, Step::Call(call.id, StoreCall::Get { key: ASSIGNMENT_KEY.to_owned() }))
    }

    fn put(&mut self, value: Assignment, expect: Revision, now: Instant) -> Vec<Step> {
        let call = self.next_call(now);
        let put = StoreCall::Put { key: ASSIGNMENT_KEY.to_owned(), expect, value: value.encode() };
        self.phase = Phase::Writing(call, value);
        vec![Step::Call(call.id, put)]
    }

    fn next_call(&mut self, now: Instant) -> PendingCall {
        self.last_call += 1;
        PendingCall { id: CallId(self.last_call), since: now }
    }

    fn pending_call(&self) -> Option<PendingCall> {
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
        if self.current_members_are(&target.members) {
            self.wanted = None;
            let cleanup_due = self.last_write.is_none_or(|at| now >= at + CLEANUP_INTERVAL);
            return rank == 0
                && cleanup_due
                && self.current.as_ref().is_some_and(|a| a.needs_cleanup(target));
        }
        let wanted = self.wanted.get_or_insert_with(|| WantedMembers {
            members: target.members.clone(),
            first_seen: now,
            unchanged_since: now,
        });
        if wanted.members != target.members {
            wanted.members.clone_from(&target.members);
            wanted.unchanged_since = now;
        }
        let turn_delay = PROPOSER_DELAY * rank.min(MAX_PROPOSER_DELAYS);
        now >= wanted.unchanged_since + STABILITY_DELAY + turn_delay
            || now >= wanted.first_seen + MAX_STABILITY_DELAY + turn_delay
    }

    fn current_members_are(&self, members: &[Member]) -> bool {
        let Some(current) = &self.current else { return false };
        let mut old: Vec<Member> = current.current().map(|r| current.member(r)).collect();
        let mut new = members.to_vec();
        old.sort_by_key(|m| m.id);
        new.sort_by_key(|m| m.id);
        old == new
    }
}
