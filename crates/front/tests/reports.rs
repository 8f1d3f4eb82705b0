//! What went wrong for operators of similar systems. `docs/operators-reports.md` lists the reports.

mod support;

use std::time::Duration;

use support::Start;
use support::config::config;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry_as;
use support::start_ready_entry;
use support::start_store;
use support::wait_until;
use tokio::time::sleep;
use tokio::time::timeout;

use tt_standin::Fault;
use tt_standin::Platform;

fn records(value: u8) -> Vec<u8> {
    vec![value; 16]
}

async fn store() -> Platform {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    store
}

// Guards against an answer that is lost because its searcher announces a time that the clock can't
// represent.
#[tokio::test]
async fn absurd_keep_alive_time_does_not_lose_the_answer() {
    let store = store().await;
    let line = "Keep-Alive: timeout=18446744073709551615";
    Searcher::start(&store, "s0", "one", "d", Behavior::AnswerWith(line, records(1))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    for request in 0..3 {
        let id = format!("r{request}");
        let answer = entry.ask("/one/", &id);
        let answer = timeout(Duration::from_secs(1), answer).await.expect("no wait for a deadline");
        assert_eq!((answer.status, answer.body), (200, records(1)));
    }
}

// Guards against a configuration or a caller with a time that the clock can't represent.
#[tokio::test]
async fn absurd_timeouts_are_taken_as_none() {
    let store = start_store().await;
    let text = String::from_utf8(config(1, &["p0"], 0.5)).expect("JSON");
    let text = text.replace("\"timeout_ms\":3000", "\"timeout_ms\":18446744073709551615");
    store.put("op/config", text.as_bytes());
    Searcher::start(&store, "s0", "one", "d", Behavior::Answer(records(1))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let headers = [("x-request-id", "r1"), ("x-deadline-ms", "18446744073709551615")];
    let answer = support::get(entry.boot.front, "/one/", &headers).await.expect("an answer");
    assert_eq!((answer.status, answer.body), (200, records(1)));
}

// Guards against work that is given up, or started again elsewhere, because the searcher that does
// it has lost its registration in the meantime.
#[tokio::test]
async fn running_request_of_a_silent_searcher_is_neither_repeated_nor_given_up() {
    for path in ["/once/", "/one/"] {
        let store = store().await;
        let slow = Behavior::AnswerAfter(Duration::from_millis(2500), records(1));
        let silent = Searcher::start(&store, "s0", "one", "d", slow).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        let unregister = async {
            wait_until("the request arrives", || !silent.request_ids().is_empty()).await;
            silent.unregister(&store);
            Searcher::start(&store, "s1", "one", "d", Behavior::Answer(records(2))).await
        };
        let (answer, other) = tokio::join!(entry.ask(path, "r1"), unregister);
        assert_eq!((answer.status, answer.body), (200, records(1)), "{path}");
        assert_eq!(silent.request_ids(), ["r1"], "{path}");
        if path == "/once/" {
            assert!(other.request_ids().is_empty(), "it runs at most once");
        }
    }
}

// Guards against an entry that starts again and takes searchers that have left, and an earlier
// configuration, from a peer that has been cut off from the store since.
#[tokio::test]
async fn restarted_entry_does_not_bring_back_what_has_left() {
    let old_store = store().await;
    let left = Searcher::start(&old_store, "left", "one", "d", Behavior::Answer(records(1))).await;
    let cut_off = start_ready_entry("vm-1", "d", &old_store).await;
    old_store.set_fault(Fault::Down);
    // Until its listing shows its age.
    sleep(Duration::from_secs(2)).await;
    // The store as the others see it: the searcher has left, and the configuration is newer.
    let new_store = start_store().await;
    for _ in 0..50 {
        new_store.put("other", b"advances the revision");
    }
    new_store.put("op/config", &config(2, &["p0"], 0.5));
    Searcher::start(&new_store, "new", "one", "d", Behavior::Answer(records(2))).await;
    // The store takes longer to answer than the peer.
    new_store.set_fault(Fault::Slow(Duration::from_millis(300)));
    let before = left.request_ids().len();
    for (name, start) in [("vm-2", Start::Again), ("vm-3", Start::First)] {
        let seeds = vec![cut_off.boot.peer];
        let restarted = start_entry_as(start, name, "d", new_store.address(), seeds).await;
        restarted.wait_ready().await;
        for request in 0..60 {
            let answer = restarted.ask("/v2/", &format!("{name}-{request}")).await;
            assert_eq!((answer.status, answer.body), (200, records(2)), "{name}: {request}");
            sleep(Duration::from_millis(50)).await;
        }
    }
    assert_eq!(left.request_ids().len(), before);
}

// Guards against callers that are sent to an address at which another process listens now.
#[tokio::test]
async fn moved_searcher_is_not_used_again_until_it_shows_life() {
    let store = store().await;
    let moved = Searcher::start(&store, "s0", "one", "d", Behavior::Moved).await;
    Searcher::start(&store, "s1", "one", "d", Behavior::Answer(records(2))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    for request in 0..20 {
        assert_eq!(entry.ask("/once/", &format!("r{request}")).await.status, 200);
    }
    assert!(moved.request_ids().len() <= 1, "{:?}", moved.request_ids());
    // The same registration again is no sign of life.
    moved.register(&store, "one", "d", "ready", 1);
    Searcher::start(&store, "s2", "one", "d", Behavior::Answer(records(2))).await;
    entry.wait_availability("s2", "used").await;
    for request in 0..20 {
        assert_eq!(entry.ask("/once/", &format!("later-{request}")).await.status, 200);
    }
    assert!(moved.request_ids().len() <= 1, "{:?}", moved.request_ids());
}
