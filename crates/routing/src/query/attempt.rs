//! Hedges, retries and timeouts of a sub-query.

use std::time::Duration;

use rand::Rng;

use super::AttemptRecord;
use super::AttemptState;
use super::Context;
use super::NONE;
use super::Query;
use super::Ran;
use super::micros;
use crate::event::Action;
use crate::event::AttemptKind;
use crate::event::Mode;
use crate::event::Reason;
use crate::settings::Policy;
use crate::view::ProbeKind;
use crate::view::Purpose;
use tt_model::SearcherId;

// Hedge quantile while the budget is empty, so that newly earned tokens are spent on the
// slowest attempts. The fuller the budget, the closer the quantile is to that of the class.
const EMPTY_BUDGET_QUANTILE: f64 = 0.995;
// Delay after which a hedge or retry that budget or load did not allow is considered again.
// Also the minimum time from sending an attempt that failed to asking its replica again.
const RECHECK_DELAY_US: u32 = 4_096;
// The first attempt and one retry.
const MAX_BASELINE_ATTEMPTS: u8 = 2;

impl<T> Query<T> {
    /// Sets the timer of a sub-query for which an attempt is sent now.
    pub(super) fn set_attempt_timer<R>(&mut self, sub_query: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        if self.mode == Mode::AtMostOnce {
            return;
        }
        let now = self.offset(ctx.now);
        let shard = self.sub_queries[sub_query as usize].shard;
        match ctx.settings.policy {
            Policy::Baseline => {
                self.set_timer(
                    sub_query,
                    now.saturating_add(micros(ctx.settings.baseline_timeout)),
                );
            }
            Policy::Adaptive if ctx.view.replicas(shard).len() > 1 => {
                let delay = self.hedge_delay(sub_query, self.hedge_quantile, ctx);
                self.set_timer(sub_query, now.saturating_add(delay));
            }
            Policy::Adaptive => {}
        }
    }

    /// Sends a hedge for a sub-query if its newest attempt in flight is late.
    pub(super) fn hedge<R>(&mut self, sub_query: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        let state = &self.sub_queries[sub_query as usize];
        if state.hedges >= ctx.settings.max_hedges || state.attempts >= ctx.settings.max_attempts {
            return;
        }
        let now = self.offset(ctx.now);
        let Some(newest) =
            self.attempts_of(sub_query).find(|attempt| attempt.state == AttemptState::InFlight)
        else {
            return;
        };
        let (sent, late) = (newest.sent, newest.searcher);
        let scarcity = 1.0 - ctx.budget.fill_level();
        let quantile =
            self.hedge_quantile + (EMPTY_BUDGET_QUANTILE - self.hedge_quantile).max(0.0) * scarcity;
        let due = sent.saturating_add(self.hedge_delay(sub_query, quantile, ctx));
        if now < due {
            self.set_timer(sub_query, due);
            return;
        }
        let purpose = Purpose::Hedge(ctx.view.owner(late));
        let untried =
            self.choose(sub_query, purpose, ctx, |attempts| attempts.clone().next().is_none());
        let choice = match untried {
            None if self.sub_queries[sub_query as usize].hedges > 0 => {
                self.hedge_again(sub_query, late, ctx)
            }
            choice => choice,
        };
        let Some(searcher) = choice else {
            self.set_timer(sub_query, now + RECHECK_DELAY_US);
            return;
        };
        if !ctx.budget.try_spend(ctx.now) {
            ctx.counters.budget_denied += 1;
            self.set_timer(sub_query, now + RECHECK_DELAY_US);
            return;
        }
        self.sub_queries[sub_query as usize].hedges += 1;
        self.counts.hedges += 1;
        ctx.counters.hedges += 1;
        self.send(sub_query, searcher, AttemptKind::Hedge, ctx);
    }

