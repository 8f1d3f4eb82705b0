//! What counts as evidence about a searcher and what follows from it.

mod common;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use self::common::Bench;
use self::common::COVERAGE;
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
fn bench(replicas: usize) -> Bench {
    Bench::new(uniform(1, replicas), Settings::default())
}

/// Runs `count` queries, answered after 10 ms, and returns how many first went to `searcher`.
fn share(bench: &mut Bench, count: usize, searcher: SearcherId) -> usize {
    let mut chosen = 0;
    for _ in 0..count {
        if bench.start(COVERAGE, Mode::Idempotent).is_err() {
            continue;
        }
        let sent = bench.sent();
        chosen += usize::from(sent[0].searcher == searcher);
        bench.now += Duration::from_millis(10);
        bench.answer(sent[0]);
        bench.out.clear();
    }
    chosen
}

/// Lets sub-queries to `searcher` fail until it has failed `count` times.
fn fail(bench: &mut Bench, searcher: SearcherId, count: usize) {
    let mut failed = 0;
    while failed < count {
        let query = bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
        let attempt = bench.sent()[0];
        bench.now += Duration::from_millis(10);
        if attempt.searcher == searcher {
            failed += 1;
            bench.reply(attempt, AttemptOutcome::Failed);
        } else {
            bench.answer(attempt);
        }
        bench.router.cancel(query, bench.now, &mut bench.out);
        bench.out.clear();
    }
}

#[test]
fn a_leaving_searcher_gets_no_new_work_from_the_moment_it_is_seen() {
    // Guards against work sent to a draining searcher, from each source of the news.
    let mut bench = bench(2);
    bench.router.report_status(A, StatusReport::Leaving, bench.now);
    assert_eq!(share(&mut bench, 50, A), 0);
    let mut bench = Bench::new(uniform(1, 2), Settings::default());
    while bench.router.view().status(A, bench.now) != SearcherStatus::Leaving {
        let query = bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
        let attempt = bench.sent()[0];
        bench.reply(
            attempt,
            if attempt.searcher == A { AttemptOutcome::Draining } else { AttemptOutcome::Shed },
        );
        bench.router.cancel(query, bench.now, &mut bench.out);
        bench.now += Duration::from_secs(1);
        bench.out.clear();
    }
    assert_eq!(share(&mut bench, 50, A), 0);
    // With the last replica leaving, nothing is sent at all.
    bench.router.report_status(B, StatusReport::Leaving, bench.now);
    assert!(bench.start(COVERAGE, Mode::Idempotent).is_err());
}

#[test]
fn a_stale_status_does_not_bring_a_leaving_searcher_back() {
    // Guards against a lagging status poll that undoes a drain.
    let mut bench = bench(2);
    bench.router.report_status(A, StatusReport::Leaving, bench.now);
    bench.now += Duration::from_secs(9);
    bench.router.report_status(A, StatusReport::Ready, bench.now);
    assert_eq!(bench.router.view().status(A, bench.now), SearcherStatus::Leaving);
    bench.now += Duration::from_secs(2);
    bench.router.report_status(A, StatusReport::Ready, bench.now);
    assert_eq!(bench.router.view().status(A, bench.now), SearcherStatus::SlowStart);
}

#[test]
fn a_cold_searcher_gets_traffic_in_steps() {
    // Guards against a cold searcher that gets its full part at once.
    let health = HealthSettings { slow_start_step: Duration::from_secs(20), ..Default::default() };
    let mut bench = Bench::new(uniform(1, 2), Settings { health, ..Default::default() });
    bench.router.report_status(A, StatusReport::Cold, bench.now);
    let steps: Vec<usize> = (0..4).map(|_| share(&mut bench, 2_000, A)).collect();
    // An eighth, a quarter, a half and all of its normal half of 2,000.
    for (step, part) in steps.iter().zip([125, 250, 500, 1_000]) {
        assert!((part * 3 / 4..part * 5 / 4).contains(step), "{steps:?}");
    }
}

