//! A test harness: a router, the actions that it returns, and a clock that the test advances.

#![allow(dead_code)] // Each test binary uses only some of the helpers.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use tt_model::Environment;
use tt_model::ResultCode;
use tt_model::SearcherId;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_routing::Action;
use tt_routing::Answer;
use tt_routing::Attempt;
use tt_routing::AttemptKind;
use tt_routing::AttemptOutcome;
use tt_routing::Mode;
use tt_routing::QueryKey;
use tt_routing::Reply;
use tt_routing::Request;
use tt_routing::Router;
use tt_routing::Settings;
use tt_routing::Shards;

/// Sub-query results are plain numbers.
pub type Body = u64;

pub const COVERAGE: ServiceId = ServiceId(0);
pub const LATENCY: ServiceId = ServiceId(1);

/// A shard of a test document: its name, its replicas and further fields as JSON text.
pub struct ShardSpec<'a> {
    pub name: &'a str,
    pub replicas: &'a [&'a str],
    pub fields: &'a str,
}

/// An environment with `count` shards `s0`, `s1`, ... of `replicas` searchers each, and the
/// two services of [`environment`].
pub fn uniform(count: usize, replicas: usize) -> Arc<Environment> {
    let names: Vec<String> = (0..count).map(|i| format!("s{i}")).collect();
    let searchers: Vec<Vec<String>> =
        (0..count).map(|i| (0..replicas).map(|r| format!("s{i}-r{r}")).collect()).collect();
    let refs: Vec<Vec<&str>> =
        searchers.iter().map(|list| list.iter().map(String::as_str).collect()).collect();
    let specs: Vec<ShardSpec> = names
        .iter()
        .zip(&refs)
        .map(|(name, replicas)| ShardSpec { name, replicas, fields: "" })
        .collect();
    environment(&specs)
}

/// An environment with these shards and the searchers that they name. The services `coverage`
/// and `latency` may search all shards.
pub fn environment(shards: &[ShardSpec<'_>]) -> Arc<Environment> {
    let mut searchers: Vec<&str> = Vec::new();
    for &replica in shards.iter().flat_map(|shard| shard.replicas) {
        if !searchers.contains(&replica) {
            searchers.push(replica);
        }
    }
    let searchers: Vec<String> = searchers
        .iter()
        .enumerate()
        .map(|(i, name)| {
            format!(
                r#"{{"name": "{name}", "address": "127.0.0.1:{}", "domain": "here", "slots": 2,
                    "connections": 8}}"#,
                1024 + i
            )
        })
        .collect();
    let shards: Vec<String> = shards
        .iter()
        .map(|shard| {
            let comma = if shard.fields.is_empty() { "" } else { ", " };
            format!(
                r#"{{"name": "{}", "replicas": {:?}{comma}{}}}"#,
                shard.name, shard.replicas, shard.fields
            )
        })
        .collect();
    let text = format!(
        r#"{{
            "environment": "test",
            "domains": ["here"],
            "classes": [
                {{"name": "coverage", "prefer": "coverage", "deadline_ms": 400}},
                {{"name": "latency", "prefer": "latency", "deadline_ms": 400}}
            ],
            "services": [
                {{"name": "coverage", "class": "coverage", "shards": ["*"],
                  "contract": {{"rate": 100, "burst": 10, "concurrency": 10}}}},
                {{"name": "latency", "class": "latency", "shards": ["*"],
                  "contract": {{"rate": 100, "burst": 10, "concurrency": 10}}}}
            ],
            "searchers": [{}],
            "shards": [{}]
        }}"#,
        searchers.join(", "),
        shards.join(", ")
    );
    Arc::new(Environment::parse(&text).unwrap_or_else(|faults| panic!("{faults}\n{text}")))
}

/// A router, its pending actions and the current time.
pub struct Harness {
    pub environment: Arc<Environment>,
    pub router: Router<Body, StdRng>,
    pub start: Instant,
    pub now: Instant,
    pub out: Vec<Action<Body>>,
}

