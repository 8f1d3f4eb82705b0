//! Several daemons, a network that loses, delays and repeats messages, a store, a list of
//! VMs and searchers that count.

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

/// One step of the world.
const STEP_MS: u64 = 10;
const UNIX_MS: u64 = 1_700_000_000_000;
/// Wall clocks differ from true time by at most half of the allowed error.
const CLOCK_ERROR_MS: i64 = 25;
const LONGEST_WORK_MS: u64 = 5_000;
const CALL_LIMIT_MS: u64 = 1_000;
const LIST_PERIOD_MS: u64 = 5_000;
const LIST_LAG_MS: u64 = 10_000;
const DOMAINS: [&str; 3] = ["austin", "waco", "temple"];

/// How a process stops running for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pause {
    /// Its clocks go on.
    Process,
    /// The VM is suspended: the monotonic clock stands still.
    Vm,
}

/// How a process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The kernel closes its sockets; work at searchers goes on until its deadline.
    Crash,
    /// The VM is gone; its sockets stay open at searchers and the platform's list drops
    /// it later.
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
    Done(u64),
}

#[derive(Debug, Clone)]
struct Packet {
    at_ms: u64,
    from: usize,
    to: usize,
    body: Body,
}

#[derive(Debug, Clone)]
struct Request {
    at_ms: u64,
    searcher: usize,
    from: usize,
    work: u64,
    deadline_ms: u64,
    run_ms: u64,
}

#[derive(Debug)]
struct Work {
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
    clock_error: i64,
    /// Time for which the monotonic clock has stood still.
    stood_ms: u64,
    paused: Option<(Pause, u64)>,
    work: HashMap<usize, Vec<Work>>,
    connections: HashMap<usize, u32>,
    /// Checked and counted, but not yet sent.
    outbox: Vec<Request>,
    awaited: Vec<(u64, SocketAddr)>,
    epoch: Epoch,
    next_list_ms: u64,
    target: Target,
}

#[derive(Debug)]
pub struct Site {
    address: SocketAddr,
    domain: &'static str,
    pub process: Option<Process>,
    pub vm: bool,
}

pub struct World {
    now_ms: u64,
    base: Instant,
    rng: StdRng,
    pub sites: Vec<Site>,
    pub searchers: Vec<(SearcherSpec, Searcher)>,
    index: HashMap<SearcherKey, usize>,
    pub store: Store,
    pub loss: f64,
    pub delay_ms: u64,
    /// Sites in different groups do not reach each other.
    pub groups: Vec<u8>,
    pub store_group: Option<u8>,
    packets: Vec<Packet>,
    requests: Vec<Request>,
    /// Sockets of ended processes: searcher, count, end.
    lingering: Vec<(usize, u32, u64)>,
    lists: Vec<(u64, Vec<SocketAddr>)>,
    epochs: BTreeMap<Epoch, Vec<u8>>,
    next_work: u64,
    pub settings: HalvesSettings,
}

impl World {
    pub fn new(sites: usize, limits: &[(u32, u32)], seed: u64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let sites: Vec<Site> = (0..sites)
            .map(|i| Site {
                address: SocketAddr::from(([10, 0, 0, i as u8 + 1], 7000)),
                domain: DOMAINS[i % DOMAINS.len()],
                process: None,
                vm: true,
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
                let error = rng.random_range(-CLOCK_ERROR_MS..=CLOCK_ERROR_MS);
                (spec, Searcher::new(slots, connections, error))
            })
            .collect();
        let groups = vec![0; sites.len()];
        let mut world = World {
            now_ms: 0,
            base: Instant::now() + Duration::from_secs(3600),
            rng,
            sites,
            index: searchers.iter().enumerate().map(|(i, (s, _))| (s.key, i)).collect(),
            searchers,
            store: Store::new(),
            loss: 0.0,
            delay_ms: 2,
            groups,
            store_group: None,
            packets: Vec::new(),
            requests: Vec::new(),
            lingering: Vec::new(),
            lists: Vec::new(),
            epochs: BTreeMap::new(),
            next_work: 0,
            settings: HalvesSettings {
                max_work_timeout: Duration::from_millis(LONGEST_WORK_MS),
                ..HalvesSettings::default()
            },
        };
        for site in 0..world.sites.len() {
            world.start(site);
        }
        world
    }

