//! Holds back the attempts of a request under which searchers have ended.
//!
//! A request may end each searcher that runs it. If it were sent again for each of its shards, it
//! would end the pools of all of them. So as soon as a searcher has ended under a request, and
//! until one has survived it, only one attempt is made at a time.

use std::cmp::Reverse;

use super::Phase;
use super::PlannedAttempt;
use super::Query;
use super::Shard;
use super::Trust;
use crate::Time;
use crate::fleet::Fleet;
use crate::fleet::PoolKey;

/// Number of searchers that may end under a request before it is given up.
const MAX_ENDED: u32 = 3;

/// What a request has done to the searchers that it reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// No searcher has ended under it, or one has survived it.
    Harmless,
    /// Searchers have ended under it and none has survived it. They may have ended by themselves.
    Suspect,
    /// Another one has ended under an attempt that was made after that.
    Deadly,
}

impl Query {
    /// What the request has done so far.
    pub fn effect(&self) -> Effect {
        match (self.survived, self.deadly, self.ended) {
            (true, ..) | (false, false, 0) => Effect::Harmless,
            (false, true, _) => Effect::Deadly,
            (false, false, _) => Effect::Suspect,
        }
    }

    /// Whether what it has done tells anything of its content: searchers have ended under it, or one
    /// has survived a trial.
    pub fn is_telling(&self) -> bool {
        self.ended > 0 || (self.plan.trust == Trust::Trial && self.survived)
    }

    /// Number of searchers that have ended under the request, as far as is known here.
    pub fn ended_count(&self) -> u32 {
        self.ended
    }

    /// Records that searchers have ended under other requests with the same content.
    pub fn mark_suspect(&mut self) {
        self.suspected = true;
    }

    /// Records that `count` searchers have ended under the shards that a relay was left.
    pub fn record_relayed_ends(&mut self, count: u32) {
        self.ended = self.ended.saturating_add(count);
    }

    /// Records that a searcher has ended under an attempt of a shard.
    pub(super) fn record_end(&mut self, shard: usize) {
        self.ended = self.ended.saturating_add(1);
        if self.probe == Some(shard) {
            self.deadly = true;
        }
    }

    /// Whether attempts are made one at a time.
    pub(super) fn is_suspect(&self) -> bool {
        !self.survived && (self.ended > 0 || self.suspected)
    }

    /// Whether attempts must wait for the outcome of those that are under way.
    fn is_held(&self) -> bool {
        let is_under_way = |it: &Shard| it.in_flight > 0 || it.phase == Phase::Delegated;
        self.is_suspect() && self.shards.iter().any(is_under_way)
    }

    /// When the next attempt that was held back is due.
    pub(super) fn resume_at(&self) -> Time {
        if self.is_held() {
            return Time::MAX;
        }
        let open = self.shards.iter().filter(|it| it.phase == Phase::Open);
        open.map(|it| it.resume_at).min().unwrap_or(Time::MAX)
    }

    /// Plans the attempts that were held back and are due. A shard that can't be sent fails.
    pub(super) fn resume<F>(
        &mut self,
        fleet: &mut Fleet,
        take_extra: &mut F,
        now: Time,
    ) -> Vec<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let is_due = |&shard: &usize| {
            self.shards[shard].phase == Phase::Open && self.shards[shard].resume_at <= now
        };
        let mut due: Vec<usize> = (0..self.shards.len()).filter(is_due).collect();
        if self.is_suspect() {
            // The loss of one of several searchers of a shard costs no coverage.
            due.sort_by_key(|&shard| Reverse(fleet.open_count(self.shards[shard].pool, now)));
        }
        let mut attempts = Vec::new();
        for shard in due {
            if self.is_held() {
                break;
            }
            self.shards[shard].resume_at = Time::MAX;
            match self.resume_shard(shard, fleet, take_extra, now) {
                Some(attempt) => attempts.push(attempt),
                None if self.shards[shard].in_flight == 0 => self.fail(shard),
                None => {}
            }
        }
        attempts
    }

    fn resume_shard<F>(
        &mut self,
        shard: usize,
        fleet: &mut Fleet,
        take_extra: &mut F,
        now: Time,
    ) -> Option<PlannedAttempt>
    where
        F: FnMut(PoolKey) -> bool,
    {
        let too_many = match self.plan.trust {
            Trust::Usual | Trust::Trial => self.deadly || self.ended >= MAX_ENDED,
            // The daemon that has the whole request decides whether it is tried once more.
            Trust::Delegated => self.suspected || self.ended > 1,
        };
        let given_up = self.is_suspect() && too_many;
        if given_up || !self.has_attempt(shard) || !self.has_candidate(shard, fleet, now) {
            return None;
        }
        let state = &self.shards[shard];
        if !state.tried.is_empty() && !take_extra(state.pool) {
            return None;
        }
        self.plan_attempt(shard, fleet, now)
    }
}
