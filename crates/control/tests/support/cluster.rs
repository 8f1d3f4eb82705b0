//! A simulated cluster in one process: control planes, a store and a network, driven by an event
//! loop.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::FakeStore;
use tt_control::Action;
use tt_control::CallId;
use tt_control::ControlPlane;
use tt_control::ControlSettings;
use tt_control::Member;
use tt_control::PullFailed;
use tt_control::PullId;
use tt_control::PullRequest;
use tt_control::Update;
use tt_control::Versions;
use tt_control::parts::Part;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// The time after which the I/O layer ends a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// The time after which the I/O layer reports a store call whose reply is lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_BYTES: usize = 64;

/// The size of the cluster, its one-way delays and its message loss.
#[derive(Debug, Clone, Copy)]
pub struct ClusterConfig {
    pub members: usize,
    pub domains: usize,
    /// Domains are distributed over the regions.
    pub regions: usize,
    /// Between daemons of one domain.
    pub domain_delay: Duration,
    /// Between domains of one region.
    pub region_delay: Duration,
    /// Between regions.
    pub remote_delay: Duration,
    pub store_delay: Duration,
    /// The ratio of messages between daemons that are lost.
    pub loss_ratio: f64,
    pub seed: u64,
    pub mode: Mode,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Two daemons of each domain watch the store and push to the others.
    PushTree,
    /// Each daemon watches the store and knows no peers.
    StoreOnly,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            members: 4,
            domains: 2,
            regions: 1,
            domain_delay: Duration::from_micros(250),
            region_delay: Duration::from_micros(1_500),
            remote_delay: Duration::from_millis(30),
            store_delay: Duration::from_millis(2),
            loss_ratio: 0.0,
            seed: 1,
            mode: Mode::PushTree,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    Up,
    Down,
    /// All replies are lost; a write takes effect at once, later or not at all.
    LosesReplies,
    /// Half of all calls fail or lose their replies.
    Flaky,
    /// Daemons that read the catalog get the value before its last write.
    StaleReads,
    /// Each call takes this time.
    Slow(Duration),
}

#[derive(Debug, Clone)]
enum Message {
    Heartbeat(Versions),
    HeartbeatAnswer(Versions),
    Push(Update),
    Pull(PullId, PullRequest),
    Pulled(PullId, Update),
}

#[derive(Debug)]
enum Event {
    Wake,
    Heartbeat,
    Message { from: usize, message: Message, hops: u32 },
    StoreCall { id: CallId, call: StoreCall },
    StoreReply { id: CallId, reply: StoreReply },
    WatchTimeout { id: CallId },
}

/// An event for one daemon. It is dropped if the daemon has been restarted or stopped since.
#[derive(Debug)]
struct Scheduled {
    node: usize,
    process: u32,
    event: Event,
}

#[derive(Debug)]
struct OpenWatch {
    node: usize,
    process: u32,
    id: CallId,
    key: String,
    after: Revision,
}

/// One daemon, with counts of what it has sent and its CPU time.
#[derive(Debug)]
pub struct Node {
    pub control: ControlPlane,
    pub address: SocketAddr,
    pub domain: usize,
    pub is_up: bool,
    pub reaches_store: bool,
    /// Daemons of different partitions cannot reach each other.
    pub partition: u32,
    pub messages: u64,
    pub bytes: u64,
    /// The number of pushes, pulls and their answers, which `messages` includes.
    pub updates: u64,
    pub update_bytes: u64,
    /// The time spent in the control plane.
    pub cpu: Duration,
    /// The hops from the store by which the adopted revision arrived.
    pub hops: u32,
    pub adopted_at: Instant,
    process: u32,
    wake: Option<Instant>,
}

