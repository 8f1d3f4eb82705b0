//! The oracle of the fuzz test: it records all inputs and actions of a router, and checks the
//! actions and answers against the record.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::ReplyKind;
use super::common::Harness;
use super::common::ShardSpec;
use super::common::environment;
use tt_model::SearcherId;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_model::Snapshot;
use tt_routing::Action;
use tt_routing::Answer;
use tt_routing::Attempt;
use tt_routing::AttemptKey;
use tt_routing::AttemptKind;
use tt_routing::AttemptOutcome;
use tt_routing::BudgetSettings;
use tt_routing::Mode;
use tt_routing::Outcome;
use tt_routing::Policy;
use tt_routing::Pressure;
use tt_routing::QueryKey;
use tt_routing::Reason;
use tt_routing::Reply;
use tt_routing::Request;
use tt_routing::SearcherStatus;
use tt_routing::Settings;
use tt_routing::Shards;
use tt_routing::StatusReport;

const CAPACITY: f64 = 8.0;
const LEAVING_TTL: Duration = Duration::from_secs(10);

/// A shard of the test document, the snapshots at which it exists and the pieces of the index
/// that it consists of.
struct ShardModel {
    spec: ShardSpec<'static>,
    lifetime: std::ops::Range<u64>,
    pieces: &'static [u8],
}

