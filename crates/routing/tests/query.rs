//! Tests of the query state machine. Most tests cause one failure and check how the query
//! handles it.

mod common;

use std::time::Duration;

use self::common::COVERAGE;
use self::common::Harness;
use self::common::LATENCY;
use self::common::ShardSpec;
use self::common::environment;
use self::common::uniform;
use tt_model::ResultCode;
use tt_model::SearcherId;
use tt_model::Snapshot;
use tt_model::VmId;
use tt_routing::Action;
use tt_routing::Attempt;
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
use tt_routing::Router;
use tt_routing::SearcherStatus;
use tt_routing::Settings;
use tt_routing::Shards;
use tt_routing::StatusReport;
use tt_routing::UncoveredShard;

fn harness(shards: usize, replicas: usize) -> Harness {
    Harness::new(uniform(shards, replicas), Settings::default())
}

/// A harness whose retry budget never holds a whole token.
fn harness_without_budget(shards: usize, replicas: usize) -> Harness {
    let budget = BudgetSettings { capacity: 0.5, ..Default::default() };
    Harness::new(uniform(shards, replicas), Settings { budget, ..Default::default() })
}

fn start(harness: &mut Harness, mode: Mode) -> QueryKey {
    harness.start(COVERAGE, mode).expect("a plan")
}

/// The only answer since the last call: its outcome, the number of covered shards, and the
/// reasons of the uncovered ones.
fn answer(harness: &mut Harness) -> (Outcome, usize, Vec<Reason>) {
    let answers = harness.take_answers();
    assert_eq!(answers.len(), 1, "expected one answer, found {answers:?}");
    let reasons =
        answers[0].uncovered.iter().map(|UncoveredShard { reason, .. }| *reason).collect();
    (answers[0].outcome, answers[0].covered.len(), reasons)
}

fn is_cancelled(harness: &Harness, attempt: Attempt) -> bool {
    harness
        .out
        .iter()
        .any(|action| matches!(action, Action::Cancel { key, .. } if *key == attempt.key))
}

#[test]
fn a_straggler_is_hedged_and_cancelled_when_the_hedge_answers() {
    // Guards against waiting for the slowest reply, and against two results for one shard.
    let mut harness = harness(4, 2);
    harness.record_latencies(60, 10);
    let query = start(&mut harness, Mode::Idempotent);
    let sent = harness.take_sent();
    harness.advance(query, 5);
    for &attempt in &sent[1..] {
        harness.answer(attempt);
    }
    harness.advance(query, 10);
    let hedge = harness.take_one_sent(AttemptKind::Hedge);
    assert_eq!(hedge.shard, sent[0].shard);
    assert_ne!(hedge.searcher, sent[0].searcher);
    harness.answer(hedge);
    assert!(is_cancelled(&harness, sent[0]));
    assert_eq!(answer(&mut harness), (Outcome::Complete, 4, vec![]));
}

#[test]
fn a_straggling_hedge_is_hedged_at_the_other_replica() {
    // Guards against a query that waits for two stragglers on the same shard, which happens to
    // 1 query in 200 at a fan-out of 52.
    let mut harness = harness(1, 2);
    harness.record_latencies(60, 10);
    let query = start(&mut harness, Mode::Idempotent);
    let primary = harness.take_one_sent(AttemptKind::Primary);
    harness.advance(query, 12);
    harness.take_one_sent(AttemptKind::Hedge);
    harness.advance(query, 12);
    let second = harness.take_one_sent(AttemptKind::Hedge);
    assert_eq!(second.searcher, primary.searcher);
    harness.advance(query, 100);
    assert_eq!(harness.take_sent(), []);
}

#[test]
fn no_hedge_without_budget_or_under_overload() {
    // Guards against hedges that add load while the searchers have no capacity for it.
    let mut harness = harness_without_budget(1, 2);
    harness.record_latencies(60, 10);
    let query = start(&mut harness, Mode::Idempotent);
    harness.take_one_sent(AttemptKind::Primary);
    harness.advance(query, 100);
    assert_eq!(harness.take_sent(), []);
    assert!(harness.router.counters().budget_denied > 0);

    let mut harness = self::harness(1, 2);
    for _ in 0..60 {
        start(&mut harness, Mode::Idempotent);
        harness.now += Duration::from_millis(10);
        let attempt = harness.take_one_sent(AttemptKind::Primary);
        let outcome = AttemptOutcome::Answered { snapshot: attempt.snapshot, body: 0 };
        let pressure = Some(Pressure { queued: 9, busy: 2 });
        let reply = Reply { outcome, held: &[], pressure };
        harness.router.on_reply(attempt.key, reply, harness.now, &mut harness.out);
        harness.out.clear();
    }
    let query = start(&mut harness, Mode::Idempotent);
    harness.take_one_sent(AttemptKind::Primary);
    harness.advance(query, 100);
    assert_eq!(harness.take_sent(), []);
}

