//! The control state of one daemon: its replica, its watches and its pulls.

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
use crate::dissemination::WATCHERS;
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
use crate::replica::Offer;
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
    /// It has just started.
    #[display("waiting for the first answer of the store or a peer")]
    Starting,
    /// Nobody answered.
    #[display("neither the store nor a peer answers")]
    NoContact,
    /// The store or the peers answered, but there is no catalog.
    #[display("no document has been accepted yet")]
    NoDocument,
    /// The catalog is known but not all its parts.
    #[display("revision {revision} lacks {parts} part(s)")]
    MissingParts {
        /// The catalog revision.
        revision: Revision,
        /// Parts that are missing.
        parts: usize,
    },
    /// The catalog cannot be adopted.
    #[display("revision {revision} cannot be adopted: {message}")]
    Rejected {
        /// The catalog revision.
        revision: Revision,
        /// What is wrong with it.
        message: String,
    },
}

/// A peer did not answer a pull.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display("the peer did not answer")]
pub struct PullFailed;

impl std::error::Error for PullFailed {}

/// The control state of one daemon.
///
/// Each event returns the actions that follow from it. After each, [`ControlPlane::tick`] has
/// to be called at [`ControlPlane::wake_at`], unless another event comes first.
#[derive(Debug)]
pub struct ControlPlane {
    settings: ControlSettings,
    started: Instant,
    replica: Replica,
    assignment: Option<Assignment>,
    /// Live members, this one included; empty until the membership reports.
    members: Vec<Member>,
    /// Members of the own domain in the order of the push tree.
    order: Vec<SocketAddr>,
    position: Option<usize>,
    /// The member that removes unreferenced parts.
    collector: Option<SocketAddr>,
    catalog_watch: Watch,
    assignment_watch: Watch,
    calls: BTreeMap<CallId, Purpose>,
    last_call: u64,
    last_pull: u64,
    pull: Option<PullInFlight>,
    pull_at: Instant,
    pull_backoff: Backoff,
    /// Peers that have announced more than this daemon has adopted.
    ahead: BTreeMap<SocketAddr, Versions>,
    /// When parts of the pending catalog may be read from the store.
    store_from: Option<Instant>,
    get_at: Instant,
    get_backoff: Backoff,
    isolated_poll_at: Instant,
    isolated_backoff: Backoff,
    slow_poll_at: Instant,
    slow_polls: u64,
    store_contact: Option<Instant>,
    peer_contact: Option<Instant>,
    via: Via,
    primary: Versions,
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

/// How the newest known revision was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Via {
    Store,
    Push,
    Pull,
}

/// The second watcher pushes in place of the first if that one is silent.
#[derive(Debug)]
struct BackupPush {
    at: Instant,
    base: Revision,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    WatchCatalog,
    WatchAssignment,
    ReadCatalog,
    ReadPart(Digest),
}

impl ControlPlane {
    /// The state of a daemon that has just started and holds nothing.
    pub fn new(settings: ControlSettings, now: Instant) -> ControlPlane {
        let seed = settings.seed;
        let backoff = |first, last| Backoff::new(seed, first, last);
        ControlPlane {
            started: now,
            replica: Replica::default(),
            assignment: None,
            members: Vec::new(),
            order: Vec::new(),
            position: None,
            collector: None,
            catalog_watch: Watch::new(CATALOG_KEY, seed),
            assignment_watch: Watch::new(ASSIGNMENT_KEY, seed),
            calls: BTreeMap::new(),
            last_call: 0,
            last_pull: 0,
            pull: None,
            pull_at: now,
            pull_backoff: backoff(Duration::from_millis(100), Duration::from_secs(2)),
            ahead: BTreeMap::new(),
            store_from: None,
            get_at: now,
            get_backoff: backoff(Duration::from_millis(100), Duration::from_secs(5)),
            isolated_poll_at: now,
            isolated_backoff: backoff(Duration::from_secs(1), Duration::from_secs(30)),
            slow_poll_at: now + settings.poll_interval,
            slow_polls: 0,
            store_contact: None,
            peer_contact: None,
            via: Via::Store,
            primary: Versions::default(),
            backup: None,
            actions: Vec::new(),
            settings,
        }
    }

    /// The adopted catalog and documents.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// What to put into heartbeats.
    pub fn versions(&self) -> Versions {
        Versions {
            catalog: self.replica.adopted().revision,
            epoch: self.assignment.as_ref().map_or(Epoch(0), |assignment| assignment.epoch),
        }
    }

