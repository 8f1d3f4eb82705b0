//! Each test causes one failure and states what the query must do about it.

mod common;

use std::time::Duration;

use self::common::Bench;
use self::common::COVERAGE;
use self::common::LATENCY;
use self::common::ShardLine;
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

fn bench(shards: usize, replicas: usize) -> Bench {
    Bench::new(uniform(shards, replicas), Settings::default())
}

/// A bench without hedge budget.
fn poor(shards: usize, replicas: usize) -> Bench {
    let budget = BudgetSettings { capacity: 0.5, ..Default::default() };
    Bench::new(uniform(shards, replicas), Settings { budget, ..Default::default() })
}

fn start(bench: &mut Bench, mode: Mode) -> QueryKey {
    bench.start(COVERAGE, mode).expect("a plan")
}

/// The only answer since the last call, as its outcome, covered shards and gaps.
fn answer(bench: &mut Bench) -> (Outcome, usize, Vec<Reason>) {
    let answers = bench.finished();
    assert_eq!(answers.len(), 1, "expected one answer, found {answers:?}");
    let gaps = answers[0].uncovered.iter().map(|UncoveredShard { reason, .. }| *reason).collect();
    (answers[0].outcome, answers[0].covered.len(), gaps)
}

fn is_cancelled(bench: &Bench, attempt: Attempt) -> bool {
    bench
        .out
        .iter()
        .any(|action| matches!(action, Action::Cancel { key, .. } if *key == attempt.key))
}

#[test]
fn hedges_a_straggler_and_cancels_the_loser() {
    // Guards against waiting for the slowest reply, and against two answers for a shard.
    let mut bench = bench(4, 2);
    bench.train(60, 10);
    let query = start(&mut bench, Mode::Idempotent);
    let sent = bench.sent();
    bench.pass(query, 5);
    for &attempt in &sent[1..] {
        bench.answer(attempt);
    }
    bench.pass(query, 10);
    let hedge = bench.sent_one(AttemptKind::Hedge);
    assert_eq!(hedge.shard, sent[0].shard);
    assert_ne!(hedge.searcher, sent[0].searcher);
    bench.answer(hedge);
    assert!(is_cancelled(&bench, sent[0]));
    assert_eq!(answer(&mut bench), (Outcome::Complete, 4, vec![]));
}

#[test]
fn a_straggling_hedge_is_hedged_at_the_other_replica() {
    // Guards against two stragglers on one shard: 1 query in 200 at a fan-out of 52.
    let mut bench = bench(1, 2);
    bench.train(60, 10);
    let query = start(&mut bench, Mode::Idempotent);
    let primary = bench.sent_one(AttemptKind::Primary);
    bench.pass(query, 12);
    bench.sent_one(AttemptKind::Hedge);
    bench.pass(query, 12);
    let second = bench.sent_one(AttemptKind::Hedge);
    assert_eq!(second.searcher, primary.searcher);
    bench.pass(query, 100);
    assert_eq!(bench.sent(), []);
}

#[test]
fn no_hedge_without_budget_or_under_overload() {
    // Guards against hedges that add load when the tier is short of it.
    let mut bench = poor(1, 2);
    bench.train(60, 10);
    let query = start(&mut bench, Mode::Idempotent);
    bench.sent_one(AttemptKind::Primary);
    bench.pass(query, 100);
    assert_eq!(bench.sent(), []);
    assert!(bench.router.counters().budget_denied > 0);

    let mut bench = self::bench(1, 2);
    for _ in 0..60 {
        start(&mut bench, Mode::Idempotent);
        bench.now += Duration::from_millis(10);
        let attempt = bench.sent_one(AttemptKind::Primary);
        let outcome = AttemptOutcome::Answered { snapshot: attempt.snapshot, body: 0 };
        let pressure = Some(Pressure { queued: 9, busy: 2 });
        let reply = Reply { outcome, held: &[], pressure };
        bench.router.reply(attempt.key, reply, bench.now, &mut bench.out);
        bench.out.clear();
    }
    let query = start(&mut bench, Mode::Idempotent);
    bench.sent_one(AttemptKind::Primary);
    bench.pass(query, 100);
    assert_eq!(bench.sent(), []);
}