#[test]
fn a_failed_attempt_is_retried_at_another_replica_and_uses_budget() {
    // Guards against an uncovered shard when one searcher fails and another replica could
    // answer.
    let mut harness = harness(1, 2);
    let before = harness.router.budget().fill_level();
    start(&mut harness, Mode::Idempotent);
    let failed = harness.take_one_sent(AttemptKind::Primary);
    harness.reply(failed, AttemptOutcome::Failed);
    let retry = harness.take_one_sent(AttemptKind::Retry);
    assert_ne!(retry.searcher, failed.searcher);
    assert!(harness.router.budget().fill_level() < before);
    harness.answer(retry);
    assert_eq!(answer(&mut harness), (Outcome::Complete, 1, vec![]));
}

#[test]
fn a_failed_replica_without_alternative_is_asked_once_more_after_a_delay() {
    // Guards against a burst of retries at a searcher that is down, and against giving up a
    // shard because of one broken connection.
    let mut harness = harness(1, 1);
    let query = start(&mut harness, Mode::Idempotent);
    let attempt = harness.take_one_sent(AttemptKind::Primary);
    harness.reply(attempt, AttemptOutcome::Failed);
    assert_eq!(harness.take_sent(), []);
    harness.advance(query, 5);
    let retry = harness.take_one_sent(AttemptKind::Retry);
    harness.reply(retry, AttemptOutcome::Failed);
    assert_eq!(harness.take_sent(), []);
    assert_eq!(answer(&mut harness), (Outcome::NoAnswer, 0, vec![Reason::Failed]));
}

#[test]
fn a_retry_of_a_failed_attempt_waits_for_budget_until_the_deadline() {
    // Guards against giving up a shard before the deadline, and against a retry that the
    // budget does not allow.
    let mut harness = harness_without_budget(2, 2);
    let query = start(&mut harness, Mode::Idempotent);
    let sent = harness.take_sent();
    harness.answer(sent[0]);
    harness.reply(sent[1], AttemptOutcome::Failed);
    harness.advance(query, 379);
    assert_eq!(harness.take_sent(), []);
    assert_eq!(harness.take_answers(), []);
    harness.advance(query, 20);
    assert_eq!(answer(&mut harness), (Outcome::Partial, 1, vec![Reason::Failed]));
}

#[test]
fn an_attempt_that_was_not_executed_is_retried_once_at_each_replica_without_budget() {
    // Guards against a retry budget that is used up by retries which add no load, because the
    // attempt before was not executed. Also guards against endless retries of this kind.
    let outcomes = [
        AttemptOutcome::Shed,
        AttemptOutcome::Draining,
        AttemptOutcome::WrongShard,
        AttemptOutcome::Refused,
        AttemptOutcome::OwnerUnreachable,
        AttemptOutcome::SnapshotGone,
    ];
    for outcome in outcomes {
        let mut harness = harness_without_budget(1, 3);
        start(&mut harness, Mode::Idempotent);
        let mut tried = vec![harness.take_one_sent(AttemptKind::Primary)];
        harness.reply(tried[0], outcome.clone());
        for _ in 0..2 {
            let retry = harness.take_one_sent(AttemptKind::Retry);
            assert!(tried.iter().all(|attempt| attempt.searcher != retry.searcher));
            tried.push(retry);
            harness.reply(retry, outcome.clone());
        }
        assert_eq!(harness.take_sent(), []);
        let answers = harness.take_answers();
        assert!(matches!(answers[0].outcome, Outcome::NotRun(_)), "{outcome:?} {answers:?}");
        assert_eq!(answers[0].attempts.not_executed, 3);
    }
}

