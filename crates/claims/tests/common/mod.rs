//! An in-memory store and a test harness that drives a partition step by step.

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

/// The key of the request id with this number, whose time is [`UNIX_MS`].
pub fn key(number: u64) -> RequestKey {
    RequestKey::new("cashier-office", uuid_at(UNIX_MS, number)).unwrap()
}

/// A claimant's call for the request body `body`, which may wait for 10 s.
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

/// An in-memory key-value store with compare-and-swap.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub values: HashMap<String, (Revision, Vec<u8>)>,
    /// The value of each key before its last write.
    previous: HashMap<String, (Revision, Vec<u8>)>,
    pub last_revision: u64,
    pub reads: u64,
    pub writes: u64,
}

impl Store {
    /// Runs a call and returns its reply.
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
                self.last_revision += 1;
                let revision = Revision(self.last_revision);
                if let Some(old) = self.values.insert(key.clone(), (revision, value.clone())) {
                    self.previous.insert(key.clone(), old);
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

    /// Runs a call. A read returns the value before the last write, if there was one.
    pub fn run_stale(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } if self.previous.contains_key(key) => {
                let (revision, value) = self.previous[key].clone();
                StoreReply::Value { revision, value }
            }
            _ => self.run(call),
        }
    }

    fn revision(&self, key: &str) -> Revision {
        self.values.get(key).map_or(Revision(0), |(revision, _)| *revision)
    }
}

/// A partition with its store and clock.
pub struct Harness {
    pub partition: Partition,
    pub store: Store,
    pub now: Now,
    pub epoch: u64,
    /// Replies to claimants' calls, by tag.
    pub replies: HashMap<u64, ClaimReply>,
    /// Store calls without a reply, oldest first.
    pub calls: VecDeque<(u64, StoreCall)>,
    settings: PartitionSettings,
    next_tag: u64,
}

impl Harness {
    /// A partition that has taken over an empty log.
    pub fn owner() -> Harness {
        let settings = PartitionSettings::default();
        let now = Now { instant: Instant::now(), unix_ms: UNIX_MS };
        Harness::start(Store::default(), settings, 1, now)
    }

    /// The owner of the next epoch, on a copy of the store.
    pub fn next_owner(&self) -> Harness {
        Harness::start(self.store.clone(), self.settings.clone(), self.epoch + 1, self.now)
    }

    /// A partition that has taken over the log in `store`.
    pub fn start(store: Store, settings: PartitionSettings, epoch: u64, now: Now) -> Harness {
        let mut harness = Harness::idle(store, settings, epoch, now);
        harness.event(PartitionEvent::Timer);
        harness.settle();
        harness
    }

    /// A partition that has made no store call yet.
    pub fn idle(store: Store, settings: PartitionSettings, epoch: u64, now: Now) -> Harness {
        let token = FencingToken { epoch: Epoch(epoch), incarnation: Incarnation(epoch) };
        let partition = Partition::new(PartitionId(0), token, settings.clone(), now);
        let (replies, calls) = (HashMap::new(), VecDeque::new());
        Harness { partition, store, now, epoch, replies, calls, settings, next_tag: 0 }
    }

    /// Sends an event and collects the actions.
    pub fn event(&mut self, event: PartitionEvent) {
        for action in self.partition.handle(event, self.now) {
            match action {
                PartitionAction::Store { call, request } => self.calls.push_back((call, request)),
                PartitionAction::Reply { tag, reply } => {
                    assert_eq!(self.replies.insert(tag, reply), None, "two replies to a call");
                }
            }
        }
    }

    /// Replies `reply` to the oldest open store call, without running the call.
    pub fn reply(&mut self, reply: StoreReply) {
        let (call, _) = self.calls.pop_front().expect("an open store call");
        self.event(PartitionEvent::Store { call, reply });
    }

    /// Runs the oldest open store call and delivers its reply.
    pub fn run_call(&mut self) {
        let (call, request) = self.calls.pop_front().expect("an open store call");
        let reply = self.store.run(&request);
        self.event(PartitionEvent::Store { call, reply });
    }

    /// Runs the oldest open store call and loses its reply.
    pub fn run_call_and_lose_reply(&mut self) {
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

    /// Sends a claimant's call and returns the reply.
    pub fn call(&mut self, request: ClaimRequest) -> ClaimReply {
        let tag = self.submit(request);
        self.settle();
        self.replies.remove(&tag).expect("a reply")
    }

    /// Advances both clocks and sends a timer event.
    pub fn advance(&mut self, time: Duration) {
        self.now.instant += time;
        self.now.unix_ms += time.as_millis() as u64;
        self.event(PartitionEvent::Timer);
    }

    /// Runs store calls and timers until no claimant's call is waiting.
    pub fn settle(&mut self) {
        for _ in 0..100_000 {
            if !self.calls.is_empty() {
                self.run_call();
                continue;
            }
            if self.partition.pending_calls() == 0
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
