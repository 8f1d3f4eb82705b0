//! Tests of the view: how replies and status reports change the traffic to a searcher. Also
//! tests of latency estimates and of the retry budget.

mod common;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use self::common::COVERAGE;
use self::common::Harness;
use self::common::uniform;
use tt_model::SearcherId;
use tt_model::Snapshot;
use tt_model::VmId;
use tt_routing::AttemptKind;
use tt_routing::AttemptOutcome;
use tt_routing::Budget;
use tt_routing::BudgetSettings;
use tt_routing::HealthSettings;
use tt_routing::LatencyEstimate;
use tt_routing::Load;
use tt_routing::Mode;
use tt_routing::SearcherStatus;
use tt_routing::Settings;
use tt_routing::StatusReport;

const A: SearcherId = SearcherId(0);
const B: SearcherId = SearcherId(1);

/// One shard with `replicas` searchers.
fn harness(replicas: usize) -> Harness {
    Harness::new(uniform(1, replicas), Settings::default())
}

/// Runs `count` queries, answered after 10 ms, and returns how many primary attempts went to
/// `searcher`.
fn count_primaries(harness: &mut Harness, count: usize, searcher: SearcherId) -> usize {
    let mut chosen = 0;
    for _ in 0..count {
        if harness.start(COVERAGE, Mode::Idempotent).is_err() {
            continue;
        }
        let sent = harness.take_sent();
        chosen += usize::from(sent[0].searcher == searcher);
        harness.now += Duration::from_millis(10);
        harness.answer(sent[0]);
        harness.out.clear();
    }
    chosen
}

/// Runs queries until `count` attempts at `searcher` have failed.
fn fail_attempts(harness: &mut Harness, searcher: SearcherId, count: usize) {
    let mut failed = 0;
    while failed < count {
        let query = harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
        let attempt = harness.take_sent()[0];
        harness.now += Duration::from_millis(10);
        if attempt.searcher == searcher {
            failed += 1;
            harness.reply(attempt, AttemptOutcome::Failed);
        } else {
            harness.answer(attempt);
        }
        harness.router.cancel(query, harness.now, &mut harness.out);
        harness.out.clear();
    }
}

#[test]
fn a_leaving_searcher_gets_no_new_work() {
    // Guards against attempts at a draining searcher, whether a status report or a reply shows
    // that it is leaving.
    let mut harness = harness(2);
    harness.router.report_status(A, StatusReport::Leaving, harness.now);
    assert_eq!(count_primaries(&mut harness, 50, A), 0);
    let mut harness = Harness::new(uniform(1, 2), Settings::default());
    while harness.router.view().status(A, harness.now) != SearcherStatus::Leaving {
        let query = harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
        let attempt = harness.take_sent()[0];
        harness.reply(
            attempt,
            if attempt.searcher == A { AttemptOutcome::Draining } else { AttemptOutcome::Shed },
        );
        harness.router.cancel(query, harness.now, &mut harness.out);
        harness.now += Duration::from_secs(1);
        harness.out.clear();
    }
    assert_eq!(count_primaries(&mut harness, 50, A), 0);
    // When the last replica is leaving too, no attempt can be sent.
    harness.router.report_status(B, StatusReport::Leaving, harness.now);
    assert!(harness.start(COVERAGE, Mode::Idempotent).is_err());
}

#[test]
fn an_outdated_report_does_not_undo_a_drain() {
    // Guards against new work for a draining searcher after a status poll that was answered
    // before the drain but arrives later.
    let mut harness = harness(2);
    harness.router.report_status(A, StatusReport::Leaving, harness.now);
    harness.now += Duration::from_secs(9);
    harness.router.report_status(A, StatusReport::Ready, harness.now);
    assert_eq!(harness.router.view().status(A, harness.now), SearcherStatus::Leaving);
    harness.now += Duration::from_secs(2);
    harness.router.report_status(A, StatusReport::Ready, harness.now);
    assert_eq!(harness.router.view().status(A, harness.now), SearcherStatus::SlowStart);
}

#[test]
fn a_cold_searcher_gets_traffic_in_steps() {
    // Guards against a searcher that gets its full traffic immediately after its start.
    let health = HealthSettings { slow_start_step: Duration::from_secs(20), ..Default::default() };
    let mut harness = Harness::new(uniform(1, 2), Settings { health, ..Default::default() });
    harness.router.report_status(A, StatusReport::Cold, harness.now);
    let steps: Vec<usize> = (0..4).map(|_| count_primaries(&mut harness, 2_000, A)).collect();
    // An eighth, a quarter, a half and all of its normal share, which is half of 2,000.
    for (step, expected) in steps.iter().zip([125, 250, 500, 1_000]) {
        assert!((expected * 3 / 4..expected * 5 / 4).contains(step), "{steps:?}");
    }
}

