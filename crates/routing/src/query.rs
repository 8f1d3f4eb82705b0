//! The state machine of one query.
//!
//! A query has one sub-query for each shard of its plan. Each sub-query has a linked list of
//! attempts, newest first. The first answer covers the sub-query's shard, and its other
//! attempts are cancelled.

mod attempt;
mod finish;
mod restart;
mod start;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::finish::EndReason;
use crate::arena::AttemptKey;
use crate::arena::QueryKey;
use crate::budget::Budget;
use crate::budget::Load;
use crate::event::Action;
use crate::event::Attempt;
use crate::event::AttemptCounts;
use crate::event::AttemptKind;
use crate::event::AttemptOutcome;
use crate::event::Counters;
use crate::event::Mode;
use crate::event::Reason;
use crate::event::Reply;
use crate::plan::Planner;
use crate::plan::Shards;
use crate::settings::Policy;
use crate::settings::Settings;
use crate::view::AttemptFailure;
use crate::view::ProbeKind;
use crate::view::View;
use tt_model::Preference;
use tt_model::SearcherId;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_model::Snapshot;

// Marks the end of a list of attempts, and a time that is not set.
const NONE: u32 = u32::MAX;
// Timers are rounded up to a multiple of this, so that one wake-up serves many sub-queries.
const TIMER_GRANULARITY_US: u32 = 256;
// The time between checks for an early answer is a query's time divided by this. Each check
// visits all sub-queries.
const EARLY_CHECK_COUNT: u32 = 32;

/// The parts of the router that a query uses while it handles an event.
pub(crate) struct Context<'a, T, R> {
    pub(crate) settings: &'a Settings,
    pub(crate) view: &'a mut View,
    pub(crate) planner: &'a mut Planner,
    pub(crate) budget: &'a mut Budget,
    pub(crate) counters: &'a mut Counters,
    pub(crate) rng: &'a mut R,
    pub(crate) now: Instant,
    pub(crate) out: &'a mut Vec<Action<T>>,
}

/// Whether a query continues after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Status {
    Running,
    Finished,
}

/// A query in flight. Times as `u32` are microseconds since its start.
#[derive(Debug)]
pub(crate) struct Query<T> {
    key: QueryKey,
    service: ServiceId,
    shards: Shards,
    mode: Mode,
    preference: Preference,
    hedge_quantile: f64,
    started: Instant,
    // The deadline less the margin for the answer.
    finish_at: u32,
    // Time of the next check for an early answer.
    early_at: u32,
    // Time of the wake-up that was requested last.
    next_wake: u32,
    snapshot: Snapshot,
    sub_queries: Vec<SubQuery<T>>,
    absent: Vec<ShardId>,
    // Numbers of sub-queries.
    open: usize,
    covered: usize,
    attempts: Vec<AttemptRecord>,
    timers: BinaryHeap<Reverse<Timer>>,
    counts: AttemptCounts,
    ran: Ran,
    restarted: Restarted,
}

#[derive(Debug)]
struct SubQuery<T> {
    shard: ShardId,
    // Index of the newest attempt.
    newest: u32,
    // Time of the timer in force. Other timers of the sub-query in the heap are obsolete.
    timer: u32,
    // Numbers of attempts.
    in_flight: u8,
    attempts: u8,
    hedges: u8,
    // Kind of probe that the first attempt is.
    probe: ProbeKind,
    progress: Progress<T>,
}

#[derive(Debug)]
enum Progress<T> {
    Open,
    Covered { searcher: SearcherId, body: T },
    Uncovered(Reason),
}

#[derive(Debug)]
struct AttemptRecord {
    sub_query: u32,
    searcher: SearcherId,
    sent: u32,
    // Index of the attempt before this one of the same sub-query.
    previous: u32,
    state: AttemptState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    Answered,
    NotExecuted(Reason),
    Failed,
    Mismatched,
    Cancelled,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: u32,
    sub_query: u32,
}

/// Whether any attempt of the query may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ran {
    No,
    Maybe,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restarted {
    No,
    Yes,
}

