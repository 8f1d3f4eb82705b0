//! The state of one daemon, shared by its interfaces and tasks.

mod config;
mod entries;
mod exchange;
mod membership;
mod ownership;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::active_document::ActiveDocument;
use crate::claims::Claims;
use crate::clock;
use crate::node::membership::UsageReports;
use crate::owner::Workers;
use crate::peers::Peers;
use crate::peers::QueryOrigin;
use crate::peers::RunningGathers;
use crate::settings::Settings;
use tt_adapter::HttpSettings;
use tt_adapter::Platform;
use tt_control::Collector;
use tt_control::CollectorSettings;
use tt_control::ControlPlane;
use tt_control::ControlSettings;
use tt_control::Stage;
use tt_control::catalog::StageKey;
use tt_membership::AssignmentProposer;
use tt_membership::Drain;
use tt_membership::Halves;
use tt_membership::Member;
use tt_membership::MemberId;
use tt_membership::Members;
use tt_membership::drain::DrainSettings;
use tt_membership::drain::Stage as DrainStage;
use tt_membership::halves::HalvesSettings;
use tt_model::Incarnation;
use tt_model::ResultCode;

pub(crate) use exchange::ClaimMessage;
pub(crate) use exchange::ConfigAnswer;
pub(crate) use exchange::ConfigMessage;
pub(crate) use exchange::HeartbeatMessage;

/// Time until every other daemon knows that this one is stopping, and no longer gives its address
/// to callers. With 2,700 members, gossip takes 6 rounds of heartbeats.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(6);

/// The state of one daemon. Each part is under its own lock; no two of them are held at the
/// same time, except that workers are locked while the halves are.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) runtime: Handle,
    pub(crate) platform: Platform,
    pub(crate) peers: Peers,
    pub(crate) workers: Workers,
    pub(crate) running: Arc<RunningGathers>,
    pub(crate) claims: Claims,
    /// Woken when the state of the stop sequence changes.
    pub(crate) stopping: Notify,
    /// Address for callers of each daemon, by its address for daemons.
    caller_addresses: Mutex<BTreeMap<SocketAddr, SocketAddr>>,
    control_plane: Mutex<ControlPlane>,
    members: Mutex<Members>,
    assignments: Mutex<AssignmentProposer>,
    halves: Mutex<Halves>,
    drain: Mutex<Drain>,
    collector: Mutex<Collector>,
    usage: Mutex<UsageReports>,
    active_documents: RwLock<BTreeMap<StageKey, Arc<ActiveDocument>>>,
    queries: AtomicU64,
}

/// Where attempts at a searcher are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Destination {
    /// This daemon, as the owner or as the successor of an owner that is not reachable. Always,
    /// under the baseline policy.
    Local,
    /// Another daemon, as the owner or as such a successor.
    Peer(SocketAddr),
    /// No daemon owns the searcher.
    Unowned,
}

/// Time since the configuration was last confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConfigAge {
    pub(crate) age: Duration,
    pub(crate) stale: bool,
}

impl Node {
    /// The state of a process that has just started.
    pub(crate) fn new(settings: Settings, peers: SocketAddr) -> Arc<Node> {
        let now = Instant::now();
        let random: u32 = rand::rng().random();
        let incarnation = Incarnation(clock::unix_ms() << 20 | u64::from(random >> 12));
        let me = Member {
            id: MemberId { address: peers, incarnation },
            domain: settings.domain.clone(),
            weight: settings.weight,
        };
        let control = ControlSettings {
            address: peers,
            domain: settings.domain.clone(),
            seed: incarnation.0,
            ..ControlSettings::default()
        };
        let entries_ttl = settings.callers.entries_ttl() + ANNOUNCE_DELAY;
        let finish_timeout = Duration::from_millis(settings.callers.drain_ms);
        let drain = DrainSettings { entries_ttl, finish_timeout, ..DrainSettings::default() };
        Arc::new(Node {
            runtime: Handle::current(),
            platform: Platform::new(settings.platform, HttpSettings::default()),
            peers: Peers::default(),
            workers: Workers::default(),
            running: Arc::default(),
            claims: Claims::default(),
            stopping: Notify::new(),
            caller_addresses: Mutex::default(),
            control_plane: Mutex::new(ControlPlane::new(control, now)),
            members: Mutex::new(Members::new(me.clone(), settings.peers.clone())),
            assignments: Mutex::new(AssignmentProposer::new(me.id)),
            halves: Mutex::new(Halves::new(me.id, HalvesSettings::default(), now)),
            drain: Mutex::new(Drain::new(drain)),
            collector: Mutex::new(Collector::new(CollectorSettings::default())),
            usage: Mutex::default(),
            active_documents: RwLock::default(),
            queries: AtomicU64::new(1),
            me,
            settings,
        })
    }

    /// A number for a query, unique in this process.
    pub(crate) fn next_query(&self) -> u64 {
        self.queries.fetch_add(1, Ordering::Relaxed)
    }

    /// The identity of a query of this process at other daemons.
    pub(crate) fn query_origin(&self, query: u64) -> QueryOrigin {
        QueryOrigin { incarnation: self.me.id.incarnation.0, query }
    }

    /// Whether queries are accepted; the error says why not.
    pub(crate) fn accepts_queries(&self) -> Result<(), (ResultCode, String)> {
        let stage = lock(&self.drain).stage();
        if stage >= DrainStage::Releasing {
            return Err((ResultCode::Draining, String::new()));
        }
        match lock(&self.control_plane).not_ready() {
            Some(reason) => Err((ResultCode::NotReady, reason.to_string())),
            None => Ok(()),
        }
    }

    /// The document in force for an environment and a stage.
    pub(crate) fn active_document(
        &self,
        environment: &str,
        stage: Stage,
    ) -> Option<Arc<ActiveDocument>> {
        let key = StageKey { environment: environment.to_owned(), stage };
        let documents =
            self.active_documents.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        documents.get(&key).cloned()
    }

    /// All documents in force.
    pub(crate) fn active_documents(&self) -> Vec<Arc<ActiveDocument>> {
        let documents =
            self.active_documents.read().unwrap_or_else(|poisoned| poisoned.into_inner());
        documents.values().cloned().collect()
    }

    /// Queries and sub-queries in flight.
    pub(crate) fn in_flight(&self) -> usize {
        let queries: usize =
            self.active_documents().iter().map(|document| document.in_flight()).sum();
        let sub_queries: usize =
            self.workers.all().iter().map(|worker| worker.running() as usize).sum();
        queries + sub_queries + self.claims.in_flight()
    }

    pub(crate) fn control_plane(&self) -> MutexGuard<'_, ControlPlane> {
        lock(&self.control_plane)
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    pub(crate) fn drain(&self) -> MutexGuard<'_, Drain> {
        lock(&self.drain)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
