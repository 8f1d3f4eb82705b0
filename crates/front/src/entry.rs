//! The state of the daemon that its parts share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use crate::clock::Clock;
use crate::connections::Connections;
use crate::metrics;
use crate::settings::FrontSettings;
use crate::sync::lock;
use crate::sync::read;
use crate::sync::write;
use tt_adapter::Boot;
use tt_serve::Budget;
use tt_serve::BudgetSettings;
use tt_serve::Config;
use tt_serve::Delta;
use tt_serve::Fleet;
use tt_serve::ListChange;
use tt_serve::Listings;
use tt_serve::MemberState;
use tt_serve::Members;
use tt_serve::Pace;
use tt_serve::PoolKey;
use tt_serve::Registry;
use tt_serve::RouteTable;
use tt_serve::SearcherKey;
use tt_serve::Sharers;
use tt_serve::Sighting;
use tt_serve::Standing;
use tt_serve::Time;
use tt_serve::Vm;

/// The daemon.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) clock: Clock,
    pub(crate) settings: FrontSettings,
    pub(crate) vm: Vm,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) members: Mutex<Members>,
    /// Connections to searchers.
    pub(crate) searcher_connections: Connections<SearcherKey>,
    /// Connections to other daemons.
    pub(crate) peer_connections: Connections<SocketAddr>,
    boot: RwLock<Boot>,
    table: RwLock<Option<Arc<InForce>>>,
    registry: Mutex<Listing>,
    budgets: Mutex<HashMap<PoolKey, Budget>>,
    paces: Mutex<HashMap<String, Pace>>,
    draining: AtomicBool,
}

/// The configuration that decides.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) table: RouteTable,
    /// Its encoded form, for other daemons.
    pub(crate) bytes: Bytes,
}

#[derive(Debug)]
struct Listing {
    registry: Registry,
    listings: Listings,
    /// When the newest listing was read at the store, by this daemon or another.
    read: Option<Time>,
    /// Revision of the store at which it was read.
    revision: u64,
    /// When the store came back after it had been away from whoever read the listing.
    restored: Option<Time>,
}

