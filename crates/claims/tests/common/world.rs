//! Daemons, callers, a faulty store and a searcher on a simulated clock and network.
//!
//! Every daemon does one thing at a time: it carries out one action or takes one event.
//! A pause or a restart can fall between any two of them.

mod run;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::Store;
use super::UNIX_MS;
use super::uuid_at;
use tt_claims::Answer;
use tt_claims::BodyDigest;
use tt_claims::CallerAttempt;
use tt_claims::ClaimId;
use tt_claims::ClaimRequest;
use tt_claims::Claimant;
use tt_claims::ClaimantAction;
use tt_claims::ClaimantEvent;
use tt_claims::ClaimantSettings;
use tt_claims::FencingToken;
use tt_claims::Now;
use tt_claims::Partition;
use tt_claims::PartitionAction;
use tt_claims::PartitionEvent;
use tt_claims::PartitionId;
use tt_claims::PartitionSettings;
use tt_claims::RequestKey;
use tt_claims::Start;
use tt_claims::Submission;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::StoreCall;

pub const DAEMONS: usize = 3;
pub const BODIES: [&[u8]; 2] = [b"body a", b"body b"];
const RETENTION: Duration = Duration::from_secs(20);
const CALLER_WAIT_MS: u64 = 3_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Down,
    Slow,
    Losing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearcherMode {
    Good,
    Faulty,
}

/// How a caller numbers its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Numbering {
    Counted,
    Unstated,
}

/// What the oracle knows about one request id and body.
#[derive(Debug, Clone, Default)]
pub struct Tale {
    /// Attempt and result of each run.
    pub runs: Vec<(u32, Vec<u8>)>,
    /// The highest attempt that was answered "not run".
    pub not_run: Option<u32>,
    /// Results reported as done.
    pub done: Vec<Answer>,
    attempts: u32,
}

pub struct Request {
    pub key: RequestKey,
    pub numbering: Numbering,
    pub tales: [Tale; 2],
}

pub struct Sub {
    request: usize,
    body: usize,
    attempt: u32,
    home: (usize, u64),
    sent: u32,
    pub answers: Vec<Answer>,
}

struct Daemon {
    generation: u64,
    up: bool,
    paused_until: u64,
    skew_ms: i64,
    view: (u64, usize),
    partition: Option<(u64, Partition)>,
    claimants: BTreeMap<usize, Claimant>,
    tags: HashMap<u64, Caller>,
    inbox: VecDeque<Input>,
    outbox: VecDeque<Output>,
}

/// Where the answer to a call goes.
struct Caller {
    home: (usize, u64),
    sub: usize,
    call: u32,
}

#[derive(Clone)]
enum Input {
    Partition(u64, PartitionEvent),
    Claimant(usize, ClaimantEvent),
}

enum Output {
    Partition(u64, PartitionAction),
    Claimant(usize, ClaimantAction),
}

enum Flight {
    Store { home: (usize, u64), serial: u64, call: u64, request: StoreCall },
    Effect(StoreCall),
    Rpc { home: (usize, u64), to: usize, sub: usize, call: u32, request: ClaimRequest },
    Search { home: (usize, u64), sub: usize },
    Deliver { home: (usize, u64), input: Input },
}

enum Choice {
    Flight(usize),
    Act(usize),
    Take(usize),
    PartitionTimer(usize),
    ClaimantTimer(usize, usize),
}

