//! Answers through an entry, with searchers that behave well and badly.

mod support;

use support::config::config;
use support::eventually;
use support::free_address;
use support::platform;
use support::ready_entry;
use support::searcher::Act;
use support::searcher::Searcher;
use support::searcher::value;
use support::send;

use tt_standin::Platform;

fn records(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|&value| [value; 16]).collect()
}

async fn store(shards: &[&str], coverage: f64) -> Platform {
    let store = platform().await;
    store.put("op/config", &config(1, shards, coverage));
    store
}

// Guards against lost, doubled or unsorted records, and against a wrong coverage.
#[tokio::test]
async fn an_answer_over_all_shards_has_the_greatest_records_and_all_signatures() {
    let store = store(&["p0", "p1", "p2"], 0.5).await;
    Searcher::start(&store, "s0", "p0", "d", Act::Answer(records(&[3, 9]))).await;
    Searcher::start(&store, "s1", "p1", "d", Act::Answer(records(&[5, 9, 1]))).await;
    let entry = ready_entry("vm", "d", &store).await;
    let answer = entry.ask("/all/x?q=1", "r1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, records(&[9, 9, 5]));
    assert_eq!(answer.header("x-missing-parts"), Some("1"), "the third shard has no searcher");
    let mut signatures: Vec<&str> =
        answer.header("x-part-stamps").expect("signatures").split(", ").collect();
    signatures.sort_unstable();
    assert_eq!(signatures, ["s0.r1", "s1.r1"]);
}

// Guards against a request that arrives changed, or without its deadline and its addressee.
#[tokio::test]
async fn a_searcher_gets_the_request_with_its_deadline_and_its_own_id() {
    let store = store(&["p0"], 0.5).await;
    let searcher = Searcher::start(&store, "s0", "one", "d", Act::Answer(records(&[1]))).await;
    let entry = ready_entry("vm", "d", &store).await;
    let answer = entry.ask("/one/a%20b?q=%2F", "r1").await;
    assert_eq!((answer.status, answer.body), (200, records(&[1])));
    let head = searcher.heads().remove(0);
    assert!(head.starts_with("GET /one/a%20b?q=%2F HTTP/1.1\r\n"), "{head}");
    assert_eq!(value(&head, "x-expect-instance").as_deref(), Some("s0"));
    assert_eq!(value(&head, "connection"), None);
    let left: u64 = value(&head, "x-deadline-ms").and_then(|it| it.parse().ok()).expect("a time");
    assert!(left <= 3000, "the route allows less than the caller: {left}");
}

// Guards against bytes of another answer, or of half an answer, in a success.
#[tokio::test]
async fn an_unsound_answer_is_replaced_by_one_of_another_searcher() {
    for act in [Act::OtherId, Act::CutShort, Act::Close, Act::Fail, Act::Shed, Act::Moved] {
        let store = store(&["p0"], 0.5).await;
        let bad = Searcher::start(&store, "bad", "one", "d", act.clone()).await;
        Searcher::start(&store, "good", "one", "elsewhere", Act::Answer(records(&[4]))).await;
        let entry = ready_entry("vm", "d", &store).await;
        let answer = entry.ask("/one/", "r1").await;
        assert_eq!(bad.ids(), ["r1"], "{act:?}: the near one is asked first");
        assert_eq!((answer.status, &answer.body), (200, &records(&[4])), "{act:?}");
        assert_eq!(answer.header("x-server-stamp"), Some("good.r1"));
    }
}

// Guards against an extra answer that is taken for the answer to the next request.
#[tokio::test]
async fn a_second_answer_belongs_to_no_request() {
    let store = store(&["p0"], 0.5).await;
    let searcher = Searcher::start(&store, "s0", "one", "d", Act::AnswerTwice(records(&[1]))).await;
    let entry = ready_entry("vm", "d", &store).await;
    for id in ["r1", "r2", "r3"] {
        let answer = entry.ask("/one/", id).await;
        assert_eq!((answer.status, answer.header("x-request-id")), (200, Some(id)));
    }
    assert!(searcher.ids().len() >= 3);
}

// Guards against a second run of a request that may run once, and against a false refusal.
#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again_without_proof() {
    for act in [Act::OtherId, Act::CutShort, Act::Close, Act::Fail] {
        let store = store(&["p0"], 0.5).await;
        let bad = Searcher::start(&store, "bad", "one", "d", act.clone()).await;
        let other =
            Searcher::start(&store, "good", "one", "elsewhere", Act::Answer(records(&[4]))).await;
        let entry = ready_entry("vm", "d", &store).await;
        let answer = entry.ask("/once/", "r1").await;
        assert_eq!(bad.ids(), ["r1"], "{act:?}");
        assert!(other.ids().is_empty(), "{act:?}");
        let expect = if act == Act::Fail { 500 } else { 502 };
        assert_eq!(answer.status, expect, "{act:?}");
        assert_eq!(answer.header("retry-after"), None);
    }
}

