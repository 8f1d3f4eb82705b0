//! The oracle: a ledger of everything told to the router and sent by it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::ReplyKind;
use super::common::Bench;
use super::common::ShardLine;
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

/// A shard of the test document with the pieces of the index that it consists of.
struct Layout {
    line: ShardLine<'static>,
    lifetime: std::ops::Range<u64>,
    pieces: &'static [u8],
}

/// `a` splits at 5 into `a1` and `a2`; `c` and `d` merge at 7 into `m`; `n` starts at 6.
fn layout() -> Vec<Layout> {
    let shard = |name, replicas, rest, lifetime, pieces| Layout {
        line: ShardLine { name, replicas, rest },
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

/// What a history starts from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Past {
    None,
    Busy,
}

struct Sent {
    attempt: Attempt,
    query: QueryKey,
    // What was told of it first.
    fate: Option<Fate>,
    cancelled: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    OtherSnapshot,
    NotExecuted(ReplyKindTag),
    Failed,
}

#[derive(Clone, Copy, PartialEq)]
enum ReplyKindTag {
    Shed,
    Gone,
    Other,
}

struct Live {
    service: u32,
    mode: Mode,
    named: Vec<u32>,
    deadline: Instant,
    wake: Option<Instant>,
}

pub struct World {
    layout: Vec<Layout>,
    bench: Bench,
    policy: Policy,
    sent: Vec<Sent>,
    by_key: HashMap<AttemptKey, usize>,
    live: HashMap<QueryKey, Live>,
    order: Vec<QueryKey>,
    ended: HashSet<QueryKey>,
    leaving: HashMap<SearcherId, Instant>,
    held: HashMap<SearcherId, Vec<Snapshot>>,
    primaries: f64,
    paid: f64,
}

impl World {
    pub fn new(policy: Policy, past: Past) -> World {
        let layout = layout();
        let lines: Vec<ShardLine<'static>> =
            layout.iter().map(|shard| ShardLine { ..shard.line }).collect();
        let budget = BudgetSettings { capacity: CAPACITY, ..Default::default() };
        let settings = Settings { policy, budget, early_coverage_ratio: 0.4, ..Default::default() };
        let bench = Bench::new(environment(&lines), settings);
        let searchers: Vec<SearcherId> = bench.environment.searchers.keys().collect();
        let mut world = World {
            layout,
            bench,
            policy,
            sent: Vec::new(),
            by_key: HashMap::new(),
            live: HashMap::new(),
            order: Vec::new(),
            ended: HashSet::new(),
            leaving: HashMap::new(),
            held: HashMap::new(),
            primaries: 0.0,
            paid: 0.0,
        };
        for searcher in searchers {
            world.hold(searcher.0, &[4, 5]);
        }
        if past == Past::Busy {
            world.train();
        }
        world
    }

    /// Gives each searcher latency samples, which hedges and early answers depend on.
    fn train(&mut self) {
        for _ in 0..60 {
            self.start(0, Mode::Idempotent, &[], 400);
            self.pass(Duration::from_millis(5));
            for _ in 0..self.layout.len() {
                self.reply(2, ReplyKind::Answer, 0);
            }
        }
    }

    pub fn start(&mut self, service: u32, mode: Mode, named: &[u32], ms: u64) {
        let deadline = self.bench.now + Duration::from_millis(ms);
        let shards = match named {
            [] => Shards::All,
            named => Shards::Named(named.iter().copied().map(ShardId).collect()),
        };
        let request = Request { service: ServiceId(service), shards, mode, deadline };
        let started = self.bench.router.start(request, self.bench.now, &mut self.bench.out);
        let Ok(key) = started else {
            assert!(self.bench.out.is_empty(), "a refused request left actions");
            return;
        };
        assert!(!self.ended.contains(&key) && !self.live.contains_key(&key), "a key is reused");
        let live = Live { service, mode, named: named.to_vec(), deadline, wake: None };
        self.live.insert(key, live);
        self.order.push(key);
        self.take_actions();
    }

    pub fn reply(&mut self, pick: usize, kind: ReplyKind, queued: u32) {
        // Mostly what is in flight, now and then a late reply, a duplicate or a stale one.
        let candidates: Vec<usize> = (0..self.sent.len())
            .filter(|&i| {
                let sent = &self.sent[i];
                let done = sent.fate.is_some() || sent.cancelled;
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
        let (outcome, fate) = match kind {
            ReplyKind::Answer => (
                AttemptOutcome::Answered { snapshot: attempt.snapshot, body: index as u64 },
                Fate::Answered,
            ),
            ReplyKind::OtherSnapshot => (
                AttemptOutcome::Answered { snapshot: attempt.snapshot.next(), body: index as u64 },
                Fate::OtherSnapshot,
            ),
            ReplyKind::Shed => (AttemptOutcome::Shed, Fate::NotExecuted(ReplyKindTag::Shed)),
            ReplyKind::Draining => {
                (AttemptOutcome::Draining, Fate::NotExecuted(ReplyKindTag::Other))
            }
            ReplyKind::SnapshotGone => {
                (AttemptOutcome::SnapshotGone, Fate::NotExecuted(ReplyKindTag::Gone))
            }
            ReplyKind::WrongShard => {
                (AttemptOutcome::WrongShard, Fate::NotExecuted(ReplyKindTag::Other))
            }
            ReplyKind::Refused => (AttemptOutcome::Refused, Fate::NotExecuted(ReplyKindTag::Other)),
            ReplyKind::OwnerUnreachable => {
                (AttemptOutcome::OwnerUnreachable, Fate::NotExecuted(ReplyKindTag::Other))
            }
            ReplyKind::Failed => (AttemptOutcome::Failed, Fate::Failed),
        };
        let sent = &mut self.sent[index];
        // What comes after a cancellation or a first reply is of no use to the query.
        if sent.fate.is_none() && !sent.cancelled {
            sent.fate = Some(fate);
            match kind {
                ReplyKind::Draining => {
                    self.leaving.insert(attempt.searcher, self.bench.now);
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
        self.bench.router.reply(attempt.key, reply, self.bench.now, &mut self.bench.out);
        self.take_actions();
    }

    /// Moves the clock and delivers each wake-up at its time.
    pub fn pass(&mut self, time: Duration) {
        let until = self.bench.now + time;
        loop {
            let due = self.order.iter().filter_map(|key| Some((self.live.get(key)?.wake?, *key)));
            let Some((at, key)) = due.min_by_key(|(at, _)| *at).filter(|(at, _)| *at <= until)
            else {
                break;
            };
            self.bench.now = self.bench.now.max(at);
            self.live.get_mut(&key).expect("a live query").wake = None;
            self.bench.router.wake(key, self.bench.now, &mut self.bench.out);
            self.take_actions();
        }
        self.bench.now = until;
    }

    pub fn cancel(&mut self, pick: usize) {
        if self.order.is_empty() {
            return;
        }
        let key = self.order[pick % self.order.len()];
        self.bench.router.cancel(key, self.bench.now, &mut self.bench.out);
        let idempotent = self.live.get(&key).is_some_and(|live| live.mode == Mode::Idempotent);
        self.take_actions();
        assert!(!idempotent || !self.live.contains_key(&key), "a cancelled query goes on");
    }

    pub fn tell(&mut self, searcher: u32, hint: StatusReport) {
        let searcher = SearcherId(searcher);
        self.bench.router.report_status(searcher, hint, self.bench.now);
        match hint {
            StatusReport::Leaving => {
                self.leaving.insert(searcher, self.bench.now);
            }
            StatusReport::Ready | StatusReport::Cold => {
                if self.leaving.get(&searcher).is_some_and(|&at| self.bench.now - at >= LEAVING_TTL)
                {
                    self.leaving.remove(&searcher);
                }
            }
            StatusReport::Unhealthy => {}
        }
    }

    pub fn hold(&mut self, searcher: u32, held: &[u64]) {
        let held: Vec<Snapshot> = held.iter().copied().map(Snapshot).collect();
        self.bench.router.set_held_snapshots(SearcherId(searcher), &held);
        self.held.insert(SearcherId(searcher), held);
    }

    /// Lets every searcher hold the same snapshots.
    pub fn publish(&mut self, held: &[u64]) {
        for searcher in 0..self.bench.environment.searchers.len() as u32 {
            self.hold(searcher, held);
        }
    }

    /// Delivers a reply with a key that was never given out.
    pub fn forge(&mut self, pick: usize) {
        let Some(sent) = self.sent.get(pick % self.sent.len().max(1)) else { return };
        let mut key = sent.attempt.key;
        key.query.generation += 1_000_000;
        let outcome = AttemptOutcome::Answered { snapshot: sent.attempt.snapshot, body: u64::MAX };
        let reply = Reply { outcome, held: &[], pressure: None };
        let before = self.bench.router.counters().stale_events;
        self.bench.router.reply(key, reply, self.bench.now, &mut self.bench.out);
        assert!(self.bench.out.is_empty());
        assert_eq!(self.bench.router.counters().stale_events, before + 1);
    }

    pub fn check(&self) {
        assert_eq!(self.bench.router.in_flight(), self.live.len());
        for live in self.live.values() {
            assert!(live.deadline > self.bench.now, "a query outlives its deadline");
            assert!(live.wake.is_some_and(|at| at < live.deadline), "a query would never wake");
        }
        let restarts_allowed = self.layout.len() as f64;
        let allowed = CAPACITY + 0.05 * self.primaries + restarts_allowed;
        assert!(self.paid <= allowed || self.policy == Policy::Baseline, "over the hedge budget");
        let view = self.bench.router.view();
        for shard in self.bench.environment.shards.values() {
            let ejected = shard
                .replicas
                .iter()
                .filter(|&&replica| view.status(replica, self.bench.now) == SearcherStatus::Ejected)
                .count();
            assert!(ejected <= shard.replicas.len() / 2, "too many replicas are ejected");
        }
    }

    pub fn check_idle(&self) {
        assert!(self.live.is_empty(), "a query never finished");
        for searcher in self.bench.environment.searchers.keys() {
            assert_eq!(self.bench.router.view().in_flight(searcher), 0);
        }
    }

    fn take_actions(&mut self) {
        for action in std::mem::take(&mut self.bench.out) {
            match action {
                Action::Send(attempt) => self.take_send(attempt),
                Action::Cancel { key, searcher } => {
                    let sent = &mut self.sent[self.by_key[&key]];
                    assert_eq!(sent.attempt.searcher, searcher);
                    assert!(!sent.cancelled && sent.fate.is_none(), "cancelled for nothing");
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
        assert!(attempt.deadline < live.deadline && attempt.deadline > self.bench.now);
        let shard = &self.layout[attempt.shard.0 as usize];
        assert!(shard.lifetime.contains(&attempt.snapshot.0), "a shard outside its bounds");
        let name = &self.bench.environment.searchers[attempt.searcher].name;
        assert!(shard.line.replicas.contains(&name.as_str()), "not a replica");
        assert!(!self.leaving.contains_key(&attempt.searcher), "work for a leaving searcher");
        assert!(
            self.held[&attempt.searcher].contains(&attempt.snapshot),
            "a snapshot that is not held"
        );

        let mine: Vec<&Sent> = self.sent.iter().filter(|sent| sent.query == query).collect();
        let may_have_run = |sent: &&&Sent| !matches!(sent.fate, Some(Fate::NotExecuted(_)));
        let same_shard: Vec<&&Sent> = mine
            .iter()
            .filter(|s| s.attempt.shard == attempt.shard && s.attempt.snapshot == attempt.snapshot)
            .collect();
        match attempt.kind {
            AttemptKind::Primary => {
                assert!(same_shard.is_empty(), "two primaries for a shard");
                self.primaries += 1.0;
            }
            AttemptKind::Hedge => {
                assert_eq!(self.policy, Policy::Adaptive);
                self.paid += 1.0;
            }
            AttemptKind::Retry => {
                if same_shard.iter().any(&may_have_run) {
                    self.paid += 1.0;
                } else {
                    let repeated =
                        same_shard.iter().any(|s| s.attempt.searcher == attempt.searcher);
                    assert!(!repeated, "a replica is tried twice after it refused");
                }
            }
            AttemptKind::Restart => {
                let old: HashSet<ShardId> = mine
                    .iter()
                    .filter(|sent| sent.attempt.snapshot < attempt.snapshot && may_have_run(sent))
                    .map(|sent| sent.attempt.shard)
                    .collect();
                let first = mine.iter().all(|sent| sent.attempt.kind != AttemptKind::Restart);
                self.paid += if first { old.len() as f64 } else { 0.0 };
                assert!(
                    mine.iter().all(|s| s.attempt.snapshot <= attempt.snapshot),
                    "an older snapshot"
                );
                assert!(same_shard.is_empty(), "two first sub-queries for a shard");
            }
        }
        if live.mode == Mode::AtMostOnce {
            assert!(matches!(attempt.kind, AttemptKind::Primary | AttemptKind::Retry));
            assert!(!same_shard.iter().any(&may_have_run), "may run twice");
        }
        let index = self.sent.len();
        assert!(self.by_key.insert(attempt.key, index).is_none(), "a sub-query key is reused");
        self.sent.push(Sent { attempt, query, fate: None, cancelled: false });
    }

    fn take_answer(&mut self, answer: &Answer<u64>) {
        let live = self.live.remove(&answer.query).expect("finished once");
        assert!(self.ended.insert(answer.query), "finished twice");
        assert!(self.bench.now < live.deadline, "finished late");
        let mine: Vec<&Sent> = self.sent.iter().filter(|sent| sent.query == answer.query).collect();

        let mut listed: Vec<ShardId> = answer.covered.iter().map(|part| part.shard).collect();
        listed.extend(answer.uncovered.iter().map(|gap| gap.shard));
        listed.sort();
        assert_eq!(listed, self.expected_shards(&live, answer.snapshot.0), "coverage lists");

        for part in &answer.covered {
            let sent = &self.sent[part.body as usize];
            assert_eq!(sent.query, answer.query, "another query's result");
            assert_eq!(sent.attempt.snapshot, answer.snapshot, "another snapshot");
            assert_eq!(
                (sent.attempt.shard, sent.attempt.searcher),
                (part.shard, part.searcher),
                "another shard's result"
            );
            assert!(sent.fate == Some(Fate::Answered) && !sent.cancelled);
        }
        for gap in &answer.uncovered {
            let tried: Vec<&&Sent> = mine
                .iter()
                .filter(|s| s.attempt.shard == gap.shard && s.attempt.snapshot == answer.snapshot)
                .collect();
            let fate = |fate| tried.iter().any(|sent| sent.fate == Some(fate));
            assert!(!fate(Fate::Answered), "a result is left out");
            let open = tried.iter().any(|sent| sent.fate.is_none());
            let truthful = match gap.reason {
                Reason::TimedOut => open,
                Reason::LeftOut => open && live.service == 1 && live.mode == Mode::Idempotent,
                Reason::Cancelled => answer.outcome == Outcome::Cancelled,
                Reason::Failed => fate(Fate::Failed),
                Reason::Overloaded => fate(Fate::NotExecuted(ReplyKindTag::Shed)) && !open,
                Reason::SnapshotGone => {
                    tried.is_empty()
                        || fate(Fate::NotExecuted(ReplyKindTag::Gone))
                        || fate(Fate::OtherSnapshot)
                }
                Reason::NoReplica => {
                    tried.iter().all(|s| matches!(s.fate, Some(Fate::NotExecuted(_))))
                }
                Reason::Absent => tried.is_empty(),
            };
            assert!(truthful, "the reason {:?} is not true", gap.reason);
        }
        let none_ran = mine.iter().all(|sent| matches!(sent.fate, Some(Fate::NotExecuted(_))));
        let whole = answer.uncovered.is_empty();
        let some = !answer.covered.is_empty();
        let truthful = match answer.outcome {
            Outcome::Complete => whole && live.mode == Mode::Idempotent,
            Outcome::Partial => !whole && some && live.mode == Mode::Idempotent,
            Outcome::NoAnswer => !some && !none_ran && live.mode == Mode::Idempotent,
            Outcome::Done => whole && live.mode == Mode::AtMostOnce,
            Outcome::NotRun(_) => none_ran,
            Outcome::Unknown => !whole && !none_ran && live.mode == Mode::AtMostOnce,
            Outcome::Cancelled => live.mode == Mode::Idempotent,
        };
        assert!(truthful, "the outcome {:?} is not true", answer.outcome);
        let loose = mine.iter().find(|sent| sent.fate.is_none() && !sent.cancelled);
        assert!(loose.is_none(), "a sub-query outlives its query");
    }

    /// The shards that hold the pieces of the index asked for, by brute force.
    fn expected_shards(&self, live: &Live, snapshot: u64) -> Vec<ShardId> {
        let exists = |index: &u32| self.layout[*index as usize].lifetime.contains(&snapshot);
        let all: Vec<u32> = (0..self.layout.len() as u32).collect();
        let asked = if live.named.is_empty() { &all } else { &live.named };
        let pieces: HashSet<u8> =
            asked.iter().flat_map(|&i| self.layout[i as usize].pieces).copied().collect();
        let mut expected: HashSet<u32> = all
            .iter()
            .copied()
            .filter(exists)
            .filter(|&i| self.layout[i as usize].pieces.iter().any(|p| pieces.contains(p)))
            .collect();
        // A named shard whose pieces are in no shard of the snapshot is listed itself.
        for &index in &live.named {
            let own = self.layout[index as usize].pieces;
            let found = expected.iter().any(|&i| {
                exists(&i) && self.layout[i as usize].pieces.iter().any(|p| own.contains(p))
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