#[test]
fn a_failed_sub_query_is_retried_elsewhere_and_paid_for() {
    // Guards against a shard lost with its searcher while another replica lives.
    let mut bench = bench(1, 2);
    let before = bench.router.budget().level();
    start(&mut bench, Mode::Idempotent);
    let lost = bench.sent_one(AttemptKind::Primary);
    bench.reply(lost, AttemptOutcome::Failed);
    let retry = bench.sent_one(AttemptKind::Retry);
    assert_ne!(retry.searcher, lost.searcher);
    assert!(bench.router.budget().level() < before);
    bench.answer(retry);
    assert_eq!(answer(&mut bench), (Outcome::Complete, 1, vec![]));
}

#[test]
fn a_failed_replica_without_alternative_is_asked_once_more_after_a_pause() {
    // Guards against a burst of retries at a lost searcher, and against a shard given up
    // for one broken connection.
    let mut bench = bench(1, 1);
    let query = start(&mut bench, Mode::Idempotent);
    let attempt = bench.sent_one(AttemptKind::Primary);
    bench.reply(attempt, AttemptOutcome::Failed);
    assert_eq!(bench.sent(), []);
    bench.pass(query, 5);
    let retry = bench.sent_one(AttemptKind::Retry);
    bench.reply(retry, AttemptOutcome::Failed);
    assert_eq!(bench.sent(), []);
    assert_eq!(answer(&mut bench), (Outcome::NoAnswer, 0, vec![Reason::Failed]));
}

#[test]
fn a_failed_sub_query_waits_for_budget_until_the_deadline() {
    // Guards against a shard given up early, and against a retry without budget.
    let mut bench = poor(2, 2);
    let query = start(&mut bench, Mode::Idempotent);
    let sent = bench.sent();
    bench.answer(sent[0]);
    bench.reply(sent[1], AttemptOutcome::Failed);
    bench.pass(query, 379);
    assert_eq!(bench.sent(), []);
    assert_eq!(bench.finished(), []);
    bench.pass(query, 20);
    assert_eq!(answer(&mut bench), (Outcome::Partial, 1, vec![Reason::Failed]));
}

#[test]
fn a_definite_not_executed_is_retried_free_and_once_at_each_replica() {
    // Guards against a shed that uses up the hedge budget, and against a retry storm.
    let outcomes = [
        AttemptOutcome::Shed,
        AttemptOutcome::Draining,
        AttemptOutcome::WrongShard,
        AttemptOutcome::Refused,
        AttemptOutcome::OwnerUnreachable,
        AttemptOutcome::SnapshotGone,
    ];
    for outcome in outcomes {
        let mut bench = poor(1, 3);
        start(&mut bench, Mode::Idempotent);
        let mut tried = vec![bench.sent_one(AttemptKind::Primary)];
        bench.reply(tried[0], outcome.clone());
        for _ in 0..2 {
            let retry = bench.sent_one(AttemptKind::Retry);
            assert!(tried.iter().all(|attempt| attempt.searcher != retry.searcher));
            tried.push(retry);
            bench.reply(retry, outcome.clone());
        }
        assert_eq!(bench.sent(), []);
        let answers = bench.finished();
        assert!(matches!(answers[0].outcome, Outcome::NotRun(_)), "{outcome:?} {answers:?}");
        assert_eq!(answers[0].attempts.not_executed, 3);
    }
}

#[test]
fn no_retry_goes_to_an_overloaded_replica() {
    // Guards against retries that pile up on the one replica that is still alive.
    let mut bench = bench(1, 2);
    let query = start(&mut bench, Mode::Idempotent);
    let first = bench.sent_one(AttemptKind::Primary);
    let other = bench.environment.searchers.keys().find(|&s| s != first.searcher).unwrap();
    bench.router.set_pressure(other, Pressure { queued: 5, busy: 2 }, bench.now);
    bench.reply(first, AttemptOutcome::Draining);
    assert_eq!(bench.sent(), []);
    bench.router.set_pressure(other, Pressure { queued: 0, busy: 1 }, bench.now);
    bench.pass(query, 10);
    assert_eq!(bench.sent_one(AttemptKind::Retry).searcher, other);
}

