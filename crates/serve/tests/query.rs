//! One request from its first attempts to its verdict.

mod common;

use std::time::Duration;

use common::add;
use common::fleet;
use common::ms;

use tt_serve::AttemptOutcome;
use tt_serve::Failure;
use tt_serve::Fleet;
use tt_serve::Plan;
use tt_serve::PoolKey;
use tt_serve::Query;
use tt_serve::Refusal;
use tt_serve::RepeatPolicy;
use tt_serve::Trust;
use tt_serve::Verdict;

const HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Shards with two searchers each.
fn shards(fleet: &mut Fleet, count: usize) -> Vec<PoolKey> {
    (0..count)
        .map(|shard| {
            let pool = fleet.pool(&format!("shard-{shard}"));
            add(fleet, pool, &format!("{shard}-a"), "home");
            add(fleet, pool, &format!("{shard}-b"), "away");
            pool
        })
        .collect()
}

fn plan(pools: Vec<PoolKey>, min_shards: usize) -> Plan {
    Plan {
        pools,
        min_shards,
        max_attempts: 2,
        repeat: RepeatPolicy::Idempotent,
        hedge_delay: HEDGE_DELAY,
        cutoff: ms(88),
        deadline: ms(590),
        trust: Trust::Usual,
    }
}

fn allowed(_: PoolKey) -> bool {
    true
}

fn denied(_: PoolKey) -> bool {
    false
}

// Guards against delaying an answer that is already complete.
#[test]
fn a_request_is_answered_as_soon_as_all_shards_have_answered() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 3);
    let mut query = Query::new(plan(pools, 2));
    assert_eq!(query.start(&mut fleet, ms(0)).len(), 3);
    for shard in 0..3 {
        assert!(matches!(query.verdict(ms(10)), Verdict::Wait(_)));
        assert_eq!(
            query.record_outcome(shard, AttemptOutcome::Answer, &mut fleet, denied, ms(10)),
            None
        );
    }
    assert_eq!(query.verdict(ms(10)), Verdict::Answer);
}

// Guards against answers that are late because of a straggler, and against answers below the
// minimum coverage of the route.
#[test]
fn stragglers_are_left_out_at_the_cutoff_if_enough_is_covered() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 3);
    let mut query = Query::new(plan(pools, 2));
    query.start(&mut fleet, ms(0));
    query.record_outcome(0, AttemptOutcome::Answer, &mut fleet, denied, ms(10));
    assert_eq!(query.verdict(ms(88)), Verdict::Wait(ms(20)), "the hedge is due");
    query.record_outcome(1, AttemptOutcome::Answer, &mut fleet, denied, ms(12));
    assert_eq!(query.verdict(ms(88)), Verdict::Answer);
    assert!(query.is_answered(0) && query.is_answered(1) && !query.is_answered(2));
}

// Guards against a hedge at the searcher that is late, and against more attempts than allowed.
#[test]
fn a_straggler_is_hedged_at_another_searcher_once() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 3);
    let mut query = Query::new(plan(pools, 3));
    let first = query.start(&mut fleet, ms(0));
    query.record_outcome(0, AttemptOutcome::Answer, &mut fleet, denied, ms(10));
    query.record_outcome(1, AttemptOutcome::Answer, &mut fleet, denied, ms(10));
    assert!(query.hedge(&mut fleet, allowed, ms(19)).is_empty(), "too early");
    let hedges = query.hedge(&mut fleet, allowed, ms(20));
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].shard, 2);
    assert_ne!(hedges[0].searcher.key, first[2].searcher.key);
    assert!(query.hedge(&mut fleet, allowed, ms(60)).is_empty(), "the attempts are used up");
}

// Guards against extra load while most shards are slow: the cause is then not a single searcher.
#[test]
fn nothing_is_hedged_while_most_shards_are_late() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 9);
    let mut query = Query::new(plan(pools, 9));
    query.start(&mut fleet, ms(0));
    assert!(query.hedge(&mut fleet, allowed, ms(30)).is_empty());
}