    /// Chooses a replica for a second hedge when every replica has had an attempt: a replica
    /// other than `newest`, or `newest` again if the other replica is much slower.
    fn hedge_again<R>(
        &self,
        sub_query: u32,
        newest: SearcherId,
        ctx: &mut Context<'_, T, R>,
    ) -> Option<SearcherId>
    where
        R: Rng,
    {
        let other = self.choose(sub_query, Purpose::Retry, ctx, |attempts| {
            attempts.clone().all(|attempt| {
                attempt.state == AttemptState::InFlight && attempt.searcher != newest
            })
        })?;
        if !ctx.view.is_slower(other, newest) {
            return Some(other);
        }
        self.choose(sub_query, Purpose::Retry, ctx, |attempts| {
            attempts.clone().any(|attempt| attempt.searcher == newest)
        })
        .or(Some(other))
    }

    /// Sends another attempt of a sub-query that has none in flight, or gives the sub-query
    /// up.
    pub(super) fn retry<R>(&mut self, sub_query: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        let may_have_run = self
            .attempts_of(sub_query)
            .any(|attempt| !matches!(attempt.state, AttemptState::NotExecuted(_)));
        if may_have_run && self.mode == Mode::AtMostOnce {
            let reason = self.uncovered_reason(sub_query);
            return self.mark_uncovered(sub_query, reason);
        }
        if ctx.settings.policy == Policy::Baseline {
            return self.retry_round_robin(sub_query, ctx);
        }
        if may_have_run
            && self.sub_queries[sub_query as usize].attempts >= ctx.settings.max_attempts
        {
            return self.give_up(sub_query, ctx);
        }
        let untried = self
            .choose(sub_query, Purpose::Retry, ctx, |attempts| attempts.clone().next().is_none());
        let now = self.offset(ctx.now);
        // A replica whose attempt failed may be asked once more, because one failed call says
        // little about the next. A replica that reported not to have run its attempt is not
        // asked again.
        let choice = match untried {
            None if may_have_run => {
                let failed = self.choose(sub_query, Purpose::Retry, ctx, |attempts| {
                    attempts.clone().all(|s| s.state == AttemptState::Failed)
                        && attempts.clone().count() == 1
                });
                // An immediate retry would probably fail for the same reason.
                let ready = self
                    .attempts_of(sub_query)
                    .next()
                    .map_or(0, |newest| newest.sent + RECHECK_DELAY_US);
                if failed.is_some() && now < ready {
                    return self.set_timer(sub_query, ready);
                }
                failed
            }
            choice => choice,
        };
        let Some(searcher) = choice else {
            // A replica that is overloaded now may take the sub-query later.
            if self.is_blocked_by_overload(sub_query, ctx) {
                return self.set_timer(sub_query, now + RECHECK_DELAY_US);
            }
            return self.give_up(sub_query, ctx);
        };
        if may_have_run && !ctx.budget.try_spend(ctx.now) {
            ctx.counters.budget_denied += 1;
            return self.set_timer(sub_query, now + RECHECK_DELAY_US);
        }
        self.counts.retries += 1;
        ctx.counters.retries += 1;
        self.send(sub_query, searcher, AttemptKind::Retry, ctx);
    }

    /// Cancels the attempt of a sub-query at the baseline policy's timeout, and retries.
    pub(super) fn on_timeout<R>(&mut self, sub_query: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        self.ran = Ran::Maybe;
        self.cancel_in_flight(sub_query, ctx);
        self.retry_round_robin(sub_query, ctx);
    }

    fn retry_round_robin<R>(&mut self, sub_query: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        let state = &self.sub_queries[sub_query as usize];
        let (shard, attempts) = (state.shard, state.attempts);
        if attempts < MAX_BASELINE_ATTEMPTS {
            let tried = self.attempts_of(sub_query).map(|attempt| attempt.searcher);
            let choice = ctx.view.choose_round_robin(shard, self.snapshot, |searcher| {
                !tried.clone().any(|other| other == searcher)
            });
            if let Some(searcher) = choice {
                self.counts.retries += 1;
                ctx.counters.retries += 1;
                return self.send(sub_query, searcher, AttemptKind::Retry, ctx);
            }
        }
        let reason = self.uncovered_reason(sub_query);
        self.mark_uncovered(sub_query, reason);
    }

    fn send<R>(
        &mut self,
        sub_query: u32,
        searcher: SearcherId,
        kind: AttemptKind,
        ctx: &mut Context<'_, T, R>,
    ) where
        R: Rng,
    {
        let attempt = self.add_attempt(sub_query, searcher, ctx);
        ctx.out.push(Action::Send(self.attempt_to_send(attempt, kind)));
        self.set_attempt_timer(sub_query, ctx);
    }

