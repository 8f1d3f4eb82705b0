//! Entries in the list of searchers that another writer has left, and answers that end in their
//! head.

mod support;

use support::config::config;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_ready_entry;
use support::start_store;
use tokio::task::JoinSet;

/// A registration of the pool `one` with these fields in place of the usual ones.
fn registration(fields: &str) -> Vec<u8> {
    let value = format!(
        "{{\"service\": \"one\", \"zone\": \"d\", \"version\": \"v1\", \"slots\": 2, \
         \"state\": \"ready\", \"cold_left_ms\": 0, \"sequence\": 1, \"born\": 5, \
         \"address\": \"127.0.0.1:9\", {fields}}}"
    );
    value.into_bytes()
}

/// Registrations that no searcher writes, by a name each.
fn odd_entries() -> Vec<(&'static str, Vec<u8>)> {
    let nested = |open: &str, close: &str| open.repeat(100_000) + "1" + &close.repeat(100_000);
    vec![
        ("arrays", nested("[", "]").into_bytes()),
        ("objects", nested("{\"a\":", "}").into_bytes()),
        ("field", registration(&format!("\"extra\": {}", nested("[", "]")))),
        ("unclosed", "[".repeat(300_000).into_bytes()),
        ("huge", registration("\"extra\": 1e999999")),
        ("digits", registration(&format!("\"extra\": {}", "9".repeat(100_000)))),
        ("cold", registration("\"extra\": 0, \"cold_left_ms\": 18446744073709551615")),
        (
            "sequence",
            br#"{"service": "one", "zone": "d", "slots": 4294967295, "state": "ready",
            "cold_left_ms": 18446744073709551615, "sequence": 18446744073709551615,
            "born": 18446744073709551615, "address": "127.0.0.1:9"}"#
                .to_vec(),
        ),
        (
            "past",
            br#"{"service": "one", "zone": "d", "slots": 4294967296, "state": "ready",
            "cold_left_ms": 18446744073709551616, "sequence": -1, "born": 1e300,
            "address": "127.0.0.1:9"}"#
                .to_vec(),
        ),
        (
            "port",
            br#"{"service": "one", "zone": "d", "slots": 2, "state": "ready",
            "cold_left_ms": 0, "sequence": 1, "born": 5, "address": "127.0.0.1:65536"}"#
                .to_vec(),
        ),
        (
            "zero",
            br#"{"service": "one", "zone": "d", "slots": 0, "state": "ready",
            "cold_left_ms": 0, "sequence": 1, "born": 5, "address": "0.0.0.0:0"}"#
                .to_vec(),
        ),
        ("line\r\nend", registration("\"extra\": 0")),
        ("\u{0}\u{fffd}", registration("\"extra\": 0")),
        ("", registration("\"extra\": 0")),
    ]
}

// Guards against an entry that ends, or no longer follows the list of searchers, because of one odd
// item in it, whether it is there at the start or written later.
#[tokio::test]
async fn odd_entry_among_the_searchers_does_not_stop_an_entry_from_following_them() {
    let follow = |name: &'static str, value: Vec<u8>| async move {
        let key = format!("servers/{name}");
        let store = start_store().await;
        store.put("op/config", &config(1, &["p0"], 0.5));
        store.put(&key, &value);
        let first = Searcher::start(&store, "s0", "one", "d", Behavior::Answer(vec![1; 16])).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        entry.ask_until("/one/", |answer| answer.status == 200).await;
        // It comes again while the list is watched, and after the history is dropped.
        store.put(&key, &value);
        Searcher::start(&store, "s1", "one", "d", Behavior::Answer(vec![2; 16])).await;
        entry.wait_availability("s1", "used").await;
        store.compact();
        store.put(&key, &value);
        first.register(&store, "one", "d", "draining", 2);
        entry.wait_availability("s0", "leaving").await;
        let answer = entry.ask_until("/one/", |answer| answer.status == 200).await;
        assert_eq!(answer.body, vec![2; 16], "{name:?}");
    };
    let mut running = JoinSet::new();
    for (name, value) in odd_entries() {
        running.spawn(follow(name, value));
    }
    running.join_all().await;
}

// Guards against a success with an empty or short body from an answer whose head or body a searcher
// has not finished.
#[tokio::test]
async fn answer_that_ends_in_its_head_is_not_a_success() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 1.0));
    let mut searchers = Vec::new();
    for pool in ["one", "p0"] {
        let behavior = Behavior::CutAfter(0);
        searchers.push(Searcher::start(&store, pool, pool, "d", behavior).await);
    }
    let entry = start_ready_entry("vm", "d", &store).await;
    let whole = searchers[0].whole_answer_len("cut-000-one");
    for length in (0..whole).chain([whole]) {
        for (path, pool) in [("/one/", 0), ("/once/", 0), ("/all/", 1)] {
            searchers[pool].set_behavior(Behavior::CutAfter(length));
            let id = format!("cut-{length:03}-{}", &path[1..4]);
            let answer = entry.ask(path, &id).await;
            let is_whole = length >= searchers[pool].whole_answer_len(&id);
            assert!(answer.status != 200 || is_whole, "{path}: 200 after {length} bytes");
            assert!(answer.status == 200 || !is_whole, "{path}: {answer:?} after {length} bytes");
        }
    }
}
