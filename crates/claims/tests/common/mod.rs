//! A store in memory and a partition that is driven by hand.

#![allow(dead_code, reason = "each test binary uses a part")]

pub mod world;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;

use tt_claims::BodyDigest;
use tt_claims::CallerAttempt;
use tt_claims::ClaimId;
use tt_claims::ClaimReply;
use tt_claims::ClaimRequest;
use tt_claims::FencingToken;
use tt_claims::Now;
use tt_claims::Partition;
use tt_claims::PartitionAction;
use tt_claims::PartitionEvent;
use tt_claims::PartitionId;
use tt_claims::PartitionSettings;
use tt_claims::PartitionStatus;
use tt_claims::RequestKey;
use tt_claims::Step;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// Wall-clock time at the start of each test.
pub const UNIX_MS: u64 = 1_800_000_000_000;

/// A UUID version 7 with the given time.
pub fn uuid_at(unix_ms: u64, number: u64) -> Uuid {
    let number = u128::from(number) & 0x3fff_ffff_ffff_ffff;
    Uuid::from_u128(u128::from(unix_ms) << 80 | 7 << 76 | 2 << 62 | number)
}

/// The request id with this number.
pub fn key(number: u64) -> RequestKey {
    RequestKey::new("cashier-office", uuid_at(UNIX_MS, number)).unwrap()
}

/// A call with the standard body and a wait of 10 s.
pub fn request(key: RequestKey, claim: u128, attempt: u32, step: Step) -> ClaimRequest {
    ClaimRequest {
        key,
        claim: ClaimId(claim),
        digest: BodyDigest::of(b"body"),
        attempt: CallerAttempt(attempt),
        wait_ms: 10_000,
        step,
    }
}

/// Values with compare-and-swap.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub values: HashMap<String, (Revision, Vec<u8>)>,
    /// The values before the last write of each key.
    earlier: HashMap<String, (Revision, Vec<u8>)>,
    pub last: u64,
    pub reads: u64,
    pub writes: u64,
}

impl Store {
    /// Runs a call that reaches the store and whose reply arrives.
    pub fn run(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } | StoreCall::Watch { key, .. } => {
                self.reads += 1;
                match self.values.get(key) {
                    Some((revision, value)) => {
                        StoreReply::Value { revision: *revision, value: value.clone() }
                    }
                    None => StoreReply::Missing,
                }
            }
            StoreCall::Put { key, expect, value } => {
                self.writes += 1;
                assert!(value.len() <= 64 * 1024, "{} bytes in {key}", value.len());
                let found = self.revision(key);
                if found != *expect {
                    return StoreReply::Conflict { revision: found };
                }
                self.last += 1;
                let revision = Revision(self.last);
                if let Some(old) = self.values.insert(key.clone(), (revision, value.clone())) {
                    self.earlier.insert(key.clone(), old);
                }
                StoreReply::Written { revision }
            }
            StoreCall::Delete { key, expect } => {
                self.writes += 1;
                let found = self.revision(key);
                if found != *expect {
                    return StoreReply::Conflict { revision: found };
                }
                match self.values.remove(key) {
                    Some((revision, _)) => StoreReply::Written { revision },
                    None => StoreReply::Missing,
                }
            }
        }
    }

    /// Runs a call; a read returns the value before the last write, if there was one.
    pub fn run_stale(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } if self.earlier.contains_key(key) => {
                let (revision, value) = self.earlier[key].clone();
                StoreReply::Value { revision, value }
            }
            _ => self.run(call),
        }
    }

    fn revision(&self, key: &str) -> Revision {
        self.values.get(key).map_or(Revision(0), |(revision, _)| *revision)
    }
}

/// A partition, its store and a clock.
pub struct Bench {
    pub partition: Partition,
    pub store: Store,
    pub now: Now,
    pub epoch: u64,
    pub answers: HashMap<u64, ClaimReply>,
    /// Store calls that were made and not yet answered.
    pub calls: VecDeque<(u64, StoreCall)>,
    settings: PartitionSettings,
    next_tag: u64,
}