#[test]
fn no_retry_goes_to_an_overloaded_replica() {
    // Guards against retries that overload the only replica still in service.
    let mut harness = harness(1, 2);
    let query = start(&mut harness, Mode::Idempotent);
    let first = harness.take_one_sent(AttemptKind::Primary);
    let other = harness.environment.searchers.keys().find(|&s| s != first.searcher).unwrap();
    harness.router.set_pressure(other, Pressure { queued: 5, busy: 2 }, harness.now);
    harness.reply(first, AttemptOutcome::Draining);
    assert_eq!(harness.take_sent(), []);
    harness.router.set_pressure(other, Pressure { queued: 0, busy: 1 }, harness.now);
    harness.advance(query, 10);
    assert_eq!(harness.take_one_sent(AttemptKind::Retry).searcher, other);
}

#[test]
fn a_query_restarts_once_when_its_snapshot_is_gone() {
    // Guards against an answer with results of different snapshots, and against endless
    // restarts while snapshots are withdrawn one after another.
    let mut harness = harness(2, 2);
    let query = start(&mut harness, Mode::Idempotent);
    let old = harness.take_sent();
    harness.answer(old[0]);
    for searcher in ["s0-r0", "s0-r1", "s1-r0", "s1-r1"] {
        harness.set_held_snapshots(searcher, &[2]);
    }
    harness.advance(query, 10);
    harness.reply(old[1], AttemptOutcome::SnapshotGone);
    let new = harness.take_sent();
    assert_eq!(new.len(), 2);
    assert!(
        new.iter()
            .all(|attempt| attempt.snapshot == Snapshot(2) && attempt.kind == AttemptKind::Restart)
    );
    // A second reply to an attempt from before the restart.
    harness.answer(old[1]);
    harness.answer(new[0]);
    harness.set_held_snapshots("s1-r0", &[3]);
    harness.set_held_snapshots("s1-r1", &[3]);
    harness.set_held_snapshots("s0-r1", &[3]);
    harness.reply(new[1], AttemptOutcome::SnapshotGone);
    let answers = harness.take_answers();
    assert_eq!(answers[0].snapshot, Snapshot(2));
    assert_eq!(answers[0].covered.len(), 1);
    assert_eq!(
        answers[0].uncovered,
        [UncoveredShard { shard: new[1].shard, reason: Reason::SnapshotGone }]
    );
    assert_eq!(harness.router.counters().duplicate_replies, 1);
}

#[test]
fn a_restart_uses_budget_for_sub_queries_that_may_have_run() {
    // Guards against unlimited extra load from restarts of many queries when a snapshot is
    // withdrawn.
    for (mut harness, expected) in [(harness_without_budget(3, 1), 0), (self::harness(3, 1), 3)] {
        start(&mut harness, Mode::Idempotent);
        let sent = harness.take_sent();
        harness.answer(sent[0]);
        for searcher in ["s0-r0", "s1-r0", "s2-r0"] {
            harness.set_held_snapshots(searcher, &[2]);
        }
        let before = harness.router.budget().fill_level();
        harness.reply(sent[1], AttemptOutcome::SnapshotGone);
        assert_eq!(harness.take_sent().len(), expected);
        // One was answered and one is still in flight.
        let spent = (before - harness.router.budget().fill_level()) * 32.0;
        assert_eq!(spent.round(), if expected == 0 { 0.0 } else { 2.0 });
    }
    // A restart adds no load if no attempt has run before it.
    let mut harness = harness_without_budget(1, 1);
    start(&mut harness, Mode::Idempotent);
    let attempt = harness.take_one_sent(AttemptKind::Primary);
    harness.set_held_snapshots("s0-r0", &[2]);
    harness.reply(attempt, AttemptOutcome::SnapshotGone);
    harness.take_one_sent(AttemptKind::Restart);
}

#[test]
fn a_second_hedge_does_not_go_back_to_a_leaving_replica() {
    // Guards against another attempt at a searcher that began to leave after its first attempt
    // was sent.
    let mut harness = harness(1, 2);
    for _ in 0..100 {
        start(&mut harness, Mode::Idempotent);
        let attempt = harness.take_one_sent(AttemptKind::Primary);
        harness.now += Duration::from_millis(if attempt.searcher.0 == 0 { 100 } else { 10 });
        harness.answer(attempt);
        harness.out.clear();
    }
    // The primary attempt is a probe of the slow replica, and its hedge goes to the fast one.
    harness.now += Duration::from_secs(2);
    let query = start(&mut harness, Mode::Idempotent);
    assert_eq!(harness.take_one_sent(AttemptKind::Primary).searcher, SearcherId(0));
    harness.advance(query, 1);
    assert_eq!(harness.take_one_sent(AttemptKind::Hedge).searcher, SearcherId(1));
    harness.router.report_status(SearcherId(1), StatusReport::Leaving, harness.now);
    harness.advance(query, 120);
    assert_eq!(harness.take_one_sent(AttemptKind::Hedge).searcher, SearcherId(0));
}