    /// Starts a process with empty memory.
    pub fn start(&mut self, site: usize) {
        if self.sites[site].process.is_some() {
            return;
        }
        let random = u64::from(self.rng.random::<u16>());
        let incarnation = Incarnation(((UNIX_MS + self.now_ms) << 16) | random);
        let here = &mut self.sites[site];
        here.vm = true;
        let id = MemberId { address: here.address, incarnation };
        let member = Member { id, domain: here.domain.to_owned(), weight: 1 };
        let seeds: Vec<SocketAddr> = self.sites.iter().map(|s| s.address).collect();
        let now = self.base + Duration::from_millis(self.now_ms);
        let mut halves = Halves::new(id, self.settings, now);
        let specs: Vec<SearcherSpec> = self.searchers.iter().map(|(spec, _)| *spec).collect();
        halves.set_searchers(&specs, now);
        self.sites[site].process = Some(Process {
            id,
            members: Members::new(member, seeds),
            assignments: AssignmentProposer::new(id),
            halves,
            clock_error: self.rng.random_range(-CLOCK_ERROR_MS..=CLOCK_ERROR_MS),
            stood_ms: 0,
            paused: None,
            work: HashMap::new(),
            connections: HashMap::new(),
            outbox: Vec::new(),
            awaited: Vec::new(),
            epoch: Epoch(0),
            next_list_ms: self.now_ms,
            target: Target::default(),
        });
    }

    pub fn end(&mut self, site: usize, end: End) {
        let Some(process) = self.sites[site].process.take() else { return };
        for (searcher, count) in process.connections {
            if end == End::VmLost {
                let until = self.now_ms + self.rng.random_range(0..LONGEST_WORK_MS);
                self.lingering.push((searcher, count, until));
            }
        }
        if end == End::VmLost {
            self.sites[site].vm = false;
        }
    }

    pub fn pause(&mut self, site: usize, pause: Pause) {
        let now = self.now_ms;
        if let Some(process) = &mut self.sites[site].process {
            process.paused.get_or_insert((pause, now));
        }
    }

    pub fn resume(&mut self, site: usize) {
        let now = self.now_ms;
        let Some(process) = &mut self.sites[site].process else { return };
        if let Some((Pause::Vm, since)) = process.paused.take() {
            process.stood_ms += now - since;
        }
    }

    /// Announces that the process stops and lets others take over from it.
    pub fn leave(&mut self, site: usize) {
        if let Some(process) = &mut self.sites[site].process {
            process.members.set_intent(Intent::Leaving);
        }
    }

    pub fn is_leaving(&self, site: usize) -> bool {
        let process = self.sites[site].process.as_ref();
        let state = process.and_then(|p| p.members.get(p.id.address)).map(|view| view.state);
        state == Some(State::Leaving)
    }