#[test]
fn a_query_restarts_once_when_its_snapshot_is_gone() {
    // Guards against an answer that mixes snapshots, and against endless restarts.
    let mut bench = bench(2, 2);
    let query = start(&mut bench, Mode::Idempotent);
    let old = bench.sent();
    bench.answer(old[0]);
    for searcher in ["s0-r0", "s0-r1", "s1-r0", "s1-r1"] {
        bench.hold(searcher, &[2]);
    }
    bench.pass(query, 10);
    bench.reply(old[1], AttemptOutcome::SnapshotGone);
    let new = bench.sent();
    assert_eq!(new.len(), 2);
    assert!(
        new.iter()
            .all(|attempt| attempt.snapshot == Snapshot(2) && attempt.kind == AttemptKind::Restart)
    );
    // A second reply to a sub-query from before the restart.
    bench.answer(old[1]);
    bench.answer(new[0]);
    bench.hold("s1-r0", &[3]);
    bench.hold("s1-r1", &[3]);
    bench.hold("s0-r1", &[3]);
    bench.reply(new[1], AttemptOutcome::SnapshotGone);
    let answers = bench.finished();
    assert_eq!(answers[0].snapshot, Snapshot(2));
    assert_eq!(answers[0].covered.len(), 1);
    assert_eq!(
        answers[0].uncovered,
        [UncoveredShard { shard: new[1].shard, reason: Reason::SnapshotGone }]
    );
    assert_eq!(bench.router.counters().duplicate_replies, 1);
}

#[test]
fn a_restart_is_paid_for_what_may_have_run() {
    // Guards against restarts that add load without limit when a snapshot is withdrawn.
    for (mut bench, expected) in [(poor(3, 1), 0), (self::bench(3, 1), 3)] {
        start(&mut bench, Mode::Idempotent);
        let sent = bench.sent();
        bench.answer(sent[0]);
        for searcher in ["s0-r0", "s1-r0", "s2-r0"] {
            bench.hold(searcher, &[2]);
        }
        let before = bench.router.budget().level();
        bench.reply(sent[1], AttemptOutcome::SnapshotGone);
        assert_eq!(bench.sent().len(), expected);
        // One was answered and one is still in flight.
        let spent = (before - bench.router.budget().level()) * 32.0;
        assert_eq!(spent.round(), if expected == 0 { 0.0 } else { 2.0 });
    }
    // A restart in which nothing has run adds no load.
    let mut bench = poor(1, 1);
    start(&mut bench, Mode::Idempotent);
    let attempt = bench.sent_one(AttemptKind::Primary);
    bench.hold("s0-r0", &[2]);
    bench.reply(attempt, AttemptOutcome::SnapshotGone);
    bench.sent_one(AttemptKind::Restart);
}

#[test]
fn a_second_hedge_does_not_go_back_to_a_leaving_replica() {
    // Guards against new work for a leaving searcher that already has an attempt.
    let mut bench = bench(1, 2);
    for _ in 0..100 {
        start(&mut bench, Mode::Idempotent);
        let attempt = bench.sent_one(AttemptKind::Primary);
        bench.now += Duration::from_millis(if attempt.searcher.0 == 0 { 100 } else { 10 });
        bench.answer(attempt);
        bench.out.clear();
    }
    // The slow replica is due for a probe, which is hedged at the fast one.
    bench.now += Duration::from_secs(2);
    let query = start(&mut bench, Mode::Idempotent);
    assert_eq!(bench.sent_one(AttemptKind::Primary).searcher, SearcherId(0));
    bench.pass(query, 1);
    assert_eq!(bench.sent_one(AttemptKind::Hedge).searcher, SearcherId(1));
    bench.router.report_status(SearcherId(1), StatusReport::Leaving, bench.now);
    bench.pass(query, 120);
    assert_eq!(bench.sent_one(AttemptKind::Hedge).searcher, SearcherId(0));
}

