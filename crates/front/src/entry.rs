//! The state of an entry that all its tasks share.

mod estimates;
mod evacuation;
mod shares;

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::bounded::AnswerMemory;
use crate::caller_memory::Accounts;
use crate::clock::Clock;
use crate::connections::Connections;
use crate::metrics;
use crate::settings::FrontSettings;
use crate::sync::lock;
use crate::sync::read;
use crate::sync::write;
use tt_adapter::Boot;
use tt_serve::Allowances;
use tt_serve::CallerWait;
use tt_serve::CatchUp;
use tt_serve::Claim;
use tt_serve::Config;
use tt_serve::ConfigProof;
use tt_serve::ContentKey;
use tt_serve::CostEstimates;
use tt_serve::EarlierReads;
use tt_serve::Effect;
use tt_serve::EntryShare;
use tt_serve::Evacuations;
use tt_serve::Fleet;
use tt_serve::FleetSettings;
use tt_serve::KeyRing;
use tt_serve::LatencyEstimate;
use tt_serve::ListChange;
use tt_serve::ListingDelta;
use tt_serve::ListingHistory;
use tt_serve::MemberState;
use tt_serve::MemberStatus;
use tt_serve::Members;
use tt_serve::MemoryPlan;
use tt_serve::OutageDetector;
use tt_serve::PoolKey;
use tt_serve::Registry;
use tt_serve::RetryBudget;
use tt_serve::RouteTable;
use tt_serve::SearcherKey;
use tt_serve::SearcherRecord;
use tt_serve::ServedViews;
use tt_serve::StoreRevision;
use tt_serve::SuspectStatus;
use tt_serve::Suspects;
use tt_serve::Time;
use tt_serve::Trust;
use tt_serve::Vm;
use tt_serve::WakeGuard;
use tt_serve::turn_delay;

/// Interval between checks whether everything has been read after a pause.
const WAKE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Ratio of the time for which a leaving searcher accepts requests in which it may still get some.
/// The rest covers requests that wait for a connection.
const LEAVING_RATIO: f64 = 0.5;

/// The shared state of an entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) clock: Clock,
    pub(crate) settings: FrontSettings,
    /// The VM of this daemon.
    pub(crate) vm: Vm,
    pub(crate) fleet: Mutex<Fleet>,
    pub(crate) members: Mutex<Members>,
    pub(crate) searcher_connections: Connections<SearcherKey>,
    pub(crate) peer_connections: Connections<SocketAddr>,
    pub(crate) answer_memory: AnswerMemory,
    /// What callers hold at each interface.
    pub(crate) accounts: Accounts,
    boot: RwLock<Boot>,
    /// `None` until the first configuration is known.
    active_config: RwLock<Option<Arc<ActiveConfig>>>,
    listing_state: Mutex<ListingState>,
    retry_budgets: Mutex<HashMap<PoolKey, RetryBudget>>,
    /// By the name of the route.
    latency_estimates: Mutex<HashMap<String, LatencyEstimate>>,
    /// Work of requests, as far as it can be told before they run.
    cost_estimates: Mutex<CostEstimates>,
    /// By the name of the route.
    caller_waits: Mutex<HashMap<String, CallerWait>>,
    draining: AtomicBool,
    /// Until when all requests must be answered, once the daemon stops.
    answers_due: watch::Sender<Option<Instant>>,
    wake_guard: Mutex<WakeGuard>,
    /// Notified when the process wakes from a pause.
    pub(crate) woken: Notify,
    /// Whether the store has been down, or only this daemon's calls have failed.
    pub(crate) outage: Mutex<OutageDetector>,
    /// Contents of requests under which searchers have ended.
    suspects: Mutex<Suspects>,
    /// Notified when other daemons must be told of such a content.
    pub(crate) suspects_changed: Notify,
    evacuations: Mutex<Evacuations>,
    /// Whether nothing is served before the evacuated failure domains are known. Set at the start:
    /// a daemon that serves already goes on while it reads them for the first time.
    requires_evacuations: bool,
    /// Allowances of organisations over all daemons.
    pub(crate) allowances: Mutex<Allowances>,
    /// Whether other daemons have a later configuration.
    pub(crate) catch_up: Mutex<CatchUp>,
    /// Views that are being sent to other daemons.
    pub(crate) served_views: Mutex<ServedViews>,
    /// When this daemon last heard from the store about the configuration.
    config_read_at: Mutex<Option<Time>>,
    /// The last part of the limits of the tier that was logged.
    logged_share: Mutex<Option<EntryShare>>,
    /// Up to when the configuration in force is known to be the newest one.
    pub(crate) config_proof: Mutex<ConfigProof>,
    /// Changes with each renewal of that proof.
    pub(crate) proof_renewed: watch::Sender<()>,
    /// Notified when a request needs a new proof from the store.
    pub(crate) confirmation_asked: Notify,
    /// Whether keys were served when this was last looked at, for the log.
    pub(crate) keys_were_expired: Mutex<bool>,
}

