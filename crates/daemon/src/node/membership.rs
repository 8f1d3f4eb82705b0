//! Membership: heartbeats, the list of daemons in the store, and proposals of assignments.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use crate::node::HeartbeatMessage;
use crate::node::Node;
use crate::node::exchange::MemberMessage;
use crate::node::exchange::SearcherReport;
use crate::node::exchange::UsageRecord;
use crate::node::lock;
use tt_adapter::MemberRecord;
use tt_control::Member as ControlMember;
use tt_limits::MemberView;
use tt_limits::ServiceUsage;
use tt_limits::UsageReport;
use tt_membership::assignment::Step;
use tt_membership::halves::HalvesSettings;
use tt_membership::members::Action;
use tt_membership::members::Event;
use tt_membership::members::Intent;
use tt_membership::members::ListedDaemon;
use tt_membership::members::ListedState;
use tt_membership::members::MemberStatus;
use tt_membership::members::State;
use tt_model::Epoch;
use tt_model::SearcherId;
use tt_model::Snapshot;
use tt_model::VmId;
use tt_routing::StatusReport;
use tt_rpc::Kind;

/// Time between two measurements of usage; a little less than the heartbeat interval, so that
/// each round of heartbeats has a new one.
const USAGE_INTERVAL: Duration = Duration::from_millis(950);

/// The last measurement of usage.
#[derive(Debug, Default)]
pub(super) struct UsageReports {
    measured: Option<Instant>,
    services: Vec<UsageRecord>,
}

/// Timeout of a heartbeat and of the other membership calls; less than the heartbeat interval.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

impl Node {
    /// Sends the heartbeats that are due, and applies changes of the member table.
    pub(crate) fn tick_members(self: &Arc<Self>) {
        let now = Instant::now();
        let oldest_held = self.oldest_held_epoch();
        let versions = self.versions();
        let actions = {
            let mut members = self.members();
            members.set_report(versions.epoch, versions.catalog, oldest_held);
            members.tick(&mut rand::rng(), now)
        };
        for action in actions {
            let node = self.clone();
            match action {
                Action::Send(to, heartbeat) => {
                    let message = self.heartbeat_message(heartbeat);
                    tokio::spawn(async move { node.send_heartbeat(to, message).await });
                }
                Action::Pull(to) => {
                    tokio::spawn(async move { node.pull_table(to).await });
                }
            }
        }
        self.apply_events();
        self.propose(now);
        self.update_control_members();
    }

    /// Answers a heartbeat.
    pub(crate) fn on_heartbeat(self: &Arc<Self>, message: HeartbeatMessage) -> HeartbeatMessage {
        let now = Instant::now();
        let from = message.heartbeat.from.member.id.address;
        self.apply_piggyback(from, &message, now);
        let heartbeat = self.members().on_heartbeat(message.heartbeat, &mut rand::rng(), now);
        self.with_control_plane(|plane, now| plane.on_heartbeat(from, message.versions, now));
        self.heartbeat_message(heartbeat)
    }

    /// Records that a call to a member succeeded.
    pub(crate) fn on_contact(&self, peer: SocketAddr) {
        self.members().on_contact(peer, Instant::now());
    }

    /// Records that a call to a member failed.
    pub(crate) fn on_call_failed(&self, peer: SocketAddr) {
        self.members().on_call_failed(peer, Instant::now());
    }

    /// Reads the list of daemons in the store, if this daemon watches the store or knows no other
    /// daemon.
    pub(crate) async fn read_daemon_list(&self) {
        let alone = self.members().len() == 1;
        if !alone && !self.control_plane().is_watcher() {
            return;
        }
        let list = match self.platform.list_members().await {
            Ok(list) => list,
            Err(error) => {
                log::debug!("member: The list of daemons cannot be read from the store: {error}.");
                return;
            }
        };
        let listed = |record: &MemberRecord| ListedDaemon {
            address: record.peer,
            state: if record.leaving { ListedState::Leaving } else { ListedState::Live },
        };
        let list: Vec<ListedDaemon> = list.iter().map(listed).collect();
        self.members().on_list_read(&list, Instant::now());
    }

    /// The record of this daemon in the list of daemons.
    pub(crate) fn member_record(&self) -> MemberRecord {
        let peer = self.me.id.address;
        MemberRecord {
            vm: peer.to_string(),
            front: self.caller_address(),
            peer,
            domain: self.me.domain.clone(),
            leaving: false,
        }
    }

    /// Announces in heartbeats that this daemon is stopping or has stopped.
    pub(crate) fn announce(&self, intent: Intent) {
        let versions = self.versions();
        // Halves that are still held, because no new epoch came during the stop, are not reported
        // as released: another daemon may use them only after this process has certainly ended.
        let released = self.half_counts().held_halves == 0;
        let mut members = self.members();
        if intent == Intent::Stopped && released {
            members.set_report(versions.epoch, versions.catalog, Epoch(u64::MAX));
        }
        members.set_intent(intent);
    }