#[test]
fn a_failing_searcher_is_ejected_and_probed_by_a_trickle() {
    // Guards against traffic to a lost searcher, and against one that is never tried again.
    let mut bench = bench(2);
    fail(&mut bench, A, 4);
    assert_eq!(bench.router.view().status(A, bench.now), SearcherStatus::Ejected);
    assert_eq!(share(&mut bench, 50, A), 0);
    bench.now += Duration::from_secs(1);
    assert_eq!(share(&mut bench, 1, A), 1);
    // The probe was answered.
    assert_eq!(bench.router.view().status(A, bench.now), SearcherStatus::SlowStart);
}

#[test]
fn a_probe_of_an_ejected_searcher_is_hedged_at_once() {
    // Guards against a caller who waits for a searcher that is known to be bad.
    let mut bench = bench(2);
    fail(&mut bench, A, 4);
    bench.now += Duration::from_secs(1);
    let query = bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
    assert_eq!(bench.sent_one(AttemptKind::Primary).searcher, A);
    bench.pass(query, 1);
    assert_eq!(bench.sent_one(AttemptKind::Hedge).searcher, B);
}

#[test]
fn at_most_half_of_the_replicas_and_never_the_last_one_is_ejected() {
    // Guards against health checks that take a whole shard away.
    for replicas in 1..6 {
        let mut bench = bench(replicas);
        for searcher in 0..replicas as u32 {
            bench.router.report_status(SearcherId(searcher), StatusReport::Unhealthy, bench.now);
        }
        let ejected = (0..replicas as u32)
            .filter(|&s| {
                bench.router.view().status(SearcherId(s), bench.now) == SearcherStatus::Ejected
            })
            .count();
        assert_eq!(ejected, replicas / 2);
    }
    let mut bench = bench(2);
    bench.router.report_status(B, StatusReport::Leaving, bench.now);
    bench.router.report_status(A, StatusReport::Unhealthy, bench.now);
    assert_eq!(bench.router.view().status(A, bench.now), SearcherStatus::Ready);
    assert_eq!(share(&mut bench, 10, A), 10);
}

#[test]
fn in_band_evidence_outranks_health_hints() {
    // Guards against a misleading health endpoint in both directions.
    let mut bench = bench(2);
    share(&mut bench, 20, A);
    bench.router.report_status(A, StatusReport::Unhealthy, bench.now);
    assert_eq!(bench.router.view().status(A, bench.now), SearcherStatus::Ready);
    fail(&mut bench, A, 4);
    bench.router.report_status(A, StatusReport::Ready, bench.now);
    assert_eq!(bench.router.view().status(A, bench.now), SearcherStatus::Ejected);
}

#[test]
fn a_slow_searcher_gets_little_work_but_is_looked_at_again() {
    // Guards against a replica that stays slow in the books after it has recovered.
    let mut bench = bench(2);
    for _ in 0..40 {
        bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
        let attempt = bench.sent()[0];
        bench.now += Duration::from_millis(if attempt.searcher == A { 100 } else { 10 });
        bench.answer(attempt);
        bench.out.clear();
    }
    assert!(share(&mut bench, 100, A) <= 2);
    share(&mut bench, 2_000, A);
    assert!(share(&mut bench, 100, A) > 20);
}

#[test]
fn an_unreachable_owner_is_avoided_for_all_its_searchers() {
    // Guards against one lost daemon delaying a sub-query for each searcher that it owns.
    let mut bench = Bench::new(uniform(8, 2), Settings::default());
    for searcher in 0..16 {
        bench.router.set_owner(SearcherId(searcher), VmId(searcher % 2));
    }
    bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
    let lost = bench.sent().into_iter().find(|attempt| attempt.searcher.0 % 2 == 1).expect("any");
    bench.reply(lost, AttemptOutcome::OwnerUnreachable);
    assert_eq!(bench.sent_one(AttemptKind::Retry).searcher.0 % 2, 0);
    bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
    assert!(bench.sent().iter().all(|attempt| attempt.searcher.0 % 2 == 0));
    bench.now += Duration::from_secs(1);
    bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
    assert!(bench.sent().iter().any(|attempt| attempt.searcher.0 % 2 == 1));
}