/// The configuration in force.
pub(crate) struct ActiveConfig {
    pub(crate) table: RouteTable,
    /// The configuration as encoded in the store, for peers that fetch it.
    pub(crate) bytes: Bytes,
}

impl fmt::Debug for ActiveConfig {
    /// Leaves out the encoded form: it holds API keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ActiveConfig").field("table", &self.table).finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct ListingState {
    registry: Registry,
    history: ListingHistory,
    /// When the newest listing was read from the store, by this daemon or a peer.
    read_at: Option<Time>,
    /// Revision of the store at that time.
    revision: StoreRevision,
    /// When this daemon itself last read the listing from the store.
    own_read_at: Option<Time>,
}

impl Entry {
    pub(crate) fn new(boot: Boot, settings: FrontSettings) -> Entry {
        let vm = Vm {
            name: boot.vm.clone(),
            front: boot.front,
            peer: boot.peer,
            domain: boot.domain.clone(),
        };
        let members = Members::new(settings.members, vm.clone());
        let fleet_settings = FleetSettings {
            leaving_period: boot
                .bounds
                .drain
                .map_or(settings.fleet.leaving_period, |drain| drain.mul_f64(LEAVING_RATIO)),
            ..settings.fleet
        };
        let mut fleet = Fleet::new(fleet_settings, boot.domain.clone());
        fleet.set_tier(members.tier(Time::ZERO), Time::ZERO);
        let requires_evacuations = boot.bounds.evacuation.is_some();
        let clock = Clock::start();
        let resources = boot.resources;
        let memory_plan =
            MemoryPlan::new(&settings.caller_memory, resources.memory_bytes, resources.descriptors);
        let answer_bytes = settings.answer_memory_bytes.min(memory_plan.answer_bytes);
        let allowances = Allowances::new(rand::random(), boot.first_start);
        Entry {
            clock,
            settings,
            fleet: Mutex::new(fleet),
            members: Mutex::new(members),
            searcher_connections: Connections::default(),
            peer_connections: Connections::default(),
            answer_memory: AnswerMemory::new(answer_bytes),
            accounts: Accounts::new(settings.caller_memory, &memory_plan, clock),
            vm,
            boot: RwLock::new(boot),
            active_config: RwLock::new(None),
            listing_state: Mutex::new(ListingState {
                registry: Registry::new(settings.registry),
                history: ListingHistory::default(),
                read_at: None,
                revision: StoreRevision::default(),
                own_read_at: None,
            }),
            retry_budgets: Mutex::new(HashMap::new()),
            latency_estimates: Mutex::new(HashMap::new()),
            cost_estimates: Mutex::new(CostEstimates::new(settings.cost)),
            caller_waits: Mutex::new(HashMap::new()),
            draining: AtomicBool::new(false),
            answers_due: watch::Sender::new(None),
            wake_guard: Mutex::new(WakeGuard::default()),
            woken: Notify::new(),
            outage: Mutex::new(OutageDetector::default()),
            suspects: Mutex::new(Suspects::new(settings.suspects)),
            suspects_changed: Notify::new(),
            evacuations: Mutex::new(Evacuations::default()),
            requires_evacuations,
            allowances: Mutex::new(allowances),
            catch_up: Mutex::new(CatchUp::new(settings.catch_up)),
            served_views: Mutex::new(ServedViews::new(settings.served_views)),
            config_read_at: Mutex::new(None),
            logged_share: Mutex::new(None),
            config_proof: Mutex::new(ConfigProof::new(
                settings.config_proof,
                rand::random(),
                clock.boot_time(),
            )),
            proof_renewed: watch::Sender::new(()),
            confirmation_asked: Notify::new(),
            keys_were_expired: Mutex::new(false),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn boot(&self) -> Boot {
        read(&self.boot).clone()
    }

    pub(crate) fn set_boot(&self, boot: Boot) {
        let evacuates = boot.bounds.evacuation.is_some();
        *write(&self.boot) = boot;
        if !evacuates && self.evacuation_revision().is_known() {
            // Nothing would tell of the end of an evacuation any more.
            let mut evacuations = lock(&self.evacuations);
            *evacuations = Evacuations::default();
            lock(&self.fleet).set_evacuated(&evacuations.domains(), self.now());
            log::info!("evacuation: state=off");
        }
    }

    /// Time after which no request with a withdrawn API key may run; `None` if that is not bounded.
    pub(crate) fn revocation_bound(&self) -> Option<Duration> {
        read(&self.boot).bounds.revocation
    }

    /// The configuration in force. `None` until it and the evacuated failure domains are known.
    pub(crate) fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        if self.requires_evacuations && self.evacuates() && !self.evacuation_revision().is_known() {
            return None;
        }
        read(&self.active_config).clone()
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.active_config().map_or(0, |config| config.table.version)
    }

    /// Puts a configuration in force, unless the current one has the same or a later version.
    /// Returns whether it did.
    pub(crate) fn adopt_config(&self, config: &Config, bytes: Bytes, source: &str) -> bool {
        let table = RouteTable::new(config, &mut lock(&self.fleet));
        let version = table.version;
        let mut active = write(&self.active_config);
        let before = active.as_ref().map_or(0, |config| config.table.version);
        if version <= before {
            return false;
        }
        // Estimates of removed routes are of no use any more.
        let is_configured = |name: &String| config.routes.iter().any(|route| route.name == *name);
        lock(&self.latency_estimates).retain(|name, _| is_configured(name));
        lock(&self.caller_waits).retain(|name, _| is_configured(name));
        let ignored_keys = table.keys.as_ref().map_or(0, KeyRing::ignored);
        lock(&self.fleet).set_cold_specs(&config.pools);
        let organisations = config.organisations.as_deref().unwrap_or_default();
        lock(&self.allowances).set_limits(organisations, self.now());
        let size = bytes.len();
        *active = Some(Arc::new(ActiveConfig { table, bytes }));
        drop(active);
        let behind_ms = lock(&self.catch_up).behind_for(self.now()).as_millis();
        log::info!(
            "config: version={version} before={before} source={source} in_force=true \
             bytes={size} behind_ms={behind_ms}"
        );
        if ignored_keys > 0 {
            log::warn!("config: version={version} ignored_keys={ignored_keys}");
        }
        true
    }

    /// Adopts a listing that was read from the store at `read_at`, unless its revision is earlier
    /// than that of the newest one. `source` is for the log. Returns whether it did.
    pub(crate) fn adopt_listing(
        &self,
        listing: Vec<SearcherRecord>,
        revision: StoreRevision,
        read_at: Time,
        source: &str,
    ) -> bool {
        self.observe_era(revision, source);
        self.observe_store_read(read_at);
        let mut state = lock(&self.listing_state);
        if revision < state.revision {
            return false;
        }
        let listed_until = state.read_at;
        state.revision = revision;
        state.history.push(listing);
        state.read_at = state.read_at.max(Some(read_at));
        self.update_registry(&mut state, listed_until, source);
        true
    }

    /// Records that the newest listing was still current at `revision`, which was read at
    /// `read_at`.
    pub(crate) fn confirm_listing(&self, revision: StoreRevision, read_at: Time) {
        self.observe_era(revision, "confirmed");
        self.observe_store_read(read_at);
        let mut state = lock(&self.listing_state);
        if (revision, Some(read_at)) <= (state.revision, state.read_at) {
            return;
        }
        state.revision = revision;
        state.read_at = state.read_at.max(Some(read_at));
        if state.registry.has_lapsed() {
            let listed_until = state.read_at;
            self.update_registry(&mut state, listed_until, "confirmed");
        }
    }

    /// Applies the newest listing. The one before was current until it was read at `listed_until`.
    fn update_registry(&self, state: &mut ListingState, listed_until: Option<Time>, source: &str) {
        let now = self.now();
        let listing = state.history.newest().to_vec();
        let reads = EarlierReads { listed_until, restored_at: lock(&self.outage).restored_at() };
        let mut fleet = lock(&self.fleet);
        let changes = state.registry.adopt(&mut fleet, listing, reads, now);
        for change in &changes {
            log::info!("fleet: {change} source={source}");
        }
        if !changes.is_empty() {
            self.searcher_connections.retain(|key| fleet.get(key).is_some());
        }
    }

    /// Returns the newest listing.
    pub(crate) fn listing(&self) -> Vec<SearcherRecord> {
        lock(&self.listing_state).history.newest().to_vec()
    }

    /// Returns the changes from the listing with `digest` to the newest one, or `None` if the
    /// former is not known any more.
    pub(crate) fn listing_delta(&self, digest: u64) -> Option<ListingDelta> {
        lock(&self.listing_state).history.delta_since(digest)
    }

    /// Records that a daemon of the tier has read the store, which shows that it is not down.
    fn observe_store_read(&self, read_at: Time) {
        // A pause must be noticed first: reads during it could not be heard of.
        self.observe_life();
        let gap = lock(&self.outage).observe(&self.settings.outage, read_at);
        if let Some(gap) = gap {
            log::info!("store: state=restored unread_ms={}", gap.as_millis());
        }
    }

    /// Records the point in the history of the store that an answer of `source` tells.
    pub(crate) fn observe_era(&self, revision: StoreRevision, source: &str) {
        let risen_from = lock(&self.outage).observe_era(revision.era, self.now());
        if let Some(before) = risen_from {
            log::warn!(
                "store: state=older_copy era={} era_before={before} revision={} known={} \
                 source={source}",
                revision.era,
                revision.number,
                self.status().revision
            );
        }
    }

    /// The latest known era of the store.
    pub(crate) fn store_era(&self) -> u64 {
        lock(&self.outage).era()
    }

    /// Records that this daemon itself has read the listing from the store.
    pub(crate) fn record_store_read(&self, read_at: Time) {
        lock(&self.listing_state).own_read_at = Some(read_at);
    }

    /// When this daemon itself last read the listing from the store.
    pub(crate) fn last_store_read(&self) -> Option<Time> {
        lock(&self.listing_state).own_read_at
    }

    /// Records that the store has told this daemon the newest configuration, in answer to a call
    /// that was made at `read_at`.
    pub(crate) fn record_config_read(&self, read_at: Time) {
        *lock(&self.config_read_at) = Some(read_at);
    }

    /// When this daemon last heard from the store about the configuration.
    pub(crate) fn last_config_read(&self) -> Option<Time> {
        *lock(&self.config_read_at)
    }

    /// Records that the process runs, and notices a pause that has just ended. To be called at short
    /// intervals.
    pub(crate) fn observe_life(&self) {
        let mut guard = lock(&self.wake_guard);
        if let Some(pause) = guard.observe(&self.settings.wake, self.clock.boot_time(), self.now())
        {
            log::warn!("daemon: state=woke paused_ms={}", pause.as_millis());
            lock(&self.outage).forget_reads();
            self.woken.notify_waiters();
        }
    }

    /// When the process woke from a pause, if not everything has been read since.
    pub(crate) fn woke_at(&self) -> Option<Time> {
        let (listing, config) = (self.last_store_read(), *lock(&self.config_read_at));
        let mut guard = lock(&self.wake_guard);
        guard.holds(&self.settings.wake, listing, config, self.now()).then(|| guard.woke_at())?
    }

    /// Waits until what is known of searchers and routes has been read after a pause.
    pub(crate) async fn wait_until_current(&self) {
        self.observe_life();
        while self.woke_at().is_some() {
            sleep(WAKE_POLL_INTERVAL).await;
        }
    }

    /// Whether the whole tier starts for the first time.
    pub(crate) fn is_first_start(&self) -> bool {
        read(&self.boot).first_start
    }

    /// When the newest listing was read from the store.
    pub(crate) fn listing_read_at(&self) -> Option<Time> {
        lock(&self.listing_state).read_at
    }

    /// Returns the status of this daemon that heartbeats carry.
    pub(crate) fn status(&self) -> MemberStatus {
        let state = match (self.is_draining(), self.is_open()) {
            (true, _) => MemberState::Stopping,
            (false, true) => MemberState::Open,
            (false, false) => MemberState::Starting,
        };
        let keys_expired = self.keys_expired();
        let listing_state = lock(&self.listing_state);
        let ListingState { revision, read_at: listing_read_at, .. } = *listing_state;
        let digest = listing_state.history.digest();
        let config = self.active_config();
        let (version, shards) =
            config.map_or((0, 0), |config| (config.table.version, config.table.shards_digest));
        MemberStatus {
            state,
            version,
            shards,
            digest,
            revision,
            listing_read_at,
            keys_expired,
            evacuation_revision: self.evacuation_revision(),
            millicores: read(&self.boot).resources.millicores,
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts to drain. All requests must be answered until `answers_due`.
    pub(crate) fn start_drain(&self, answers_due: Instant) {
        self.draining.store(true, Ordering::Relaxed);
        self.answers_due.send_replace(Some(answers_due));
    }

    /// Time in which a request must be answered because the daemon stops.
    pub(crate) fn time_to_stop(&self) -> Option<Duration> {
        let due = *self.answers_due.borrow();
        due.map(|due| due.saturating_duration_since(Instant::now()))
    }

    /// Completes when all requests must be answered because the daemon stops.
    pub(crate) async fn answers_due(&self) {
        let mut due = self.answers_due.subscribe();
        // Can't fail: the entry holds the sender.
        if let Ok(due) = due.wait_for(Option::is_some).await.map(|due| *due)
            && let Some(due) = due
        {
            sleep_until(due).await;
        }
    }

    /// Whether the directory may send callers to this daemon.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_draining() && self.active_config().is_some() && self.listing_read_at().is_some()
    }

    /// Updates the known daemons from the list in the store.
    pub(crate) fn update_member_list(&self, listed: Vec<Vm>) {
        let now = self.now();
        let mut members = lock(&self.members);
        let ListChange { added, removed } = members.update_from_store(listed, now);
        let daemons = members.tier_size(now).daemons;
        drop(members);
        for name in added {
            log::info!("member: vm={name} state=stored sharers={daemons}");
        }
        for name in removed {
            log::info!("member: vm={name} state=forgotten sharers={daemons}");
        }
    }

    /// Applies the status that a peer reported at the time `heard_at`.
    pub(crate) fn update_member_status(&self, vm: Vm, status: MemberStatus, heard_at: Time) {
        let now = self.now();
        if vm.name == self.vm.name {
            return;
        }
        self.observe_era(status.revision, "peer");
        if let Some(read_at) = status.listing_read_at {
            self.observe_store_read(read_at);
        }
        let name = vm.name.clone();
        let mut members = lock(&self.members);
        if members.update_status(vm, status, heard_at) {
            log::info!("member: vm={name} state=heard sharers={}", members.tier_size(now).daemons);
        }
    }

    /// How much of a request with this content may be sent at once.
    ///
    /// # Errors
    ///
    /// Fails with the time for which it is refused, since it ends the searchers that run it.
    pub(crate) fn trust(&self, content: ContentKey) -> Result<Trust, Duration> {
        lock(&self.suspects).trust(content, self.now())
    }

    /// Claims a content under suspicion for the request `id`, which is about to be sent.
    ///
    /// # Errors
    ///
    /// Fails with the time for which it is refused, since another one is tried.
    pub(crate) fn claim_trial(&self, id: &str, content: ContentKey) -> Result<(), Duration> {
        let now = self.now();
        let delay = {
            let members = lock(&self.members);
            let others = members.open_members(now).map(|it| it.vm.name.as_str());
            turn_delay(&self.settings.suspects, content, &self.vm.name, others)
        };
        if lock(&self.suspects).claim_trial(content, delay, now)? == Claim::Made {
            log::info!("suspect: id={id} content={:016x} trial=claimed", content.0);
            self.suspects_changed.notify_one();
        }
        Ok(())
    }

    /// Records what the request `id` with this content has done to `ended` searchers.
    pub(crate) fn record_effect(&self, id: &str, content: ContentKey, effect: Effect, ended: u32) {
        if !lock(&self.suspects).record(content, effect, ended, self.now()) {
            return;
        }
        metrics::count_suspect(effect);
        log::warn!(
            "suspect: id={id} content={:016x} effect={effect:?} ended={ended} version={}",
            content.0,
            self.config_version()
        );
        self.suspects_changed.notify_one();
    }

    /// Applies what another daemon tells of a content.
    pub(crate) fn learn_suspect(&self, told: SuspectStatus) {
        if lock(&self.suspects).learn(told, self.now()) {
            let SuspectStatus { key, knowledge, .. } = told;
            log::info!("suspect: content={:016x} knowledge={knowledge:?} source=peer", key.0);
            self.suspects_changed.notify_one();
        }
    }

    /// The contents to tell other daemons of.
    pub(crate) fn told_suspects(&self) -> Vec<SuspectStatus> {
        lock(&self.suspects).told(self.now())
    }

    /// The contents to tell a daemon of that has just started.
    pub(crate) fn suspects_for_joining(&self) -> Vec<SuspectStatus> {
        lock(&self.suspects).told_to_joining(self.now())
    }

    /// All contents under which searchers have ended.
    pub(crate) fn suspects(&self) -> Vec<SuspectStatus> {
        lock(&self.suspects).status(self.now())
    }
}
