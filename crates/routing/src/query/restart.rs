//! The restart of an idempotent query at a newer snapshot, at most once for each query.

use rand::Rng;

use super::AttemptState;
use super::Context;
use super::Progress;
use super::Query;
use super::Ran;
use super::Restarted;
use crate::event::AttemptKind;
use crate::event::Mode;
use crate::event::Reason;
use crate::plan::SnapshotFilter;

impl<T> Query<T> {
    /// Gives up a sub-query, or restarts the query if a replica no longer has the snapshot.
    pub(super) fn give_up<R>(&mut self, sub_query: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        let gone = self.attempts_of(sub_query).any(|attempt| {
            matches!(
                attempt.state,
                AttemptState::Mismatched | AttemptState::NotExecuted(Reason::SnapshotGone)
            )
        });
        if gone && self.restart(ctx) == Restarted::Yes {
            return;
        }
        let reason = self.uncovered_reason(sub_query);
        self.mark_uncovered(sub_query, reason);
    }

    fn restart<R>(&mut self, ctx: &mut Context<'_, T, R>) -> Restarted
    where
        R: Rng,
    {
        let left = self.finish_at.saturating_sub(self.offset(ctx.now));
        let needed = (f64::from(self.finish_at) * ctx.settings.restart_time_ratio) as u32;
        if self.mode == Mode::AtMostOnce || self.restarted == Restarted::Yes || left < needed {
            return Restarted::No;
        }
        let filter = SnapshotFilter::After(self.snapshot);
        let plan = ctx.planner.plan(ctx.view, self.service, &self.shards, self.preference, filter);
        // A restart at a snapshot that some shards cannot serve would only replace one
        // uncovered shard by another.
        let Some(plan) = plan.filter(|plan| plan.servable == plan.shards.len()) else {
            return Restarted::No;
        };
        // The sub-queries that may have run will run again, which is extra load.
        let may_have_run = (0..self.sub_queries.len() as u32)
            .filter(|&sub_query| {
                self.attempts_of(sub_query)
                    .any(|attempt| !matches!(attempt.state, AttemptState::NotExecuted(_)))
            })
            .count();
        if may_have_run > 0 {
            if !ctx.budget.try_overdraw(may_have_run, ctx.now) {
                ctx.counters.budget_denied += 1;
                return Restarted::No;
            }
            self.ran = Ran::Maybe;
        }
        for sub_query in 0..self.sub_queries.len() as u32 {
            if matches!(self.sub_queries[sub_query as usize].progress, Progress::Open) {
                self.cancel_in_flight(sub_query, ctx);
            }
        }
        self.restarted = Restarted::Yes;
        self.apply_plan(plan, ctx);
        self.send_first_attempts(AttemptKind::Restart, ctx);
        Restarted::Yes
    }
}
