//! What searchers say of themselves in their answers, on real sockets.

mod support;

use std::time::Duration;

use support::config::config;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry;
use support::start_ready_entry;
use support::start_store;
use tokio::time::Instant;
use tokio::time::sleep;

use tt_standin::Platform;

const LIMIT_PER_SECOND: f64 = 5.0;

/// Length of a window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The users' bound on the requests of one window.
const MAX_REQUESTS: f64 = 1.5 * LIMIT_PER_SECOND * 4.0 + 5.0;

fn records(value: u8) -> Vec<u8> {
    vec![value; 16]
}

async fn store() -> Platform {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 1.0));
    store
}

/// Sends a request every 10 ms for one window and returns how many were answered.
async fn ask_steadily(entry: &support::Entry, path: &str) -> usize {
    let end = Instant::now() + WINDOW;
    let mut answered = 0;
    for request in 0.. {
        if Instant::now() >= end {
            break;
        }
        let answer = entry.ask(path, &format!("steady-{request}")).await;
        answered += usize::from(answer.status == 200);
        sleep(Duration::from_millis(10)).await;
    }
    answered
}

// Guards against a searcher that gets far more requests than the limit that it names in its
// answers, while another one of its pool has room (incident searcher-limit).
#[tokio::test]
async fn searcher_that_names_a_limit_gets_no_more_requests() {
    for path in ["/one/", "/all/"] {
        let pool = if path == "/one/" { "one" } else { "p0" };
        let store = store().await;
        let limit = Behavior::AnswerWith("Server-Limit: 5.0", records(1));
        let limited = Searcher::start(&store, "limited", pool, "d", limit).await;
        let other = Searcher::start(&store, "other", pool, "e", Behavior::Answer(records(2))).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        assert_eq!(entry.ask(path, "first").await.status, 200);
        let answered = ask_steadily(&entry, path).await;
        let received = limited.request_ids().len() - 1;
        let sent = received + other.request_ids().len();
        assert!(sent as f64 > 2.0 * MAX_REQUESTS, "the load is over the limit: {sent}");
        assert!(received as f64 <= MAX_REQUESTS, "{path}: {received} of {sent} requests");
        assert!(received >= 5, "{path}: the limit is used: {received}");
        assert!(answered >= sent - 5, "{path}: the other searcher has room: {answered} of {sent}");
    }
}

// Guards against requests to a searcher that has said in an answer that it is leaving, by any path:
// single requests, queries over shards, and shards that another entry delegates.
#[tokio::test]
async fn searcher_that_says_it_is_leaving_gets_no_more_requests() {
    for path in ["/one/", "/all/"] {
        let pool = if path == "/one/" { "one" } else { "p0" };
        let store = store().await;
        let leaves = Behavior::AnswerWith("Server-Leaving: 1", records(1));
        let leaving = Searcher::start(&store, "leaving", pool, "d", leaves).await;
        let other = Searcher::start(&store, "other", pool, "e", Behavior::Answer(records(2))).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        assert_eq!(entry.ask(path, "first").await.body, records(1), "{path}");
        entry.wait_availability("leaving", "leaving").await;
        let before = leaving.request_ids().len();
        // Its heartbeats go on.
        leaving.register(&store, pool, "d", "ready", 2);
        for request in 0..20 {
            let answer = entry.ask(path, &format!("later-{request}")).await;
            assert_eq!(answer.body, records(2), "{path}");
        }
        assert_eq!(leaving.request_ids().len(), before, "{path}");
        drop(other);
    }
}

// Guards against requests to a searcher in the time for which it asked for none, and against one
// that is not used again afterwards.
#[tokio::test]
async fn searcher_that_asks_for_rest_gets_no_requests_for_so_long() {
    for path in ["/one/", "/all/"] {
        let pool = if path == "/one/" { "one" } else { "p0" };
        let store = store().await;
        let tired = Searcher::start(&store, "tired", pool, "d", Behavior::ShedFor("3.0")).await;
        let other = Searcher::start(&store, "other", pool, "e", Behavior::Answer(records(2))).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        assert_eq!(entry.ask(path, "first").await.body, records(2), "{path}");
        let heard_at = Instant::now();
        assert_eq!(tired.request_ids(), ["first"]);
        tired.set_behavior(Behavior::Answer(records(1)));
        let mut resumed_after = None;
        for request in 0.. {
            let asked_after = heard_at.elapsed();
            assert!(asked_after < Duration::from_secs(15), "{path}: it is used again");
            let answer = entry.ask(path, &format!("later-{request}")).await;
            assert_eq!(answer.status, 200, "{path}");
            if tired.request_ids().len() > 1 {
                resumed_after = Some(heard_at.elapsed());
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        // The entry heard it somewhat before this test did.
        assert!(resumed_after >= Some(Duration::from_millis(2900)), "{path}: {resumed_after:?}");
        drop(other);
    }
}

// Guards against callers that wait for, or come back too early to, searchers that all rest, and
// against a refusal of a request that has reached a searcher.
#[tokio::test]
async fn request_is_refused_at_once_while_all_searchers_rest() {
    let store = store().await;
    let tired = Searcher::start(&store, "tired", "one", "d", Behavior::ShedFor("30")).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    assert_eq!(entry.ask("/one/", "first").await.status, 503);
    let start = Instant::now();
    let answer = entry.ask("/one/", "second").await;
    assert_eq!(answer.status, 503);
    assert!(start.elapsed() < Duration::from_millis(500));
    let wait = answer.header("retry-after").and_then(|text| text.parse().ok());
    // As long as the caller accepts: a part of the 3 s that the route allows.
    assert!(wait.is_some_and(|wait: f64| wait > 0.5 && wait <= 1.0), "{wait:?}");
    assert_eq!(tired.request_ids(), ["first"]);
}

// Guards against an answer that leaves open whether a query has run, and against work for it at
// other searchers, while the searchers of its shards in another domain all rest.
#[tokio::test]
async fn query_is_refused_at_once_while_all_searchers_behind_a_relay_rest() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0", "p1"], 1.0));
    let resting = |pool| Searcher::start(&store, pool, pool, "far", Behavior::ShedFor("30"));
    let searchers = [resting("p0").await, resting("p1").await];
    let relay = start_ready_entry("vm-far", "far", &store).await;
    let entry = start_entry("vm", "near", store.address(), vec![relay.boot.peer]).await;
    entry.wait_ready().await;
    let delegated = |answer: &support::Answer| {
        answer.status == 503 && searchers.iter().all(|it| it.request_ids().len() == 1)
    };
    let answer = entry.ask_until("/all/", delegated).await;
    assert!(answer.header("retry-after").is_some());
    // The relay has heard it, not the entry.
    relay.wait_availability("p0", "resting").await;
    entry.wait_availability("p0", "used").await;
    for request in 0..20 {
        let start = Instant::now();
        let answer = entry.ask("/all/", &format!("later-{request}")).await;
        assert_eq!(answer.status, 503);
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    }
    assert!(searchers.iter().all(|it| it.request_ids().len() == 1));
}