#[test]
fn a_key_of_one_router_is_not_valid_in_another() {
    // Guards against a reply that is passed to the router of another thread and counted there
    // for a different query.
    let mut harness = harness(1, 1);
    let key = start(&mut harness, Mode::Idempotent);
    let rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let environment = std::sync::Arc::clone(&harness.environment);
    let mut other: Router<u64, _> = Router::new(environment, Settings::default(), rng, harness.now)
        .with_generations_from(1 << 56);
    other.set_held_snapshots(SearcherId(0), &[Snapshot(1)]);
    let request = Request {
        service: COVERAGE,
        shards: Shards::All,
        mode: Mode::Idempotent,
        deadline: harness.now + Duration::from_millis(400),
    };
    let other_key = other.start(request, harness.now, &mut Vec::new()).expect("a plan");
    assert_eq!(other_key.index, key.index);
    other.cancel(key, harness.now, &mut Vec::new());
    assert_eq!((other.in_flight(), other.counters().stale_events), (1, 1));
}

#[test]
fn a_hedge_goes_to_another_owner() {
    // Guards against a hedge that is as late as the first attempt, because both go through the
    // same hung owner.
    let mut harness = harness(1, 4);
    harness.record_latencies(120, 10);
    for searcher in 0..4 {
        harness.router.set_owner(SearcherId(searcher), VmId(searcher / 3));
    }
    for _ in 0..8 {
        let query = start(&mut harness, Mode::Idempotent);
        let late = harness.take_one_sent(AttemptKind::Primary);
        harness.advance(query, 12);
        let hedge = harness.take_one_sent(AttemptKind::Hedge);
        assert_ne!(hedge.searcher.0 / 3, late.searcher.0 / 3);
        harness.answer(hedge);
        harness.out.clear();
    }
}

#[test]
fn early_cancellations_do_not_count_as_failures() {
    // Guards against the ejection of healthy searchers when callers cancel before an answer
    // could arrive.
    let mut harness = harness(1, 2);
    for _ in 0..20 {
        let query = start(&mut harness, Mode::Idempotent);
        harness.now += Duration::from_millis(20);
        harness.router.cancel(query, harness.now, &mut harness.out);
    }
    for searcher in 0..2 {
        let state = harness.router.view().status(SearcherId(searcher), harness.now);
        assert_eq!(state, SearcherStatus::Ready);
    }
}

