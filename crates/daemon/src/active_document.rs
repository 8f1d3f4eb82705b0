//! The state of an entry for one document in force: routers, admission and expected wait.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::backlog::Backlog;
use crate::settings::Policy;
use tt_control::Stage;
use tt_limits::Admission;
use tt_limits::AdmissionSettings;
use tt_limits::MemberView;
use tt_limits::UsageReport;
use tt_model::Environment;
use tt_model::Revision;
use tt_model::Searcher;
use tt_model::SearcherId;
use tt_model::Snapshot;
use tt_model::VmId;
use tt_routing::Router;
use tt_routing::Settings;
use tt_routing::StatusReport;

/// Number of routers of one document. With more of them, threads would wait less for the lock. But
/// each learns about searchers only from its own queries, and at the current load, routers that
/// learn slowly cost more than the lock does.
const ROUTER_COUNT: usize = 1;

/// A router whose results are the JSON text of the searchers.
pub(crate) type EntryRouter = Router<Bytes, SmallRng>;

/// A document in force, with the routers and the admission of its queries.
#[derive(Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) stage: Stage,
    pub(crate) revision: Revision,
    pub(crate) environment: Arc<Environment>,
    routers: Vec<Mutex<EntryRouter>>,
    admission: Arc<Mutex<Admission>>,
    backlog: Arc<Mutex<Backlog>>,
}

impl ActiveDocument {
    /// The state for a document that is new to this daemon.
    pub(crate) fn new(
        stage: Stage,
        revision: Revision,
        environment: Arc<Environment>,
        policy: Policy,
    ) -> ActiveDocument {
        let now = Instant::now();
        let settings = Settings {
            policy: match policy {
                Policy::Adaptive => tt_routing::Policy::Adaptive,
                Policy::Baseline => tt_routing::Policy::Baseline,
            },
            ..Settings::default()
        };
        let routers = (0..ROUTER_COUNT)
            .map(|_| {
                let router = Router::new(environment.clone(), settings.clone(), random(), now);
                Mutex::new(router)
            })
            .collect();
        let members = MemberView::Uncertain(1);
        let admission = Admission::new(now, AdmissionSettings::default(), &environment, members);
        let admission = Arc::new(Mutex::new(admission));
        ActiveDocument { stage, revision, environment, routers, admission, backlog: Arc::default() }
    }

    /// The state for a newer document of the same environment and stage. It keeps the state of
    /// the searchers, the usage of the contracts and the expected wait.
    pub(crate) fn successor(
        &self,
        revision: Revision,
        environment: Arc<Environment>,
    ) -> ActiveDocument {
        let routers = self
            .routers
            .iter()
            .map(|router| Mutex::new(lock(router).successor(environment.clone(), random())))
            .collect();
        lock(&self.admission).set_environment(Instant::now(), &environment);
        let admission = self.admission.clone();
        let backlog = self.backlog.clone();
        ActiveDocument { stage: self.stage, revision, environment, routers, admission, backlog }
    }

    /// The router for a query.
    pub(crate) fn router(&self, query: u64) -> MutexGuard<'_, EntryRouter> {
        lock(&self.routers[query as usize % self.routers.len()])
    }

    /// Admission by the contracts of the services.
    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    /// The expected wait at searchers.
    pub(crate) fn backlog(&self) -> MutexGuard<'_, Backlog> {
        lock(&self.backlog)
    }

    /// Usage of the contracts at this entry since the last report.
    pub(crate) fn usage(&self, now: Instant) -> UsageReport {
        self.admission().usage_report(now)
    }

    /// Passes a searcher's status and, unless empty, its held snapshots to the routers.
    pub(crate) fn report_status(
        &self,
        searcher: SearcherId,
        report: StatusReport,
        held: &[Snapshot],
    ) {
        let now = Instant::now();
        for router in &self.routers {
            let mut router = lock(router);
            router.report_status(searcher, report, now);
            if !held.is_empty() {
                router.set_held_snapshots(searcher, held);
            }
        }
    }

    /// Tells the routers which daemons own the searchers.
    pub(crate) fn set_owners<F>(&self, owner: F)
    where
        F: Fn(&Searcher) -> Option<VmId>,
    {
        for (id, searcher) in self.environment.searchers.iter() {
            let Some(owner) = owner(searcher) else {
                continue;
            };
            for router in &self.routers {
                lock(router).set_owner(id, owner);
            }
        }
    }

    /// Queries in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.routers.iter().map(|router| lock(router).in_flight()).sum()
    }
}

fn random() -> SmallRng {
    SmallRng::from_rng(&mut rand::rng())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