#[test]
fn a_failing_searcher_is_ejected_and_probed_later() {
    // Guards against traffic to a searcher that is down, and against a recovered searcher that
    // never gets traffic again.
    let mut harness = harness(2);
    fail_attempts(&mut harness, A, 4);
    assert_eq!(harness.router.view().status(A, harness.now), SearcherStatus::Ejected);
    assert_eq!(count_primaries(&mut harness, 50, A), 0);
    harness.now += Duration::from_secs(1);
    assert_eq!(count_primaries(&mut harness, 1, A), 1);
    // The answered probe has ended the ejection.
    assert_eq!(harness.router.view().status(A, harness.now), SearcherStatus::SlowStart);
}

#[test]
fn a_probe_of_an_ejected_searcher_is_hedged_at_once() {
    // Guards against a query that waits for the hedge delay although its primary attempt is a
    // probe of a searcher that has failed before.
    let mut harness = harness(2);
    fail_attempts(&mut harness, A, 4);
    harness.now += Duration::from_secs(1);
    let query = harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
    assert_eq!(harness.take_one_sent(AttemptKind::Primary).searcher, A);
    harness.advance(query, 1);
    assert_eq!(harness.take_one_sent(AttemptKind::Hedge).searcher, B);
}

#[test]
fn at_most_half_of_the_replicas_and_never_the_last_one_is_ejected() {
    // Guards against failed health checks that leave a shard without replicas.
    for replicas in 1..6 {
        let mut harness = harness(replicas);
        for searcher in 0..replicas as u32 {
            harness.router.report_status(
                SearcherId(searcher),
                StatusReport::Unhealthy,
                harness.now,
            );
        }
        let ejected = (0..replicas as u32)
            .filter(|&s| {
                harness.router.view().status(SearcherId(s), harness.now) == SearcherStatus::Ejected
            })
            .count();
        assert_eq!(ejected, replicas / 2);
    }
    let mut harness = harness(2);
    harness.router.report_status(B, StatusReport::Leaving, harness.now);
    harness.router.report_status(A, StatusReport::Unhealthy, harness.now);
    assert_eq!(harness.router.view().status(A, harness.now), SearcherStatus::Ready);
    assert_eq!(count_primaries(&mut harness, 10, A), 10);
}

#[test]
fn replies_outrank_health_reports() {
    // Guards against a wrong health check: one that ejects a searcher which answers, or one
    // that ends the ejection of a searcher which fails.
    let mut harness = harness(2);
    count_primaries(&mut harness, 20, A);
    harness.router.report_status(A, StatusReport::Unhealthy, harness.now);
    assert_eq!(harness.router.view().status(A, harness.now), SearcherStatus::Ready);
    fail_attempts(&mut harness, A, 4);
    harness.router.report_status(A, StatusReport::Ready, harness.now);
    assert_eq!(harness.router.view().status(A, harness.now), SearcherStatus::Ejected);
}

#[test]
fn a_slow_searcher_gets_few_attempts_until_it_recovers() {
    // Guards against a replica that is not chosen after it has recovered, because without
    // attempts its latency estimate does not change.
    let mut harness = harness(2);
    for _ in 0..40 {
        harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
        let attempt = harness.take_sent()[0];
        harness.now += Duration::from_millis(if attempt.searcher == A { 100 } else { 10 });
        harness.answer(attempt);
        harness.out.clear();
    }
    assert!(count_primaries(&mut harness, 100, A) <= 2);
    count_primaries(&mut harness, 2_000, A);
    assert!(count_primaries(&mut harness, 100, A) > 20);
}

#[test]
fn an_unreachable_owner_is_avoided_for_all_its_searchers() {
    // Guards against one failed attempt for each searcher of a lost daemon, where one for the
    // daemon is enough.
    let mut harness = Harness::new(uniform(8, 2), Settings::default());
    for searcher in 0..16 {
        harness.router.set_owner(SearcherId(searcher), VmId(searcher % 2));
    }
    harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
    let failed =
        harness.take_sent().into_iter().find(|attempt| attempt.searcher.0 % 2 == 1).expect("any");
    harness.reply(failed, AttemptOutcome::OwnerUnreachable);
    assert_eq!(harness.take_one_sent(AttemptKind::Retry).searcher.0 % 2, 0);
    harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
    assert!(harness.take_sent().iter().all(|attempt| attempt.searcher.0 % 2 == 0));
    harness.now += Duration::from_secs(1);
    harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
    assert!(harness.take_sent().iter().any(|attempt| attempt.searcher.0 % 2 == 1));
}