pub struct World {
    pub t: u64,
    base: Instant,
    rng: StdRng,
    pub store: Store,
    pub store_mode: StoreMode,
    pub searcher_mode: SearcherMode,
    network_faults: f64,
    epoch: u64,
    owner: usize,
    daemons: Vec<Daemon>,
    flights: Vec<(u64, Flight)>,
    pub subs: Vec<Sub>,
    pub requests: Vec<Request>,
    serial: u64,
    pub steps: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let daemons = (0..DAEMONS)
            .map(|i| Daemon {
                generation: i as u64 + 1,
                up: true,
                paused_until: 0,
                skew_ms: [-1_500, 0, 1_500][i % 3],
                view: (0, 0),
                partition: None,
                claimants: BTreeMap::new(),
                tags: HashMap::new(),
                inbox: VecDeque::new(),
                outbox: VecDeque::new(),
            })
            .collect();
        let mut world = World {
            t: 0,
            base: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            store: Store::default(),
            store_mode: StoreMode::Up,
            searcher_mode: SearcherMode::Faulty,
            network_faults: 0.03,
            epoch: 0,
            owner: 0,
            daemons,
            flights: Vec::new(),
            subs: Vec::new(),
            requests: Vec::new(),
            serial: 100,
            steps: 0,
        };
        world.assign(0);
        (0..DAEMONS).for_each(|i| world.learn(i));
        world
    }

    fn now(&self, daemon: usize) -> Now {
        let unix_ms = (UNIX_MS + self.t).saturating_add_signed(self.daemons[daemon].skew_ms);
        Now { instant: self.base + Duration::from_millis(self.t), unix_ms }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// A new request id of partition 0.
    pub fn create(&mut self, ahead_ms: u64, numbering: Numbering) -> usize {
        let key = loop {
            let id = uuid_at(UNIX_MS + self.t + ahead_ms, self.next_serial());
            let key = RequestKey::new("cashier-office", id).unwrap();
            if key.partition() == PartitionId(0) {
                break key;
            }
        };
        self.requests.push(Request { key, numbering, tales: Default::default() });
        self.requests.len() - 1
    }

    /// The caller sends the request to a daemon.
    pub fn submit(&mut self, request: usize, body: usize, daemon: usize, start: Start) {
        if !self.daemons[daemon].up {
            return;
        }
        let Request { key, numbering, tales } = &mut self.requests[request];
        let key = *key;
        let attempt = match numbering {
            Numbering::Unstated => 0,
            Numbering::Counted => {
                tales[body].attempts += 1;
                tales[body].attempts
            }
        };
        let now = self.now(daemon);
        let submission = Submission {
            key,
            digest: BodyDigest::of(BODIES[body]),
            attempt: CallerAttempt(attempt),
            claim: ClaimId(u128::from(self.next_serial())),
            deadline: now.instant + Duration::from_millis(CALLER_WAIT_MS),
            deadline_unix_ms: now.unix_ms + CALLER_WAIT_MS,
            start,
        };
        let settings = ClaimantSettings::default();
        let (claimant, actions) = Claimant::new(submission, settings, now);
        let sub = self.subs.len();
        let home = (daemon, self.daemons[daemon].generation);
        self.subs.push(Sub { request, body, attempt, home, sent: 0, answers: Vec::new() });
        let target = &mut self.daemons[daemon];
        target.claimants.insert(sub, claimant);
        target.outbox.extend(actions.into_iter().map(|action| Output::Claimant(sub, action)));
    }

    /// The assignment names another owner; no daemon knows yet.
    pub fn assign(&mut self, owner: usize) {
        self.epoch += 1;
        self.owner = owner;
    }

    /// A daemon learns the current assignment.
    pub fn learn(&mut self, daemon: usize) {
        let view = (self.epoch, self.owner);
        let serial = self.next_serial();
        let now = self.now(daemon);
        let target = &mut self.daemons[daemon];
        if !target.up {
            return;
        }
        // A release that is still on its way does not stand against a new ownership.
        let owned = target.view.1 == daemon;
        target.view = view;
        match &target.partition {
            Some((serial, _)) if view.1 != daemon => {
                target.inbox.push_back(Input::Partition(*serial, PartitionEvent::Release));
            }
            Some((_, partition))
                if owned && partition.status() != tt_claims::PartitionStatus::Retired => {}
            _ if view.1 == daemon => {
                let token = FencingToken {
                    epoch: Epoch(view.0),
                    incarnation: Incarnation(target.generation),
                };
                let settings = PartitionSettings {
                    retention: RETENTION,
                    prune_interval: Duration::from_secs(1),
                    max_segment_bytes: 500,
                    read_window: 3,
                    ..PartitionSettings::default()
                };
                let partition = Partition::new(PartitionId(0), token, settings, now);
                target.partition = Some((serial, partition));
            }
            _ => {}
        }
    }

    pub fn pause(&mut self, daemon: usize, ms: u64) {
        self.daemons[daemon].paused_until = self.t + ms;
    }

    /// The process ends; everything in its memory is lost.
    pub fn kill(&mut self, daemon: usize) {
        let generation = self.next_serial();
        let target = &mut self.daemons[daemon];
        target.up = false;
        target.generation = generation;
        target.partition = None;
        target.view = (0, daemon);
        target.claimants.clear();
        target.tags.clear();
        target.inbox.clear();
        target.outbox.clear();
    }

    pub fn start(&mut self, daemon: usize) {
        if !self.daemons[daemon].up {
            self.daemons[daemon].up = true;
            self.learn(daemon);
        }
    }

    /// Ends all faults and lets everything in flight finish.
    pub fn heal(&mut self) {
        self.store_mode = StoreMode::Up;
        self.searcher_mode = SearcherMode::Good;
        self.network_faults = 0.0;
        self.assign((self.owner + 1) % DAEMONS);
        for daemon in 0..DAEMONS {
            self.daemons[daemon].paused_until = 0;
            self.start(daemon);
        }
        self.run_and_learn(70_000);
    }

    /// Runs while every daemon keeps up with the assignment: an owner replaces a partition
    /// that has retired.
    pub fn run_and_learn(&mut self, ms: u64) {
        for _ in 0..ms / 500 {
            (0..DAEMONS).for_each(|daemon| self.learn(daemon));
            self.run_for(500);
        }
    }

    /// Whether the daemon that took the submission still runs.
    pub fn is_alive(&self, sub: &Sub) -> bool {
        self.daemons[sub.home.0].generation == sub.home.1
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.t + ms;
        while self.step(end) {}
        self.t = self.t.max(end);
    }
}
