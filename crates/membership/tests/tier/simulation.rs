//! The simulation: daemons, a network that loses, delays and duplicates messages, a store, the
//! list of daemons, and searchers.

mod step;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::searcher::Searcher;
use crate::store::Mode;
use crate::store::Store;
use tt_membership::Assignment;
use tt_membership::AssignmentProposer;
use tt_membership::DomainKey;
use tt_membership::Halves;
use tt_membership::Member;
use tt_membership::MemberId;
use tt_membership::Members;
use tt_membership::SearcherKey;
use tt_membership::Usage;
use tt_membership::assignment::AssignmentDelta;
use tt_membership::assignment::Target;
use tt_membership::halves::Clock;
use tt_membership::halves::HalvesSettings;
use tt_membership::halves::Release;
use tt_membership::halves::ReleaseAnswer;
use tt_membership::halves::Renew;
use tt_membership::halves::RenewAnswer;
use tt_membership::members::Heartbeat;
use tt_membership::members::Intent;
use tt_membership::members::State;
use tt_membership::ownership::SearcherSpec;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::StoreReply;

/// Duration of one step of the simulation.
const STEP_MS: u64 = 10;
const UNIX_MS: u64 = 1_700_000_000_000;
/// Maximum difference of a wall clock from true time, so that two clocks differ by at most
/// `max_clock_error`.
const MAX_CLOCK_ERROR_MS: i64 = 25;
const MAX_SUB_QUERY_TIMEOUT_MS: u64 = 5_000;
const CALL_TIMEOUT_MS: u64 = 1_000;
const LIST_INTERVAL_MS: u64 = 5_000;
const MAX_LIST_LAG_MS: u64 = 10_000;
const DOMAINS: [&str; 3] = ["austin", "waco", "temple"];

/// How a process stops running for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pause {
    /// The process is stopped; its clocks go on.
    Process,
    /// The VM is suspended, so the monotonic clock stands still.
    Vm,
}

/// How a process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The kernel closes its sockets; sub-queries at searchers go on until their deadlines.
    Crash,
    /// The VM is gone. Its sockets stay open at searchers for a while, and the list of
    /// daemons drops it with a delay.
    VmLost,
}

#[derive(Debug, Clone)]
enum Body {
    Heartbeat(Box<Heartbeat>),
    HeartbeatAnswer(Box<Heartbeat>),
    Renew(Renew),
    RenewAnswer(RenewAnswer),
    Release(Release),
    ReleaseAnswer(ReleaseAnswer),
    Pull(Epoch),
    Full(Box<Assignment>),
    Delta(Box<AssignmentDelta>),
    StoreReply(Incarnation, tt_membership::assignment::CallId, StoreReply),
    /// The sub-query with this number has ended at a searcher.
    Done(u64),
}

#[derive(Debug, Clone)]
struct Packet {
    at_ms: u64,
    from: usize,
    to: usize,
    body: Body,
}

/// A sub-query on its way to a searcher.
#[derive(Debug, Clone)]
struct Request {
    at_ms: u64,
    searcher: usize,
    from: usize,
    sub_query: u64,
    deadline_ms: u64,
    run_ms: u64,
}

/// A sub-query of a process at a searcher, as the process counts it.
#[derive(Debug)]
struct SubQuery {
    id: u64,
    deadline_ms: u64,
    leased: bool,
}

#[derive(Debug)]
pub struct Process {
    pub id: MemberId,
    pub members: Members,
    pub assignments: AssignmentProposer,
    pub halves: Halves,
    /// Its wall clock minus the true time, in milliseconds.
    clock_error: i64,
    /// Time for which the VM has been suspended, by which the monotonic clock is behind.
    suspended_ms: u64,
    /// The pause and its start, while the process is paused.
    paused: Option<(Pause, u64)>,
    sub_queries: HashMap<usize, Vec<SubQuery>>,
    connections: HashMap<usize, u32>,
    /// Sub-queries that have been checked against the allowance and counted, but not yet sent: a
    /// pause may come in between.
    outbox: Vec<Request>,
    /// Heartbeats without an answer: the time of their timeout and the receiver.
    heartbeat_timeouts: Vec<(u64, SocketAddr)>,
    /// The highest epoch seen by the checks.
    epoch: Epoch,
    next_list_ms: u64,
    target: Target,
}

