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
    pub(super) fn give_up<R>(&mut self, part: u32, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        let gone = self.chain(part).any(|attempt| {
            matches!(
                attempt.state,
                AttemptState::Mismatched | AttemptState::NotExecuted(Reason::SnapshotGone)
            )
        });
        if gone && self.restart(ctx) == Restarted::Yes {
            return;
        }
        let reason = self.reason(part);
        self.uncover(part, reason);
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
        let plan = ctx.planner.plan(ctx.view, self.service, &self.shards, self.prefer, filter);
        // A restart that leaves other shards uncovered would trade one gap for another.
        let Some(plan) = plan.filter(|plan| plan.servable == plan.shards.len()) else {
            return Restarted::No;
        };
        // What may have run so far becomes extra load.
        let spent = (0..self.parts.len() as u32)
            .filter(|&part| {
                self.chain(part)
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
        for part in 0..self.parts.len() as u32 {
            if matches!(self.parts[part as usize].progress, Progress::Open) {
                self.cancel_waiting(part, ctx);
            }
        }
        self.restarted = Restarted::Yes;
        self.adopt(plan, ctx);
        self.launch(AttemptKind::Restart, ctx);
        Restarted::Yes
    }
}