pub struct Cluster {
    pub now: Instant,
    pub config: ClusterConfig,
    pub nodes: Vec<Node>,
    pub store: FakeStore,
    pub store_state: StoreState,
    /// All adoptions in order, each as node, process and revision.
    pub adoptions: Vec<(usize, u32, Revision)>,
    members: Vec<Member>,
    by_address: BTreeMap<SocketAddr, usize>,
    by_domain: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    sequence: u64,
    open_watches: Vec<OpenWatch>,
    /// Writes whose reply was lost and when they take effect.
    delayed_writes: Vec<(Instant, StoreCall)>,
    stale_catalog: Option<StoreReply>,
    /// The first updates that were sent, to be delivered again much later.
    old_updates: Vec<(usize, Update)>,
    rng: StdRng,
}

impl Cluster {
    pub fn new(config: ClusterConfig) -> Cluster {
        let now = Instant::now();
        let domains = config.domains;
        let domain = |node: usize| node % domains;
        let address = |node: usize| {
            let ip = Ipv4Addr::new(127, 1, (node / 250) as u8, (node % 250) as u8);
            SocketAddr::from((ip, 7000))
        };
        let members: Vec<Member> = (0..config.members)
            .map(|n| Member { address: address(n), domain: format!("d{}", domain(n)) })
            .collect();
        let mut cluster = Cluster {
            now,
            nodes: Vec::new(),
            store: FakeStore::default(),
            store_state: StoreState::Up,
            adoptions: Vec::new(),
            by_address: (0..config.members).map(|n| (address(n), n)).collect(),
            by_domain: vec![Vec::new(); config.domains],
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            open_watches: Vec::new(),
            delayed_writes: Vec::new(),
            stale_catalog: None,
            old_updates: Vec::new(),
            rng: StdRng::seed_from_u64(config.seed),
            members,
            config,
        };
        for n in 0..cluster.config.members {
            cluster.by_domain[domain(n)].push(n);
            cluster.nodes.push(Node {
                control: ControlPlane::new(ControlSettings::default(), now),
                address: address(n),
                domain: domain(n),
                is_up: true,
                reaches_store: true,
                partition: 0,
                messages: 0,
                bytes: 0,
                updates: 0,
                update_bytes: 0,
                cpu: Duration::ZERO,
                hops: 0,
                adopted_at: now,
                process: 0,
                wake: None,
            });
        }
        for n in 0..cluster.config.members {
            cluster.restart(n);
        }
        cluster
    }

    /// Replaces a daemon by a new process that holds no configuration.
    pub fn restart(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.process += 1;
        node.is_up = true;
        node.wake = None;
        node.hops = 0;
        let settings = ControlSettings {
            address: node.address,
            domain: format!("d{}", node.domain),
            seed: self.config.seed ^ (n as u64) << 20 ^ u64::from(node.process),
            ..ControlSettings::default()
        };
        node.control = ControlPlane::new(settings, self.now);
        let process = node.process;
        self.open_watches.retain(|waiting| waiting.node != n || waiting.process == process);
        let members = match self.config.mode {
            Mode::PushTree => self.members.clone(),
            Mode::StoreOnly => Vec::new(),
        };
        let now = self.now;
        self.run(n, 0, |control| control.on_members(&members, now));
        if self.config.mode == Mode::PushTree {
            let first = HEARTBEAT_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(n, first, Event::Heartbeat);
        }
    }

    pub fn stop(&mut self, n: usize) {
        self.nodes[n].is_up = false;
        self.nodes[n].process += 1;
        self.open_watches.retain(|waiting| waiting.node != n);
    }

    /// Handles events until `done` returns true or `until` has passed; returns whether `done` did.
    pub fn run_until<F>(&mut self, until: Instant, done: F) -> bool
    where
        F: Fn(&Cluster) -> bool,
    {
        loop {
            if done(self) {
                return true;
            }
            match self.events.peek() {
                Some(&Reverse((at, sequence))) if at <= until => {
                    self.events.pop();
                    self.now = self.now.max(at);
                    if let Some(scheduled) = self.scheduled.remove(&sequence) {
                        self.handle(scheduled);
                    }
                }
                _ => {
                    self.now = self.now.max(until);
                    return false;
                }
            }
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time, |_| false);
    }

