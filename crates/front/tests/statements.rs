//! What searchers say of themselves in their answers, on real sockets.

mod support;

use std::time::Duration;

use support::config::config;
use support::searcher::Behavior;
use support::searcher::Searcher;
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
