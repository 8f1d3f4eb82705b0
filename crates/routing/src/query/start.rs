//! The start of a query: its sub-queries and their first attempts.

use std::collections::BinaryHeap;

use rand::Rng;

use super::Context;
use super::NONE;
use super::Progress;
use super::Query;
use super::Ran;
use super::Restarted;
use super::SubQuery;
use super::micros;
use crate::arena::QueryKey;
use crate::event::Action;
use crate::event::AttemptCounts;
use crate::event::AttemptKind;
use crate::event::Mode;
use crate::event::Request;
use crate::plan::Plan;
use crate::settings::Policy;
use crate::view::Choice;
use crate::view::ProbeKind;
use crate::view::Purpose;
use tt_model::Preference;
use tt_model::ResultCode;

// A query may send one probe, and another one for each full group of this many shards.
const SHARDS_PER_PROBE: usize = 64;

impl<T> Query<T> {
    /// Creates a query and chooses the replicas of its first attempts, which
    /// [`send_first_attempts`](Query::send_first_attempts) sends. After an error, none of the
    /// attempts counts as in flight.
    pub(crate) fn new<R>(
        request: Request,
        key: QueryKey,
        plan: Plan,
        ctx: &mut Context<'_, T, R>,
    ) -> Result<Query<T>, ResultCode>
    where
        R: Rng,
    {
        let environment = ctx.view.environment();
        let class = &environment.classes[environment.services[request.service].class];
        let total = request.deadline.saturating_duration_since(ctx.now);
        let margin = total
            .mul_f64(ctx.settings.margin_ratio)
            .clamp(ctx.settings.min_margin, ctx.settings.max_margin);
        let usable = total.checked_sub(margin).ok_or(ResultCode::DeadlinePassed)?;
        if usable.is_zero() {
            return Err(ResultCode::DeadlinePassed);
        }
        let finish_at = micros(usable);
        let mut query = Query {
            key,
            service: request.service,
            shards: request.shards,
            mode: request.mode,
            preference: class.prefer,
            hedge_quantile: class.hedge_quantile,
            started: ctx.now,
            finish_at,
            early_at: NONE,
            next_wake: NONE,
            snapshot: plan.snapshot,
            sub_queries: Vec::new(),
            absent: Vec::new(),
            open: 0,
            covered: 0,
            attempts: Vec::new(),
            timers: BinaryHeap::new(),
            counts: AttemptCounts::default(),
            ran: Ran::No,
            restarted: Restarted::No,
        };
        if query.preference == Preference::Latency
            && query.mode == Mode::Idempotent
            && ctx.settings.policy == Policy::Adaptive
        {
            query.early_at = (f64::from(finish_at) * ctx.settings.early_time_ratio) as u32;
        }
        query.apply_plan(plan, ctx);
        // A non-idempotent request is refused unless every shard can be asked. Otherwise it
        // would run on some of its shards only.
        let partial = query.open < query.sub_queries.len() || !query.absent.is_empty();
        if query.open == 0 || (query.mode == Mode::AtMostOnce && partial) {
            for attempt in &query.attempts {
                ctx.view.record_ended(attempt.searcher);
            }
            return Err(ResultCode::NoReplica);
        }
        Ok(query)
    }

    /// Sends the first attempt of each open sub-query, at the start or after a restart.
    pub(crate) fn send_first_attempts<R>(&mut self, kind: AttemptKind, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        let first = self.attempts.len() - self.open;
        ctx.out.reserve(self.open + 1);
        for attempt in first..self.attempts.len() {
            ctx.out.push(Action::Send(self.attempt_to_send(attempt as u32, kind)));
            let sub_query = self.attempts[attempt].sub_query;
            self.set_attempt_timer(sub_query, ctx);
        }
        let count = self.open;
        match kind {
            AttemptKind::Primary => {
                self.counts.primaries += count as u32;
                ctx.counters.primaries += count as u64;
                ctx.budget.earn(count, ctx.now);
            }
            AttemptKind::Hedge | AttemptKind::Retry | AttemptKind::Restart => {
                self.counts.restarts += count as u32;
                ctx.counters.restarts += count as u64;
            }
        }
        self.schedule_wake(ctx);
    }

    /// Replaces the sub-queries by those of a plan, and adds a first attempt for each that has
    /// a replica.
    pub(super) fn apply_plan<R>(&mut self, plan: Plan, ctx: &mut Context<'_, T, R>)
    where
        R: Rng,
    {
        self.snapshot = plan.snapshot;
        self.absent = plan.absent;
        self.open = 0;
        self.covered = 0;
        self.sub_queries.clear();
        self.sub_queries.reserve_exact(plan.shards.len());
        self.attempts.reserve(plan.shards.len());
        self.timers.clear();
        let mut probes = match self.mode {
            Mode::Idempotent => 1 + plan.shards.len() / SHARDS_PER_PROBE,
            Mode::AtMostOnce => 0,
        };
        for shard in plan.shards {
            let choice = match ctx.settings.policy {
                Policy::Baseline => ctx
                    .view
                    .choose_round_robin(shard, plan.snapshot, |_| true)
                    .map(|searcher| Choice { searcher, probe: ProbeKind::None }),
                Policy::Adaptive => {
                    let purpose =
                        if probes > 0 { Purpose::PrimaryOrProbe } else { Purpose::Primary };
                    ctx.view.choose(shard, plan.snapshot, purpose, |_| true, ctx.now, ctx.rng)
                }
            };
            let probe = choice.map_or(ProbeKind::None, |choice| choice.probe);
            probes -= usize::from(probe != ProbeKind::None);
            let sub_query = self.sub_queries.len() as u32;
            let progress = match choice {
                Some(_) => Progress::Open,
                None => Progress::Uncovered(ctx.view.unserved_reason(shard)),
            };
            self.sub_queries.push(SubQuery {
                shard,
                newest: NONE,
                timer: NONE,
                in_flight: 0,
                attempts: 0,
                hedges: 0,
                probe,
                progress,
            });
            if let Some(Choice { searcher, .. }) = choice {
                self.open += 1;
                self.add_attempt(sub_query, searcher, ctx);
            }
        }
    }
}