#[test]
fn a_restart_searches_the_shards_of_the_new_snapshot() {
    // Guards against a restart that searches the parent of a split, or the parent and its
    // children, although only the children exist at the new snapshot.
    let shard = |name, fields| ShardSpec { name, replicas: &["x", "y"], fields };
    let environment = environment(&[
        shard("a", r#""until": 2"#),
        shard("a1", r#""from": 2, "parents": ["a"]"#),
        shard("a2", r#""from": 2, "parents": ["a"]"#),
    ]);
    let mut harness = Harness::new(environment, Settings::default());
    start(&mut harness, Mode::Idempotent);
    let attempt = harness.take_one_sent(AttemptKind::Primary);
    assert_eq!(attempt.shard, harness.shard("a"));
    harness.set_held_snapshots("x", &[2]);
    harness.set_held_snapshots("y", &[2]);
    harness.reply(attempt, AttemptOutcome::SnapshotGone);
    let mut shards: Vec<_> = harness.take_sent().iter().map(|attempt| attempt.shard).collect();
    shards.sort();
    assert_eq!(shards, [harness.shard("a1"), harness.shard("a2")]);
}

#[test]
fn an_answer_for_another_snapshot_is_not_used() {
    // Guards against an answer with results of different snapshots.
    let mut harness = harness(1, 2);
    start(&mut harness, Mode::Idempotent);
    let attempt = harness.take_one_sent(AttemptKind::Primary);
    harness.reply(attempt, AttemptOutcome::Answered { snapshot: Snapshot(9), body: 0 });
    assert_eq!(harness.take_answers(), []);
    let retry = harness.take_one_sent(AttemptKind::Retry);
    harness.answer(retry);
    assert_eq!(answer(&mut harness), (Outcome::Complete, 1, vec![]));
    assert_eq!(harness.router.counters().mismatched_replies, 1);
}

#[test]
fn duplicate_late_and_stale_replies_are_dropped_and_counted() {
    // Guards against one caller's result in the answer to another: the next query uses the
    // same slot in the arena, and a late reply could be taken for a reply to it.
    let mut harness = harness(2, 2);
    harness.record_latencies(60, 10);
    let query = start(&mut harness, Mode::Idempotent);
    let sent = harness.take_sent();
    harness.answer(sent[0]);
    harness.answer(sent[0]);
    harness.advance(query, 15);
    let hedge = harness.take_one_sent(AttemptKind::Hedge);
    harness.answer(hedge);
    assert_eq!(answer(&mut harness), (Outcome::Complete, 2, vec![]));
    // The next query reuses the slot in the arena.
    let next = start(&mut harness, Mode::Idempotent);
    assert_eq!(next.index, query.index);
    harness.take_sent();
    harness.answer(sent[1]);
    assert_eq!(harness.take_answers(), []);
    let counters = harness.router.counters();
    assert_eq!((counters.duplicate_replies, counters.stale_events), (1, 1));
}

#[test]
fn coverage_waits_for_its_deadline_and_latency_answers_early() {
    // Guards against missing results for a class that prefers to wait for them, and against a
    // late answer for a class that does not.
    for (service, ms) in [(COVERAGE, 380), (LATENCY, 310)] {
        let mut harness = harness(10, 1);
        harness.record_latencies(60, 10);
        let started = harness.now;
        let query = harness.start(service, Mode::Idempotent).expect("a plan");
        for &attempt in &harness.take_sent()[1..] {
            harness.answer(attempt);
        }
        for _ in 0..400 {
            if harness.router.in_flight() > 0 {
                harness.advance(query, 1);
            }
        }
        let took = harness.now - started;
        assert!(took >= Duration::from_millis(ms - 30) && took <= Duration::from_millis(ms));
        let reason = if service == COVERAGE { Reason::TimedOut } else { Reason::LeftOut };
        assert_eq!(answer(&mut harness), (Outcome::Partial, 9, vec![reason]));
    }
}

#[test]
fn an_early_answer_covers_most_shards() {
    // Guards against an early answer that leaves out many shards.
    let mut harness = harness(10, 1);
    harness.record_latencies(60, 10);
    let query = harness.start(LATENCY, Mode::Idempotent).expect("a plan");
    for &attempt in &harness.take_sent()[2..] {
        harness.answer(attempt);
    }
    harness.advance(query, 370);
    assert_eq!(harness.take_answers(), []);
    harness.advance(query, 10);
    assert_eq!(answer(&mut harness), (Outcome::Partial, 8, vec![Reason::TimedOut; 2]));
}

#[test]
fn a_cancelled_query_cancels_its_attempts_in_flight() {
    // Guards against searchers that keep working for a query whose caller has disconnected.
    let mut harness = harness(2, 2);
    let query = start(&mut harness, Mode::Idempotent);
    let sent = harness.take_sent();
    harness.answer(sent[0]);
    harness.router.cancel(query, harness.now, &mut harness.out);
    assert!(is_cancelled(&harness, sent[1]) && !is_cancelled(&harness, sent[0]));
    assert_eq!(answer(&mut harness), (Outcome::Cancelled, 1, vec![Reason::Cancelled]));
    assert_eq!(harness.router.in_flight(), 0);
    assert_eq!(harness.router.view().in_flight(sent[1].searcher), 0);
}

#[test]
fn a_non_idempotent_query_is_never_hedged_or_restarted() {
    // Guards against a non-idempotent request, such as a payout, that runs twice.
    let mut harness = harness(1, 2);
    harness.record_latencies(60, 10);
    let query = start(&mut harness, Mode::AtMostOnce);
    let attempt = harness.take_one_sent(AttemptKind::Primary);
    harness.router.cancel(query, harness.now, &mut harness.out);
    harness.advance(query, 379);
    assert_eq!(harness.take_sent(), []);
    assert_eq!(harness.take_answers(), []);
    harness.advance(query, 2);
    assert!(is_cancelled(&harness, attempt));
    assert_eq!(answer(&mut harness), (Outcome::Unknown, 0, vec![Reason::TimedOut]));
}

#[test]
fn a_non_idempotent_query_is_retried_only_if_it_did_not_run() {
    // Guards against a payout that runs twice because a failed attempt is retried, and against
    // one that is refused although another replica could run it.
    let mut harness = harness(1, 3);
    start(&mut harness, Mode::AtMostOnce);
    let first = harness.take_one_sent(AttemptKind::Primary);
    harness.reply(first, AttemptOutcome::Draining);
    let second = harness.take_one_sent(AttemptKind::Retry);
    harness.reply(second, AttemptOutcome::Failed);
    assert_eq!(harness.take_sent(), []);
    assert_eq!(answer(&mut harness), (Outcome::Unknown, 0, vec![Reason::Failed]));

    start(&mut harness, Mode::AtMostOnce);
    let attempt = harness.take_one_sent(AttemptKind::Primary);
    harness.answer(attempt);
    assert_eq!(answer(&mut harness), (Outcome::Done, 1, vec![]));
}

#[test]
fn not_run_is_reported_only_if_no_attempt_may_have_run() {
    // Guards against a wrong "not run", after which the caller would repeat a payout.
    let mut harness = harness(2, 1);
    start(&mut harness, Mode::AtMostOnce);
    for attempt in harness.take_sent() {
        harness.reply(attempt, AttemptOutcome::Shed);
    }
    let expected = Outcome::NotRun(ResultCode::Overloaded);
    assert_eq!(answer(&mut harness), (expected, 0, vec![Reason::Overloaded; 2]));

    harness.now += Duration::from_secs(1);
    start(&mut harness, Mode::AtMostOnce);
    let sent = harness.take_sent();
    harness.reply(sent[0], AttemptOutcome::Shed);
    harness.answer(sent[1]);
    assert_eq!(answer(&mut harness), (Outcome::Unknown, 1, vec![Reason::Overloaded]));
}

#[test]
fn a_request_that_cannot_be_sent_is_refused_before_anything_is_sent() {
    // Guards against a refusal, which tells the caller that nothing has run, after an attempt
    // was sent.
    let mut harness = harness(2, 1);
    let passed = harness.now;
    harness.now += Duration::from_secs(1);
    let request = Request {
        service: COVERAGE,
        shards: Shards::All,
        mode: Mode::Idempotent,
        deadline: passed,
    };
    let refused = harness.router.start(request, harness.now, &mut harness.out);
    assert_eq!(refused, Err(ResultCode::DeadlinePassed));
    let searcher = harness.searcher("s0-r0");
    harness.router.report_status(searcher, StatusReport::Leaving, harness.now);
    assert_eq!(harness.start(COVERAGE, Mode::AtMostOnce), Err(ResultCode::NoReplica));
    harness.set_held_snapshots("s0-r0", &[]);
    harness.set_held_snapshots("s1-r0", &[]);
    assert_eq!(harness.start(COVERAGE, Mode::Idempotent), Err(ResultCode::NoSnapshot));
    assert_eq!(harness.out, []);
    assert_eq!(harness.router.view().in_flight(searcher), 0);
}

#[test]
fn the_baseline_uses_round_robin_and_retries_once_after_its_timeout() {
    // Guards against wrong comparisons of the policies, because the baseline decides otherwise
    // than its description says.
    let settings = Settings {
        policy: Policy::Baseline,
        baseline_timeout: Duration::from_millis(100),
        ..Default::default()
    };
    let mut harness = Harness::new(uniform(1, 3), settings);
    let mut chosen = Vec::new();
    for _ in 0..3 {
        start(&mut harness, Mode::Idempotent);
        let attempt = harness.take_one_sent(AttemptKind::Primary);
        chosen.push(attempt.searcher.0);
        harness.answer(attempt);
        harness.take_answers();
    }
    chosen.sort_unstable();
    assert_eq!(chosen, [0, 1, 2]);
    let query = start(&mut harness, Mode::Idempotent);
    let first = harness.take_one_sent(AttemptKind::Primary);
    harness.advance(query, 99);
    assert_eq!(harness.take_sent(), []);
    harness.advance(query, 2);
    harness.take_one_sent(AttemptKind::Retry);
    assert!(is_cancelled(&harness, first));
    harness.advance(query, 101);
    assert_eq!(answer(&mut harness), (Outcome::NoAnswer, 0, vec![Reason::TimedOut]));
}