    /// The recent states of the searchers that this daemon uses.
    pub(crate) fn searcher_reports(&self) -> Vec<SearcherReport> {
        let workers = self.workers.all();
        workers
            .iter()
            .filter_map(|worker| {
                let status = worker.status()?;
                Some(SearcherReport {
                    address: worker.address,
                    leaving: status.leaving,
                    cold: status.cold,
                    held: status.held,
                })
            })
            .collect()
    }

    /// Passes the searcher states that this daemon and its peers know to the routers.
    pub(crate) async fn refresh_searchers(self: &Arc<Self>) {
        self.apply_searcher_reports(&self.searcher_reports());
        let peers: Vec<SocketAddr> = self.live_peers().collect();
        for peer in peers {
            let node = self.clone();
            tokio::spawn(async move {
                let request = MemberMessage::Searchers;
                let reports: Result<Vec<SearcherReport>, _> =
                    node.peers.exchange(peer, Kind::Heartbeat, &request, HEARTBEAT_TIMEOUT).await;
                if let Ok(reports) = reports {
                    node.apply_searcher_reports(&reports);
                }
            });
        }
    }

    /// Tells the admission of each document which entries share the contracts.
    pub(crate) fn update_admission_members(&self) {
        let view = self.member_view();
        let now = Instant::now();
        for document in self.active_documents() {
            document.admission().set_members(now, view.clone());
        }
    }

    /// Whether no other live daemon is known.
    pub(crate) fn is_alone(&self) -> bool {
        let me = self.me.id.address;
        let members = self.members();
        !members.iter().any(|view| view.state == State::Live && view.member.id.address != me)
    }

    fn live_peers(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let me = self.me.id.address;
        let peers: Vec<SocketAddr> = self
            .members()
            .iter()
            .filter(|view| matches!(view.state, State::Live | State::Leaving))
            .map(|view| view.member.id.address)
            .filter(|address| *address != me)
            .collect();
        peers.into_iter()
    }

    fn member_view(&self) -> MemberView {
        let members = self.members();
        let known = members.iter().filter(|view| view.state != State::Gone).count();
        if members.is_partitioned() {
            return MemberView::Uncertain(known as u32);
        }
        let me = members.me().id.address;
        let others = members
            .iter()
            .filter(|view| view.state != State::Gone && view.member.id.address != me)
            .map(|view| vm_id(view.member.id.address))
            .collect();
        MemberView::Certain(others)
    }

    fn heartbeat_message(&self, heartbeat: tt_membership::members::Heartbeat) -> HeartbeatMessage {
        let workers = self.workers.all();
        let leaving = workers
            .iter()
            .filter(|worker| worker.status().is_some_and(|status| status.leaving))
            .map(|worker| worker.address)
            .collect();
        HeartbeatMessage {
            heartbeat,
            callers: self.caller_address(),
            versions: self.versions(),
            leaving,
            usage: self.usage_reports(),
        }
    }

    /// Usage of the contracts. It is measured once for each round of heartbeats, because its
    /// averages are taken over rounds; all messages of a round carry the same values.
    fn usage_reports(&self) -> Vec<UsageRecord> {
        let now = Instant::now();
        let mut report = lock(&self.usage);
        if report.measured.is_none_or(|at| now.saturating_duration_since(at) >= USAGE_INTERVAL) {
            report.measured = Some(now);
            report.services = self.measure_usage(now);
        }
        report.services.clone()
    }

    fn measure_usage(&self, now: Instant) -> Vec<UsageRecord> {
        let mut reports = Vec::new();
        for document in self.active_documents() {
            let report = document.usage(now);
            for used in report.services {
                reports.push(UsageRecord {
                    environment: document.environment.name.clone(),
                    stage: document.stage,
                    service: document.environment.services[used.service].name.clone(),
                    rate: used.rate,
                    in_flight: used.in_flight,
                });
            }
        }
        reports
    }

    async fn send_heartbeat(self: Arc<Self>, to: SocketAddr, message: HeartbeatMessage) {
        let request = MemberMessage::Beat(Box::new(message));
        let answer: Result<HeartbeatMessage, _> =
            self.peers.exchange(to, Kind::Heartbeat, &request, HEARTBEAT_TIMEOUT).await;
        let now = Instant::now();
        let Ok(answer) = answer else {
            self.on_call_failed(to);
            return;
        };
        let from = answer.heartbeat.from.member.id.address;
        self.apply_piggyback(from, &answer, now);
        let next = self.members().on_answer(answer.heartbeat, now);
        self.with_control_plane(|plane, now| plane.on_heartbeat(from, answer.versions, now));
        if let Some(Action::Pull(to)) = next {
            self.pull_table(to).await;
        }
    }

