//! The control plane of one daemon: how it learns, adopts and passes on configurations.

mod due_work;
mod settings;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::backoff::Backoff;
use crate::catalog::CATALOG_KEY;
use crate::catalog::Catalog;
use crate::dissemination;
use crate::dissemination::Member;
use crate::dissemination::WATCHERS_PER_DOMAIN;
use crate::dissemination::Watch;
use crate::message::ASSIGNMENT_KEY;
use crate::message::Action;
use crate::message::CallId;
use crate::message::PullId;
use crate::message::PullRequest;
use crate::message::StoreRequest;
use crate::message::Update;
use crate::message::Versions;
use crate::parts::Part;
use crate::replica::OfferResult;
use crate::replica::Replica;
use tt_model::Digest;
use tt_model::Epoch;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

pub use settings::ControlSettings;

/// Why a daemon cannot serve callers yet.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum NotReady {
    /// It has just started and has had no answer yet.
    #[display("waiting for the first answer of the store or a peer")]
    Starting,
    /// Calls to the store or to peers have failed, and none has been answered.
    #[display("neither the store nor a peer answers")]
    NoContact,
    /// The store or a peer has answered, but there is no catalog.
    #[display("no document has been accepted yet")]
    NoDocument,
    /// Parts of the newest known catalog are missing.
    #[display("revision {revision} lacks {parts} part(s)")]
    MissingParts {
        /// The newest known catalog revision.
        revision: Revision,
        /// The number of missing parts.
        parts: usize,
    },
    /// The newest known catalog is complete but not valid.
    #[display("revision {revision} cannot be adopted: {message}")]
    Rejected {
        /// The newest known catalog revision.
        revision: Revision,
        /// Why it cannot be adopted.
        message: String,
    },
}

/// The error of a pull that the peer did not answer.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("the peer did not answer")]
pub struct PullFailed;

impl std::error::Error for PullFailed {}

/// The control plane of one daemon.
///
/// It learns of new catalogs and assignments from the store and from peers, fetches the parts of
/// documents, adopts complete revisions and pushes them to other daemons of its failure domain.
/// Each event handler returns the actions to carry out. After each, [`ControlPlane::tick`] must
/// be called at [`ControlPlane::wake_at`] unless another event comes first.
#[derive(Debug)]
pub struct ControlPlane {
    settings: ControlSettings,
    started: Instant,
    replica: Replica,
    assignment: Option<Assignment>,
    /// Live members including this one; empty until the membership has reported.
    members: Vec<Member>,
    /// Members of the daemon's own domain in the order of the push tree.
    push_order: Vec<SocketAddr>,
    /// The index of this daemon in `push_order`.
    push_position: Option<usize>,
    /// The member that runs the [`crate::Collector`].
    collector: Option<SocketAddr>,
    catalog_watch: Watch,
    assignment_watch: Watch,
    store_calls: BTreeMap<CallId, CallPurpose>,
    last_call: u64,
    last_pull: u64,
    pull_in_flight: Option<PullInFlight>,
    next_pull_at: Instant,
    pull_backoff: Backoff,
    /// Peers that have announced newer versions than this daemon has adopted.
    peers_ahead: BTreeMap<SocketAddr, Versions>,
    /// From when on parts of the pending catalog are read from the store; `None` if they are only
    /// pulled from peers.
    store_reads_from: Option<Instant>,
    next_read_at: Instant,
    read_backoff: Backoff,
    /// When the catalog may be read next while no peer is heard.
    isolated_poll_at: Instant,
    isolated_backoff: Backoff,
    /// When a daemon that does not watch the store reads the catalog next.
    slow_poll_at: Instant,
    slow_poll_count: u64,
    store_contact: Option<Instant>,
    peer_contact: Option<Instant>,
    learned_from: RevisionSource,
    /// The versions that the first watcher of the domain has announced.
    first_watcher: Versions,
    backup: Option<BackupPush>,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Assignment {
    epoch: Epoch,
    value: Vec<u8>,
}

#[derive(Debug)]
struct PullInFlight {
    id: PullId,
    to: SocketAddr,
    deadline: Instant,
}

/// From where the newest known revision was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RevisionSource {
    Store,
    Push,
    Pull,
}