// Guards against hedges beyond the retry budget, and against never trying again after it was used
// up.
#[test]
fn a_hedge_waits_for_the_budget() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 1);
    let mut query = Query::new(plan(pools, 1));
    query.start(&mut fleet, ms(0));
    assert!(query.hedge(&mut fleet, denied, ms(20)).is_empty());
    let Verdict::Wait(wake) = query.verdict(ms(20)) else { panic!("it waits") };
    assert_eq!(query.hedge(&mut fleet, allowed, wake).len(), 1);
}

// Guards against a second run of a request that may run only once.
#[test]
fn an_at_most_once_request_is_retried_only_if_it_has_not_run() {
    let cases = [
        (AttemptOutcome::Unknown, false),
        (AttemptOutcome::Failed, false),
        (AttemptOutcome::Refused, true),
        (AttemptOutcome::NotSent, true),
    ];
    for (outcome, retried) in cases {
        let mut fleet = fleet();
        let pools = shards(&mut fleet, 1);
        let plan = Plan { repeat: RepeatPolicy::AtMostOnce, ..plan(pools, 1) };
        let mut query = Query::new(plan);
        query.start(&mut fleet, ms(0));
        assert!(query.hedge(&mut fleet, allowed, ms(30)).is_empty());
        let retry = query.record_outcome(0, outcome, &mut fleet, allowed, ms(40));
        assert_eq!(retry.is_some(), retried, "{outcome:?}");
    }
}

// Guards against the verdict "not run" for a request that may have run.
#[test]
fn a_request_counts_as_not_run_only_if_no_attempt_may_have_run() {
    let cases = [
        (AttemptOutcome::NotSent, Failure::NotRun),
        (AttemptOutcome::Refused, Failure::NotRun),
        (AttemptOutcome::Failed, Failure::Failed),
        (AttemptOutcome::Unknown, Failure::Unknown),
    ];
    for (outcome, failure) in cases {
        let mut fleet = fleet();
        let pools = shards(&mut fleet, 1);
        let plan = Plan { repeat: RepeatPolicy::AtMostOnce, ..plan(pools, 1) };
        let mut query = Query::new(plan);
        query.start(&mut fleet, ms(0));
        while query.record_outcome(0, outcome, &mut fleet, allowed, ms(5)).is_some() {}
        assert_eq!(query.verdict(ms(5)), Verdict::Fail(failure), "{outcome:?}");
    }
}

// Guards against the verdict "not run" while one of two attempts is still in flight.
#[test]
fn a_refused_hedge_does_not_end_the_first_attempt() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 1);
    let mut query = Query::new(plan(pools, 1));
    query.start(&mut fleet, ms(0));
    assert_eq!(query.hedge(&mut fleet, allowed, ms(20)).len(), 1);
    query.record_outcome(0, AttemptOutcome::Refused, &mut fleet, denied, ms(22));
    assert!(matches!(query.verdict(ms(22)), Verdict::Wait(_)));
    assert_eq!(query.verdict(ms(590)), Verdict::Fail(Failure::Timeout));
}

// Guards against attempts that can't lead to an answer, and against keeping such a request waiting.
#[test]
fn a_request_with_too_few_served_shards_fails_without_an_attempt() {
    let mut fleet = fleet();
    let mut pools = shards(&mut fleet, 2);
    pools.push(fleet.pool("empty"));
    let mut query = Query::new(plan(pools, 3));
    assert!(query.start(&mut fleet, ms(0)).is_empty());
    assert_eq!(query.verdict(ms(0)), Verdict::Fail(Failure::NotRun));
}

// Guards against a long retry delay for callers though a searcher is only busy for a moment.
#[test]
fn a_request_is_unserved_if_too_few_shards_have_a_ready_searcher() {
    let mut fleet = fleet();
    let mut pools = shards(&mut fleet, 2);
    let searcher = add(&mut fleet, pools[0], "closed", "home");
    fleet.record_unreachable(searcher, ms(0));
    pools.push(fleet.pool("empty"));
    let refusal = |min_shards| Query::new(plan(pools.clone(), min_shards)).refusal(&fleet, ms(0));
    assert_eq!(refusal(2), Refusal::Busy);
    assert_eq!(refusal(3), Refusal::Unserved);
}