    async fn pull_table(&self, to: SocketAddr) {
        let table: Result<Vec<MemberStatus>, _> = self
            .peers
            .exchange(to, Kind::Heartbeat, &MemberMessage::Table, HEARTBEAT_TIMEOUT)
            .await;
        if let Ok(table) = table {
            self.members().on_table(table, Instant::now());
        }
    }

    /// Applies what is piggybacked on a heartbeat.
    fn apply_piggyback(&self, from: SocketAddr, message: &HeartbeatMessage, now: Instant) {
        lock(&self.caller_addresses).insert(from, message.callers);
        for address in &message.leaving {
            for document in self.active_documents() {
                for (id, _) in searchers_at(&document, *address) {
                    document.report_status(id, StatusReport::Leaving, &[]);
                }
            }
        }
        for document in self.active_documents() {
            let environment = &document.environment;
            let services = message
                .usage
                .iter()
                .filter(|used| used.environment == environment.name && used.stage == document.stage)
                .filter_map(|used| {
                    let service = environment.service(&used.service)?;
                    Some(ServiceUsage { service, rate: used.rate, in_flight: used.in_flight })
                })
                .collect();
            let report = UsageReport { services };
            document.admission().on_usage_report(vm_id(from), now, report);
        }
    }

    fn apply_searcher_reports(&self, reports: &[SearcherReport]) {
        let documents = self.active_documents();
        for report in reports {
            let status = match (report.leaving, report.cold) {
                (true, _) => StatusReport::Leaving,
                (false, true) => StatusReport::Cold,
                (false, false) => StatusReport::Ready,
            };
            let held: Vec<Snapshot> = report.held.iter().copied().map(Snapshot).collect();
            for document in &documents {
                for (id, _) in searchers_at(document, report.address) {
                    document.report_status(id, status, &held);
                }
            }
        }
    }

    fn apply_events(self: &Arc<Self>) {
        let events = self.members().take_events();
        if events.is_empty() {
            return;
        }
        for event in &events {
            match *event {
                Event::Joined(id) => log::info!("member: {id} has joined."),
                Event::Changed(id, state) => log::info!("member: {id} is {state:?} now."),
                Event::Ended(id) => self.change_halves(|halves, now| halves.member_ended(id, now)),
                Event::Stopped(id) => {
                    self.change_halves(|halves, now| halves.member_stopped(id, now));
                }
                Event::Superseded => {
                    log::error!(
                        "member: A later process has announced itself at this daemon's address."
                    );
                }
            }
        }
        self.update_admission_members();
    }

    /// Proposes an assignment if it is this daemon's turn.
    fn propose(self: &Arc<Self>, now: Instant) {
        let steps = {
            let mut assignments = lock(&self.assignments);
            let target = self.target(&assignments, now);
            assignments.tick(&target, now)
        };
        self.carry_out_steps(steps);
    }

    fn target(
        &self,
        assignments: &tt_membership::AssignmentProposer,
        now: Instant,
    ) -> tt_membership::assignment::Target {
        let hold_off = HalvesSettings::default().hold_off();
        self.members().target(assignments.current(), hold_off, now)
    }

    fn carry_out_steps(self: &Arc<Self>, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Call(id, call) => {
                    let node = self.clone();
                    tokio::spawn(async move {
                        let reply = node.platform.call(call).await;
                        let now = Instant::now();
                        let nonce = rand::rng().random();
                        let steps = {
                            let mut assignments = lock(&node.assignments);
                            let target = node.target(&assignments, now);
                            assignments.on_reply(id, reply, &target, nonce, now)
                        };
                        node.carry_out_steps(steps);
                    });
                }
                Step::Adopted(assignment) => {
                    self.members().on_assignment(&assignment, Instant::now());
                    self.change_halves(|halves, now| halves.set_assignment(&assignment, now));
                    self.update_owners();
                    self.tick_halves();
                    self.claims.assign(self);
                    // The control plane passes it on to the daemons that do not watch the store.
                    if let Ok(value) = serde_json::to_vec(&assignment) {
                        self.with_control_plane(|plane, now| {
                            plane.on_assignment_written(&value, now)
                        });
                    }
                }
            }
        }
    }

    fn update_control_members(self: &Arc<Self>) {
        let members: Vec<ControlMember> = self
            .members()
            .iter()
            .filter(|view| matches!(view.state, State::Live | State::Leaving))
            .map(|view| ControlMember {
                address: view.member.id.address,
                domain: view.member.domain.clone(),
            })
            .collect();
        self.with_control_plane(|plane, now| plane.on_members(&members, now));
    }
}

/// The id of a member in usage reports and in routers.
pub(super) fn vm_id(address: SocketAddr) -> VmId {
    VmId(tt_membership::SearcherKey::of(address).0 as u32)
}

fn searchers_at(
    document: &crate::active_document::ActiveDocument,
    address: SocketAddr,
) -> impl Iterator<Item = (SearcherId, &tt_model::Searcher)> {
    document.environment.searchers.iter().filter(move |(_, searcher)| searcher.address == address)
}
