//! A simulation of daemons, callers, a faulty store and a searcher, with a simulated clock and
//! network.
//!
//! A step of a daemon carries out one action or handles one event, so that a pause or a
//! restart can happen between any two of them.

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

pub const DAEMON_COUNT: usize = 3;
pub const BODIES: [&[u8]; 2] = [b"body a", b"body b"];
const RETENTION: Duration = Duration::from_secs(20);
const CALLER_WAIT_MS: u64 = 3_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Down,
    Slow,
    /// Calls or their replies may be lost, calls may take effect late, and reads may return an
    /// earlier value.
    Lossy,
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

/// What happened to the requests with one id and body.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Attempt and result of each run.
    pub runs: Vec<(u32, Vec<u8>)>,
    /// The highest caller attempt that was answered "not run".
    pub not_run: Option<u32>,
    /// Answers that stated a result.
    pub done: Vec<Answer>,
    attempts: u32,
}

pub struct Request {
    pub key: RequestKey,
    pub numbering: Numbering,
    /// By index into [`BODIES`].
    pub histories: [History; 2],
}

/// A submission as the test observes it.
pub struct SubmissionRecord {
    request: usize,
    body: usize,
    attempt: u32,
    /// Index and generation of the daemon that took the submission.
    origin: (usize, u64),
    sent: u32,
    pub answers: Vec<Answer>,
}

struct Daemon {
    /// Identifies the process; a restart changes it.
    generation: u64,
    up: bool,
    paused_until_ms: u64,
    skew_ms: i64,
    /// The epoch and the owner that the daemon knows.
    assignment: (u64, usize),
    /// The serial number and the state machine of the ownership.
    partition: Option<(u64, Partition)>,
    claimants: BTreeMap<usize, Claimant>,
    /// Calls to the partition without a reply, by tag.
    pending_calls: HashMap<u64, ReplyTo>,
    inbox: VecDeque<Input>,
    outbox: VecDeque<Output>,
}

/// The claimant that gets the reply to a call.
struct ReplyTo {
    origin: (usize, u64),
    submission: usize,
    call: u32,
}

#[derive(Clone)]
enum Input {
    /// For the ownership with this serial number.
    Partition(u64, PartitionEvent),
    /// For the claimant of this submission.
    Claimant(usize, ClaimantEvent),
}

enum Output {
    Partition(u64, PartitionAction),
    Claimant(usize, ClaimantAction),
}

/// A message in flight.
enum InFlight {
    /// From a partition owner to the store.
    Store { origin: (usize, u64), serial: u64, call: u64, request: StoreCall },
    /// A store call whose caller has already been told that it is lost.
    LateEffect(StoreCall),
    /// From a claimant to a partition owner.
    ClaimCall {
        origin: (usize, u64),
        to: usize,
        submission: usize,
        call: u32,
        request: ClaimRequest,
    },
    /// From an entry to the searcher.
    Search { origin: (usize, u64), submission: usize },
    /// To a process of a daemon.
    Deliver { origin: (usize, u64), input: Input },
}

/// A step that the simulation can take next.
enum Choice {
    Arrival(usize),
    RunAction(usize),
    HandleInput(usize),
    PartitionTimer(usize),
    ClaimantTimer(usize, usize),
}

pub struct World {
    /// Time since the start of the simulation.
    pub now_ms: u64,
    start_time: Instant,
    rng: StdRng,
    pub store: Store,
    pub store_mode: StoreMode,
    pub searcher_mode: SearcherMode,
    /// Base probability of each kind of network fault.
    fault_rate: f64,
    epoch: u64,
    owner: usize,
    daemons: Vec<Daemon>,
    /// Messages in flight, with their time of arrival in ms.
    in_flight: Vec<(u64, InFlight)>,
    pub submissions: Vec<SubmissionRecord>,
    pub requests: Vec<Request>,
    serial: u64,
    pub steps: u64,
}

impl World {
    pub fn new(seed: u64) -> World {
        let daemons = (0..DAEMON_COUNT)
            .map(|i| Daemon {
                generation: i as u64 + 1,
                up: true,
                paused_until_ms: 0,
                skew_ms: [-1_500, 0, 1_500][i % 3],
                assignment: (0, 0),
                partition: None,
                claimants: BTreeMap::new(),
                pending_calls: HashMap::new(),
                inbox: VecDeque::new(),
                outbox: VecDeque::new(),
            })
            .collect();
        let mut world = World {
            now_ms: 0,
            start_time: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            store: Store::default(),
            store_mode: StoreMode::Up,
            searcher_mode: SearcherMode::Faulty,
            fault_rate: 0.03,
            epoch: 0,
            owner: 0,
            daemons,
            in_flight: Vec::new(),
            submissions: Vec::new(),
            requests: Vec::new(),
            serial: 100,
            steps: 0,
        };
        world.assign(0);
        (0..DAEMON_COUNT).for_each(|i| world.learn(i));
        world
    }