    /// Whether a process that may hold something was never marked as listed, or nobody knows,
    /// because there is no epoch.
    pub fn lost_unlisted(&self) -> bool {
        let processes = self.sites.iter().filter_map(|site| site.process.as_ref());
        let newest = processes.filter_map(|p| p.assignments.current()).max_by_key(|a| a.epoch);
        newest.is_none_or(|a| {
            let running =
                |id| self.sites.iter().any(|s| s.process.as_ref().is_some_and(|p| p.id == id));
            a.members.iter().any(|r| !r.listed && !r.released && !running(r.id))
        })
    }

    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.delay_ms = 2;
        self.store.mode = Mode::Up;
        self.store_group = None;
        self.groups.fill(0);
        for site in 0..self.sites.len() {
            self.resume(site);
        }
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.step();
        }
    }

    /// Whether each searcher can be used fully by its owner, and why not.
    pub fn unusable(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let processes: Vec<&Process> =
            self.sites.iter().filter_map(|site| site.process.as_ref()).collect();
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

    /// The slots of a searcher that a site may use now.
    pub fn slots(&self, site: usize, searcher: usize) -> (u32, u32) {
        let Some(process) = &self.sites[site].process else { return (0, 0) };
        let now = process.now(self.base, self.now_ms);
        let allowance = process.halves.allowance(self.searchers[searcher].0.key, now);
        (allowance.slots, allowance.leased)
    }

    /// The site that is the owner of a searcher in the newest epoch, and the successor.
    pub fn pair(&self, searcher: usize) -> (usize, usize) {
        let processes = self.sites.iter().filter_map(|site| site.process.as_ref());
        let newest = processes.max_by_key(|p| p.halves.epoch()).expect("a process runs");
        let key = self.searchers[searcher].0.key;
        let pair = newest.halves.ownership().pair(key).expect("an epoch is in force");
        let site = |id: MemberId| {
            self.sites.iter().position(|s| s.address == id.address).expect("a known site")
        };
        (site(pair.owner), site(pair.successor))
    }

    /// The number of halves that a site holds.
    pub fn held(&self, site: usize) -> usize {
        let Some(process) = &self.sites[site].process else { return 0 };
        process.halves.counts(process.now(self.base, self.now_ms)).held_halves
    }

    /// How much work all searchers have refused because of its deadline.
    pub fn refused(&self) -> u64 {
        self.searchers.iter().map(|(_, searcher)| searcher.refused).sum()
    }

    /// The newest epoch at any process.
    pub fn epoch(&self) -> Epoch {
        let processes = self.sites.iter().filter_map(|site| site.process.as_ref());
        processes.map(|p| p.halves.epoch()).max().unwrap_or_default()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.store.advance(self.now_ms);
        self.run_searchers();
        self.deliver();
        for site in 0..self.sites.len() {
            let running = self.sites[site].process.as_ref().is_some_and(|p| p.paused.is_none());
            if running {
                self.run(site);
            }
        }
        self.check();
    }

    fn check(&mut self) {
        for (i, (spec, searcher)) in self.searchers.iter().enumerate() {
            let busy = searcher.busy();
            assert!(busy <= searcher.slots as usize, "{busy} slots of {} in use", spec.key);
            let open: u32 = self
                .sites
                .iter()
                .filter_map(|site| site.process.as_ref())
                .filter_map(|p| p.connections.get(&i))
                .sum();
            let late: u32 = self
                .lingering
                .iter()
                .filter(|(s, _, until)| *s == i && self.now_ms < *until)
                .map(|(_, count, _)| count)
                .sum();
            assert!(
                open + late <= searcher.connections,
                "{open} and {late} connections of {} are open",
                spec.key
            );
        }
        for process in self.sites.iter_mut().filter_map(|site| site.process.as_mut()) {
            let epoch = process.halves.epoch();
            assert!(epoch >= process.epoch, "{} went back to {epoch}", process.id);
            if epoch == process.epoch {
                continue;
            }
            process.epoch = epoch;
            let Some(current) = process.assignments.current() else { continue };
            let encoded = current.encode();
            let first = self.epochs.entry(current.epoch).or_insert_with(|| encoded.clone());
            assert!(*first == encoded, "two values for epoch {}", current.epoch);
        }
    }
}

impl Process {
    fn now(&self, base: Instant, now_ms: u64) -> Instant {
        base + Duration::from_millis(now_ms - self.stood_ms)
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

    /// Forgets work whose reply was lost, when the searcher has certainly ended it.
    fn finish_work(&mut self, now_ms: u64) {
        let wall = (UNIX_MS + now_ms).saturating_add_signed(self.clock_error);
        for list in self.work.values_mut() {
            list.retain(|work| wall < work.deadline_ms + 2 * CLOCK_ERROR_MS as u64);
        }
    }
}

fn usage_of(
    work: &HashMap<usize, Vec<Work>>,
    connections: &HashMap<usize, u32>,
    searcher: usize,
) -> Usage {
    let list = work.get(&searcher).map_or(&[][..], Vec::as_slice);
    let leased = list.iter().filter(|work| work.leased).count() as u32;
    Usage {
        slots: list.len() as u32 - leased,
        leased,
        connections: connections.get(&searcher).copied().unwrap_or(0),
    }
}