#[test]
fn a_new_document_keeps_what_is_known_of_unchanged_searchers() {
    // Guards against a configuration change after which leaving searchers get work, or held
    // snapshots are unknown.
    let mut harness = harness(2);
    count_primaries(&mut harness, 20, A);
    harness.router.report_status(A, StatusReport::Leaving, harness.now);
    let environment = uniform(2, 2);
    let old_key = harness.start(COVERAGE, Mode::Idempotent).expect("a plan");
    let rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let mut successor = harness.router.successor(Arc::clone(&environment), rng);
    assert_eq!(successor.view().status(A, harness.now), SearcherStatus::Leaving);
    assert_eq!(successor.view().held_snapshots(B), Some(&[Snapshot(1)][..]));
    assert_eq!(successor.view().in_flight(B), 0);
    assert_eq!(successor.view().held_snapshots(SearcherId(2)), None);
    // A key of the old router is not valid in the new one.
    successor.wake(old_key, harness.now, &mut harness.out);
    assert_eq!(successor.counters().stale_events, 1);
}

#[test]
fn one_straggler_hardly_changes_the_estimate_but_a_lasting_change_does() {
    // Guards against a replica that is avoided because of one late reply, and against an
    // estimate that takes too long to follow a lasting change.
    let mut latency = LatencyEstimate::default();
    let ms = Duration::from_millis;
    for _ in 0..100 {
        latency.add_sample(ms(10));
    }
    latency.add_sample(ms(100));
    assert!(latency.median_us().unwrap() < 11_000.0);
    assert_eq!(latency.quantile(0.95).unwrap().as_millis(), 10);
    for _ in 0..20 {
        latency.add_sample(ms(100));
    }
    assert!(latency.median_us().unwrap() > 90_000.0);
    latency.add_lower_bound(ms(1));
    assert!(latency.median_us().unwrap() > 90_000.0);
}

#[test]
fn quantiles_are_accurate_to_an_eighth() {
    // Guards against bucket boundaries that are wrong by one octave.
    for us in [1, 100, 1_000, 17_000, 999_000, 3_500_000] {
        let mut latency = LatencyEstimate::default();
        for _ in 0..32 {
            latency.add_sample(Duration::from_micros(us));
        }
        let quantile = latency.quantile(0.9).unwrap().as_micros() as f64;
        assert!((us as f64..=us as f64 * 1.125 + 16.0).contains(&quantile), "{us} {quantile}");
    }
}

fn fill_budget(budget: &mut Budget, now: Instant) {
    for _ in 0..100 {
        budget.earn(100, now);
    }
}

#[test]
fn a_query_larger_than_the_bucket_may_spend_what_it_earned() {
    // Guards against a large query whose stragglers are not all hedged, because the bucket
    // holds fewer tokens than a twentieth of its 870 sub-queries.
    let now = Instant::now();
    let mut budget = Budget::new(BudgetSettings::default(), now);
    (0..100).for_each(|_| _ = budget.try_spend(now));
    budget.earn(870, now);
    assert_eq!((0..100).filter(|_| budget.try_spend(now)).count(), 43);
}

#[test]
fn the_budget_is_a_twentieth_and_is_closed_under_overload() {
    // Guards against a retry storm, in which hedges and retries add load to searchers that are
    // already overloaded.
    let mut now = Instant::now();
    let mut budget = Budget::new(BudgetSettings::default(), now);
    (0..100).for_each(|_| _ = budget.try_spend(now));
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn(1, now);
        spent += u32::from(budget.try_spend(now));
    }
    assert!((49..=51).contains(&spent), "{spent}");
    fill_budget(&mut budget, now);
    for _ in 0..32 {
        budget.record_load(Load::Overloaded, now);
    }
    assert!(!budget.try_spend(now));
    for _ in 0..200 {
        budget.record_load(Load::Normal, now);
    }
    assert!(!budget.try_spend(now), "the budget is restored at once");
    now += Duration::from_secs(2);
    fill_budget(&mut budget, now);
    let half = (0..100).filter(|_| budget.try_spend(now)).count();
    assert!((8..=16).contains(&half), "{half}");
    now += Duration::from_secs(5);
    fill_budget(&mut budget, now);
    assert!(budget.fill_level() > 0.9);
}