// Guards against waiting for a shard that has no searcher.
#[test]
fn a_shard_without_searchers_is_left_out_at_once() {
    let mut fleet = fleet();
    let mut pools = shards(&mut fleet, 2);
    pools.push(fleet.pool("empty"));
    let mut query = Query::new(plan(pools, 2));
    assert_eq!(query.start(&mut fleet, ms(0)).len(), 2);
    query.record_outcome(0, AttemptOutcome::Answer, &mut fleet, denied, ms(9));
    query.record_outcome(1, AttemptOutcome::Answer, &mut fleet, denied, ms(9));
    assert_eq!(query.verdict(ms(9)), Verdict::Answer);
}

// Guards against delegated shards that are counted twice or never.
#[test]
fn delegated_shards_count_once_when_a_relay_returns_them() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 4);
    let mut query = Query::new(plan(pools, 3));
    query.delegate(&[2, 3]);
    assert_eq!(query.start(&mut fleet, ms(0)).len(), 2);
    query.record_outcome(0, AttemptOutcome::Answer, &mut fleet, denied, ms(9));
    query.record_outcome(1, AttemptOutcome::Answer, &mut fleet, denied, ms(9));
    assert!(matches!(query.verdict(ms(10)), Verdict::Wait(_)));
    query.record_relayed(&[3]);
    query.record_relayed(&[3]);
    assert_eq!(query.answered_count(), 3);
    query.record_missing(&[2, 3]);
    query.record_relayed(&[2]);
    assert_eq!(query.answered_count(), 3);
    assert!(query.all_shards_ended());
    assert_eq!(query.verdict(ms(10)), Verdict::Answer);
}

// Guards against dropping late answers of shards while the caller still waits.
#[test]
fn after_the_first_answer_of_a_relay_late_shards_are_awaited() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 2);
    let mut query = Query::new(plan(pools, 0));
    query.start(&mut fleet, ms(0));
    query.record_outcome(0, AttemptOutcome::Answer, &mut fleet, denied, ms(9));
    assert_eq!(query.verdict(ms(88)), Verdict::Answer);
    query.await_all();
    assert!(matches!(query.verdict(ms(89)), Verdict::Wait(_)));
    query.record_outcome(1, AttemptOutcome::Answer, &mut fleet, denied, ms(200));
    assert_eq!(query.verdict(ms(200)), Verdict::Answer);
}

// Guards against more attempts of one shard than the route allows. A relay that fails may have made
// some of them.
#[test]
fn shards_are_taken_back_with_the_attempts_that_the_relay_may_have_made() {
    for (runs, expect) in [(0, 2), (1, 2), (2, 0), (u32::MAX, 0)] {
        let mut fleet = fleet();
        let pools = shards(&mut fleet, 4);
        let mut query = Query::new(plan(pools, 4));
        query.delegate(&[2, 3]);
        query.start(&mut fleet, ms(0));
        let attempts = query.take_back(&[2, 3], runs, &mut fleet, allowed, ms(5));
        assert_eq!(attempts.len(), expect, "{runs}");
        if runs >= 1 {
            assert!(query.hedge(&mut fleet, allowed, ms(30)).iter().all(|it| it.shard < 2));
        }
    }
}

// Guards against a second attempt that the retry budget has not allowed, and against holding back a
// first one that the relay never sent.
#[test]
fn shards_that_may_have_been_sent_are_taken_back_within_the_budget() {
    for (runs, expect) in [(0, 2), (1, 0)] {
        let mut fleet = fleet();
        let pools = shards(&mut fleet, 4);
        let mut query = Query::new(plan(pools, 2));
        query.delegate(&[2, 3]);
        query.start(&mut fleet, ms(0));
        let attempts = query.take_back(&[2, 3], runs, &mut fleet, denied, ms(5));
        assert_eq!(attempts.len(), expect, "{runs}");
    }
}

// Guards against the verdict "not run" while a relay may have sent attempts.
#[test]
fn a_request_with_pending_delegated_shards_may_have_run() {
    let mut fleet = fleet();
    let pools = shards(&mut fleet, 4);
    let mut query = Query::new(plan(pools, 4));
    query.delegate(&[2, 3]);
    query.start(&mut fleet, ms(0));
    while query.record_outcome(0, AttemptOutcome::NotSent, &mut fleet, allowed, ms(5)).is_some() {}
    assert_eq!(query.verdict(ms(5)), Verdict::Fail(Failure::Unknown));
}