/// A push by the second watcher, made unless the first one has announced the revision by then.
#[derive(Debug)]
struct BackupPush {
    at: Instant,
    base: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum CallPurpose {
    WatchCatalog,
    WatchAssignment,
    ReadCatalog,
    ReadPart(Digest),
}

impl ControlPlane {
    /// The control plane of a daemon that has just started and holds no configuration.
    pub fn new(settings: ControlSettings, now: Instant) -> ControlPlane {
        let seed = settings.seed;
        let backoff = |initial, max| Backoff::new(seed, initial, max);
        ControlPlane {
            started: now,
            replica: Replica::default(),
            assignment: None,
            members: Vec::new(),
            push_order: Vec::new(),
            push_position: None,
            collector: None,
            catalog_watch: Watch::new(CATALOG_KEY, seed),
            assignment_watch: Watch::new(ASSIGNMENT_KEY, seed),
            store_calls: BTreeMap::new(),
            last_call: 0,
            last_pull: 0,
            pull_in_flight: None,
            next_pull_at: now,
            pull_backoff: backoff(Duration::from_millis(100), Duration::from_secs(2)),
            peers_ahead: BTreeMap::new(),
            store_reads_from: None,
            next_read_at: now,
            read_backoff: backoff(Duration::from_millis(100), Duration::from_secs(5)),
            isolated_poll_at: now,
            isolated_backoff: backoff(Duration::from_secs(1), Duration::from_secs(30)),
            slow_poll_at: now + settings.poll_interval,
            slow_poll_count: 0,
            store_contact: None,
            peer_contact: None,
            learned_from: RevisionSource::Store,
            first_watcher: Versions::default(),
            backup: None,
            actions: Vec::new(),
            settings,
        }
    }

    /// The adopted catalog and documents.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The adopted versions, to be sent in heartbeats.
    pub fn versions(&self) -> Versions {
        Versions {
            catalog: self.replica.adopted().revision,
            epoch: self.assignment.as_ref().map_or(Epoch(0), |assignment| assignment.epoch),
        }
    }

