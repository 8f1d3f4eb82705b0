//! The one restart of an idempotent query at a newer snapshot.

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
    /// Gives up a part, or restarts the query when the part's snapshot is gone.
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
        // A restart that leaves other shards uncovered would trade one gap for another.
        let Some(plan) = plan.filter(|plan| plan.servable == plan.shards.len()) else {
            return Restarted::No;
        };
        // What may have run so far becomes extra load.
        let spent = (0..self.sub_queries.len() as u32)
            .filter(|&sub_query| {
                self.attempts_of(sub_query)
                    .any(|attempt| !matches!(attempt.state, AttemptState::NotExecuted(_)))
            })
            .count();
        if spent > 0 {
            if !ctx.budget.try_overdraw(spent, ctx.now) {
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