#[test]
fn keys_of_two_routers_never_meet() {
    // Guards against a reply handed to the router of another thread.
    let mut bench = bench(1, 1);
    let key = start(&mut bench, Mode::Idempotent);
    let rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let environment = std::sync::Arc::clone(&bench.environment);
    let mut other: Router<u64, _> = Router::new(environment, Settings::default(), rng, bench.now)
        .with_generations_from(1 << 56);
    other.set_held_snapshots(SearcherId(0), &[Snapshot(1)]);
    let request = Request {
        service: COVERAGE,
        shards: Shards::All,
        mode: Mode::Idempotent,
        deadline: bench.now + Duration::from_millis(400),
    };
    let theirs = other.start(request, bench.now, &mut Vec::new()).expect("a plan");
    assert_eq!(theirs.index, key.index);
    other.cancel(key, bench.now, &mut Vec::new());
    assert_eq!((other.in_flight(), other.counters().stale_events), (1, 1));
}

#[test]
fn a_hedge_goes_to_another_owner() {
    // Guards against a hedge behind the same hung owner daemon.
    let mut bench = bench(1, 4);
    bench.train(120, 10);
    for searcher in 0..4 {
        bench.router.set_owner(SearcherId(searcher), VmId(searcher / 3));
    }
    for _ in 0..8 {
        let query = start(&mut bench, Mode::Idempotent);
        let late = bench.sent_one(AttemptKind::Primary);
        bench.pass(query, 12);
        let hedge = bench.sent_one(AttemptKind::Hedge);
        assert_ne!(hedge.searcher.0 / 3, late.searcher.0 / 3);
        bench.answer(hedge);
        bench.out.clear();
    }
}

#[test]
fn early_cancellations_are_no_evidence_against_searchers() {
    // Guards against healthy searchers ejected because callers went away.
    let mut bench = bench(1, 2);
    for _ in 0..20 {
        let query = start(&mut bench, Mode::Idempotent);
        bench.now += Duration::from_millis(20);
        bench.router.cancel(query, bench.now, &mut bench.out);
    }
    for searcher in 0..2 {
        let state = bench.router.view().status(SearcherId(searcher), bench.now);
        assert_eq!(state, SearcherStatus::Ready);
    }
}