impl<T> Query<T> {
    /// Handles the end of one of the query's attempts.
    pub(crate) fn on_reply<R>(
        &mut self,
        attempt: u32,
        reply: Reply<'_, T>,
        ctx: &mut Context<'_, T, R>,
    ) -> Status
    where
        R: Rng,
    {
        let Some(&AttemptRecord { sub_query, searcher, sent, state, .. }) =
            self.attempts.get(attempt as usize)
        else {
            ctx.counters.stale_events += 1;
            return Status::Running;
        };
        self.record_reply(searcher, &reply, ctx);
        match state {
            AttemptState::InFlight => {}
            AttemptState::Cancelled => {
                ctx.counters.late_replies += 1;
                return Status::Running;
            }
            _ => {
                ctx.counters.duplicate_replies += 1;
                return Status::Running;
            }
        }
        ctx.view.record_ended(searcher);
        self.sub_queries[sub_query as usize].in_flight -= 1;
        let shard = self.sub_queries[sub_query as usize].shard;
        let waited = Duration::from_micros(u64::from(self.offset(ctx.now).saturating_sub(sent)));
        let (state, failure) = match reply.outcome {
            AttemptOutcome::Answered { snapshot, body } if snapshot == self.snapshot => {
                ctx.view.record_answer(searcher, waited, ctx.now);
                self.attempts[attempt as usize].state = AttemptState::Answered;
                self.mark_covered(sub_query, searcher, body, ctx);
                return self.proceed(ctx);
            }
            AttemptOutcome::Answered { .. } => {
                ctx.counters.mismatched_replies += 1;
                (AttemptState::Mismatched, None)
            }
            AttemptOutcome::Shed => {
                (AttemptState::NotExecuted(Reason::Overloaded), Some(AttemptFailure::Shed))
            }
            AttemptOutcome::Draining => {
                (AttemptState::NotExecuted(Reason::NoReplica), Some(AttemptFailure::Draining))
            }
            AttemptOutcome::SnapshotGone => {
                ctx.view.remove_held(searcher, self.snapshot);
                (AttemptState::NotExecuted(Reason::SnapshotGone), None)
            }
            AttemptOutcome::WrongShard => {
                (AttemptState::NotExecuted(Reason::NoReplica), Some(AttemptFailure::WrongShard))
            }
            AttemptOutcome::Refused => {
                (AttemptState::NotExecuted(Reason::NoReplica), Some(AttemptFailure::CallFailed))
            }
            AttemptOutcome::OwnerUnreachable => (
                AttemptState::NotExecuted(Reason::NoReplica),
                Some(AttemptFailure::OwnerUnreachable),
            ),
            AttemptOutcome::Failed => (AttemptState::Failed, Some(AttemptFailure::CallFailed)),
        };
        if let Some(failure) = failure {
            ctx.view.record_failure(searcher, shard, failure, ctx.now);
        }
        self.attempts[attempt as usize].state = state;
        match state {
            AttemptState::NotExecuted(_) => self.counts.not_executed += 1,
            _ => self.ran = Ran::Maybe,
        }
        if self.sub_queries[sub_query as usize].in_flight == 0 {
            self.retry(sub_query, ctx);
        }
        self.proceed(ctx)
    }