#[derive(Debug)]
pub struct Vm {
    address: SocketAddr,
    domain: &'static str,
    pub process: Option<Process>,
    /// Whether the VM has not been lost.
    pub exists: bool,
}

pub struct Simulation {
    now_ms: u64,
    base: Instant,
    rng: StdRng,
    pub vms: Vec<Vm>,
    pub searchers: Vec<(SearcherSpec, Searcher)>,
    index: HashMap<SearcherKey, usize>,
    pub store: Store,
    pub loss: f64,
    pub delay_ms: u64,
    /// The group of each VM. Those in different groups can't reach each other.
    pub groups: Vec<u8>,
    /// The only group that reaches the store, if set.
    pub store_group: Option<u8>,
    packets: Vec<Packet>,
    requests: Vec<Request>,
    /// Connections of lost VMs that are still open: searcher, number, and time of their end.
    orphaned_connections: Vec<(usize, u32, u64)>,
    /// The contents of the list of daemons at recent times, from which reads are taken.
    vm_lists: Vec<(u64, Vec<SocketAddr>)>,
    /// The first value seen for each epoch.
    values: BTreeMap<Epoch, Vec<u8>>,
    last_sub_query: u64,
    pub settings: HalvesSettings,
}

impl Simulation {
    pub fn new(vms: usize, limits: &[(u32, u32)], seed: u64) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let vms: Vec<Vm> = (0..vms)
            .map(|i| Vm {
                address: SocketAddr::from(([10, 0, 0, i as u8 + 1], 7000)),
                domain: DOMAINS[i % DOMAINS.len()],
                process: None,
                exists: true,
            })
            .collect();
        let searchers: Vec<(SearcherSpec, Searcher)> = limits
            .iter()
            .enumerate()
            .map(|(i, &(slots, connections))| {
                let address = SocketAddr::from(([10, 1, 0, i as u8 + 1], 80));
                let spec = SearcherSpec {
                    key: SearcherKey::of(address),
                    domain: DomainKey::of(DOMAINS[i % DOMAINS.len()]),
                    slots,
                    connections,
                };
                let error = rng.random_range(-MAX_CLOCK_ERROR_MS..=MAX_CLOCK_ERROR_MS);
                (spec, Searcher::new(slots, connections, error))
            })
            .collect();
        let groups = vec![0; vms.len()];
        let mut sim = Simulation {
            now_ms: 0,
            base: Instant::now() + Duration::from_secs(3600),
            rng,
            vms,
            index: searchers.iter().enumerate().map(|(i, (s, _))| (s.key, i)).collect(),
            searchers,
            store: Store::new(),
            loss: 0.0,
            delay_ms: 2,
            groups,
            store_group: None,
            packets: Vec::new(),
            requests: Vec::new(),
            orphaned_connections: Vec::new(),
            vm_lists: Vec::new(),
            values: BTreeMap::new(),
            last_sub_query: 0,
            settings: HalvesSettings {
                max_sub_query_timeout: Duration::from_millis(MAX_SUB_QUERY_TIMEOUT_MS),
                ..HalvesSettings::default()
            },
        };
        for vm in 0..sim.vms.len() {
            sim.start(vm);
        }
        sim
    }

    /// Starts a new process on a VM that runs none; a lost VM exists again.
    pub fn start(&mut self, vm: usize) {
        if self.vms[vm].process.is_some() {
            return;
        }
        let random = u64::from(self.rng.random::<u16>());
        let incarnation = Incarnation(((UNIX_MS + self.now_ms) << 16) | random);
        let here = &mut self.vms[vm];
        here.exists = true;
        let id = MemberId { address: here.address, incarnation };
        let member = Member { id, domain: here.domain.to_owned(), weight: 1 };
        let seeds: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.address).collect();
        let now = self.base + Duration::from_millis(self.now_ms);
        let mut halves = Halves::new(id, self.settings, now);
        let specs: Vec<SearcherSpec> = self.searchers.iter().map(|(spec, _)| *spec).collect();
        halves.set_searchers(&specs, now);
        self.vms[vm].process = Some(Process {
            id,
            members: Members::new(member, seeds),
            assignments: AssignmentProposer::new(id),
            halves,
            clock_error: self.rng.random_range(-MAX_CLOCK_ERROR_MS..=MAX_CLOCK_ERROR_MS),
            suspended_ms: 0,
            paused: None,
            sub_queries: HashMap::new(),
            connections: HashMap::new(),
            outbox: Vec::new(),
            heartbeat_timeouts: Vec::new(),
            epoch: Epoch(0),
            next_list_ms: self.now_ms,
            target: Target::default(),
        });
    }

    pub fn end(&mut self, vm: usize, end: End) {
        let Some(process) = self.vms[vm].process.take() else { return };
        for (searcher, count) in process.connections {
            if end == End::VmLost {
                let until = self.now_ms + self.rng.random_range(0..MAX_SUB_QUERY_TIMEOUT_MS);
                self.orphaned_connections.push((searcher, count, until));
            }
        }
        if end == End::VmLost {
            self.vms[vm].exists = false;
        }
    }

    pub fn pause(&mut self, vm: usize, pause: Pause) {
        let now = self.now_ms;
        if let Some(process) = &mut self.vms[vm].process {
            process.paused.get_or_insert((pause, now));
        }
    }

    pub fn resume(&mut self, vm: usize) {
        let now = self.now_ms;
        let Some(process) = &mut self.vms[vm].process else { return };
        if let Some((Pause::Vm, since)) = process.paused.take() {
            process.suspended_ms += now - since;
        }
    }

    /// Lets a process announce that it is leaving, so that others take over from it.
    pub fn leave(&mut self, vm: usize) {
        if let Some(process) = &mut self.vms[vm].process {
            process.members.set_intent(Intent::Leaving);
        }
    }

    pub fn is_leaving(&self, vm: usize) -> bool {
        let process = self.vms[vm].process.as_ref();
        let state = process.and_then(|p| p.members.get(p.id.address)).map(|view| view.state);
        state == Some(State::Leaving)
    }

    /// Whether a process that has ended may still hold halves and was never recorded as listed.
    /// Also `true` if there is no epoch yet.
    pub fn has_lost_unlisted(&self) -> bool {
        let processes = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        let newest = processes.filter_map(|p| p.assignments.current()).max_by_key(|a| a.epoch);
        newest.is_none_or(|a| {
            let running =
                |id| self.vms.iter().any(|vm| vm.process.as_ref().is_some_and(|p| p.id == id));
            a.members.iter().any(|r| !r.listed && !r.released && !running(r.id))
        })
    }

    /// Ends all faults of the network, the store and paused processes.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.delay_ms = 2;
        self.store.mode = Mode::Up;
        self.store_group = None;
        self.groups.fill(0);
        for vm in 0..self.vms.len() {
            self.resume(vm);
        }
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.step();
        }
    }

    /// The reasons for which owners can't use all slots of their searchers; empty if they can.
    pub fn unusable(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let processes: Vec<&Process> =
            self.vms.iter().filter_map(|vm| vm.process.as_ref()).collect();
        let newest = processes.iter().map(|p| p.halves.epoch()).max().unwrap_or_default();
        for process in &processes {
            if process.halves.epoch() != newest {
                faults.push(format!("{} is at epoch {}", process.id, process.halves.epoch()));
            }
        }
        for (spec, _) in &self.searchers {
            let owner = processes.iter().find(|p| {
                p.halves.ownership().pair(spec.key).is_some_and(|pair| pair.owner == p.id)
            });
            let Some(owner) = owner else {
                faults.push(format!("{} has no running owner", spec.key));
                continue;
            };
            let allowance = owner.halves.allowance(spec.key, owner.now(self.base, self.now_ms));
            if allowance.slots + allowance.leased < spec.slots {
                faults.push(format!("{} is held by {}: {allowance:?}", spec.key, owner.id));
            }
        }
        faults
    }

    /// The slots of a searcher that a VM's process may use now, without and with a lease.
    pub fn slots(&self, vm: usize, searcher: usize) -> (u32, u32) {
        let Some(process) = &self.vms[vm].process else { return (0, 0) };
        let now = process.now(self.base, self.now_ms);
        let allowance = process.halves.allowance(self.searchers[searcher].0.key, now);
        (allowance.slots, allowance.leased)
    }

    /// The VMs of the owner and the successor of a searcher in the newest epoch.
    pub fn pair(&self, searcher: usize) -> (usize, usize) {
        let processes = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        let newest = processes.max_by_key(|p| p.halves.epoch()).expect("a process runs");
        let key = self.searchers[searcher].0.key;
        let pair = newest.halves.ownership().pair(key).expect("an epoch is in force");
        let vm = |id: MemberId| {
            self.vms.iter().position(|vm| vm.address == id.address).expect("a known VM")
        };
        (vm(pair.owner), vm(pair.successor))
    }

    /// The number of halves that a VM's process holds.
    pub fn held(&self, vm: usize) -> usize {
        let Some(process) = &self.vms[vm].process else { return 0 };
        process.halves.counts(process.now(self.base, self.now_ms)).held_halves
    }

    /// How many sub-queries the searchers have refused because of their deadlines.
    pub fn refused(&self) -> u64 {
        self.searchers.iter().map(|(_, searcher)| searcher.refused).sum()
    }

    /// The newest epoch in force at any process.
    pub fn epoch(&self) -> Epoch {
        let processes = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        processes.map(|p| p.halves.epoch()).max().unwrap_or_default()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.store.advance(self.now_ms);
        self.run_searchers();
        self.deliver();
        for vm in 0..self.vms.len() {
            let running = self.vms[vm].process.as_ref().is_some_and(|p| p.paused.is_none());
            if running {
                self.run(vm);
            }
        }
        self.check();
    }

    /// Checks the limits of all searchers, and that epochs rise and have one value each.
    fn check(&mut self) {
        for (i, (spec, searcher)) in self.searchers.iter().enumerate() {
            let busy = searcher.busy();
            assert!(busy <= searcher.slots as usize, "{busy} slots of {} in use", spec.key);
            let open: u32 = self
                .vms
                .iter()
                .filter_map(|vm| vm.process.as_ref())
                .filter_map(|p| p.connections.get(&i))
                .sum();
            let orphaned: u32 = self
                .orphaned_connections
                .iter()
                .filter(|(s, _, until)| *s == i && self.now_ms < *until)
                .map(|(_, count, _)| count)
                .sum();
            assert!(
                open + orphaned <= searcher.connections,
                "{open} and {orphaned} connections of {} are open",
                spec.key
            );
        }
        for process in self.vms.iter_mut().filter_map(|vm| vm.process.as_mut()) {
            let epoch = process.halves.epoch();
            assert!(epoch >= process.epoch, "{} went back to {epoch}", process.id);
            if epoch == process.epoch {
                continue;
            }
            process.epoch = epoch;
            let Some(current) = process.assignments.current() else { continue };
            let encoded = current.encode();
            let first = self.values.entry(current.epoch).or_insert_with(|| encoded.clone());
            assert!(*first == encoded, "two values for epoch {}", current.epoch);
        }
    }
}

