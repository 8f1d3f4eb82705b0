//! The configuration of this daemon: executes the actions of the control plane.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::active_document::ActiveDocument;
use crate::node::ConfigAge;
use crate::node::ConfigAnswer;
use crate::node::ConfigMessage;
use crate::node::Node;
use crate::node::lock;
use tt_control::Action;
use tt_control::ControlPlane;
use tt_control::PullFailed;
use tt_control::PullRequest;
use tt_control::StoreRequest;
use tt_control::Update;
use tt_control::Versions;
use tt_control::catalog::StageKey;
use tt_membership::Assignment;
use tt_membership::DomainKey;
use tt_membership::SearcherKey;
use tt_membership::ownership::SearcherSpec;
use tt_model::Environment;
use tt_model::Revision;
use tt_model::Searcher;
use tt_rpc::Kind;

/// Timeout of a push. A peer that does not get it pulls later.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a pull; a little less than the control plane waits for the answer.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_900);

impl Node {
    /// Passes an event to the control plane and executes the resulting actions.
    pub(crate) fn with_control_plane<F>(self: &Arc<Self>, event: F)
    where
        F: FnOnce(&mut ControlPlane, Instant) -> Vec<Action>,
    {
        let actions = event(&mut self.control_plane(), Instant::now());
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Time since the configuration was last confirmed.
    pub(crate) fn config_age(&self) -> ConfigAge {
        let now = Instant::now();
        let plane = self.control_plane();
        ConfigAge { age: plane.config_age(now), stale: plane.is_stale(now) }
    }

    /// Runs the collector of unused document parts, if it is this daemon's task.
    pub(crate) fn tick_collector(self: &Arc<Self>) {
        let collects = self.control_plane().is_collector();
        let now = Instant::now();
        let call = {
            let mut collector = lock(&self.collector);
            if collects {
                collector.activate(now);
                collector.tick(now)
            } else {
                collector.deactivate();
                None
            }
        };
        if let Some(call) = call {
            tokio::spawn(self.clone().collect(call));
        }
    }

    /// Runs one sweep of the collector.
    async fn collect(self: Arc<Self>, first: StoreRequest) {
        let mut next = Some(first);
        while let Some(StoreRequest { id, call }) = next {
            let reply = self.platform.call(call).await;
            next = lock(&self.collector).on_reply(id, &reply, Instant::now());
        }
    }

    /// The versions of the catalog and the assignment that this daemon has adopted.
    pub(crate) fn versions(&self) -> Versions {
        self.control_plane().versions()
    }

    /// Answers a peer's configuration message.
    pub(crate) fn on_config(self: &Arc<Self>, message: ConfigMessage) -> ConfigAnswer {
        match message {
            ConfigMessage::Pull(request) => {
                ConfigAnswer::Update(self.control_plane().serve_pull(&request))
            }
            ConfigMessage::Push { from, update } => {
                self.with_control_plane(|plane, now| plane.on_push(from, &update, now));
                ConfigAnswer::Taken
            }
        }
    }

    /// Asks a peer for the versions that it has adopted, or for an update.
    pub(crate) async fn pull(&self, to: SocketAddr, request: PullRequest) -> Option<Update> {
        let message = ConfigMessage::Pull(request);
        match self.peers.exchange(to, Kind::Config, &message, PULL_TIMEOUT).await {
            Ok(ConfigAnswer::Update(update)) => Some(update),
            Ok(ConfigAnswer::Taken) | Err(_) => None,
        }
    }

    fn carry_out(self: &Arc<Self>, action: Action) {
        let node = self.clone();
        match action {
            Action::Store(request) => {
                tokio::spawn(async move {
                    let reply = node.platform.call(request.call).await;
                    node.with_control_plane(|plane, now| {
                        plane.on_store_reply(request.id, reply, now)
                    });
                });
            }
            Action::Pull { id, to, request } => {
                tokio::spawn(async move {
                    let update = node.pull(to, request).await;
                    let answer = update.as_ref().ok_or(PullFailed);
                    node.with_control_plane(|plane, now| plane.on_pulled(id, answer, now));
                });
            }
            Action::Push { to, update } => {
                tokio::spawn(async move {
                    let from = node.me.id.address;
                    let message = ConfigMessage::Push { from, update };
                    // A peer that did not get the push pulls after the next heartbeat.
                    let _: Result<ConfigAnswer, _> =
                        node.peers.exchange(to, Kind::Config, &message, PUSH_TIMEOUT).await;
                });
            }
            Action::Adopted { revision } => self.adopt_documents(revision),
            Action::Assignment { epoch, value } => match Assignment::decode(&value) {
                Some(assignment) => self.adopt_assignment(&assignment),
                None => log::error!("member: The assignment of epoch {epoch} cannot be decoded."),
            },
        }
    }

    /// Puts the documents of the adopted catalog into force.
    fn adopt_documents(self: &Arc<Self>, revision: Revision) {
        let documents: Vec<(StageKey, Revision, Arc<Environment>)> = {
            let plane = self.control_plane();
            let replica = plane.replica();
            replica
                .documents()
                .iter()
                .map(|(key, document)| {
                    let record = replica.adopted().get(&key.environment, key.stage);
                    let revision = record.map_or(Revision(0), |record| record.revision());
                    (key.clone(), revision, document.clone())
                })
                .collect()
        };
        let mut active =
            self.active_documents.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut next = BTreeMap::new();
        for (key, revision, environment) in documents {
            let document = match active.get(&key) {
                Some(current) if current.revision >= revision => current.clone(),
                Some(current) => Arc::new(current.successor(revision, environment)),
                None => Arc::new(ActiveDocument::new(
                    key.stage,
                    revision,
                    environment,
                    self.settings.policy,
                )),
            };
            next.insert(key, document);
        }
        *active = next;
        drop(active);
        log::info!("config: Revision {revision} is in force.");
        self.update_admission_members();
        self.update_searchers();
    }

    /// Collects the searchers of all documents in force. If several documents name a searcher, the
    /// limits of the production document apply.
    fn update_searchers(self: &Arc<Self>) {
        let documents = self.active_documents();
        let mut searchers: HashMap<SocketAddr, (&Searcher, &Environment)> = HashMap::new();
        // Production comes after trial in the order of stages, so it overwrites trial.
        let mut ordered: Vec<&Arc<ActiveDocument>> = documents.iter().collect();
        ordered.sort_by_key(|document| document.stage);
        for document in ordered {
            for searcher in document.environment.searchers.values() {
                searchers.insert(searcher.address, (searcher, &document.environment));
            }
        }
        let specs: Vec<SearcherSpec> = searchers
            .values()
            .map(|(searcher, environment)| SearcherSpec {
                key: SearcherKey::of(searcher.address),
                domain: DomainKey::of(&environment.domains[searcher.domain].name),
                slots: searcher.slots,
                connections: searcher.connections,
            })
            .collect();
        let policy = self.settings.policy;
        self.workers.update(searchers.values().map(|(searcher, _)| *searcher), policy);
        self.change_halves(|halves, now| halves.set_searchers(&specs, now));
        self.update_owners();
    }

    /// Puts a newer assignment into force.
    pub(crate) fn adopt_assignment(self: &Arc<Self>, assignment: &Assignment) {
        if !lock(&self.assignments).adopt(assignment.clone()) {
            return;
        }
        let now = Instant::now();
        self.members().on_assignment(assignment, now);
        self.change_halves(|halves, now| halves.set_assignment(assignment, now));
        self.update_owners();
        // Requests releases at once, because sub-queries wait for them.
        self.tick_halves();
        self.claims.assign(self);
    }
}