    /// Chooses a replica. `allow` decides from the sub-query's earlier attempts at a replica.
    fn choose<F, R>(
        &self,
        sub_query: u32,
        purpose: Purpose,
        ctx: &mut Context<'_, T, R>,
        allow: F,
    ) -> Option<SearcherId>
    where
        F: Fn(&SearcherAttempts<'_>) -> bool,
        R: Rng,
    {
        let state = &self.sub_queries[sub_query as usize];
        let allow = |searcher| allow(&self.searcher_attempts(state.newest, searcher));
        ctx.view
            .choose(state.shard, self.snapshot, purpose, allow, ctx.now, ctx.rng)
            .map(|choice| choice.searcher)
    }

    fn is_blocked_by_overload<R>(&self, sub_query: u32, ctx: &Context<'_, T, R>) -> bool
    where
        R: Rng,
    {
        let state = &self.sub_queries[sub_query as usize];
        ctx.view.is_any_overloaded(state.shard, self.snapshot, ctx.now, |searcher| {
            self.searcher_attempts(state.newest, searcher).next().is_none()
        })
    }

    /// The attempts of a sub-query, newest first.
    pub(super) fn attempts_of(&self, sub_query: u32) -> Attempts<'_> {
        Attempts { attempts: &self.attempts, next: self.sub_queries[sub_query as usize].newest }
    }

    fn searcher_attempts(&self, newest: u32, searcher: SearcherId) -> SearcherAttempts<'_> {
        SearcherAttempts { attempts: Attempts { attempts: &self.attempts, next: newest }, searcher }
    }

    /// Why a sub-query's shard is not covered, derived from its attempts.
    pub(super) fn uncovered_reason(&self, sub_query: u32) -> Reason {
        let mut reason = Reason::NoReplica;
        for attempt in self.attempts_of(sub_query) {
            reason = match (attempt.state, reason) {
                (AttemptState::Failed, _) => return Reason::Failed,
                (AttemptState::InFlight | AttemptState::Answered | AttemptState::Cancelled, _) => {
                    return Reason::TimedOut;
                }
                (AttemptState::Mismatched, _) => Reason::SnapshotGone,
                (AttemptState::NotExecuted(Reason::SnapshotGone), _) => Reason::SnapshotGone,
                (AttemptState::NotExecuted(cause), Reason::NoReplica) => cause,
                (AttemptState::NotExecuted(_), reason) => reason,
            };
        }
        reason
    }

    fn hedge_delay<R>(&self, sub_query: u32, quantile: f64, ctx: &Context<'_, T, R>) -> u32
    where
        R: Rng,
    {
        let state = &self.sub_queries[sub_query as usize];
        if state.probe == ProbeKind::Unreliable && state.attempts == 1 {
            return 0;
        }
        let delay = ctx.view.hedge_delay(state.shard, quantile).unwrap_or_else(|| {
            Duration::from_micros(u64::from(self.finish_at))
                .mul_f64(ctx.settings.initial_hedge_ratio)
        });
        micros(delay.max(ctx.settings.min_hedge_delay))
    }
}

/// The attempts of one sub-query, newest first.
#[derive(Clone)]
pub(super) struct Attempts<'a> {
    attempts: &'a [AttemptRecord],
    next: u32,
}

/// The attempts of one sub-query at one searcher, newest first.
#[derive(Clone)]
struct SearcherAttempts<'a> {
    attempts: Attempts<'a>,
    searcher: SearcherId,
}

impl<'a> Iterator for Attempts<'a> {
    type Item = &'a AttemptRecord;

    fn next(&mut self) -> Option<&'a AttemptRecord> {
        if self.next == NONE {
            return None;
        }
        let attempt = &self.attempts[self.next as usize];
        self.next = attempt.previous;
        Some(attempt)
    }
}

impl<'a> Iterator for SearcherAttempts<'a> {
    type Item = &'a AttemptRecord;

    fn next(&mut self) -> Option<&'a AttemptRecord> {
        let searcher = self.searcher;
        self.attempts.find(|attempt| attempt.searcher == searcher)
    }
}