    /// Handles the wake-up of the last [`Action::WakeAt`].
    pub(crate) fn wake<R>(&mut self, ctx: &mut Context<'_, T, R>) -> Status
    where
        R: Rng,
    {
        self.next_wake = NONE;
        let now = self.offset(ctx.now);
        if now >= self.finish_at {
            return self.finish(EndReason::Deadline, ctx);
        }
        while self.timers.peek().is_some_and(|Reverse(timer)| timer.at <= now) {
            let Some(Reverse(Timer { at, sub_query })) = self.timers.pop() else { break };
            let due = &mut self.sub_queries[sub_query as usize];
            if due.timer != at || !matches!(due.progress, Progress::Open) {
                continue;
            }
            due.timer = NONE;
            if due.in_flight == 0 {
                self.retry(sub_query, ctx);
                continue;
            }
            match ctx.settings.policy {
                Policy::Adaptive => self.hedge(sub_query, ctx),
                Policy::Baseline => self.on_timeout(sub_query, ctx),
            }
        }
        if now >= self.early_at {
            if self.is_early_answer_due(ctx) {
                return self.finish(EndReason::Early, ctx);
            }
            self.early_at = now + (self.finish_at / EARLY_CHECK_COUNT).max(TIMER_GRANULARITY_US);
        }
        self.proceed(ctx)
    }

    /// Handles the cancellation by the caller. A non-idempotent query continues, because
    /// cancelling attempts that may be running would only make its outcome unknown.
    pub(crate) fn cancel<R>(&mut self, ctx: &mut Context<'_, T, R>) -> Status
    where
        R: Rng,
    {
        match self.mode {
            Mode::Idempotent => self.finish(EndReason::Cancelled, ctx),
            Mode::AtMostOnce => Status::Running,
        }
    }

    fn add_attempt<R>(
        &mut self,
        sub_query: u32,
        searcher: SearcherId,
        ctx: &mut Context<'_, T, R>,
    ) -> u32
    where
        R: Rng,
    {
        ctx.view.record_sent(searcher, ctx.now);
        let attempt = self.attempts.len() as u32;
        let sent = self.offset(ctx.now);
        let state = &mut self.sub_queries[sub_query as usize];
        self.attempts.push(AttemptRecord {
            sub_query,
            searcher,
            sent,
            previous: state.newest,
            state: AttemptState::InFlight,
        });
        state.newest = attempt;
        state.in_flight += 1;
        state.attempts = state.attempts.saturating_add(1);
        attempt
    }

    fn attempt_to_send(&self, attempt: u32, kind: AttemptKind) -> Attempt {
        let AttemptRecord { sub_query, searcher, .. } = self.attempts[attempt as usize];
        Attempt {
            key: AttemptKey { query: self.key, attempt },
            searcher,
            shard: self.sub_queries[sub_query as usize].shard,
            snapshot: self.snapshot,
            deadline: self.instant(self.finish_at),
            kind,
        }
    }

    /// Records the held snapshots and the load that a reply reports, also for late and
    /// duplicate replies.
    fn record_reply<R>(
        &mut self,
        searcher: SearcherId,
        reply: &Reply<'_, T>,
        ctx: &mut Context<'_, T, R>,
    ) where
        R: Rng,
    {
        if !reply.held.is_empty() {
            ctx.view.set_held_snapshots(searcher, reply.held);
        }
        let load = match reply.pressure {
            Some(pressure) => ctx.view.set_pressure(searcher, pressure, ctx.now),
            None => Load::Normal,
        };
        match reply.outcome {
            AttemptOutcome::Shed => ctx.budget.record_load(Load::Overloaded, ctx.now),
            AttemptOutcome::Answered { .. } => ctx.budget.record_load(load, ctx.now),
            _ => {}
        }
    }

    fn mark_covered<R>(
        &mut self,
        sub_query: u32,
        searcher: SearcherId,
        body: T,
        ctx: &mut Context<'_, T, R>,
    ) where
        R: Rng,
    {
        self.ran = Ran::Maybe;
        self.sub_queries[sub_query as usize].progress = Progress::Covered { searcher, body };
        self.open -= 1;
        self.covered += 1;
        self.cancel_in_flight(sub_query, ctx);
    }

    /// Cancels the attempts of a sub-query that are still in flight.
    fn cancel_in_flight<R>(&mut self, sub_query: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        if self.sub_queries[sub_query as usize].in_flight == 0 {
            return;
        }
        self.sub_queries[sub_query as usize].in_flight = 0;
        let now = self.offset(ctx.now);
        let mut index = self.sub_queries[sub_query as usize].newest;
        while index != NONE {
            let attempt = &mut self.attempts[index as usize];
            if attempt.state == AttemptState::InFlight {
                attempt.state = AttemptState::Cancelled;
                let waited = Duration::from_micros(u64::from(now.saturating_sub(attempt.sent)));
                ctx.view.record_ended(attempt.searcher);
                ctx.view.record_no_answer(attempt.searcher, waited, ctx.now);
                let key = AttemptKey { query: self.key, attempt: index };
                ctx.out.push(Action::Cancel { key, searcher: attempt.searcher });
            }
            index = attempt.previous;
        }
    }

    fn mark_uncovered(&mut self, sub_query: u32, reason: Reason) {
        self.sub_queries[sub_query as usize].progress = Progress::Uncovered(reason);
        self.open -= 1;
    }

    /// Finishes the query if no sub-query is open, and schedules the next wake-up otherwise.
    fn proceed<R>(&mut self, ctx: &mut Context<'_, T, R>) -> Status
    where
        R: Rng,
    {
        if self.open == 0 {
            return self.finish(EndReason::Resolved, ctx);
        }
        self.schedule_wake(ctx);
        Status::Running
    }

    fn schedule_wake<R>(&mut self, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        while let Some(Reverse(timer)) = self.timers.peek() {
            let sub_query = &self.sub_queries[timer.sub_query as usize];
            if sub_query.timer == timer.at && matches!(sub_query.progress, Progress::Open) {
                break;
            }
            self.timers.pop();
        }
        let timer = self.timers.peek().map_or(NONE, |Reverse(timer)| timer.at);
        let next = timer.min(self.early_at).min(self.finish_at);
        // Waking too early is harmless. Moving the wake-up to a later time would change a
        // timer for each reply.
        if next < self.next_wake {
            self.next_wake = next;
            ctx.out.push(Action::WakeAt { query: self.key, at: self.instant(next) });
        }
    }

    fn set_timer(&mut self, sub_query: u32, at: u32) {
        let at = at.saturating_add(TIMER_GRANULARITY_US - 1) / TIMER_GRANULARITY_US
            * TIMER_GRANULARITY_US;
        if at >= self.finish_at {
            return;
        }
        self.sub_queries[sub_query as usize].timer = at;
        self.timers.push(Reverse(Timer { at, sub_query }));
    }

    fn offset(&self, at: Instant) -> u32 {
        micros(at.saturating_duration_since(self.started))
    }

    fn instant(&self, offset: u32) -> Instant {
        self.started + Duration::from_micros(u64::from(offset))
    }
}

fn micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(NONE - 1)
}