    fn now(&self, daemon: usize) -> Now {
        let unix_ms = (UNIX_MS + self.now_ms).saturating_add_signed(self.daemons[daemon].skew_ms);
        Now { instant: self.start_time + Duration::from_millis(self.now_ms), unix_ms }
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Creates a request id of partition 0, whose time is `ahead_ms` ahead.
    pub fn create(&mut self, ahead_ms: u64, numbering: Numbering) -> usize {
        let key = loop {
            let id = uuid_at(UNIX_MS + self.now_ms + ahead_ms, self.next_serial());
            let key = RequestKey::new("cashier-office", id).unwrap();
            if key.partition() == PartitionId(0) {
                break key;
            }
        };
        self.requests.push(Request { key, numbering, histories: Default::default() });
        self.requests.len() - 1
    }

    /// Sends the request to a daemon, as a caller does.
    pub fn submit(&mut self, request: usize, body: usize, daemon: usize, start: Start) {
        if !self.daemons[daemon].up {
            return;
        }
        let Request { key, numbering, histories } = &mut self.requests[request];
        let key = *key;
        let attempt = match numbering {
            Numbering::Unstated => 0,
            Numbering::Counted => {
                histories[body].attempts += 1;
                histories[body].attempts
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
        let index = self.submissions.len();
        let origin = (daemon, self.daemons[daemon].generation);
        self.submissions.push(SubmissionRecord {
            request,
            body,
            attempt,
            origin,
            sent: 0,
            answers: Vec::new(),
        });
        let target = &mut self.daemons[daemon];
        target.claimants.insert(index, claimant);
        target.outbox.extend(actions.into_iter().map(|action| Output::Claimant(index, action)));
    }

    /// Makes `owner` the partition owner in a new epoch, which no daemon knows yet.
    pub fn assign(&mut self, owner: usize) {
        self.epoch += 1;
        self.owner = owner;
    }

    /// Tells a daemon the current assignment.
    pub fn learn(&mut self, daemon: usize) {
        let assignment = (self.epoch, self.owner);
        let serial = self.next_serial();
        let now = self.now(daemon);
        let target = &mut self.daemons[daemon];
        if !target.up {
            return;
        }
        // A release that is still in the inbox must not prevent a new ownership.
        let owned = target.assignment.1 == daemon;
        target.assignment = assignment;
        match &target.partition {
            Some((serial, _)) if assignment.1 != daemon => {
                target.inbox.push_back(Input::Partition(*serial, PartitionEvent::Release));
            }
            Some((_, partition))
                if owned && partition.status() != tt_claims::PartitionStatus::Retired => {}
            _ if assignment.1 == daemon => {
                let token = FencingToken {
                    epoch: Epoch(assignment.0),
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
        self.daemons[daemon].paused_until_ms = self.now_ms + ms;
    }

    /// Ends the process of a daemon, which loses its memory.
    pub fn kill(&mut self, daemon: usize) {
        let generation = self.next_serial();
        let target = &mut self.daemons[daemon];
        target.up = false;
        target.generation = generation;
        target.partition = None;
        target.assignment = (0, daemon);
        target.claimants.clear();
        target.pending_calls.clear();
        target.inbox.clear();
        target.outbox.clear();
    }

    pub fn start(&mut self, daemon: usize) {
        if !self.daemons[daemon].up {
            self.daemons[daemon].up = true;
            self.learn(daemon);
        }
    }

    /// Ends all faults and runs long enough for messages in flight to arrive.
    pub fn end_faults(&mut self) {
        self.store_mode = StoreMode::Up;
        self.searcher_mode = SearcherMode::Good;
        self.fault_rate = 0.0;
        self.assign((self.owner + 1) % DAEMON_COUNT);
        for daemon in 0..DAEMON_COUNT {
            self.daemons[daemon].paused_until_ms = 0;
            self.start(daemon);
        }
        self.run_and_learn(70_000);
    }

    /// Runs while every daemon learns each assignment within 500 ms, so that an owner replaces
    /// a partition that has retired.
    pub fn run_and_learn(&mut self, ms: u64) {
        for _ in 0..ms / 500 {
            (0..DAEMON_COUNT).for_each(|daemon| self.learn(daemon));
            self.run_for(500);
        }
    }

    /// Whether the process that took the submission still runs.
    pub fn is_alive(&self, submission: &SubmissionRecord) -> bool {
        self.daemons[submission.origin.0].generation == submission.origin.1
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.step(end) {}
        self.now_ms = self.now_ms.max(end);
    }
}
