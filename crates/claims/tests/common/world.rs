//! Daemons, callers, a faulty store and a searcher on a simulated clock and network.
//!
//! Every daemon does one thing at a time: it carries out one action or takes one event.
//! A pause or a restart can fall between any two of them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tt_claims::Answer;
use tt_claims::Attempt;
use tt_claims::BodyDigest;
use tt_claims::ClaimId;
use tt_claims::ClaimRequest;
use tt_claims::Claimant;
use tt_claims::ClaimantAction;
use tt_claims::ClaimantEvent;
use tt_claims::ClaimantSettings;
use tt_claims::Now;
use tt_claims::Partition;
use tt_claims::PartitionAction;
use tt_claims::PartitionEvent;
use tt_claims::PartitionId;
use tt_claims::PartitionSettings;
use tt_claims::RequestKey;
use tt_claims::RunOutcome;
use tt_claims::Start;
use tt_claims::Submission;
use tt_claims::Token;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::Ran;
use tt_model::ResultCode;
use tt_model::StoreCall;
use tt_model::StoreReply;

use super::Store;
use super::UNIX_MS;
use super::uuid_at;

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
    tags: HashMap<u64, (usize, u64, usize, u32)>,
    inbox: VecDeque<Input>,
    outbox: VecDeque<Output>,
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
        Now { at: self.base + Duration::from_millis(self.t), unix_ms }
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
            attempt: Attempt(attempt),
            claim: ClaimId(u128::from(self.next_serial())),
            deadline: now.at + Duration::from_millis(CALLER_WAIT_MS),
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
                let token =
                    Token { epoch: Epoch(view.0), incarnation: Incarnation(target.generation) };
                let settings = PartitionSettings {
                    retention: RETENTION,
                    prune_gap: Duration::from_secs(1),
                    segment_bytes: 500,
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

    /// Does one thing; moves the clock, at most to `end`, if there is nothing to do.
    pub fn step(&mut self, end: u64) -> bool {
        let mut choices = Vec::new();
        let mut next = u64::MAX;
        for (index, (at, _)) in self.flights.iter().enumerate() {
            if *at <= self.t {
                choices.push(Choice::Flight(index));
            }
            next = next.min(*at);
        }
        for (index, daemon) in self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.up) {
            if daemon.paused_until > self.t {
                next = next.min(daemon.paused_until);
                continue;
            }
            if !daemon.outbox.is_empty() {
                choices.push(Choice::Act(index));
                continue;
            }
            if !daemon.inbox.is_empty() {
                choices.push(Choice::Take(index));
            }
            let mut timer = |at: Instant, choice: Choice| {
                let at = (at - self.base).as_millis() as u64;
                if at <= self.t {
                    choices.push(choice);
                }
                next = next.min(at);
            };
            if let Some(at) = daemon.partition.as_ref().and_then(|(_, p)| p.next_timer()) {
                timer(at, Choice::PartitionTimer(index));
            }
            for (sub, claimant) in &daemon.claimants {
                if let Some(at) = claimant.next_timer() {
                    timer(at, Choice::ClaimantTimer(index, *sub));
                }
            }
        }
        if choices.is_empty() {
            if next > end {
                return false;
            }
            self.t = self.t.max(next);
            return true;
        }
        self.steps += 1;
        let index = self.rng.random_range(0..choices.len());
        match choices.swap_remove(index) {
            Choice::Flight(index) => {
                let (_, flight) = self.flights.swap_remove(index);
                self.arrive(flight);
            }
            Choice::Act(daemon) => self.act(daemon),
            Choice::Take(daemon) => {
                if let Some(input) = self.daemons[daemon].inbox.pop_front() {
                    self.take(daemon, input);
                }
            }
            Choice::PartitionTimer(daemon) => {
                let serial = self.daemons[daemon].partition.as_ref().unwrap().0;
                self.take(daemon, Input::Partition(serial, PartitionEvent::Timer));
            }
            Choice::ClaimantTimer(daemon, sub) => {
                self.take(daemon, Input::Claimant(sub, ClaimantEvent::Timer));
            }
        }
        true
    }

    fn take(&mut self, index: usize, input: Input) {
        let now = self.now(index);
        let daemon = &mut self.daemons[index];
        match input {
            Input::Partition(serial, event) => {
                if let Some((current, partition)) = &mut daemon.partition
                    && *current == serial
                {
                    let actions = partition.handle(event, now);
                    daemon.outbox.extend(
                        actions.into_iter().map(|action| Output::Partition(serial, action)),
                    );
                }
            }
            Input::Claimant(sub, event) => {
                if let Some(claimant) = daemon.claimants.get_mut(&sub) {
                    let actions = claimant.handle(event, now);
                    if claimant.is_finished() {
                        daemon.claimants.remove(&sub);
                    }
                    daemon
                        .outbox
                        .extend(actions.into_iter().map(|action| Output::Claimant(sub, action)));
                }
            }
        }
    }

    fn act(&mut self, index: usize) {
        let home = (index, self.daemons[index].generation);
        match self.daemons[index].outbox.pop_front() {
            Some(Output::Partition(serial, PartitionAction::Store { call, request })) => {
                let delay = match self.store_mode {
                    StoreMode::Slow if self.rng.random_bool(0.05) => {
                        self.rng.random_range(3_000..60_000)
                    }
                    StoreMode::Slow => self.rng.random_range(50..3_000),
                    _ => self.rng.random_range(1..5),
                };
                self.fly(delay, Flight::Store { home, serial, call, request });
            }
            Some(Output::Partition(_, PartitionAction::Reply { tag, reply })) => {
                let Some((daemon, generation, sub, call)) = self.daemons[index].tags.remove(&tag)
                else {
                    panic!("call {tag} is answered twice");
                };
                let event = if self.rng.random_bool(0.03) {
                    ClaimantEvent::CallFailed { call }
                } else {
                    ClaimantEvent::Reply { call, reply }
                };
                let input = Input::Claimant(sub, event);
                self.deliver((daemon, generation), input);
            }
            Some(Output::Claimant(sub, ClaimantAction::Call { call, request, .. })) => {
                let to = self.daemons[index].view.1;
                if self.rng.random_bool(0.03) {
                    let again = request.clone();
                    let delay = self.rng.random_range(1..5_000);
                    self.fly(delay, Flight::Rpc { home, to, sub, call, request: again });
                }
                let delay = match self.rng.random_range(0..10) {
                    0 => self.rng.random_range(5..2_500),
                    _ => self.rng.random_range(1..5),
                };
                self.fly(delay, Flight::Rpc { home, to, sub, call, request });
            }
            Some(Output::Claimant(sub, ClaimantAction::Prepare)) => {
                let event = match self.rng.random_range(0..10) {
                    0 => ClaimantEvent::GiveUp { code: ResultCode::Draining },
                    _ => ClaimantEvent::Prepared,
                };
                self.deliver(home, Input::Claimant(sub, event));
            }
            Some(Output::Claimant(sub, ClaimantAction::Send)) => {
                self.subs[sub].sent += 1;
                assert_eq!(self.subs[sub].sent, 1, "a submission is sent twice");
                let delay = self.rng.random_range(1..5);
                self.fly(delay, Flight::Search { home, sub });
            }
            Some(Output::Claimant(sub, ClaimantAction::Answer(answer))) => {
                self.answered(sub, answer);
            }
            None => {}
        }
    }

    fn arrive(&mut self, flight: Flight) {
        match flight {
            Flight::Store { home, serial, call, request } => {
                let reply = self.run_store(&request);
                let event = PartitionEvent::Store { call, reply };
                self.deliver(home, Input::Partition(serial, event));
            }
            Flight::Effect(request) => {
                self.store.run(&request);
            }
            Flight::Rpc { home, to, sub, call, request } => {
                let tag = self.next_serial();
                let target = &mut self.daemons[to];
                match &target.partition {
                    Some((serial, _)) if target.up && !self.rng.random_bool(0.03) => {
                        target.tags.insert(tag, (home.0, home.1, sub, call));
                        let event = PartitionEvent::Request { tag, request };
                        target.inbox.push_back(Input::Partition(*serial, event));
                    }
                    _ => {
                        let input = Input::Claimant(sub, ClaimantEvent::CallFailed { call });
                        self.deliver(home, input);
                    }
                }
            }
            Flight::Search { home, sub } => self.search(home, sub),
            Flight::Deliver { home, input } => {
                let daemon = &mut self.daemons[home.0];
                if daemon.up && daemon.generation == home.1 {
                    daemon.inbox.push_back(input);
                }
            }
        }
    }

    fn run_store(&mut self, request: &StoreCall) -> StoreReply {
        match self.store_mode {
            StoreMode::Up | StoreMode::Slow => self.store.run(request),
            StoreMode::Down => StoreReply::Unavailable,
            StoreMode::Losing => match self.rng.random_range(0..7) {
                0 | 1 => {
                    self.store.run(request);
                    StoreReply::Lost
                }
                2 => StoreReply::Lost,
                3 => {
                    let delay = self.rng.random_range(1..30_000);
                    self.fly(delay, Flight::Effect(request.clone()));
                    StoreReply::Lost
                }
                4 => self.store.run_stale(request),
                _ => self.store.run(request),
            },
        }
    }

    /// The searcher, which would run everything that reaches it.
    fn search(&mut self, home: (usize, u64), sub: usize) {
        let roll = match self.searcher_mode {
            SearcherMode::Good => 9,
            SearcherMode::Faulty => self.rng.random_range(0..10),
        };
        let outcome = match roll {
            0 => RunOutcome::Broken,
            1 | 2 => RunOutcome::NotExecuted(ResultCode::NoReplica),
            _ => {
                let mut result = format!("run {}", self.next_serial()).into_bytes();
                if self.rng.random_bool(0.2) {
                    result.resize(tt_claims::MAX_RESULT_BYTES + 1, b'.');
                }
                let Sub { request, body, attempt, .. } = self.subs[sub];
                self.requests[request].tales[body].runs.push((attempt, result.clone()));
                if roll == 3 { RunOutcome::Broken } else { RunOutcome::Done(result) }
            }
        };
        let delay = if roll == 4 { 4_000 } else { 2 };
        let input = Input::Claimant(sub, ClaimantEvent::Ran(outcome));
        self.fly(delay, Flight::Deliver { home, input });
    }

    fn answered(&mut self, index: usize, answer: Answer) {
        let sub = &mut self.subs[index];
        sub.answers.push(answer.clone());
        assert_eq!(sub.answers.len(), 1, "a submission is answered twice: {:?}", sub.answers);
        let tale = &mut self.requests[sub.request].tales[sub.body];
        match answer {
            Answer::NotRun(code) => {
                assert_eq!(code.ran(), Ran::No, "{code}");
                tale.not_run = Some(tale.not_run.map_or(sub.attempt, |n| n.max(sub.attempt)));
            }
            Answer::Unknown(code) => assert_eq!(code.ran(), Ran::Unknown, "{code}"),
            Answer::Done(_) | Answer::DoneOmitted(_) => tale.done.push(answer),
        }
    }

    fn deliver(&mut self, home: (usize, u64), input: Input) {
        let delay = self.rng.random_range(1..5);
        self.fly(delay, Flight::Deliver { home, input });
    }

    fn fly(&mut self, delay: u64, flight: Flight) {
        self.flights.push((self.t + delay, flight));
    }
}