impl Entry {
    pub(crate) fn new(boot: Boot, settings: FrontSettings) -> Entry {
        let vm = Vm {
            name: boot.vm.clone(),
            front: boot.front,
            peer: boot.peer,
            domain: boot.domain.clone(),
        };
        Entry {
            clock: Clock::start(),
            settings,
            fleet: Mutex::new(Fleet::new(settings.fleet, boot.domain.clone())),
            members: Mutex::new(Members::new(settings.members, vm.clone())),
            searcher_connections: Connections::default(),
            peer_connections: Connections::default(),
            vm,
            boot: RwLock::new(boot),
            table: RwLock::new(None),
            registry: Mutex::new(Listing {
                registry: Registry::new(settings.registry),
                listings: Listings::default(),
                read: None,
                revision: 0,
                restored: None,
            }),
            budgets: Mutex::new(HashMap::new()),
            paces: Mutex::new(HashMap::new()),
            draining: AtomicBool::new(false),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn boot(&self) -> Boot {
        read(&self.boot).clone()
    }

    pub(crate) fn set_boot(&self, boot: Boot) {
        *write(&self.boot) = boot;
    }

    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        read(&self.table).clone()
    }

    pub(crate) fn version(&self) -> u64 {
        self.in_force().map_or(0, |it| it.table.version)
    }

    /// Puts a configuration in force unless a later one is. Returns whether it did.
    pub(crate) fn adopt(&self, config: &Config, bytes: Bytes, source: &str) -> bool {
        let table = RouteTable::new(config, &mut lock(&self.fleet));
        let version = table.version;
        let mut current = write(&self.table);
        let before = current.as_ref().map_or(0, |it| it.table.version);
        if version <= before {
            return false;
        }
        // What was learned of routes that are gone is of no use.
        lock(&self.paces).retain(|name, _| config.routes.iter().any(|it| it.name == *name));
        *current = Some(Arc::new(InForce { table, bytes }));
        drop(current);
        log::info!("config: version={version} before={before} source={source} in_force=true");
        true
    }

    /// Adopts a listing of the searchers that was read at the store at `read`, unless a later one
    /// has been adopted.
    pub(crate) fn adopt_listing(
        &self,
        listing: Vec<Sighting>,
        restored: Option<Time>,
        revision: u64,
        read: Time,
        source: &str,
    ) {
        let mut state = lock(&self.registry);
        if revision < state.revision {
            return;
        }
        state.revision = revision;
        state.listings.note(listing);
        state.read = state.read.max(Some(read));
        state.restored = restored;
        self.register(&mut state, source);
    }

    /// Notes that the newest listing was still true at a revision, which was read at `read`.
    pub(crate) fn confirm_listing(&self, revision: u64, read: Time) {
        let mut state = lock(&self.registry);
        if (revision, Some(read)) <= (state.revision, state.read) {
            return;
        }
        state.revision = revision;
        state.read = state.read.max(Some(read));
        if state.registry.has_lapsed(state.listings.newest()) {
            self.register(&mut state, "confirmed");
        }
    }

    fn register(&self, state: &mut Listing, source: &str) {
        let now = self.now();
        let listing = state.listings.newest().to_vec();
        let mut fleet = lock(&self.fleet);
        let changes = state.registry.adopt(&mut fleet, listing, state.restored, now);
        for change in &changes {
            log::info!("fleet: {change} source={source}");
        }
        if !changes.is_empty() {
            self.searcher_connections.retain(|key| fleet.get(key).is_some());
        }
    }

    /// The newest listing.
    pub(crate) fn newest(&self) -> Vec<Sighting> {
        lock(&self.registry).listings.newest().to_vec()
    }

    /// What turns the listing with a digest into the newest, if that is known.
    pub(crate) fn since(&self, digest: u64) -> Option<Delta> {
        lock(&self.registry).listings.since(digest)
    }

    /// When the store came back before the newest listing was read.
    pub(crate) fn restored(&self) -> Option<Time> {
        lock(&self.registry).restored
    }

    /// When the newest listing was read.
    pub(crate) fn listed(&self) -> Option<Time> {
        lock(&self.registry).read
    }

    /// What this daemon says of itself.
    pub(crate) fn standing(&self) -> Standing {
        let state = match (self.is_draining(), self.is_open()) {
            (true, _) => MemberState::Stopping,
            (false, true) => MemberState::Open,
            (false, false) => MemberState::Starting,
        };
        let listing = lock(&self.registry);
        let Listing { revision, read: listed, .. } = *listing;
        let digest = listing.listings.digest();
        Standing { state, version: self.version(), digest, revision, listed }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_draining() && self.in_force().is_some() && self.listed().is_some()
    }

    /// Notes the daemons in the store's list.
    pub(crate) fn note_members(&self, listed: Vec<Vm>) {
        let now = self.now();
        let mut members = lock(&self.members);
        let ListChange { new, gone } = members.list(listed, now);
        let sharers = members.sharers(now).daemons;
        drop(members);
        for name in new {
            log::info!("member: vm={name} state=stored sharers={sharers}");
        }
        for name in gone {
            log::info!("member: vm={name} state=forgotten sharers={sharers}");
        }
    }

    /// Notes what another daemon said at the time `heard`.
    pub(crate) fn note_standing(&self, vm: Vm, standing: Standing, heard: Time) {
        let now = self.now();
        if vm.name == self.vm.name {
            return;
        }
        let name = vm.name.clone();
        let mut members = lock(&self.members);
        if members.hear(vm, standing, heard) {
            log::info!("member: vm={name} state=heard sharers={}", members.sharers(now).daemons);
        }
    }

    pub(crate) fn sharers(&self) -> Sharers {
        lock(&self.members).sharers(self.now())
    }

    pub(crate) fn count_requests(&self, pools: &[PoolKey]) {
        let settings = self.budget_settings();
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        for pool in pools {
            budgets.entry(*pool).or_default().count_request(&settings, now);
        }
    }

    /// Takes one extra send to `pool` from this daemon's part of the budget.
    pub(crate) fn take_extra(&self, pool: PoolKey) -> bool {
        let settings = self.budget_settings();
        let daemons = self.sharers().daemons;
        let mut budgets = lock(&self.budgets);
        let taken = budgets.entry(pool).or_default().take(&settings, daemons, self.now());
        if !taken {
            metrics::budget_refused();
        }
        taken
    }

    fn budget_settings(&self) -> BudgetSettings {
        let boot = read(&self.boot);
        let window = boot.bounds.retry_window;
        BudgetSettings {
            ratio: boot.bounds.retry_ratio,
            extra: boot.bounds.retry_extra,
            window,
            shared_from: if boot.first_start { Time::ZERO } else { window },
        }
    }

    /// Runs `work` on the estimate of the usual latency of a route.
    pub(crate) fn pace<T, F>(&self, route: &str, work: F) -> T
    where
        F: FnOnce(&mut Pace) -> T,
    {
        let mut paces = lock(&self.paces);
        match paces.get_mut(route) {
            Some(pace) => work(pace),
            None => work(paces.entry(route.to_owned()).or_default()),
        }
    }
}
