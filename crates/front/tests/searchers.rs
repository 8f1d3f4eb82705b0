//! Requests through an entry to searchers that answer correctly or misbehave.

mod support;

use support::config::config;
use support::free_address;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::searcher::header_value;
use support::send_request;
use support::start_ready_entry;
use support::start_store;
use support::wait_until;

use tt_standin::Platform;

fn records(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|&value| [value; 16]).collect()
}

async fn store(shards: &[&str], coverage: f64) -> Platform {
    let store = start_store().await;
    store.put("op/config", &config(1, shards, coverage));
    store
}

// Guards against lost, duplicated or unsorted records when the answers of shards are merged, and
// against a wrong count of missing shards.
#[tokio::test]
async fn answer_over_all_shards_has_the_greatest_records_and_all_signatures() {
    let store = store(&["p0", "p1", "p2"], 0.5).await;
    Searcher::start(&store, "s0", "p0", "d", Behavior::Answer(records(&[3, 9]))).await;
    Searcher::start(&store, "s1", "p1", "d", Behavior::Answer(records(&[5, 9, 1]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let answer = entry.ask("/all/x?q=1", "r1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, records(&[9, 9, 5]));
    assert_eq!(answer.header("x-missing-parts"), Some("1"), "the third shard has no searcher");
    let mut signatures: Vec<&str> =
        answer.header("x-part-stamps").expect("signatures").split(", ").collect();
    signatures.sort_unstable();
    assert_eq!(signatures, ["s0.r1", "s1.r1"]);
}

// Guards against forwarding a request with a changed target, with hop-by-hop headers, or without
// the remaining time and the id of the searcher it is meant for.
#[tokio::test]
async fn searcher_receives_the_unchanged_request_with_deadline_and_searcher_id() {
    let store = store(&["p0"], 0.5).await;
    let searcher = Searcher::start(&store, "s0", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let answer = entry.ask("/one/a%20b?q=%2F", "r1").await;
    assert_eq!((answer.status, answer.body), (200, records(&[1])));
    let head = searcher.request_heads().remove(0);
    assert!(head.starts_with("GET /one/a%20b?q=%2F HTTP/1.1\r\n"), "{head}");
    assert_eq!(header_value(&head, "x-expect-instance").as_deref(), Some("s0"));
    assert_eq!(header_value(&head, "connection"), None);
    let left: u64 =
        header_value(&head, "x-deadline-ms").and_then(|text| text.parse().ok()).expect("a time");
    assert!(left <= 3000, "the route allows less than the caller: {left}");
}

// Guards against forwarding the answer to another request, a truncated answer or a failure to the
// caller, although another searcher can still run the request.
#[tokio::test]
async fn idempotent_request_is_retried_after_an_invalid_answer() {
    for behavior in [
        Behavior::OtherId,
        Behavior::CutShort,
        Behavior::Close,
        Behavior::Fail,
        Behavior::Shed,
        Behavior::Moved,
    ] {
        let store = store(&["p0"], 0.5).await;
        let bad = Searcher::start(&store, "bad", "one", "d", behavior.clone()).await;
        Searcher::start(&store, "good", "one", "elsewhere", Behavior::Answer(records(&[4]))).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        let answer = entry.ask("/one/", "r1").await;
        assert_eq!(
            bad.request_ids(),
            ["r1"],
            "{behavior:?}: the searcher in the same domain comes first"
        );
        assert_eq!((answer.status, &answer.body), (200, &records(&[4])), "{behavior:?}");
        assert_eq!(answer.header("x-server-stamp"), Some("good.r1"));
    }
}

// Guards against reading an extra answer, left over on a reused connection, as the answer to the
// next request.
#[tokio::test]
async fn extra_answer_is_not_taken_for_the_next_request() {
    let store = store(&["p0"], 0.5).await;
    let searcher =
        Searcher::start(&store, "s0", "one", "d", Behavior::AnswerTwice(records(&[1]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    for id in ["r1", "r2", "r3"] {
        let answer = entry.ask("/one/", id).await;
        assert_eq!((answer.status, answer.header("x-request-id")), (200, Some(id)));
    }
    assert!(searcher.request_ids().len() >= 3);
}

// Guards against a second run of a non-idempotent request, which a retry after an unknown outcome
// could cause, and against a `Retry-After` that makes the caller repeat it.
#[tokio::test]
async fn non_idempotent_request_is_not_retried_if_it_may_have_run() {
    for behavior in [Behavior::OtherId, Behavior::CutShort, Behavior::Close, Behavior::Fail] {
        let store = store(&["p0"], 0.5).await;
        let bad = Searcher::start(&store, "bad", "one", "d", behavior.clone()).await;
        let other =
            Searcher::start(&store, "good", "one", "elsewhere", Behavior::Answer(records(&[4])))
                .await;
        let entry = start_ready_entry("vm", "d", &store).await;
        let answer = entry.ask("/once/", "r1").await;
        assert_eq!(bad.request_ids(), ["r1"], "{behavior:?}");
        assert!(other.request_ids().is_empty(), "{behavior:?}");
        let expect = if behavior == Behavior::Fail { 500 } else { 502 };
        assert_eq!(answer.status, expect, "{behavior:?}");
        assert_eq!(answer.header("retry-after"), None);
    }
}

// Guards against an answer by which callers take a request for not run, and repeat it, though a
// searcher that fails has run it (review/2).
#[tokio::test]
async fn status_that_promises_not_run_is_not_passed_on_for_a_request_that_has_run() {
    for status in [408, 429, 503] {
        let store = store(&["p0"], 0.5).await;
        let failing = Behavior::FailWith(status);
        let bad = Searcher::start(&store, "bad", "one", "d", failing).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        for path in ["/once/", "/one/"] {
            let answer = entry.ask(path, path).await;
            assert_eq!(answer.status, 502, "{path}: {status}");
            assert_eq!(answer.header("x-server-stamp"), None);
            assert_eq!(answer.header("retry-after"), None);
        }
        assert_eq!(bad.run_ids(), ["/once/", "/one/"]);
    }
}

// Guards against giving up a non-idempotent request although the searcher states that it has not
// run it.
#[tokio::test]
async fn non_idempotent_request_is_retried_after_a_refusal() {
    for behavior in [Behavior::Shed, Behavior::Moved] {
        let store = store(&["p0"], 0.5).await;
        Searcher::start(&store, "bad", "one", "d", behavior).await;
        Searcher::start(&store, "good", "one", "elsewhere", Behavior::Answer(records(&[4]))).await;
        let entry = start_ready_entry("vm", "d", &store).await;
        assert_eq!(entry.ask("/once/", "r1").await.status, 200);
    }
}

// Guards against a refusal without `Retry-After`, by which callers know that they may repeat the
// request, and against one that asks for too long a wait.
#[tokio::test]
async fn request_that_no_searcher_runs_is_refused_with_retry_after() {
    let store = store(&["p0"], 0.5).await;
    let searcher = Searcher::start(&store, "s0", "one", "d", Behavior::Shed).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let answer = entry.ask("/once/", "r1").await;
    assert_eq!(answer.status, 503);
    let pause: f64 =
        answer.header("retry-after").and_then(|text| text.parse().ok()).expect("a time");
    assert!(pause > 0.0 && pause < 1.0);
    assert_eq!(searcher.request_ids(), ["r1"]);
}

// Guards against searchers that keep working for a caller that has disconnected, since nobody
// closes the connection to them.
#[tokio::test]
async fn attempt_is_cancelled_when_the_caller_disconnects() {
    let store = store(&["p0"], 0.5).await;
    let searcher = Searcher::start(&store, "s0", "one", "d", Behavior::Silent).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let caller = send_request(entry.boot.front, "/one/", "r1").await;
    wait_until("the request arrives", || !searcher.request_ids().is_empty()).await;
    assert_eq!(searcher.closed_count(), 0);
    drop(caller);
    wait_until("the attempt is closed", || searcher.closed_count() == 1).await;
}

// Guards against attempts at a searcher after it has registered as draining or its registration was
// removed.
#[tokio::test]
async fn draining_or_unregistered_searcher_gets_no_new_requests() {
    let store = store(&["p0"], 0.5).await;
    let leaving = Searcher::start(&store, "s0", "one", "d", Behavior::Answer(records(&[1]))).await;
    let other = Searcher::start(&store, "s1", "one", "e", Behavior::Answer(records(&[2]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    assert_eq!(entry.ask("/one/", "r1").await.body, records(&[1]));
    leaving.register(&store, "one", "d", "draining", 2);
    // An answer of the other searcher may come from a hedge, before the drain is known.
    entry.wait_availability("s0", "leaving").await;
    let before = leaving.request_ids().len();
    for request in 0..20 {
        let answer = entry.ask("/one/", &format!("later-{request}")).await;
        assert_eq!(answer.body, records(&[2]));
    }
    assert_eq!(leaving.request_ids().len(), before);
    store.remove("servers/s1");
    entry.ask_until("/one/", |answer| answer.status == 503).await;
    drop(other);
}

// Guards against a reader that fetches the whole listing again and again although nothing has
// changed, and against one that misses changes after the store has dropped its history.
#[tokio::test]
async fn searchers_are_followed_by_their_changes_also_after_the_history_is_dropped() {
    let store = store(&["p0"], 0.5).await;
    let first = Searcher::start(&store, "s0", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    // One read for the start of each: the configuration, the listing, the list of daemons.
    let reads = store.counts().reads;
    Searcher::start(&store, "s1", "one", "d", Behavior::Answer(records(&[1]))).await;
    entry.wait_availability("s1", "used").await;
    first.register(&store, "one", "d", "draining", 2);
    entry.wait_availability("s0", "leaving").await;
    assert_eq!(store.counts().reads, reads, "changes are watched");
    store.remove("servers/s1");
    store.compact();
    entry.ask_until("/one/", |answer| answer.status == 503).await;
    // The watch of the configuration may end for the same reason, so that it is read too.
    let reads_again = store.counts().reads - reads;
    assert!((1..=2).contains(&reads_again), "the listing is read once more: {reads_again}");
}

// Guards against a malformed registration that hides the valid ones, or that is used as if it were
// valid.
#[tokio::test]
async fn malformed_registrations_are_ignored() {
    let store = store(&["p0"], 0.5).await;
    Searcher::start(&store, "s0", "one", "d", Behavior::Answer(records(&[1]))).await;
    store.put("servers/bad", b"{\"service\": \"one\"");
    store.put("servers/worse", &[0xff, 0]);
    let address = free_address().await;
    let wrong = format!("{{\"service\": \"one\", \"address\": \"{address}\", \"slots\": \"2\"}}");
    store.put("servers/wrong", wrong.as_bytes());
    let entry = start_ready_entry("vm", "d", &store).await;
    assert_eq!(entry.ask("/one/", "r1").await.status, 200);
}

// Guards against handing callers an answer whose status is none: a searcher in trouble may send 000,
// or one beyond those that are defined, or a final answer that is none. Whether it has run the
// request is not known then.
#[tokio::test]
async fn a_status_that_is_none_is_not_handed_to_callers() {
    let store = store(&["p0"], 0.5).await;
    let behavior = Behavior::Answer(records(&[1]));
    let one = Searcher::start(&store, "s0", "one", "d", behavior.clone()).await;
    let shard = Searcher::start(&store, "s1", "p0", "d", behavior).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    for status in [0, 99, 101, 600, 999] {
        for searcher in [&one, &shard] {
            searcher.set_behavior(Behavior::FailWith(status));
        }
        for path in ["/one/x", "/once/x", "/all/x"] {
            let answer = entry.ask(path, &format!("{status}{path}")).await;
            assert_eq!(answer.status, 502, "{path} after {status}");
            assert_eq!(answer.header("x-server-stamp"), None);
        }
    }
}