/// At snapshot 5, `a` splits into `a1` and `a2`. At 6, `n` starts. At 7, `c` and `d` merge
/// into `m`.
fn shard_models() -> Vec<ShardModel> {
    let shard = |name, replicas, fields, lifetime, pieces| ShardModel {
        spec: ShardSpec { name, replicas, fields },
        lifetime,
        pieces,
    };
    vec![
        shard("a", &["p", "q"], r#""until": 5"#, 0..5, &[1, 2]),
        shard("a1", &["p", "q"], r#""from": 5, "parents": ["a"]"#, 5..99, &[1]),
        shard("a2", &["r", "s", "t"], r#""from": 5, "parents": ["a"]"#, 5..99, &[2]),
        shard("b", &["u", "v"], "", 0..99, &[3]),
        shard("c", &["w"], r#""until": 7"#, 0..7, &[4]),
        shard("d", &["x", "y"], r#""until": 7"#, 0..7, &[5]),
        shard("m", &["x", "y", "z"], r#""from": 7, "parents": ["c", "d"]"#, 7..99, &[4, 5]),
        shard("n", &["p", "z"], r#""from": 6"#, 6..99, &[6]),
    ]
}

/// What the router has seen before a history starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Warmup {
    None,
    Samples,
}

struct SentAttempt {
    attempt: Attempt,
    query: QueryKey,
    // The first reply, if it came before a cancellation.
    first_reply: Option<FirstReply>,
    cancelled: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum FirstReply {
    Answered,
    OtherSnapshot,
    NotExecuted(NotExecutedReason),
    Failed,
}

#[derive(Clone, Copy, PartialEq)]
enum NotExecutedReason {
    Shed,
    SnapshotGone,
    Other,
}

struct LiveQuery {
    service: u32,
    mode: Mode,
    named: Vec<u32>,
    deadline: Instant,
    wake: Option<Instant>,
}

pub struct Oracle {
    shards: Vec<ShardModel>,
    harness: Harness,
    policy: Policy,
    sent: Vec<SentAttempt>,
    by_key: HashMap<AttemptKey, usize>,
    live: HashMap<QueryKey, LiveQuery>,
    order: Vec<QueryKey>,
    ended: HashSet<QueryKey>,
    leaving: HashMap<SearcherId, Instant>,
    held: HashMap<SearcherId, Vec<Snapshot>>,
    primaries: f64,
    budget_spent: f64,
}

impl Oracle {
    pub fn new(policy: Policy, warmup: Warmup) -> Oracle {
        let shards = shard_models();
        let specs: Vec<ShardSpec<'static>> =
            shards.iter().map(|shard| ShardSpec { ..shard.spec }).collect();
        let budget = BudgetSettings { capacity: CAPACITY, ..Default::default() };
        let settings = Settings { policy, budget, early_coverage_ratio: 0.4, ..Default::default() };
        let harness = Harness::new(environment(&specs), settings);
        let searchers: Vec<SearcherId> = harness.environment.searchers.keys().collect();
        let mut oracle = Oracle {
            shards,
            harness,
            policy,
            sent: Vec::new(),
            by_key: HashMap::new(),
            live: HashMap::new(),
            order: Vec::new(),
            ended: HashSet::new(),
            leaving: HashMap::new(),
            held: HashMap::new(),
            primaries: 0.0,
            budget_spent: 0.0,
        };
        for searcher in searchers {
            oracle.set_held_snapshots(searcher.0, &[4, 5]);
        }
        if warmup == Warmup::Samples {
            oracle.record_latencies();
        }
        oracle
    }

    /// Runs queries that give each searcher latency samples, because hedges and early answers
    /// depend on them.
    fn record_latencies(&mut self) {
        for _ in 0..60 {
            self.start(0, Mode::Idempotent, &[], 400);
            self.advance(Duration::from_millis(5));
            for _ in 0..self.shards.len() {
                self.reply(2, ReplyKind::Answer, 0);
            }
        }
    }

    pub fn start(&mut self, service: u32, mode: Mode, named: &[u32], ms: u64) {
        let deadline = self.harness.now + Duration::from_millis(ms);
        let shards = match named {
            [] => Shards::All,
            named => Shards::Named(named.iter().copied().map(ShardId).collect()),
        };
        let request = Request { service: ServiceId(service), shards, mode, deadline };
        let started = self.harness.router.start(request, self.harness.now, &mut self.harness.out);
        let Ok(key) = started else {
            assert!(self.harness.out.is_empty(), "a refused request causes actions");
            return;
        };
        assert!(!self.ended.contains(&key) && !self.live.contains_key(&key), "a key is reused");
        let live = LiveQuery { service, mode, named: named.to_vec(), deadline, wake: None };
        self.live.insert(key, live);
        self.order.push(key);
        self.take_actions();
    }

    pub fn reply(&mut self, pick: usize, kind: ReplyKind, queued: u32) {
        // One pick in eight is any attempt so far, one in eight an ended attempt of a running
        // query (for late and duplicate replies), and the others are attempts in flight.
        let candidates: Vec<usize> = (0..self.sent.len())
            .filter(|&i| {
                let sent = &self.sent[i];
                let done = sent.first_reply.is_some() || sent.cancelled;
                match pick % 8 {
                    0 => true,
                    1 => done && self.live.contains_key(&sent.query),
                    _ => !done,
                }
            })
            .collect();
        if candidates.is_empty() {
            return;
        }
        let index = candidates[pick / 8 % candidates.len()];
        let attempt = self.sent[index].attempt;
        let (outcome, first_reply) = match kind {
            ReplyKind::Answer => (
                AttemptOutcome::Answered { snapshot: attempt.snapshot, body: index as u64 },
                FirstReply::Answered,
            ),
            ReplyKind::OtherSnapshot => (
                AttemptOutcome::Answered { snapshot: attempt.snapshot.next(), body: index as u64 },
                FirstReply::OtherSnapshot,
            ),
            ReplyKind::Shed => {
                (AttemptOutcome::Shed, FirstReply::NotExecuted(NotExecutedReason::Shed))
            }
            ReplyKind::Draining => {
                (AttemptOutcome::Draining, FirstReply::NotExecuted(NotExecutedReason::Other))
            }
            ReplyKind::SnapshotGone => (
                AttemptOutcome::SnapshotGone,
                FirstReply::NotExecuted(NotExecutedReason::SnapshotGone),
            ),
            ReplyKind::WrongShard => {
                (AttemptOutcome::WrongShard, FirstReply::NotExecuted(NotExecutedReason::Other))
            }
            ReplyKind::Refused => {
                (AttemptOutcome::Refused, FirstReply::NotExecuted(NotExecutedReason::Other))
            }
            ReplyKind::OwnerUnreachable => (
                AttemptOutcome::OwnerUnreachable,
                FirstReply::NotExecuted(NotExecutedReason::Other),
            ),
            ReplyKind::Failed => (AttemptOutcome::Failed, FirstReply::Failed),
        };
        let sent = &mut self.sent[index];
        // The query ignores replies after a cancellation or a first reply.
        if sent.first_reply.is_none() && !sent.cancelled {
            sent.first_reply = Some(first_reply);
            match kind {
                ReplyKind::Draining => {
                    self.leaving.insert(attempt.searcher, self.harness.now);
                }
                ReplyKind::SnapshotGone => {
                    if let Some(held) = self.held.get_mut(&attempt.searcher) {
                        held.retain(|&snapshot| snapshot != attempt.snapshot);
                    }
                }
                _ => {}
            }
        }
        let pressure = Some(Pressure { queued, busy: 1 });
        let reply = Reply { outcome, held: &[], pressure };
        self.harness.router.on_reply(attempt.key, reply, self.harness.now, &mut self.harness.out);
        self.take_actions();
    }

    /// Advances the clock and delivers each wake-up at its time.
    pub fn advance(&mut self, time: Duration) {
        let until = self.harness.now + time;
        loop {
            let due = self.order.iter().filter_map(|key| Some((self.live.get(key)?.wake?, *key)));
            let Some((at, key)) = due.min_by_key(|(at, _)| *at).filter(|(at, _)| *at <= until)
            else {
                break;
            };
            self.harness.now = self.harness.now.max(at);
            self.live.get_mut(&key).expect("a live query").wake = None;
            self.harness.router.wake(key, self.harness.now, &mut self.harness.out);
            self.take_actions();
        }
        self.harness.now = until;
    }

    pub fn cancel(&mut self, pick: usize) {
        if self.order.is_empty() {
            return;
        }
        let key = self.order[pick % self.order.len()];
        self.harness.router.cancel(key, self.harness.now, &mut self.harness.out);
        let idempotent = self.live.get(&key).is_some_and(|live| live.mode == Mode::Idempotent);
        self.take_actions();
        assert!(!idempotent || !self.live.contains_key(&key), "a cancelled query continues");
    }

    pub fn report_status(&mut self, searcher: u32, report: StatusReport) {
        let searcher = SearcherId(searcher);
        self.harness.router.report_status(searcher, report, self.harness.now);
        match report {
            StatusReport::Leaving => {
                self.leaving.insert(searcher, self.harness.now);
            }
            StatusReport::Ready | StatusReport::Cold => {
                if self
                    .leaving
                    .get(&searcher)
                    .is_some_and(|&at| self.harness.now - at >= LEAVING_TTL)
                {
                    self.leaving.remove(&searcher);
                }
            }
            StatusReport::Unhealthy => {}
        }
    }

    pub fn set_held_snapshots(&mut self, searcher: u32, held: &[u64]) {
        let held: Vec<Snapshot> = held.iter().copied().map(Snapshot).collect();
        self.harness.router.set_held_snapshots(SearcherId(searcher), &held);
        self.held.insert(SearcherId(searcher), held);
    }

    /// Sets the same held snapshots for every searcher.
    pub fn set_held_everywhere(&mut self, held: &[u64]) {
        for searcher in 0..self.harness.environment.searchers.len() as u32 {
            self.set_held_snapshots(searcher, held);
        }
    }

    /// Delivers a reply with a key that no attempt has.
    pub fn reply_with_unknown_key(&mut self, pick: usize) {
        let Some(sent) = self.sent.get(pick % self.sent.len().max(1)) else { return };
        let mut key = sent.attempt.key;
        key.query.generation += 1_000_000;
        let outcome = AttemptOutcome::Answered { snapshot: sent.attempt.snapshot, body: u64::MAX };
        let reply = Reply { outcome, held: &[], pressure: None };
        let before = self.harness.router.counters().stale_events;
        self.harness.router.on_reply(key, reply, self.harness.now, &mut self.harness.out);
        assert!(self.harness.out.is_empty());
        assert_eq!(self.harness.router.counters().stale_events, before + 1);
    }

    pub fn check(&self) {
        assert_eq!(self.harness.router.in_flight(), self.live.len());
        for live in self.live.values() {
            assert!(live.deadline > self.harness.now, "a query outlives its deadline");
            assert!(
                live.wake.is_some_and(|at| at < live.deadline),
                "a query has no wake-up before its deadline"
            );
        }
        let restarts_allowed = self.shards.len() as f64;
        let allowed = CAPACITY + 0.05 * self.primaries + restarts_allowed;
        assert!(
            self.budget_spent <= allowed || self.policy == Policy::Baseline,
            "more attempts than the retry budget allows"
        );
        let view = self.harness.router.view();
        for shard in self.harness.environment.shards.values() {
            let ejected = shard
                .replicas
                .iter()
                .filter(|&&replica| {
                    view.status(replica, self.harness.now) == SearcherStatus::Ejected
                })
                .count();
            assert!(ejected <= shard.replicas.len() / 2, "too many replicas are ejected");
        }
    }

    pub fn check_idle(&self) {
        assert!(self.live.is_empty(), "a query never finished");
        for searcher in self.harness.environment.searchers.keys() {
            assert_eq!(self.harness.router.view().in_flight(searcher), 0);
        }
    }

    fn take_actions(&mut self) {
        for action in std::mem::take(&mut self.harness.out) {
            match action {
                Action::Send(attempt) => self.take_send(attempt),
                Action::Cancel { key, searcher } => {
                    let sent = &mut self.sent[self.by_key[&key]];
                    assert_eq!(sent.attempt.searcher, searcher);
                    assert!(
                        !sent.cancelled && sent.first_reply.is_none(),
                        "an attempt that is not in flight is cancelled"
                    );
                    sent.cancelled = true;
                }
                Action::WakeAt { query, at } => {
                    self.live.get_mut(&query).expect("a live query").wake = Some(at);
                }
                Action::Finish(answer) => self.take_answer(&answer),
            }
        }
    }

    fn take_send(&mut self, attempt: Attempt) {
        let query = attempt.key.query;
        let live = self.live.get(&query).expect("a live query");
        assert!(attempt.deadline < live.deadline && attempt.deadline > self.harness.now);
        let shard = &self.shards[attempt.shard.0 as usize];
        assert!(
            shard.lifetime.contains(&attempt.snapshot.0),
            "the shard does not exist at the snapshot"
        );
        let name = &self.harness.environment.searchers[attempt.searcher].name;
        assert!(
            shard.spec.replicas.contains(&name.as_str()),
            "the searcher is not a replica of the shard"
        );
        assert!(
            !self.leaving.contains_key(&attempt.searcher),
            "an attempt is sent to a leaving searcher"
        );
        assert!(
            self.held[&attempt.searcher].contains(&attempt.snapshot),
            "the searcher does not hold the snapshot"
        );

        let mine: Vec<&SentAttempt> = self.sent.iter().filter(|sent| sent.query == query).collect();
        let may_have_run =
            |sent: &&&SentAttempt| !matches!(sent.first_reply, Some(FirstReply::NotExecuted(_)));
        let same_shard: Vec<&&SentAttempt> = mine
            .iter()
            .filter(|s| s.attempt.shard == attempt.shard && s.attempt.snapshot == attempt.snapshot)
            .collect();
        match attempt.kind {
            AttemptKind::Primary => {
                assert!(same_shard.is_empty(), "two primary attempts for a shard");
                self.primaries += 1.0;
            }
            AttemptKind::Hedge => {
                assert_eq!(self.policy, Policy::Adaptive);
                self.budget_spent += 1.0;
            }
            AttemptKind::Retry => {
                if same_shard.iter().any(&may_have_run) {
                    self.budget_spent += 1.0;
                } else {
                    let repeated =
                        same_shard.iter().any(|s| s.attempt.searcher == attempt.searcher);
                    assert!(!repeated, "a replica that did not execute an attempt is tried again");
                }
            }
            AttemptKind::Restart => {
                let old: HashSet<ShardId> = mine
                    .iter()
                    .filter(|sent| sent.attempt.snapshot < attempt.snapshot && may_have_run(sent))
                    .map(|sent| sent.attempt.shard)
                    .collect();
                let first = mine.iter().all(|sent| sent.attempt.kind != AttemptKind::Restart);
                self.budget_spent += if first { old.len() as f64 } else { 0.0 };
                assert!(
                    mine.iter().all(|s| s.attempt.snapshot <= attempt.snapshot),
                    "a restart at an older snapshot"
                );
                assert!(same_shard.is_empty(), "two first attempts for a shard after a restart");
            }
        }
        if live.mode == Mode::AtMostOnce {
            assert!(matches!(attempt.kind, AttemptKind::Primary | AttemptKind::Retry));
            assert!(
                !same_shard.iter().any(&may_have_run),
                "a non-idempotent sub-query may run twice"
            );
        }
        let index = self.sent.len();
        assert!(
            self.by_key.insert(attempt.key, index).is_none(),
            "the key of an attempt is reused"
        );
        self.sent.push(SentAttempt { attempt, query, first_reply: None, cancelled: false });
    }

    fn take_answer(&mut self, answer: &Answer<u64>) {
        let live = self.live.remove(&answer.query).expect("finished once");
        assert!(self.ended.insert(answer.query), "finished twice");
        assert!(self.harness.now < live.deadline, "finished after its deadline");
        let mine: Vec<&SentAttempt> =
            self.sent.iter().filter(|sent| sent.query == answer.query).collect();

        let mut listed: Vec<ShardId> = answer.covered.iter().map(|covered| covered.shard).collect();
        listed.extend(answer.uncovered.iter().map(|uncovered| uncovered.shard));
        listed.sort();
        assert_eq!(
            listed,
            self.expected_shards(&live, answer.snapshot.0),
            "the coverage lists are wrong"
        );

        for covered in &answer.covered {
            let sent = &self.sent[covered.body as usize];
            assert_eq!(sent.query, answer.query, "the result is of another query");
            assert_eq!(sent.attempt.snapshot, answer.snapshot, "the result is of another snapshot");
            assert_eq!(
                (sent.attempt.shard, sent.attempt.searcher),
                (covered.shard, covered.searcher),
                "the result is of another shard or searcher"
            );
            assert!(sent.first_reply == Some(FirstReply::Answered) && !sent.cancelled);
        }
        for uncovered in &answer.uncovered {
            let tried: Vec<&&SentAttempt> = mine
                .iter()
                .filter(|s| {
                    s.attempt.shard == uncovered.shard && s.attempt.snapshot == answer.snapshot
                })
                .collect();
            let has_reply = |reply| tried.iter().any(|sent| sent.first_reply == Some(reply));
            assert!(!has_reply(FirstReply::Answered), "a result is missing from the answer");
            let open = tried.iter().any(|sent| sent.first_reply.is_none());
            let is_correct = match uncovered.reason {
                Reason::TimedOut => open,
                Reason::LeftOut => open && live.service == 1 && live.mode == Mode::Idempotent,
                Reason::Cancelled => answer.outcome == Outcome::Cancelled,
                Reason::Failed => has_reply(FirstReply::Failed),
                Reason::Overloaded => {
                    has_reply(FirstReply::NotExecuted(NotExecutedReason::Shed)) && !open
                }
                Reason::SnapshotGone => {
                    tried.is_empty()
                        || has_reply(FirstReply::NotExecuted(NotExecutedReason::SnapshotGone))
                        || has_reply(FirstReply::OtherSnapshot)
                }
                Reason::NoReplica => {
                    tried.iter().all(|s| matches!(s.first_reply, Some(FirstReply::NotExecuted(_))))
                }
                Reason::Absent => tried.is_empty(),
            };
            assert!(is_correct, "the reason {:?} is wrong", uncovered.reason);
        }
        let none_executed =
            mine.iter().all(|sent| matches!(sent.first_reply, Some(FirstReply::NotExecuted(_))));
        let all_covered = answer.uncovered.is_empty();
        let any_covered = !answer.covered.is_empty();
        let is_correct = match answer.outcome {
            Outcome::Complete => all_covered && live.mode == Mode::Idempotent,
            Outcome::Partial => !all_covered && any_covered && live.mode == Mode::Idempotent,
            Outcome::NoAnswer => !any_covered && !none_executed && live.mode == Mode::Idempotent,
            Outcome::Done => all_covered && live.mode == Mode::AtMostOnce,
            Outcome::NotRun(_) => none_executed,
            Outcome::Unknown => !all_covered && !none_executed && live.mode == Mode::AtMostOnce,
            Outcome::Cancelled => live.mode == Mode::Idempotent,
        };
        assert!(is_correct, "the outcome {:?} is wrong", answer.outcome);
        let unfinished = mine.iter().find(|sent| sent.first_reply.is_none() && !sent.cancelled);
        assert!(
            unfinished.is_none(),
            "an attempt is neither ended nor cancelled when its query ends"
        );
    }

    /// The shards that an answer must list, from the pieces of the index that were requested.
    fn expected_shards(&self, live: &LiveQuery, snapshot: u64) -> Vec<ShardId> {
        let exists = |index: &u32| self.shards[*index as usize].lifetime.contains(&snapshot);
        let all: Vec<u32> = (0..self.shards.len() as u32).collect();
        let asked = if live.named.is_empty() { &all } else { &live.named };
        let pieces: HashSet<u8> =
            asked.iter().flat_map(|&i| self.shards[i as usize].pieces).copied().collect();
        let mut expected: HashSet<u32> = all
            .iter()
            .copied()
            .filter(exists)
            .filter(|&i| self.shards[i as usize].pieces.iter().any(|p| pieces.contains(p)))
            .collect();
        // A named shard is listed itself if no shard of the snapshot has its pieces.
        for &index in &live.named {
            let own = self.shards[index as usize].pieces;
            let found = expected.iter().any(|&i| {
                exists(&i) && self.shards[i as usize].pieces.iter().any(|p| own.contains(p))
            });
            if !found {
                expected.insert(index);
            }
        }
        let mut expected: Vec<ShardId> = expected.into_iter().map(ShardId).collect();
        expected.sort();
        expected
    }
}