    /// Why the daemon cannot serve callers yet; `None` if it can.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.replica.adopted().revision.0 > 0 {
            return None;
        }
        let revision = self.replica.newest_known();
        if let Some(message) = self.replica.rejection() {
            return Some(NotReady::Rejected { revision, message: message.to_owned() });
        }
        let parts = self.replica.missing_parts().count();
        Some(match (parts, self.last_contact()) {
            (1.., _) => NotReady::MissingParts { revision, parts },
            (0, Some(_)) => NotReady::NoDocument,
            (0, None) if self.any_call_failed() => NotReady::NoContact,
            (0, None) => NotReady::Starting,
        })
    }

    /// The time since the last answer of the store or message of a peer, or since the start.
    pub fn config_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_contact().unwrap_or(self.started))
    }

    /// Whether answers to callers must be marked as based on a stale configuration.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.config_age(now) >= self.settings.stale_after
    }

    /// Whether this daemon watches the store.
    pub fn is_watcher(&self) -> bool {
        self.push_position.is_some_and(|position| position < WATCHERS_PER_DOMAIN)
    }

    /// Whether this daemon runs the [`crate::Collector`].
    pub fn is_collector(&self) -> bool {
        self.collector == Some(self.settings.address)
    }

    /// Handles a new list of live members. This daemon counts as live even if it is not listed.
    pub fn on_members(&mut self, members: &[Member], now: Instant) -> Vec<Action> {
        let own = Member { address: self.settings.address, domain: self.settings.domain.clone() };
        let mut members = members.to_vec();
        members.retain(|member| member.address != own.address);
        members.push(own);
        members.sort();
        if members != self.members {
            let old_count = self.members.len();
            self.members = members;
            self.collector = dissemination::collector(&self.members);
            self.push_order = dissemination::push_order(&self.settings.domain, &self.members);
            let own = self.settings.address;
            self.push_position = self.push_order.iter().position(|address| *address == own);
            if old_count == 0 {
                self.slow_poll_at = now + self.slow_poll_delay();
            }
            if self.is_watcher() {
                self.catalog_watch.enable();
                self.assignment_watch.enable();
            } else {
                self.catalog_watch.disable();
                self.assignment_watch.disable();
                self.store_calls.retain(|_, purpose| {
                    !matches!(purpose, CallPurpose::WatchCatalog | CallPurpose::WatchAssignment)
                });
            }
        }
        self.run_due_work(now)
    }

    /// Handles the versions in a heartbeat or in its answer.
    pub fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        versions: Versions,
        now: Instant,
    ) -> Vec<Action> {
        self.record_versions(from, versions, now);
        self.run_due_work(now)
    }

    /// Handles an update pushed by a peer.
    pub fn on_push(&mut self, from: SocketAddr, update: &Update, now: Instant) -> Vec<Action> {
        self.record_versions(from, update.versions, now);
        self.apply_update(update, RevisionSource::Push);
        self.run_due_work(now)
    }

    /// Handles the answer to a pull.
    pub fn on_pulled(
        &mut self,
        id: PullId,
        answer: Result<&Update, PullFailed>,
        now: Instant,
    ) -> Vec<Action> {
        let Some(pull) = self.pull_in_flight.take_if(|pull| pull.id == id) else {
            // An answer after the timeout is applied too. Otherwise a peer that is slower than the
            // timeout would be asked for the same parts again and again.
            if let Ok(update) = answer {
                self.apply_update(update, RevisionSource::Pull);
            }
            return self.run_due_work(now);
        };
        match answer {
            Ok(update) => {
                self.record_versions(pull.to, update.versions, now);
                let before = (self.replica.newest_known(), self.replica.missing_parts().count());
                let epoch = self.versions().epoch;
                self.apply_update(update, RevisionSource::Pull);
                let after = (self.replica.newest_known(), self.replica.missing_parts().count());
                if before == after && epoch == self.versions().epoch {
                    self.peers_ahead.remove(&pull.to);
                    self.next_pull_at = now + self.pull_backoff.next_delay();
                } else {
                    self.pull_backoff.reset();
                }
            }
            Err(PullFailed) => self.fail_pull(pull.to, now),
        }
        self.run_due_work(now)
    }

    /// The answer to a pull from a peer.
    pub fn serve_pull(&self, request: &PullRequest) -> Update {
        let max_bytes = self.settings.max_answer_bytes;
        let mut update =
            self.replica.update_since(request.known.catalog, &request.parts, max_bytes);
        update.versions = self.versions();
        update.assignment = self
            .assignment
            .as_ref()
            .filter(|assignment| assignment.epoch > request.known.epoch)
            .map(|assignment| assignment.value.clone());
        update
    }

    /// Handles the reply to a store call.
    pub fn on_store_reply(&mut self, id: CallId, reply: StoreReply, now: Instant) -> Vec<Action> {
        let Some(purpose) = self.store_calls.remove(&id) else {
            return self.run_due_work(now);
        };
        if !matches!(reply, StoreReply::Unavailable | StoreReply::Lost) {
            self.store_contact = Some(now);
        }
        match purpose {
            CallPurpose::WatchCatalog => {
                if let Some(value) = self.catalog_watch.on_reply(reply, now) {
                    // The second watcher first waits for the parts to be pushed by the first one.
                    let delay = match self.push_position {
                        Some(0) => Duration::ZERO,
                        _ => self.settings.backup_delay,
                    };
                    self.apply_stored_catalog(&value, now + delay);
                }
            }
            CallPurpose::WatchAssignment => {
                if let Some(value) = self.assignment_watch.on_reply(reply, now) {
                    self.apply_assignment(&value);
                }
            }
            CallPurpose::ReadCatalog => {
                if let StoreReply::Value { value, .. } = reply {
                    self.apply_stored_catalog(&value, now);
                }
            }
            CallPurpose::ReadPart(digest) => self.apply_stored_part(&digest, &reply, now),
        }
        self.run_due_work(now)
    }

    /// Handles an assignment that this daemon itself has written to the store.
    pub fn on_assignment_written(&mut self, value: &[u8], now: Instant) -> Vec<Action> {
        self.apply_assignment(value);
        self.run_due_work(now)
    }

    /// Does the work that is due at [`ControlPlane::wake_at`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.run_due_work(now)
    }

    fn apply_update(&mut self, update: &Update, source: RevisionSource) {
        if self.replica.offer_update(update) == OfferResult::Pending {
            self.learned_from = source;
            // The peers have this revision, so the parts are pulled and not read from the store.
            self.store_reads_from = None;
        }
        if let Some(value) = &update.assignment {
            self.apply_assignment(value);
        }
    }

    fn apply_stored_catalog(&mut self, value: &[u8], store_reads_from: Instant) {
        match Catalog::decode(value) {
            Ok(catalog) => {
                let pending = catalog.revision == self.replica.newest_known();
                if self.replica.offer_catalog(catalog) == OfferResult::Pending {
                    self.learned_from = RevisionSource::Store;
                    self.store_reads_from = Some(store_reads_from);
                } else if pending && self.store_reads_from.is_none() {
                    self.store_reads_from = Some(store_reads_from);
                }
            }
            Err(error) => log::error!("config: {error}"),
        }
    }

    fn apply_stored_part(&mut self, digest: &Digest, reply: &StoreReply, now: Instant) {
        let part = match reply {
            StoreReply::Value { value, .. } => Part::verified(digest, value),
            _ => None,
        };
        match part {
            Some(part) => {
                self.read_backoff.reset();
                self.replica.add_parts(&[part]);
            }
            None => {
                if matches!(reply, StoreReply::Missing) {
                    // The part was removed, so there is a newer catalog that does not reference it.
                    self.slow_poll_at = self.slow_poll_at.min(now + Duration::from_secs(1));
                }
                self.next_read_at = now + self.read_backoff.next_delay();
            }
        }
    }

    fn apply_assignment(&mut self, value: &[u8]) {
        let Some(epoch) = (self.settings.read_epoch)(value) else {
            log::error!("config: the value at `{ASSIGNMENT_KEY}` has no epoch");
            return;
        };
        if epoch <= self.versions().epoch {
            return;
        }
        self.assignment = Some(Assignment { epoch, value: value.to_vec() });
        self.actions.push(Action::Assignment { epoch, value: value.to_vec() });
        let base = self.replica.adopted().revision;
        let mut update = self.replica.update_since(base, &[], 0);
        update.versions = self.versions();
        update.assignment = Some(value.to_vec());
        self.push_to_children(self.push_position, &update);
    }

    fn last_contact(&self) -> Option<Instant> {
        self.store_contact.max(self.peer_contact)
    }

    fn any_call_failed(&self) -> bool {
        self.isolated_backoff.failures() > 0 || self.pull_backoff.failures() > 0
    }

    fn record_versions(&mut self, peer: SocketAddr, versions: Versions, now: Instant) {
        self.peer_contact = Some(now);
        self.isolated_backoff.reset();
        if self.push_order.first() == Some(&peer) {
            self.first_watcher = versions;
        }
        let own = self.versions();
        if versions.catalog > own.catalog || versions.epoch > own.epoch {
            self.peers_ahead.insert(peer, versions);
            while self.peers_ahead.len() > self.settings.max_sources {
                self.peers_ahead.pop_first();
            }
        }
    }

    fn call_store(&mut self, purpose: CallPurpose, call: StoreCall) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.store_calls.insert(id, purpose);
        self.actions.push(Action::Store(StoreRequest { id, call }));
    }

    fn is_in_flight(&self, purpose: &CallPurpose) -> bool {
        self.store_calls.values().any(|other| other == purpose)
    }

    fn parts_in_flight(&self) -> BTreeSet<Digest> {
        self.store_calls
            .values()
            .filter_map(|purpose| match purpose {
                CallPurpose::ReadPart(digest) => Some(digest.clone()),
                _ => None,
            })
            .collect()
    }
}
