//! Membership: heartbeats, the platform's list, and proposals of assignments.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use crate::node::Beat;
use crate::node::Node;
use crate::node::exchange::MemberMessage;
use crate::node::exchange::SearcherNote;
use crate::node::exchange::Used;
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
use tt_membership::members::ListedState;
use tt_membership::members::ListedVm;
use tt_membership::members::MemberStatus;
use tt_membership::members::State;
use tt_model::Epoch;
use tt_model::SearcherId;
use tt_model::Snapshot;
use tt_model::VmId;
use tt_routing::StatusReport;
use tt_rpc::Kind;

/// Time between measurements of usage; a little less than between heartbeats.
const USAGE_EVERY: Duration = Duration::from_millis(950);

/// The last measurement of usage.
#[derive(Debug, Default)]
pub(super) struct UsageReports {
    measured: Option<Instant>,
    services: Vec<Used>,
}

/// Time for the answer to a heartbeat; less than the time between two.
const BEAT_LIMIT: Duration = Duration::from_millis(900);

impl Node {
    /// Sends heartbeats that are due and takes in what has changed.
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
                    let beat = self.beat(heartbeat);
                    tokio::spawn(async move { node.send_beat(to, beat).await });
                }
                Action::Pull(to) => {
                    tokio::spawn(async move { node.pull_table(to).await });
                }
            }
        }
        self.take_events();
        self.propose(now);
        self.update_control_members();
    }

    /// Answers a heartbeat.
    pub(crate) fn on_beat(self: &Arc<Self>, beat: Beat) -> Beat {
        let now = Instant::now();
        let from = beat.heartbeat.from.member.id.address;
        self.take_extras(from, &beat, now);
        let heartbeat = self.members().on_heartbeat(beat.heartbeat, &mut rand::rng(), now);
        self.control(|plane, now| plane.on_heartbeat(from, beat.versions, now));
        self.beat(heartbeat)
    }

    /// A call to a member succeeded.
    pub(crate) fn heard(&self, peer: SocketAddr) {
        self.members().on_contact(peer, Instant::now());
    }

    /// A call to a member failed.
    pub(crate) fn unheard(&self, peer: SocketAddr) {
        self.members().on_call_failed(peer, Instant::now());
    }

    /// Reads the list of daemons in the store, if this daemon is one of those that do.
    pub(crate) async fn read_vm_list(&self) {
        let alone = self.members().len() == 1;
        if !alone && !self.plane().is_watcher() {
            return;
        }
        let list = match self.platform.list_members().await {
            Ok(list) => list,
            Err(error) => {
                log::debug!("member: The list of daemons can't be read: {error}.");
                return;
            }
        };
        let listed = |record: &MemberRecord| ListedVm {
            address: record.peer,
            state: if record.leaving { ListedState::Leaving } else { ListedState::Live },
        };
        let list: Vec<ListedVm> = list.iter().map(listed).collect();
        self.members().on_platform_list(&list, Instant::now());
    }

    /// What the list of daemons says of this one.
    pub(crate) fn record(&self) -> MemberRecord {
        let peer = self.me.id.address;
        MemberRecord {
            vm: peer.to_string(),
            front: self.public_address(),
            peer,
            domain: self.me.domain.clone(),
            leaving: false,
        }
    }

    /// Says in heartbeats that this daemon is stopping, or has stopped.
    pub(crate) fn announce(&self, intent: Intent) {
        let versions = self.versions();
        // Without an epoch change during the stop, what is still held is not given up: another
        // daemon may use it only when this process has certainly ended.
        let released = self.held().held_halves == 0;
        let mut members = self.members();
        if intent == Intent::Stopped && released {
            members.set_report(versions.epoch, versions.catalog, Epoch(u64::MAX));
        }
        members.set_intent(intent);
    }

    /// What this daemon knows of the searchers that it holds.
    pub(crate) fn searcher_notes(&self) -> Vec<SearcherNote> {
        let workers = self.workers.all();
        workers
            .iter()
            .filter_map(|worker| {
                let status = worker.status()?;
                Some(SearcherNote {
                    address: worker.address,
                    leaving: status.leaving,
                    cold: status.cold,
                    held: status.held,
                })
            })
            .collect()
    }

    /// Gives what this daemon and its peers know of searchers to the routers.
    pub(crate) async fn refresh_searchers(self: &Arc<Self>) {
        self.take_searcher_notes(&self.searcher_notes());
        let peers: Vec<SocketAddr> = self.live_peers().collect();
        for peer in peers {
            let node = self.clone();
            tokio::spawn(async move {
                let ask = MemberMessage::Searchers;
                let notes: Result<Vec<SearcherNote>, _> =
                    node.peers.exchange(peer, Kind::Heartbeat, &ask, BEAT_LIMIT).await;
                if let Ok(notes) = notes {
                    node.take_searcher_notes(&notes);
                }
            });
        }
    }

    /// Tells the contracts how many entries there are.
    pub(crate) fn update_members_of_contracts(&self) {
        let view = self.member_view();
        let now = Instant::now();
        for env in self.envs() {
            env.admission().set_members(now, view.clone());
        }
    }

    /// Whether no other daemon is known to serve.
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

    fn beat(&self, heartbeat: tt_membership::members::Heartbeat) -> Beat {
        let workers = self.workers.all();
        let leaving = workers
            .iter()
            .filter(|worker| worker.status().is_some_and(|status| status.leaving))
            .map(|worker| worker.address)
            .collect();
        Beat {
            heartbeat,
            callers: self.public_address(),
            versions: self.versions(),
            leaving,
            usage: self.usage_reports(),
        }
    }

    /// Usage of the contracts. It is measured once for each round of heartbeats, because the
    /// averages count rounds; every message of a round carries the same report.
    fn usage_reports(&self) -> Vec<Used> {
        let now = Instant::now();
        let mut report = lock(&self.usage);
        if report.measured.is_none_or(|at| now.saturating_duration_since(at) >= USAGE_EVERY) {
            report.measured = Some(now);
            report.services = self.measure_usage(now);
        }
        report.services.clone()
    }

    fn measure_usage(&self, now: Instant) -> Vec<Used> {
        let mut reports = Vec::new();
        for env in self.envs() {
            let report = env.usage(now);
            for used in report.services {
                reports.push(Used {
                    environment: env.environment.name.clone(),
                    stage: env.stage,
                    service: env.environment.services[used.service].name.clone(),
                    rate: used.rate,
                    in_flight: used.in_flight,
                });
            }
        }
        reports
    }

    async fn send_beat(self: Arc<Self>, to: SocketAddr, beat: Beat) {
        let message = MemberMessage::Beat(Box::new(beat));
        let answer: Result<Beat, _> =
            self.peers.exchange(to, Kind::Heartbeat, &message, BEAT_LIMIT).await;
        let now = Instant::now();
        let Ok(answer) = answer else {
            self.unheard(to);
            return;
        };
        let from = answer.heartbeat.from.member.id.address;
        self.take_extras(from, &answer, now);
        let next = self.members().on_answer(answer.heartbeat, now);
        self.control(|plane, now| plane.on_heartbeat(from, answer.versions, now));
        if let Some(Action::Pull(to)) = next {
            self.pull_table(to).await;
        }
    }

    async fn pull_table(&self, to: SocketAddr) {
        let notes: Result<Vec<MemberStatus>, _> =
            self.peers.exchange(to, Kind::Heartbeat, &MemberMessage::Table, BEAT_LIMIT).await;
        if let Ok(notes) = notes {
            self.members().on_table(notes, Instant::now());
        }
    }

    /// Takes in what travels with a heartbeat.
    fn take_extras(&self, from: SocketAddr, beat: &Beat, now: Instant) {
        lock(&self.public).insert(from, beat.callers);
        for address in &beat.leaving {
            for env in self.envs() {
                for (id, _) in searchers_at(&env, *address) {
                    env.report_status(id, StatusReport::Leaving, &[]);
                }
            }
        }
        for env in self.envs() {
            let environment = &env.environment;
            let services = beat
                .usage
                .iter()
                .filter(|used| used.environment == environment.name && used.stage == env.stage)
                .filter_map(|used| {
                    let service = environment.service(&used.service)?;
                    Some(ServiceUsage { service, rate: used.rate, in_flight: used.in_flight })
                })
                .collect();
            let report = UsageReport { services };
            env.admission().report_received(vm_id(from), now, report);
        }
    }

    fn take_searcher_notes(&self, notes: &[SearcherNote]) {
        let envs = self.envs();
        for note in notes {
            let report = match (note.leaving, note.cold) {
                (true, _) => StatusReport::Leaving,
                (false, true) => StatusReport::Cold,
                (false, false) => StatusReport::Ready,
            };
            let held: Vec<Snapshot> = note.held.iter().copied().map(Snapshot).collect();
            for env in &envs {
                for (id, _) in searchers_at(env, note.address) {
                    env.report_status(id, report, &held);
                }
            }
        }
    }

    fn take_events(self: &Arc<Self>) {
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
                    log::error!("member: A later process has announced itself at this address.");
                }
            }
        }
        self.update_members_of_contracts();
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
                    // The control plane spreads it to the daemons that do not watch.
                    if let Ok(value) = serde_json::to_vec(&assignment) {
                        self.control(|plane, now| plane.on_assignment_written(&value, now));
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
        self.control(|plane, now| plane.on_members(&members, now));
    }
}

/// The key of a member in reports and routers.
pub(super) fn vm_id(address: SocketAddr) -> VmId {
    VmId(tt_membership::SearcherKey::of(address).0 as u32)
}

fn searchers_at(
    env: &crate::env::Env,
    address: SocketAddr,
) -> impl Iterator<Item = (SearcherId, &tt_model::Searcher)> {
    env.environment.searchers.iter().filter(move |(_, searcher)| searcher.address == address)
}
