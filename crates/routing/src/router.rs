//! The query decisions for one environment document.

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

// Difference between the first generations of a router and of its successor. Keys of the two
// are equal only after a router has started this many queries.
const GENERATION_STEP: u64 = 1 << 40;

/// The query decisions for one environment document, with results of type `T`.
///
/// Events are passed with the current time. The methods append to `out` the actions that the
/// daemon must carry out.
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
    /// Creates a router that knows nothing of the searchers beyond the document.
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

    /// Sets the generation of the first query key. A daemon with one router for each thread
    /// gives each router a separate range, so that no key is valid in two of them. Must be
    /// called before the first query.
    pub fn with_generations_from(mut self, first: u64) -> Self {
        self.first_generation = first;
        self.queries = GenArena::starting_at(first);
        self
    }

    /// Creates the router for a newer document, which takes over the knowledge of the
    /// searchers and the budget. Queries in flight remain with this router until they finish.
    /// Their keys are not valid in the successor.
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

    /// Starts an admitted request. After an error, nothing has been sent.
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

    /// Handles the end of the attempt `key`.
    pub fn on_reply(
        &mut self,
        key: AttemptKey,
        reply: Reply<'_, T>,
        now: Instant,
        out: &mut Vec<Action<T>>,
    ) {
        self.handle(key.query, now, out, |query, ctx| query.on_reply(key.attempt, reply, ctx));
    }

    /// Handles a wake-up that [`Action::WakeAt`] asked for.
    pub fn wake(&mut self, query: QueryKey, now: Instant, out: &mut Vec<Action<T>>) {
        self.handle(query, now, out, |query, ctx| query.wake(ctx));
    }

    /// Handles the cancellation of a query by its caller. An idempotent query ends at once. A
    /// non-idempotent one continues until its outcome is known or its deadline is reached.
    pub fn cancel(&mut self, query: QueryKey, now: Instant, out: &mut Vec<Action<T>>) {
        self.handle(query, now, out, |query, ctx| query.cancel(ctx));
    }

    /// Updates the status of a searcher from a report.
    pub fn report_status(&mut self, searcher: SearcherId, report: StatusReport, now: Instant) {
        self.view.report_status(searcher, report, now);
    }

    /// Sets the snapshots that a searcher holds, as a status poll reports them.
    pub fn set_held_snapshots(&mut self, searcher: SearcherId, held: &[Snapshot]) {
        self.view.set_held_snapshots(searcher, held);
    }

    /// Sets the queue pressure at a searcher, as its owner reports it outside of replies.
    pub fn set_pressure(&mut self, searcher: SearcherId, pressure: Pressure, now: Instant) {
        self.view.set_pressure(searcher, pressure, now);
    }

    /// Sets the owner of a searcher.
    pub fn set_owner(&mut self, searcher: SearcherId, owner: VmId) {
        self.view.set_owner(searcher, owner);
    }

    /// The knowledge of the searchers.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The budget for hedges, retries and restarts.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// The number of queries in flight.
    pub fn in_flight(&self) -> usize {
        self.queries.len()
    }

    /// Counts since this router was created, without those of its predecessors.
    pub fn counters(&self) -> Counters {
        Counters {
            stale_events: self.counters.stale_events + self.queries.stale_lookups(),
            ..self.counters
        }
    }

    fn handle<F>(&mut self, key: QueryKey, now: Instant, out: &mut Vec<Action<T>>, event: F)
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