impl Bench {
    /// A partition with an empty log that has been taken over.
    pub fn owner() -> Bench {
        let settings = PartitionSettings::default();
        let now = Now { instant: Instant::now(), unix_ms: UNIX_MS };
        Bench::start(Store::default(), settings, 1, now)
    }

    /// Another owner with a later epoch, on a copy of the store.
    pub fn successor(&self) -> Bench {
        Bench::start(self.store.clone(), self.settings.clone(), self.epoch + 1, self.now)
    }

    /// A partition that takes over the log in `store`.
    pub fn start(store: Store, settings: PartitionSettings, epoch: u64, now: Now) -> Bench {
        let mut bench = Bench::idle(store, settings, epoch, now);
        bench.event(PartitionEvent::Timer);
        bench.settle();
        bench
    }

    /// A partition that has made no call yet.
    pub fn idle(store: Store, settings: PartitionSettings, epoch: u64, now: Now) -> Bench {
        let token = FencingToken { epoch: Epoch(epoch), incarnation: Incarnation(epoch) };
        let partition = Partition::new(PartitionId(0), token, settings.clone(), now);
        let (answers, calls) = (HashMap::new(), VecDeque::new());
        Bench { partition, store, now, epoch, answers, calls, settings, next_tag: 0 }
    }

    /// Sends an event and collects the actions.
    pub fn event(&mut self, event: PartitionEvent) {
        for action in self.partition.handle(event, self.now) {
            match action {
                PartitionAction::Store { call, request } => self.calls.push_back((call, request)),
                PartitionAction::Reply { tag, reply } => {
                    assert_eq!(self.answers.insert(tag, reply), None, "answered twice");
                }
            }
        }
    }

    /// Answers the oldest open store call with `reply`.
    pub fn reply(&mut self, reply: StoreReply) {
        let (call, _) = self.calls.pop_front().expect("an open store call");
        self.event(PartitionEvent::Store { call, reply });
    }

    /// Lets the oldest open store call take effect and delivers its reply.
    pub fn effect(&mut self) {
        let (call, request) = self.calls.pop_front().expect("an open store call");
        let reply = self.store.run(&request);
        self.event(PartitionEvent::Store { call, reply });
    }

    /// Lets the oldest open store call take effect and loses its reply.
    pub fn effect_and_lose(&mut self) {
        let (call, request) = self.calls.pop_front().expect("an open store call");
        self.store.run(&request);
        self.event(PartitionEvent::Store { call, reply: StoreReply::Lost });
    }

    /// Sends a claimant's call and returns its tag.
    pub fn submit(&mut self, request: ClaimRequest) -> u64 {
        self.next_tag += 1;
        let tag = self.next_tag;
        self.event(PartitionEvent::Request { tag, request });
        tag
    }

    /// Sends a claimant's call and waits for the answer.
    pub fn call(&mut self, request: ClaimRequest) -> ClaimReply {
        let tag = self.submit(request);
        self.settle();
        self.answers.remove(&tag).expect("an answer")
    }

    /// Moves both clocks and reports the time.
    pub fn advance(&mut self, time: Duration) {
        self.now.instant += time;
        self.now.unix_ms += time.as_millis() as u64;
        self.event(PartitionEvent::Timer);
    }

    /// Runs store calls and timers until no call is waiting.
    pub fn settle(&mut self) {
        for _ in 0..100_000 {
            if !self.calls.is_empty() {
                self.effect();
                continue;
            }
            if self.partition.queued() == 0
                && self.partition.status() != PartitionStatus::TakingOver
            {
                return;
            }
            let at = self.partition.next_timer().expect("a timer while calls wait");
            self.advance(at.saturating_duration_since(self.now.instant));
        }
        panic!("no progress");
    }
}
