//! Daemons that are killed or stopped, and searchers that leave or are lost, under load.

mod support;

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use tt_bench::Checks;
use tt_bench::HttpClient;
use tt_bench::Load;
use tt_standin::Fault;
use tt_standin::State;

/// Time after which a leaving searcher must not get new sub-queries.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Searches per second of each searching service.
const SEARCHES_PER_S: f64 = 40.0;

/// Requests per second that must run at most once.
const AT_MOST_ONCE_PER_S: f64 = 8.0;

/// Guards against an answer that does not name the shards it lacks, a request that runs twice, and
/// a searcher above its limits because the lost daemon and its successor both use it.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_breaks_no_invariant_and_coverage_returns() {
    let mut fleet = support::serving_fleet(4).await;
    let load = tokio::spawn(
        Load::new(support::load(&fleet, 12, SEARCHES_PER_S, AT_MOST_ONCE_PER_S)).run(),
    );
    sleep(Duration::from_secs(2)).await;
    let killed = fleet.kill(3).expect("the daemon ran");
    sleep(Duration::from_secs(6)).await;
    // Ownership changes once more while the load goes on.
    fleet.restart(killed).await.expect("the address is free again");
    let records = load.await.expect("the load does not panic");
    assert!(support::full_coverage(&fleet).await, "coverage did not return");
    let checks = Checks::run(&fleet.environment, &records, &fleet.searchers);
    // The killed daemon cannot answer the requests that it had accepted.
    support::assert_held(&checks, &["every request is answered"]);
    for (name, searcher) in &fleet.searchers {
        let counts = searcher.counts();
        assert!(counts.peak_busy <= 2 && counts.peak_open <= 25, "{name}: {counts:?}");
    }
}

/// Guards against a graceful stop that aborts a request or leaves one without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_daemon_answers_every_request() {
    let mut fleet = support::serving_fleet(4).await;
    let load = tokio::spawn(
        Load::new(support::load(&fleet, 10, SEARCHES_PER_S, AT_MOST_ONCE_PER_S)).run(),
    );
    sleep(Duration::from_secs(2)).await;
    fleet.stop(3).await;
    assert_eq!(fleet.len(), 3);
    sleep(Duration::from_secs(1)).await;
    fleet.stop(0).await;
    let records = load.await.expect("the load does not panic");
    let checks = Checks::run(&fleet.environment, &records, &fleet.searchers);
    support::assert_held(&checks, &[]);
    assert!(support::full_coverage(&fleet).await, "coverage did not return");
}

/// Guards against a draining searcher that keeps getting sub-queries, with the store up or down.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_searcher_gets_no_new_work_of_daemons() {
    let fleet = support::serving_fleet(4).await;
    let load = tokio::spawn(Load::new(support::load(&fleet, 13, SEARCHES_PER_S, 0.0)).run());
    sleep(Duration::from_secs(1)).await;
    for (name, fault) in [("s1-0", Fault::None), ("s2-1", Fault::Down)] {
        let searcher = &fleet.searchers[name];
        fleet.platform.set_fault(fault);
        assert!(searcher.counts().executed > 0, "{name} had no work before");
        searcher.set_state(State::Draining);
        sleep(LEAVE_TIMEOUT).await;
        let before = searcher.counts().received;
        sleep(Duration::from_secs(2)).await;
        assert_eq!(searcher.counts().received, before, "{name} still gets work, store {fault:?}");
    }
    let records = load.await.expect("the load does not panic");
    let checks = Checks::run(&fleet.environment, &records, &fleet.searchers);
    for invariant in checks.invariants() {
        assert_eq!(invariant.broken, 0, "{invariant:#?}");
    }
    let complete = records
        .iter()
        .filter(|record| record.answer.as_ref().is_ok_and(|answer| answer["name"] == "Complete"));
    assert!(complete.count() * 10 > records.len() * 9, "the other replicas did not take over");
}

/// Guards against an answer that calls a shard covered, or does not name it at all, when none of
/// its replicas can be reached.
#[tokio::test(flavor = "multi_thread")]
async fn a_shard_without_replicas_is_named_as_uncovered() {
    let fleet = support::serving_fleet(3).await;
    for name in ["s5-0", "s5-1"] {
        fleet.searchers[name].set_state(State::Dead);
    }
    let http = HttpClient::new();
    for address in fleet.all_callers() {
        for _ in 0..5 {
            let body = support::search(&support::new_id());
            let answer = support::query(&http, address, &body).await.expect("it answers");
            assert_eq!(answer["name"], "Partial", "{answer}");
            assert_eq!(answer["covered"], json!(["s0", "s1", "s2", "s3", "s4"]), "{answer}");
            assert_eq!(answer["uncovered"][0]["shard"], "s5", "{answer}");
        }
    }
}