    /// Whether every daemon that is up has adopted `revision`.
    pub fn all_adopted(&self, revision: Revision) -> bool {
        let up = || self.nodes.iter().filter(|node| node.is_up);
        up().all(|node| node.control.versions().catalog >= revision)
    }

    /// Makes a store call for a change or the collector.
    pub fn operator_call(&mut self, call: &StoreCall) -> StoreReply {
        let reply = self.reply(call);
        self.wake_watches();
        reply
    }

    /// Applies the delayed writes that are due.
    pub fn apply_delayed_writes(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.delayed_writes).into_iter().partition(|(at, _)| *at <= now);
        self.delayed_writes = later;
        let due: Vec<(Instant, StoreCall)> = due;
        for (_, call) in due {
            self.store.call(&call);
        }
        self.wake_watches();
    }

    /// Lets a call reach the store up to 20 s later.
    pub fn delay_call(&mut self, call: StoreCall) {
        let delay = Duration::from_millis(self.rng.random_range(0..20_000));
        self.delayed_writes.push((self.now + delay, call));
    }

    /// Delivers an update that was sent much earlier.
    pub fn deliver_old_update(&mut self, to: usize, index: usize) {
        if !self.old_updates.is_empty() && self.nodes[to].is_up {
            let (from, update) = self.old_updates[index % self.old_updates.len()].clone();
            self.receive(to, from, Message::Push(update), 1);
        }
    }

    fn reply(&mut self, call: &StoreCall) -> StoreReply {
        let state = match self.store_state {
            StoreState::Flaky => match self.rng.random_range(0..6) {
                0 => StoreState::Down,
                1 | 2 => StoreState::LosesReplies,
                _ => StoreState::Up,
            },
            state => state,
        };
        match state {
            StoreState::Up | StoreState::Flaky | StoreState::Slow(_) | StoreState::StaleReads => {
                if let StoreCall::Put { key, .. } = call
                    && key == "catalog"
                {
                    let before = self.store.call(&StoreCall::Get { key: key.clone() });
                    self.stale_catalog = Some(before);
                }
                self.store.call(call)
            }
            StoreState::Down => StoreReply::Unavailable,
            StoreState::LosesReplies => {
                match self.rng.random_range(0..3) {
                    0 => {
                        self.store.call(call);
                    }
                    1 => {
                        self.store.calls += 1;
                        self.delay_call(call.clone());
                    }
                    _ => self.store.calls += 1,
                }
                StoreReply::Lost
            }
        }
    }

    /// Sends replies to open watches whose value has changed.
    pub fn wake_watches(&mut self) {
        if matches!(self.store_state, StoreState::Down | StoreState::LosesReplies) {
            return;
        }
        // Watches of daemons that cannot reach the store are not open: `break_watches` ended them.
        let changed = |w: &OpenWatch| match self.store.values.get(&w.key) {
            Some((revision, _)) => *revision > w.after,
            None => false,
        };
        let (ready, waiting): (Vec<OpenWatch>, Vec<OpenWatch>) =
            std::mem::take(&mut self.open_watches).into_iter().partition(|w| changed(w));
        self.open_watches = waiting;
        for w in ready {
            let (revision, value) = self.store.values[&w.key].clone();
            let event =
                Event::StoreReply { id: w.id, reply: StoreReply::Value { revision, value } };
            self.schedule_for(w.node, w.process, self.config.store_delay, event);
        }
    }

    /// Ends all open watches with an error, as a failing store does.
    pub fn break_watches(&mut self) {
        for w in std::mem::take(&mut self.open_watches) {
            let event = Event::StoreReply { id: w.id, reply: StoreReply::Unavailable };
            self.schedule_for(w.node, w.process, self.config.store_delay, event);
        }
    }

    fn handle(&mut self, scheduled: Scheduled) {
        let Scheduled { node: n, process, event } = scheduled;
        if let Event::StoreCall { id, call } = event {
            self.store_call(n, process, id, &call);
            return;
        }
        if self.nodes[n].process != process || !self.nodes[n].is_up {
            return;
        }
        let now = self.now;
        match event {
            Event::Wake => {
                self.nodes[n].wake = None;
                self.run(n, 0, |control| control.tick(now));
            }
            Event::Heartbeat => self.heartbeat(n),
            Event::Message { from, message, hops } => self.receive(n, from, message, hops),
            Event::StoreReply { id, reply } => {
                self.run(n, 1, |control| control.on_store_reply(id, reply, now));
            }
            Event::WatchTimeout { id } => {
                let before = self.open_watches.len();
                self.open_watches.retain(|w| (w.node, w.id) != (n, id));
                if self.open_watches.len() < before {
                    self.run(n, 1, |control| control.on_store_reply(id, StoreReply::Missing, now));
                }
            }
            Event::StoreCall { .. } => {}
        }
    }

    fn store_call(&mut self, n: usize, process: u32, id: CallId, call: &StoreCall) {
        let is_read = matches!(call, StoreCall::Get { key } if key == "catalog");
        let reply = match (&self.stale_catalog, self.store_state) {
            _ if !self.nodes[n].reaches_store => StoreReply::Unavailable,
            (Some(stale), StoreState::StaleReads) if is_read => stale.clone(),
            _ => self.reply(call),
        };
        if let (StoreCall::Watch { key, after }, StoreReply::Missing) = (call, &reply) {
            let key = key.clone();
            self.open_watches.push(OpenWatch { node: n, process, id, key, after: *after });
            self.schedule_for(n, process, WATCH_TIMEOUT, Event::WatchTimeout { id });
            return;
        }
        let delay = match (self.store_state, &reply) {
            (_, StoreReply::Lost) => STORE_TIMEOUT,
            (StoreState::Slow(delay), _) => delay,
            _ => self.config.store_delay,
        };
        self.schedule_for(n, process, delay, Event::StoreReply { id, reply });
    }

    fn heartbeat(&mut self, n: usize) {
        let versions = self.nodes[n].control.versions();
        let domain = self.nodes[n].domain;
        let peers = self.by_domain[domain].len();
        for _ in 0..3.min(peers - 1) {
            let mut to = n;
            while to == n {
                to = self.by_domain[domain][self.rng.random_range(0..peers)];
            }
            self.send(n, to, Message::Heartbeat(versions), 0);
        }
        if self.config.domains > 1 {
            let mut to = n;
            while self.nodes[to].domain == domain {
                to = self.rng.random_range(0..self.nodes.len());
            }
            self.send(n, to, Message::Heartbeat(versions), 0);
        }
        self.schedule(n, HEARTBEAT_INTERVAL, Event::Heartbeat);
    }

    fn receive(&mut self, n: usize, from: usize, message: Message, hops: u32) {
        let now = self.now;
        let peer = self.nodes[from].address;
        match message {
            Message::Heartbeat(versions) => {
                let answer = Message::HeartbeatAnswer(self.nodes[n].control.versions());
                self.send(n, from, answer, 0);
                self.run(n, 0, |control| control.on_heartbeat(peer, versions, now));
            }
            Message::HeartbeatAnswer(versions) => {
                self.run(n, 0, |control| control.on_heartbeat(peer, versions, now));
            }
            Message::Push(update) => self.run(n, hops, |control| {
                let update = copy_received(&update);
                control.on_push(peer, &update, now)
            }),
            Message::Pull(id, request) => {
                let started = std::time::Instant::now();
                let update = self.nodes[n].control.serve_pull(&request);
                self.nodes[n].cpu += started.elapsed();
                let hops = self.nodes[n].hops + 1;
                self.send(n, from, Message::Pulled(id, update), hops);
            }
            Message::Pulled(id, update) => self.run(n, hops, |control| {
                let update = copy_received(&update);
                control.on_pulled(id, Ok(&update), now)
            }),
        }
    }

    /// Passes an event to a control plane and carries out its actions.
    fn run<F>(&mut self, n: usize, hops: u32, event: F)
    where
        F: FnOnce(&mut ControlPlane) -> Vec<Action>,
    {
        let started = std::time::Instant::now();
        let actions = event(&mut self.nodes[n].control);
        self.nodes[n].cpu += started.elapsed();
        for action in actions {
            match action {
                Action::Store(request) => {
                    let event = Event::StoreCall { id: request.id, call: request.call };
                    self.schedule(n, self.config.store_delay, event);
                }
                Action::Pull { id, to, request } => {
                    let to = self.by_address[&to];
                    self.send(n, to, Message::Pull(id, request), 0);
                }
                Action::Push { to, update } => {
                    let to = self.by_address[&to];
                    if self.old_updates.len() < 32 {
                        self.old_updates.push((n, update.clone()));
                    }
                    let hops = self.nodes[n].hops + 1;
                    self.send(n, to, Message::Push(update), hops);
                }
                Action::Adopted { revision } => {
                    let node = &mut self.nodes[n];
                    node.hops = hops;
                    node.adopted_at = self.now;
                    self.adoptions.push((n, node.process, revision));
                }
                Action::Assignment { .. } => {}
            }
        }
        let wake = self.nodes[n].control.wake_at();
        if self.nodes[n].wake.is_none_or(|at| wake < at) {
            self.nodes[n].wake = Some(wake);
            let delay = wake.saturating_duration_since(self.now);
            self.schedule(n, delay.max(Duration::from_micros(1)), Event::Wake);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, hops: u32) {
        let bytes = match &message {
            Message::Heartbeat(_) | Message::HeartbeatAnswer(_) => HEARTBEAT_BYTES,
            Message::Push(update) | Message::Pulled(_, update) => update.wire_bytes(),
            Message::Pull(_, request) => request.wire_bytes(),
        };
        self.nodes[from].messages += 1;
        self.nodes[from].bytes += bytes as u64;
        if !matches!(message, Message::Heartbeat(_) | Message::HeartbeatAnswer(_)) {
            self.nodes[from].updates += 1;
            self.nodes[from].update_bytes += bytes as u64;
        }
        let (source, target) = (&self.nodes[from], &self.nodes[to]);
        let is_unreachable = source.partition != target.partition || !target.is_up;
        let region = |node: &Node| node.domain % self.config.regions;
        let delay = match () {
            () if source.domain == target.domain => self.config.domain_delay,
            () if region(source) == region(target) => self.config.region_delay,
            () => self.config.remote_delay,
        };
        if is_unreachable {
            // A pull fails at once if the connection is refused; a lost message is not reported.
            if let Message::Pull(id, _) = message {
                let now = self.now;
                self.run(from, 0, |control| control.on_pulled(id, Err(PullFailed), now));
            }
            return;
        }
        if self.config.loss_ratio > 0.0 && self.rng.random_bool(self.config.loss_ratio) {
            return;
        }
        self.schedule(to, delay, Event::Message { from, message, hops });
    }

    fn schedule(&mut self, node: usize, delay: Duration, event: Event) {
        let process = self.nodes[node].process;
        self.schedule_for(node, process, delay, event);
    }

    fn schedule_for(&mut self, node: usize, process: u32, delay: Duration, event: Event) {
        self.sequence += 1;
        self.scheduled.insert(self.sequence, Scheduled { node, process, event });
        self.events.push(Reverse((self.now + delay, self.sequence)));
    }
}

/// A copy of an update that shares nothing with the sender's. Parts are hashed again, as after a
/// real transfer, so that measurements include that.
fn copy_received(update: &Update) -> Update {
    let mut copy = update.clone();
    copy.parts = update.parts.iter().map(|part| Part::new(part.text())).collect();
    copy
}
