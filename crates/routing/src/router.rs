//! The entry's decisions for one environment document.

use std::sync::Arc;

use rand::Rng;
use tokio::time::Instant;

use crate::arena::AttemptKey;
use crate::arena::GenArena;
use crate::arena::QueryKey;
use crate::budget::Budget;
use crate::event::Action;
use crate::event::AttemptKind;
use crate::event::Counters;
use crate::event::Reply;
use crate::event::Request;
use crate::plan::Planner;
use crate::plan::SnapshotFilter;
use crate::query::Context;
use crate::query::Query;
use crate::query::Status;
use crate::settings::Settings;
use crate::view::Pressure;
use crate::view::StatusReport;
use crate::view::View;
use tt_model::Environment;
use tt_model::ResultCode;
use tt_model::SearcherId;
use tt_model::Snapshot;
use tt_model::VmId;

// Distance between the first generations of a router and of its successor. A router would
// have to start this many queries before their keys could meet.
const GENERATION_STEP: u64 = 1 << 40;

/// All query decisions for one environment document, with results of type `T`.
///
/// Every method takes the current time and appends to `out` what the daemon must do.
#[derive(Debug)]
pub struct Router<T, R> {
    settings: Settings,
    view: View,
    planner: Planner,
    budget: Budget,
    queries: GenArena<Query<T>>,
    counters: Counters,
    first_generation: u64,
    rng: R,
}

impl<T, R> Router<T, R>
where
    R: Rng,
{
    /// A router without evidence.
    pub fn new(environment: Arc<Environment>, settings: Settings, rng: R, now: Instant) -> Self {
        Router {
            view: View::new(Arc::clone(&environment), settings.health.clone()),
            planner: Planner::new(environment),
            budget: Budget::new(settings.budget.clone(), now),
            queries: GenArena::starting_at(0),
            counters: Counters::default(),
            first_generation: 0,
            settings,
            rng,
        }
    }

    /// The router with keys of generations from `first` on. A daemon with a router for each
    /// thread gives each a range of its own, so that no key fits two of them. To be called
    /// before the first query.
    pub fn with_generations_from(mut self, first: u64) -> Self {
        self.first_generation = first;
        self.queries = GenArena::starting_at(first);
        self
    }

    /// A router for a newer document. It takes over the evidence and the budget; queries
    /// in flight stay with this router until they finish, and their keys never equal keys
    /// of the successor.
    pub fn successor(&self, environment: Arc<Environment>, rng: R) -> Self {
        let first_generation = self.first_generation + GENERATION_STEP;
        Router {
            view: self.view.successor(Arc::clone(&environment)),
            planner: Planner::new(environment),
            budget: self.budget.clone(),
            queries: GenArena::starting_at(first_generation),
            counters: Counters::default(),
            first_generation,
            settings: self.settings.clone(),
            rng,
        }
    }

    /// Starts an admitted request. An error means that nothing was sent.
    pub fn start(
        &mut self,
        request: Request,
        now: Instant,
        out: &mut Vec<Action<T>>,
    ) -> Result<QueryKey, ResultCode> {
        self.planner.check(request.service, &request.shards)?;
        let environment = self.view.environment();
        let prefer = environment.classes[environment.services[request.service].class].prefer;
        let plan = self
            .planner
            .plan(&self.view, request.service, &request.shards, prefer, SnapshotFilter::Any)
            .ok_or(ResultCode::NoSnapshot)?;
        let mut ctx = Context {
            settings: &self.settings,
            view: &mut self.view,
            planner: &mut self.planner,
            budget: &mut self.budget,
            counters: &mut self.counters,
            rng: &mut self.rng,
            now,
            out,
        };
        let query = Query::new(request, self.queries.next_key(), plan, &mut ctx)?;
        let key = self.queries.insert(query);
        if let Some(query) = self.queries.get_mut(key) {
            query.send_first_attempts(AttemptKind::Primary, &mut ctx);
        }
        self.counters.queries += 1;
        Ok(key)
    }

    /// Takes in a reply to a sub-query.
    pub fn reply(
        &mut self,
        key: AttemptKey,
        reply: Reply<'_, T>,
        now: Instant,
        out: &mut Vec<Action<T>>,
    ) {
        self.run(key.query, now, out, |query, ctx| query.reply(key.attempt, reply, ctx));
    }

    /// Takes in that the time of a query's [`Action::WakeAt`] has come.
    pub fn wake(&mut self, query: QueryKey, now: Instant, out: &mut Vec<Action<T>>) {
        self.run(query, now, out, |query, ctx| query.wake(ctx));
    }

    /// Takes in that the caller of a query is gone. An idempotent query ends at once; a
    /// non-idempotent one goes on to its result.
    pub fn cancel(&mut self, query: QueryKey, now: Instant, out: &mut Vec<Action<T>>) {
        self.run(query, now, out, |query, ctx| query.cancel(ctx));
    }

    /// Takes in a hint about a searcher.
    pub fn report_status(&mut self, searcher: SearcherId, report: StatusReport, now: Instant) {
        self.view.report_status(searcher, report, now);
    }

    /// Takes in the snapshots that a status poll found at a searcher.
    pub fn set_held_snapshots(&mut self, searcher: SearcherId, held: &[Snapshot]) {
        self.view.set_held_snapshots(searcher, held);
    }

    /// Takes in the queue pressure that an owner reports outside of replies.
    pub fn set_pressure(&mut self, searcher: SearcherId, pressure: Pressure, now: Instant) {
        self.view.set_pressure(searcher, pressure, now);
    }

    /// Names the daemon that owns a searcher.
    pub fn set_owner(&mut self, searcher: SearcherId, owner: VmId) {
        self.view.set_owner(searcher, owner);
    }

    /// What is known of the searchers.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The hedge budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Queries in flight.
    pub fn in_flight(&self) -> usize {
        self.queries.len()
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        Counters {
            stale_events: self.counters.stale_events + self.queries.stale(),
            ..self.counters
        }
    }

    fn run<F>(&mut self, key: QueryKey, now: Instant, out: &mut Vec<Action<T>>, event: F)
    where
        F: FnOnce(&mut Query<T>, &mut Context<'_, T, R>) -> Status,
    {
        let Some(query) = self.queries.get_mut(key) else { return };
        let mut ctx = Context {
            settings: &self.settings,
            view: &mut self.view,
            planner: &mut self.planner,
            budget: &mut self.budget,
            counters: &mut self.counters,
            rng: &mut self.rng,
            now,
            out,
        };
        if event(query, &mut ctx) == Status::Finished {
            self.queries.remove(key);
        }
    }
}