impl Harness {
    /// Creates a router for which all searchers hold snapshot 1.
    pub fn new(environment: Arc<Environment>, settings: Settings) -> Harness {
        let now = Instant::now();
        let rng = StdRng::seed_from_u64(7);
        let mut router = Router::new(Arc::clone(&environment), settings, rng, now);
        for searcher in environment.searchers.keys() {
            router.set_held_snapshots(searcher, &[Snapshot(1)]);
        }
        Harness { environment, router, start: now, now, out: Vec::new() }
    }

    pub fn searcher(&self, name: &str) -> SearcherId {
        self.environment.searcher(name).expect("a searcher of the document")
    }

    pub fn shard(&self, name: &str) -> ShardId {
        self.environment.shard(name).expect("a shard of the document")
    }

    pub fn set_held_snapshots(&mut self, name: &str, snapshots: &[u64]) {
        let held: Vec<Snapshot> = snapshots.iter().copied().map(Snapshot).collect();
        let searcher = self.searcher(name);
        self.router.set_held_snapshots(searcher, &held);
    }

    /// Starts a query for all shards with a deadline of 400 ms.
    pub fn start(&mut self, service: ServiceId, mode: Mode) -> Result<QueryKey, ResultCode> {
        self.start_with(service, mode, Shards::All)
    }

    pub fn start_with(
        &mut self,
        service: ServiceId,
        mode: Mode,
        shards: Shards,
    ) -> Result<QueryKey, ResultCode> {
        let deadline = self.now + Duration::from_millis(400);
        let request = Request { service, shards, mode, deadline };
        self.router.start(request, self.now, &mut self.out)
    }

    /// Takes the attempts sent since the last call.
    pub fn take_sent(&mut self) -> Vec<Attempt> {
        let mut sent = Vec::new();
        self.out.retain(|action| {
            let Action::Send(attempt) = action else { return true };
            sent.push(*attempt);
            false
        });
        sent
    }

    /// Takes the only attempt sent since the last call.
    pub fn take_one_sent(&mut self, kind: AttemptKind) -> Attempt {
        let sent = self.take_sent();
        assert_eq!(sent.len(), 1, "expected one attempt, found {sent:?}");
        assert_eq!(sent[0].kind, kind);
        sent[0]
    }

    /// Takes the answers issued since the last call.
    pub fn take_answers(&mut self) -> Vec<Answer<Body>> {
        let mut answers = Vec::new();
        for action in std::mem::take(&mut self.out) {
            match action {
                Action::Finish(answer) => answers.push(answer),
                other => self.out.push(other),
            }
        }
        answers
    }

    pub fn reply(&mut self, attempt: Attempt, outcome: AttemptOutcome<Body>) {
        let reply = Reply { outcome, held: &[], pressure: None };
        self.router.on_reply(attempt.key, reply, self.now, &mut self.out);
    }

    pub fn answer(&mut self, attempt: Attempt) {
        let body = u64::from(attempt.shard.0);
        self.reply(attempt, AttemptOutcome::Answered { snapshot: attempt.snapshot, body });
    }

    /// Advances the clock and delivers the wake-ups of `query` that come due.
    pub fn advance(&mut self, query: QueryKey, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        loop {
            let wake = self.out.iter().rev().find_map(|action| match action {
                Action::WakeAt { query: key, at } if *key == query => Some(*at),
                _ => None,
            });
            let Some(at) = wake.filter(|&at| at <= until) else { break };
            self.out.retain(
                |action| !matches!(action, Action::WakeAt { query: key, .. } if *key == query),
            );
            self.now = self.now.max(at);
            self.router.wake(query, self.now, &mut self.out);
        }
        self.now = until;
    }

    /// Runs queries whose attempts are all answered after `ms`, so that the replicas have
    /// latency samples.
    pub fn record_latencies(&mut self, rounds: usize, ms: u64) {
        for _ in 0..rounds {
            self.start(COVERAGE, Mode::Idempotent).expect("a plan");
            self.now += Duration::from_millis(ms);
            for attempt in self.take_sent() {
                self.answer(attempt);
            }
            self.out.clear();
        }
    }
}