#[test]
fn a_restart_changes_the_shard_set_with_the_snapshot() {
    // Guards against a restart across a split that asks the parent, or both generations.
    let line = |name, rest| ShardLine { name, replicas: &["x", "y"], rest };
    let environment = environment(&[
        line("a", r#""until": 2"#),
        line("a1", r#""from": 2, "parents": ["a"]"#),
        line("a2", r#""from": 2, "parents": ["a"]"#),
    ]);
    let mut bench = Bench::new(environment, Settings::default());
    start(&mut bench, Mode::Idempotent);
    let attempt = bench.sent_one(AttemptKind::Primary);
    assert_eq!(attempt.shard, bench.shard("a"));
    bench.hold("x", &[2]);
    bench.hold("y", &[2]);
    bench.reply(attempt, AttemptOutcome::SnapshotGone);
    let mut shards: Vec<_> = bench.sent().iter().map(|attempt| attempt.shard).collect();
    shards.sort();
    assert_eq!(shards, [bench.shard("a1"), bench.shard("a2")]);
}

#[test]
fn an_answer_for_another_snapshot_is_not_used() {
    // Guards against an answer that mixes snapshots.
    let mut bench = bench(1, 2);
    start(&mut bench, Mode::Idempotent);
    let attempt = bench.sent_one(AttemptKind::Primary);
    bench.reply(attempt, AttemptOutcome::Answered { snapshot: Snapshot(9), body: 0 });
    assert_eq!(bench.finished(), []);
    let retry = bench.sent_one(AttemptKind::Retry);
    bench.answer(retry);
    assert_eq!(answer(&mut bench), (Outcome::Complete, 1, vec![]));
    assert_eq!(bench.router.counters().mismatched_replies, 1);
}

#[test]
fn duplicate_late_and_stale_replies_are_dropped_and_counted() {
    // Guards against one caller's result in another caller's answer.
    let mut bench = bench(2, 2);
    bench.train(60, 10);
    let query = start(&mut bench, Mode::Idempotent);
    let sent = bench.sent();
    bench.answer(sent[0]);
    bench.answer(sent[0]);
    bench.pass(query, 15);
    let hedge = bench.sent_one(AttemptKind::Hedge);
    bench.answer(hedge);
    assert_eq!(answer(&mut bench), (Outcome::Complete, 2, vec![]));
    // The place in the arena is used again by the next query.
    let next = start(&mut bench, Mode::Idempotent);
    assert_eq!(next.index, query.index);
    bench.sent();
    bench.answer(sent[1]);
    assert_eq!(bench.finished(), []);
    let counters = bench.router.counters();
    assert_eq!((counters.duplicate_replies, counters.stale_events), (1, 1));
}

#[test]
fn coverage_waits_for_its_deadline_and_latency_answers_early() {
    // Guards against a lost register for a class that would have waited, and against a
    // late answer for a class that would not.
    for (service, ms) in [(COVERAGE, 380), (LATENCY, 310)] {
        let mut bench = bench(10, 1);
        bench.train(60, 10);
        let started = bench.now;
        let query = bench.start(service, Mode::Idempotent).expect("a plan");
        for &attempt in &bench.sent()[1..] {
            bench.answer(attempt);
        }
        for _ in 0..400 {
            if bench.router.in_flight() > 0 {
                bench.pass(query, 1);
            }
        }
        let took = bench.now - started;
        assert!(took >= Duration::from_millis(ms - 30) && took <= Duration::from_millis(ms));
        let reason = if service == COVERAGE { Reason::TimedOut } else { Reason::LeftOut };
        assert_eq!(answer(&mut bench), (Outcome::Partial, 9, vec![reason]));
    }
}

#[test]
fn an_early_answer_covers_most_shards() {
    // Guards against an early answer that gives up many shards at once.
    let mut bench = bench(10, 1);
    bench.train(60, 10);
    let query = bench.start(LATENCY, Mode::Idempotent).expect("a plan");
    for &attempt in &bench.sent()[2..] {
        bench.answer(attempt);
    }
    bench.pass(query, 370);
    assert_eq!(bench.finished(), []);
    bench.pass(query, 10);
    assert_eq!(answer(&mut bench), (Outcome::Partial, 8, vec![Reason::TimedOut; 2]));
}

#[test]
fn a_cancelled_query_cancels_what_is_in_flight() {
    // Guards against searchers working for a caller that is gone.
    let mut bench = bench(2, 2);
    let query = start(&mut bench, Mode::Idempotent);
    let sent = bench.sent();
    bench.answer(sent[0]);
    bench.router.cancel(query, bench.now, &mut bench.out);
    assert!(is_cancelled(&bench, sent[1]) && !is_cancelled(&bench, sent[0]));
    assert_eq!(answer(&mut bench), (Outcome::Cancelled, 1, vec![Reason::Cancelled]));
    assert_eq!(bench.router.in_flight(), 0);
    assert_eq!(bench.router.view().in_flight(sent[1].searcher), 0);
}

#[test]
fn a_non_idempotent_query_is_never_hedged_or_restarted() {
    // Guards against a payout that runs twice.
    let mut bench = bench(1, 2);
    bench.train(60, 10);
    let query = start(&mut bench, Mode::AtMostOnce);
    let attempt = bench.sent_one(AttemptKind::Primary);
    bench.router.cancel(query, bench.now, &mut bench.out);
    bench.pass(query, 379);
    assert_eq!(bench.sent(), []);
    assert_eq!(bench.finished(), []);
    bench.pass(query, 2);
    assert!(is_cancelled(&bench, attempt));
    assert_eq!(answer(&mut bench), (Outcome::Unknown, 0, vec![Reason::TimedOut]));
}

#[test]
fn a_non_idempotent_query_is_retried_only_if_it_did_not_run() {
    // Guards against a payout that runs twice, and against one refused without need.
    let mut bench = bench(1, 3);
    start(&mut bench, Mode::AtMostOnce);
    let first = bench.sent_one(AttemptKind::Primary);
    bench.reply(first, AttemptOutcome::Draining);
    let second = bench.sent_one(AttemptKind::Retry);
    bench.reply(second, AttemptOutcome::Failed);
    assert_eq!(bench.sent(), []);
    assert_eq!(answer(&mut bench), (Outcome::Unknown, 0, vec![Reason::Failed]));

    start(&mut bench, Mode::AtMostOnce);
    let attempt = bench.sent_one(AttemptKind::Primary);
    bench.answer(attempt);
    assert_eq!(answer(&mut bench), (Outcome::Done, 1, vec![]));
}

#[test]
fn not_run_is_said_only_if_no_sub_query_may_have_run() {
    // Guards against a false "not run": the caller would repeat a payout.
    let mut bench = bench(2, 1);
    start(&mut bench, Mode::AtMostOnce);
    for attempt in bench.sent() {
        bench.reply(attempt, AttemptOutcome::Shed);
    }
    let expected = Outcome::NotRun(ResultCode::Overloaded);
    assert_eq!(answer(&mut bench), (expected, 0, vec![Reason::Overloaded; 2]));

    bench.now += Duration::from_secs(1);
    start(&mut bench, Mode::AtMostOnce);
    let sent = bench.sent();
    bench.reply(sent[0], AttemptOutcome::Shed);
    bench.answer(sent[1]);
    assert_eq!(answer(&mut bench), (Outcome::Unknown, 1, vec![Reason::Overloaded]));
}

#[test]
fn a_request_that_cannot_be_sent_is_refused_before_anything_is_sent() {
    // Guards against a refusal code that says "not run" after a send.
    let mut bench = bench(2, 1);
    let late = bench.now;
    bench.now += Duration::from_secs(1);
    let request =
        Request { service: COVERAGE, shards: Shards::All, mode: Mode::Idempotent, deadline: late };
    let refused = bench.router.start(request, bench.now, &mut bench.out);
    assert_eq!(refused, Err(ResultCode::DeadlinePassed));
    let searcher = bench.searcher("s0-r0");
    bench.router.report_status(searcher, StatusReport::Leaving, bench.now);
    assert_eq!(bench.start(COVERAGE, Mode::AtMostOnce), Err(ResultCode::NoReplica));
    bench.hold("s0-r0", &[]);
    bench.hold("s1-r0", &[]);
    assert_eq!(bench.start(COVERAGE, Mode::Idempotent), Err(ResultCode::NoSnapshot));
    assert_eq!(bench.out, []);
    assert_eq!(bench.router.view().in_flight(searcher), 0);
}

#[test]
fn the_baseline_takes_replicas_in_turn_and_retries_once_after_its_timeout() {
    // Guards against a baseline that is better or worse than the one described.
    let settings = Settings {
        policy: Policy::Baseline,
        baseline_timeout: Duration::from_millis(100),
        ..Default::default()
    };
    let mut bench = Bench::new(uniform(1, 3), settings);
    let mut turns = Vec::new();
    for _ in 0..3 {
        start(&mut bench, Mode::Idempotent);
        let attempt = bench.sent_one(AttemptKind::Primary);
        turns.push(attempt.searcher.0);
        bench.answer(attempt);
        bench.finished();
    }
    turns.sort_unstable();
    assert_eq!(turns, [0, 1, 2]);
    let query = start(&mut bench, Mode::Idempotent);
    let first = bench.sent_one(AttemptKind::Primary);
    bench.pass(query, 99);
    assert_eq!(bench.sent(), []);
    bench.pass(query, 2);
    bench.sent_one(AttemptKind::Retry);
    assert!(is_cancelled(&bench, first));
    bench.pass(query, 101);
    assert_eq!(answer(&mut bench), (Outcome::NoAnswer, 0, vec![Reason::TimedOut]));
}
