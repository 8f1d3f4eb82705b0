//! Daemons, a store and a network in one process: an event loop that delivers messages.

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

/// The I/O layer's wait of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// The I/O layer's timeout of a store call whose reply is lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
const HEARTBEAT: Duration = Duration::from_secs(1);
const HEARTBEAT_BYTES: usize = 64;

/// Daemons, delays and faults.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    pub members: usize,
    pub domains: usize,
    /// Domains of one region are close to each other.
    pub regions: usize,
    pub in_domain: Duration,
    pub in_region: Duration,
    pub between_regions: Duration,
    pub store: Duration,
    /// The part of all messages between daemons that is lost.
    pub loss: f64,
    pub seed: u64,
    pub mode: Mode,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Tree,
    /// Every daemon watches the store and knows no other.
    EveryoneWatches,
}

impl Default for Layout {
    fn default() -> Layout {
        Layout {
            members: 4,
            domains: 2,
            regions: 1,
            in_domain: Duration::from_micros(250),
            in_region: Duration::from_micros(1_500),
            between_regions: Duration::from_millis(30),
            store: Duration::from_millis(2),
            loss: 0.0,
            seed: 1,
            mode: Mode::Tree,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreState {
    Up,
    Down,
    /// No reply arrives; a write takes effect at once, later or not at all.
    LosesReplies,
    /// Half of all calls fail or lose their replies.
    Flaky,
    /// Daemons that read the catalog get the value before the last one.
    StaleReads,
    /// Each call takes this long.
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
    WatchEnds { id: CallId },
}

/// What happens at a daemon. Events of an earlier process at its address are dropped.
#[derive(Debug)]
struct Scheduled {
    node: usize,
    process: u32,
    event: Event,
}

#[derive(Debug)]
struct Waiting {
    node: usize,
    process: u32,
    id: CallId,
    key: String,
    after: Revision,
}

/// One daemon with what it has sent and used.
#[derive(Debug)]
pub struct Node {
    pub control: ControlPlane,
    pub address: SocketAddr,
    pub domain: usize,
    pub is_up: bool,
    pub reaches_store: bool,
    /// Daemons of different sides do not reach each other.
    pub side: u32,
    pub messages: u64,
    pub bytes: u64,
    /// Messages and bytes of pushes and pulls, included above.
    pub updates: u64,
    pub update_bytes: u64,
    pub cpu: Duration,
    /// Hops from the store of the newest update.
    pub hops: u32,
    pub adopted_at: Instant,
    process: u32,
    wake: Option<Instant>,
}

pub struct Cluster {
    pub now: Instant,
    pub layout: Layout,
    pub nodes: Vec<Node>,
    pub store: FakeStore,
    pub store_state: StoreState,
    /// Every revision that a daemon adopted, in order, by node and process.
    pub adoptions: Vec<(usize, u32, Revision)>,
    members: Vec<Member>,
    by_address: BTreeMap<SocketAddr, usize>,
    by_domain: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    sequence: u64,
    waiting: Vec<Waiting>,
    /// Writes whose reply was lost and that take effect later.
    late: Vec<(Instant, StoreCall)>,
    stale: Option<StoreReply>,
    /// Updates that were sent earlier, for deliveries that are long overdue.
    sent: Vec<(usize, Update)>,
    rng: StdRng,
}

impl Cluster {
    pub fn new(layout: Layout) -> Cluster {
        let now = Instant::now();
        let domains = layout.domains;
        let domain = |node: usize| node % domains;
        let address = |node: usize| {
            let ip = Ipv4Addr::new(127, 1, (node / 250) as u8, (node % 250) as u8);
            SocketAddr::from((ip, 7000))
        };
        let members: Vec<Member> = (0..layout.members)
            .map(|n| Member { address: address(n), domain: format!("d{}", domain(n)) })
            .collect();
        let mut cluster = Cluster {
            now,
            nodes: Vec::new(),
            store: FakeStore::default(),
            store_state: StoreState::Up,
            adoptions: Vec::new(),
            by_address: (0..layout.members).map(|n| (address(n), n)).collect(),
            by_domain: vec![Vec::new(); layout.domains],
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            waiting: Vec::new(),
            late: Vec::new(),
            stale: None,
            sent: Vec::new(),
            rng: StdRng::seed_from_u64(layout.seed),
            members,
            layout,
        };
        for n in 0..cluster.layout.members {
            cluster.by_domain[domain(n)].push(n);
            cluster.nodes.push(Node {
                control: ControlPlane::new(ControlSettings::default(), now),
                address: address(n),
                domain: domain(n),
                is_up: true,
                reaches_store: true,
                side: 0,
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
        for n in 0..cluster.layout.members {
            cluster.restart(n);
        }
        cluster
    }

    /// Replaces a daemon by a new process that holds nothing.
    pub fn restart(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.process += 1;
        node.is_up = true;
        node.wake = None;
        node.hops = 0;
        let settings = ControlSettings {
            address: node.address,
            domain: format!("d{}", node.domain),
            seed: self.layout.seed ^ (n as u64) << 20 ^ u64::from(node.process),
            ..ControlSettings::default()
        };
        node.control = ControlPlane::new(settings, self.now);
        let process = node.process;
        self.waiting.retain(|waiting| waiting.node != n || waiting.process == process);
        let members = match self.layout.mode {
            Mode::Tree => self.members.clone(),
            Mode::EveryoneWatches => Vec::new(),
        };
        let now = self.now;
        self.run(n, 0, |control| control.on_members(&members, now));
        if self.layout.mode == Mode::Tree {
            let first = HEARTBEAT.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(n, first, Event::Heartbeat);
        }
    }

    pub fn stop(&mut self, n: usize) {
        self.nodes[n].is_up = false;
        self.nodes[n].process += 1;
        self.waiting.retain(|waiting| waiting.node != n);
    }

    /// Handles events until `until` or until `done`; returns whether `done` was reached.
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

    /// Applies a call that does not come from a daemon's control state.
    pub fn operator_call(&mut self, call: &StoreCall) -> StoreReply {
        let reply = self.reply(call);
        self.wake_watches();
        reply
    }

    /// Applies delayed writes that are due.
    pub fn apply_late(&mut self) {
        let now = self.now;
        let (due, late) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        let due: Vec<(Instant, StoreCall)> = due;
        for (_, call) in due {
            self.store.call(&call);
        }
        self.wake_watches();
    }

    /// Lets a call reach the store some time later.
    pub fn arrive_later(&mut self, call: StoreCall) {
        let delay = Duration::from_millis(self.rng.random_range(0..20_000));
        self.late.push((self.now + delay, call));
    }

    /// Delivers an update that was sent long ago.
    pub fn deliver_old_update(&mut self, to: usize, which: usize) {
        if !self.sent.is_empty() && self.nodes[to].is_up {
            let (from, update) = self.sent[which % self.sent.len()].clone();
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
                    self.stale = Some(before);
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
                        self.arrive_later(call.clone());
                    }
                    _ => self.store.calls += 1,
                }
                StoreReply::Lost
            }
        }
    }

    /// Ends waiting watches whose value has changed.
    pub fn wake_watches(&mut self) {
        if matches!(self.store_state, StoreState::Down | StoreState::LosesReplies) {
            return;
        }
        // Also wakes watchers that cannot reach the store; their watches were broken before.
        let changed = |w: &Waiting| match self.store.values.get(&w.key) {
            Some((revision, _)) => *revision > w.after,
            None => false,
        };
        let (ready, waiting): (Vec<Waiting>, Vec<Waiting>) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| changed(w));
        self.waiting = waiting;
        for w in ready {
            let (revision, value) = self.store.values[&w.key].clone();
            let event =
                Event::StoreReply { id: w.id, reply: StoreReply::Value { revision, value } };
            self.schedule_for(w.node, w.process, self.layout.store, event);
        }
    }

    /// Ends every waiting watch without a reply, as a failing store does.
    pub fn break_watches(&mut self) {
        for w in std::mem::take(&mut self.waiting) {
            let event = Event::StoreReply { id: w.id, reply: StoreReply::Unavailable };
            self.schedule_for(w.node, w.process, self.layout.store, event);
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
            Event::WatchEnds { id } => {
                let before = self.waiting.len();
                self.waiting.retain(|w| (w.node, w.id) != (n, id));
                if self.waiting.len() < before {
                    self.run(n, 1, |control| control.on_store_reply(id, StoreReply::Missing, now));
                }
            }
            Event::StoreCall { .. } => {}
        }
    }

    fn store_call(&mut self, n: usize, process: u32, id: CallId, call: &StoreCall) {
        let is_read = matches!(call, StoreCall::Get { key } if key == "catalog");
        let reply = match (&self.stale, self.store_state) {
            _ if !self.nodes[n].reaches_store => StoreReply::Unavailable,
            (Some(stale), StoreState::StaleReads) if is_read => stale.clone(),
            _ => self.reply(call),
        };
        if let (StoreCall::Watch { key, after }, StoreReply::Missing) = (call, &reply) {
            let key = key.clone();
            self.waiting.push(Waiting { node: n, process, id, key, after: *after });
            self.schedule_for(n, process, WATCH_WAIT, Event::WatchEnds { id });
            return;
        }
        let delay = match (self.store_state, &reply) {
            (_, StoreReply::Lost) => STORE_TIMEOUT,
            (StoreState::Slow(delay), _) => delay,
            _ => self.layout.store,
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
        if self.layout.domains > 1 {
            let mut to = n;
            while self.nodes[to].domain == domain {
                to = self.rng.random_range(0..self.nodes.len());
            }
            self.send(n, to, Message::Heartbeat(versions), 0);
        }
        self.schedule(n, HEARTBEAT, Event::Heartbeat);
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
                let update = received(&update);
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
                let update = received(&update);
                control.on_pulled(id, Ok(&update), now)
            }),
        }
    }