    /// Why the daemon is not ready; `None` if it is.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.replica.adopted().revision.0 > 0 {
            return None;
        }
        let revision = self.replica.known();
        if let Some(message) = self.replica.rejected() {
            return Some(NotReady::Rejected { revision, message: message.to_owned() });
        }
        let parts = self.replica.missing().count();
        Some(match (parts, self.contact()) {
            (1.., _) => NotReady::MissingParts { revision, parts },
            (0, Some(_)) => NotReady::NoDocument,
            (0, None) if self.calls_failed() => NotReady::NoContact,
            (0, None) => NotReady::Starting,
        })
    }

    /// Time since the store or a peer was last heard.
    pub fn config_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.contact().unwrap_or(self.started))
    }

    /// Whether answers have to carry the stale mark.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.config_age(now) >= self.settings.stale_after
    }

    /// Whether this daemon watches the store.
    pub fn is_watcher(&self) -> bool {
        self.position.is_some_and(|position| position < WATCHERS)
    }

    /// Whether this daemon is the one that removes unreferenced parts.
    pub fn is_collector(&self) -> bool {
        self.collector == Some(self.settings.address)
    }

    /// Takes the live members. The own daemon is included whether listed or not.
    pub fn on_members(&mut self, members: &[Member], now: Instant) -> Vec<Action> {
        let own = Member { address: self.settings.address, domain: self.settings.domain.clone() };
        let mut members = members.to_vec();
        members.retain(|member| member.address != own.address);
        members.push(own);
        members.sort();
        if members != self.members {
            let had = self.members.len();
            self.members = members;
            self.collector = dissemination::collector(&self.members);
            self.order = dissemination::domain_order(&self.settings.domain, &self.members);
            let own = self.settings.address;
            self.position = self.order.iter().position(|address| *address == own);
            if had == 0 {
                self.slow_poll_at = now + self.slow_poll_delay();
            }
            if self.is_watcher() {
                self.catalog_watch.turn_on();
                self.assignment_watch.turn_on();
            } else {
                self.catalog_watch.turn_off();
                self.assignment_watch.turn_off();
                self.calls.retain(|_, purpose| {
                    !matches!(purpose, Purpose::WatchCatalog | Purpose::WatchAssignment)
                });
            }
        }
        self.proceed(now)
    }

    /// Takes the versions in a heartbeat, or in the answer to one.
    pub fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        versions: Versions,
        now: Instant,
    ) -> Vec<Action> {
        self.note_peer(from, versions, now);
        self.proceed(now)
    }

    /// Takes a pushed update.
    pub fn on_push(&mut self, from: SocketAddr, update: &Update, now: Instant) -> Vec<Action> {
        self.note_peer(from, update.versions, now);
        self.take_update(update, Via::Push);
        self.proceed(now)
    }

    /// Takes the answer to a pull.
    pub fn on_pulled(
        &mut self,
        id: PullId,
        answer: Result<&Update, PullFailed>,
        now: Instant,
    ) -> Vec<Action> {
        let Some(pull) = self.pull.take_if(|pull| pull.id == id) else {
            // An answer after the timeout is as good as one before it. Without this, a peer that
            // is slower than the timeout would be asked for the same parts for ever.
            if let Ok(update) = answer {
                self.take_update(update, Via::Pull);
            }
            return self.proceed(now);
        };
        match answer {
            Ok(update) => {
                self.note_peer(pull.to, update.versions, now);
                let before = (self.replica.known(), self.replica.missing().count());
                let epoch = self.versions().epoch;
                self.take_update(update, Via::Pull);
                let after = (self.replica.known(), self.replica.missing().count());
                if before == after && epoch == self.versions().epoch {
                    self.ahead.remove(&pull.to);
                    self.pull_at = now + self.pull_backoff.fail();
                } else {
                    self.pull_backoff.reset();
                }
            }
            Err(PullFailed) => self.fail_pull(pull.to, now),
        }
        self.proceed(now)
    }

    /// Answers a peer's pull.
    pub fn serve_pull(&self, request: &PullRequest) -> Update {
        let limit = self.settings.answer_bytes;
        let mut update = self.replica.update_since(request.known.catalog, &request.parts, limit);
        update.versions = self.versions();
        update.assignment = self
            .assignment
            .as_ref()
            .filter(|assignment| assignment.epoch > request.known.epoch)
            .map(|assignment| assignment.value.clone());
        update
    }

    /// Takes the outcome of a store call.
    pub fn on_store_reply(&mut self, id: CallId, reply: StoreReply, now: Instant) -> Vec<Action> {
        let Some(purpose) = self.calls.remove(&id) else {
            return self.proceed(now);
        };
        if !matches!(reply, StoreReply::Unavailable | StoreReply::Lost) {
            self.store_contact = Some(now);
        }
        match purpose {
            Purpose::WatchCatalog => {
                if let Some(value) = self.catalog_watch.on_reply(reply, now) {
                    let wait = match self.position {
                        Some(0) => Duration::ZERO,
                        _ => self.settings.backup_delay,
                    };
                    self.take_stored_catalog(&value, now + wait);
                }
            }
            Purpose::WatchAssignment => {
                if let Some(value) = self.assignment_watch.on_reply(reply, now) {
                    self.take_assignment(&value);
                }
            }
            Purpose::ReadCatalog => {
                if let StoreReply::Value { value, .. } = reply {
                    self.take_stored_catalog(&value, now);
                }
            }
            Purpose::ReadPart(digest) => self.take_stored_part(&digest, &reply, now),
        }
        self.proceed(now)
    }

    /// Takes the assignment that this daemon itself has written.
    pub fn on_assignment_written(&mut self, value: &[u8], now: Instant) -> Vec<Action> {
        self.take_assignment(value);
        self.proceed(now)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.proceed(now)
    }

    fn take_update(&mut self, update: &Update, via: Via) {
        if self.replica.offer_update(update) == Offer::Taken {
            self.via = via;
            // From now on the peers have it; the store is left to the watchers.
            self.store_from = None;
        }
        if let Some(value) = &update.assignment {
            self.take_assignment(value);
        }
    }

    fn take_stored_catalog(&mut self, value: &[u8], store_from: Instant) {
        match Catalog::decode(value) {
            Ok(catalog) => {
                let pending = catalog.revision == self.replica.known();
                if self.replica.offer_catalog(catalog) == Offer::Taken {
                    self.via = Via::Store;
                    self.store_from = Some(store_from);
                } else if pending && self.store_from.is_none() {
                    self.store_from = Some(store_from);
                }
            }
            Err(error) => log::error!("config: {error}"),
        }
    }

    fn take_stored_part(&mut self, digest: &Digest, reply: &StoreReply, now: Instant) {
        let part = match reply {
            StoreReply::Value { value, .. } => Part::verified(digest, value),
            _ => None,
        };
        match part {
            Some(part) => {
                self.get_backoff.reset();
                self.replica.add_parts(&[part]);
            }
            None => {
                if matches!(reply, StoreReply::Missing) {
                    // The part was removed, so a newer catalog no longer references it.
                    self.slow_poll_at = self.slow_poll_at.min(now + Duration::from_secs(1));
                }
                self.get_at = now + self.get_backoff.fail();
            }
        }
    }

    fn take_assignment(&mut self, value: &[u8]) {
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
        self.push_to_children(self.position, &update);
    }

    fn contact(&self) -> Option<Instant> {
        self.store_contact.max(self.peer_contact)
    }

    fn calls_failed(&self) -> bool {
        self.isolated_backoff.failures() > 0 || self.pull_backoff.failures() > 0
    }

    fn note_peer(&mut self, peer: SocketAddr, versions: Versions, now: Instant) {
        self.peer_contact = Some(now);
        self.isolated_backoff.reset();
        if self.order.first() == Some(&peer) {
            self.primary = versions;
        }
        let own = self.versions();
        if versions.catalog > own.catalog || versions.epoch > own.epoch {
            self.ahead.insert(peer, versions);
            while self.ahead.len() > self.settings.sources {
                self.ahead.pop_first();
            }
        }
    }

    fn store_request(&mut self, purpose: Purpose, call: StoreCall) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.calls.insert(id, purpose);
        self.actions.push(Action::Store(StoreRequest { id, call }));
    }

    fn outstanding(&self, purpose: &Purpose) -> bool {
        self.calls.values().any(|other| other == purpose)
    }

    fn parts_in_flight(&self) -> BTreeSet<Digest> {
        self.calls
            .values()
            .filter_map(|purpose| match purpose {
                Purpose::ReadPart(digest) => Some(digest.clone()),
                _ => None,
            })
            .collect()
    }
}