#[test]
fn a_new_document_keeps_the_evidence_about_known_searchers() {
    // Guards against a configuration change that forgets leaving searchers and snapshots.
    let mut bench = bench(2);
    share(&mut bench, 20, A);
    bench.router.report_status(A, StatusReport::Leaving, bench.now);
    let environment = uniform(2, 2);
    let old = bench.start(COVERAGE, Mode::Idempotent).expect("a plan");
    let rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(1);
    let mut successor = bench.router.successor(Arc::clone(&environment), rng);
    assert_eq!(successor.view().status(A, bench.now), SearcherStatus::Leaving);
    assert_eq!(successor.view().held_snapshots(B), Some(&[Snapshot(1)][..]));
    assert_eq!(successor.view().in_flight(B), 0);
    assert_eq!(successor.view().held_snapshots(SearcherId(2)), None);
    // A key of the old router means nothing to the new one.
    successor.wake(old, bench.now, &mut bench.out);
    assert_eq!(successor.counters().stale_events, 1);
}

#[test]
fn one_straggler_hardly_moves_the_estimate_but_a_lasting_change_does() {
    // Guards against a replica shunned for one late reply, and against a slow reaction.
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
fn quantiles_are_within_an_eighth() {
    // Guards against bucket bounds that are off by one octave.
    for us in [1, 100, 1_000, 17_000, 999_000, 3_500_000] {
        let mut latency = LatencyEstimate::default();
        for _ in 0..32 {
            latency.add_sample(Duration::from_micros(us));
        }
        let quantile = latency.quantile(0.9).unwrap().as_micros() as f64;
        assert!((us as f64..=us as f64 * 1.125 + 16.0).contains(&quantile), "{us} {quantile}");
    }
}

fn fill(budget: &mut Budget, now: Instant) {
    for _ in 0..100 {
        budget.earn(100, now);
    }
}

#[test]
fn a_query_larger_than_the_bucket_may_spend_what_it_earned() {
    // Guards against a wide query whose stragglers are never hedged: the bucket is smaller
    // than a twentieth of 870.
    let now = Instant::now();
    let mut budget = Budget::new(BudgetSettings::default(), now);
    (0..100).for_each(|_| _ = budget.try_spend(now));
    budget.earn(870, now);
    assert_eq!((0..100).filter(|_| budget.try_spend(now)).count(), 43);
}

#[test]
fn the_budget_is_a_twentieth_and_vanishes_under_overload() {
    // Guards against a retry storm: hedges that add load to an overloaded tier.
    let mut now = Instant::now();
    let mut budget = Budget::new(BudgetSettings::default(), now);
    (0..100).for_each(|_| _ = budget.try_spend(now));
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn(1, now);
        spent += u32::from(budget.try_spend(now));
    }
    assert!((49..=51).contains(&spent), "{spent}");
    fill(&mut budget, now);
    for _ in 0..32 {
        budget.record_load(Load::Overloaded, now);
    }
    assert!(!budget.try_spend(now));
    for _ in 0..200 {
        budget.record_load(Load::Normal, now);
    }
    assert!(!budget.try_spend(now), "the budget is not restored at once");
    now += Duration::from_secs(2);
    fill(&mut budget, now);
    let half = (0..100).filter(|_| budget.try_spend(now)).count();
    assert!((8..=16).contains(&half), "{half}");
    now += Duration::from_secs(5);
    fill(&mut budget, now);
    assert!(budget.level() > 0.9);
}