impl Process {
    fn now(&self, base: Instant, now_ms: u64) -> Instant {
        base + Duration::from_millis(now_ms - self.suspended_ms)
    }

    fn clock(&self, base: Instant, now_ms: u64) -> Clock {
        let unix_ms = (UNIX_MS + now_ms).saturating_add_signed(self.clock_error);
        Clock { now: self.now(base, now_ms), unix_ms }
    }

    fn adopt(&mut self, now: Instant) {
        if let Some(current) = self.assignments.current() {
            self.halves.set_assignment(current, now);
            self.members.on_assignment(current, now);
        }
    }

    /// Drops sub-queries whose reply was lost, once the searcher has certainly ended them.
    fn drop_expired_sub_queries(&mut self, now_ms: u64) {
        let wall = (UNIX_MS + now_ms).saturating_add_signed(self.clock_error);
        for list in self.sub_queries.values_mut() {
            list.retain(|sub_query| wall < sub_query.deadline_ms + 2 * MAX_CLOCK_ERROR_MS as u64);
        }
    }
}

fn usage_of(
    sub_queries: &HashMap<usize, Vec<SubQuery>>,
    connections: &HashMap<usize, u32>,
    searcher: usize,
) -> Usage {
    let list = sub_queries.get(&searcher).map_or(&[][..], Vec::as_slice);
    let leased = list.iter().filter(|sub_query| sub_query.leased).count() as u32;
    Usage {
        slots: list.len() as u32 - leased,
        leased,
        connections: connections.get(&searcher).copied().unwrap_or(0),
    }
}