// Guards against giving up a request that provably has not run.
#[tokio::test]
async fn a_request_that_may_run_once_goes_on_after_a_refusal() {
    for act in [Act::Shed, Act::Moved] {
        let store = store(&["p0"], 0.5).await;
        Searcher::start(&store, "bad", "one", "d", act).await;
        Searcher::start(&store, "good", "one", "elsewhere", Act::Answer(records(&[4]))).await;
        let entry = ready_entry("vm", "d", &store).await;
        assert_eq!(entry.ask("/once/", "r1").await.status, 200);
    }
}

// Guards against a refusal without a time to come back, and against a late one.
#[tokio::test]
async fn a_request_that_no_searcher_takes_is_refused_with_a_time_to_come_back() {
    let store = store(&["p0"], 0.5).await;
    let searcher = Searcher::start(&store, "s0", "one", "d", Act::Shed).await;
    let entry = ready_entry("vm", "d", &store).await;
    let answer = entry.ask("/once/", "r1").await;
    assert_eq!(answer.status, 503);
    let pause: f64 = answer.header("retry-after").and_then(|it| it.parse().ok()).expect("a time");
    assert!(pause > 0.0 && pause < 1.0);
    assert_eq!(searcher.ids(), ["r1"]);
}

// Guards against work for a caller that has left.
#[tokio::test]
async fn a_searcher_is_told_when_the_caller_leaves() {
    let store = store(&["p0"], 0.5).await;
    let searcher = Searcher::start(&store, "s0", "one", "d", Act::Silent).await;
    let entry = ready_entry("vm", "d", &store).await;
    let caller = send(entry.boot.front, "/one/", "r1").await;
    eventually("the request arrives", || !searcher.ids().is_empty()).await;
    assert_eq!(searcher.closed(), 0);
    drop(caller);
    eventually("the send is closed", || searcher.closed() == 1).await;
}

// Guards against sends to a searcher that drains or has left the list.
#[tokio::test]
async fn a_searcher_that_leaves_gets_no_new_requests() {
    let store = store(&["p0"], 0.5).await;
    let leaving = Searcher::start(&store, "s0", "one", "d", Act::Answer(records(&[1]))).await;
    let other = Searcher::start(&store, "s1", "one", "e", Act::Answer(records(&[2]))).await;
    let entry = ready_entry("vm", "d", &store).await;
    assert_eq!(entry.ask("/one/", "r1").await.body, records(&[1]));
    leaving.register(&store, "one", "d", "draining", 2);
    entry.ask_until("/one/", |answer| answer.body == records(&[2])).await;
    let before = leaving.ids().len();
    entry.ask("/one/", "r2").await;
    assert_eq!(leaving.ids().len(), before);
    store.remove("servers/s1");
    entry.ask_until("/one/", |answer| answer.status == 503).await;
    drop(other);
}

// Guards against entries that another writer has spoiled.
#[tokio::test]
async fn a_malformed_registration_names_no_searcher_and_harms_no_other() {
    let store = store(&["p0"], 0.5).await;
    Searcher::start(&store, "s0", "one", "d", Act::Answer(records(&[1]))).await;
    store.put("servers/bad", b"{\"service\": \"one\"");
    store.put("servers/worse", &[0xff, 0]);
    let address = free_address().await;
    let wrong = format!("{{\"service\": \"one\", \"address\": \"{address}\", \"slots\": \"2\"}}");
    store.put("servers/wrong", wrong.as_bytes());
    let entry = ready_entry("vm", "d", &store).await;
    assert_eq!(entry.ask("/one/", "r1").await.status, 200);
}