    /// Lets a daemon handle an event and carries out its actions.
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
                    self.schedule(n, self.layout.store, event);
                }
                Action::Pull { id, to, request } => {
                    let to = self.by_address[&to];
                    self.send(n, to, Message::Pull(id, request), 0);
                }
                Action::Push { to, update } => {
                    let to = self.by_address[&to];
                    if self.sent.len() < 32 {
                        self.sent.push((n, update.clone()));
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
        let is_cut = source.side != target.side || !target.is_up;
        let region = |node: &Node| node.domain % self.layout.regions;
        let delay = match () {
            () if source.domain == target.domain => self.layout.in_domain,
            () if region(source) == region(target) => self.layout.in_region,
            () => self.layout.between_regions,
        };
        if is_cut {
            // A connection that is refused or reset is reported; a lost message is not.
            if let Message::Pull(id, _) = message {
                let now = self.now;
                self.run(from, 0, |control| control.on_pulled(id, Err(PullFailed), now));
            }
            return;
        }
        if self.layout.loss > 0.0 && self.rng.random_bool(self.layout.loss) {
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

/// A copy that shares nothing with the sender, as after a transfer: parts are hashed again.
fn received(update: &Update) -> Update {
    let mut copy = update.clone();
    copy.parts = update.parts.iter().map(|part| Part::new(part.text())).collect();
    copy
}
