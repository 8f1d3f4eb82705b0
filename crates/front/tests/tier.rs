//! Entries with the store and with one another.

mod support;

use std::time::Duration;

use support::config::config;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry;
use support::start_ready_entry;
use support::start_store;
use support::wait_until;

use tt_standin::Fault;

fn records(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|&value| [value; 16]).collect()
}

// Guards against a 404 from an entry that knows no route only because it has no configuration yet,
// and against callers that are sent to such an entry.
#[tokio::test]
async fn entry_without_a_configuration_refuses_requests_and_is_not_ready() {
    let store = start_store().await;
    let entry = start_entry("vm", "d", store.address(), Vec::new()).await;
    wait_until("the entry listens", || std::net::TcpStream::connect(entry.boot.front).is_ok())
        .await;
    let answer = entry.ask("/one/", "r1").await;
    assert_eq!(answer.status, 503);
    // 30% of the 4 s that the caller waits.
    assert_eq!(answer.header("retry-after"), Some("1.200"));
    let ready = get(entry.boot.ready, "/ready", &[]).await.expect("an answer");
    assert_eq!(ready.status, 503);
}

// Guards against an entry that keeps an old configuration, or that returns to one when an earlier
// or malformed configuration is written.
#[tokio::test]
async fn later_configuration_is_adopted_and_earlier_or_malformed_ones_are_ignored() {
    let store = start_store().await;
    store.put("op/config", &config(5, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Behavior::Answer(records(&[1]))).await;
    Searcher::start(&store, "s1", "p1", "d", Behavior::Answer(records(&[2]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    assert_eq!(entry.ask("/all/", "r1").await.body, records(&[1]));
    assert_eq!(entry.ask("/none/", "r2").await.status, 404);
    store.put("op/config", &config(9, &["p1"], 0.5));
    entry.ask_until("/all/", |answer| answer.body == records(&[2])).await;
    store.put("op/config", &config(7, &["p0"], 0.5));
    store.put("op/config", b"{\"version\": 12");
    for round in 0..20 {
        let answer = entry.ask("/all/", &format!("later-{round}")).await;
        assert_eq!(answer.body, records(&[2]));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

// Guards against a body above the limit of the configuration that reaches a searcher.
#[tokio::test]
async fn too_large_body_is_rejected() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;

    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let searcher = Searcher::start(&store, "s0", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let mut stream = tokio::net::TcpStream::connect(entry.boot.front).await.expect("connected");
    let head = "POST /one/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\
                Content-Length: 1001\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&[b'x'; 1001]).await.expect("sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert!(searcher.request_ids().is_empty());
}

// Guards against shards that are lost or counted twice when they are delegated to another entry,
// and when that entry then stops.
#[tokio::test]
async fn shards_of_another_domain_are_delegated_to_an_entry_there() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0", "p1", "p2", "p3"], 0.9));
    Searcher::start(&store, "s0", "p0", "near", Behavior::Answer(records(&[8]))).await;
    Searcher::start(&store, "s1", "p1", "near", Behavior::Answer(records(&[3]))).await;
    let far = [
        Searcher::start(&store, "s2", "p2", "far", Behavior::Answer(records(&[9, 1]))).await,
        Searcher::start(&store, "s3", "p3", "far", Behavior::Answer(records(&[5]))).await,
    ];
    let near_entry = start_ready_entry("near-vm", "near", &store).await;
    let seeds = vec![near_entry.boot.peer];
    let far_entry = start_entry("far-vm", "far", store.address(), seeds).await;
    far_entry.wait_ready().await;
    let answer = near_entry.ask_until("/all/", |answer| answer.body == records(&[9, 8, 5])).await;
    assert_eq!(answer.header("x-missing-parts"), Some("0"));
    let signatures = answer.header("x-part-stamps").expect("signatures").split(", ").count();
    assert_eq!(signatures, 4);
    drop(far_entry);
    let alone = near_entry
        .ask_until("/all/", |answer| answer.status == 200 && answer.body == records(&[9, 8, 5]))
        .await;
    assert_eq!(alone.header("x-missing-parts"), Some("0"));
    assert!(far.iter().all(|searcher| !searcher.request_ids().is_empty()));
}

// Guards against an entry that never becomes ready because the store refuses its calls, although a
// peer has the configuration and the listing.
#[tokio::test]
async fn entry_that_starts_without_the_store_learns_from_a_peer() {
    let store = start_store().await;
    store.put("op/config", &config(3, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Behavior::Answer(records(&[1]))).await;
    let first = start_ready_entry("vm-1", "d", &store).await;
    let refusing_store = start_store().await;
    refusing_store.set_fault(Fault::Refusing);
    let second = start_entry("vm-2", "d", refusing_store.address(), vec![first.boot.peer]).await;
    second.wait_ready().await;
    assert_eq!(second.ask("/all/", "r1").await.body, records(&[1]));
}

// Guards against a status page that does not show why a searcher gets no requests.
#[tokio::test]
async fn status_shows_the_config_version_and_which_searchers_are_used() {
    let store = start_store().await;
    store.put("op/config", &config(4, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Behavior::Answer(records(&[1]))).await;
    let leaving = Searcher::start(&store, "s1", "p0", "d", Behavior::Answer(records(&[1]))).await;
    leaving.register(&store, "p0", "d", "draining", 2);
    let entry = start_ready_entry("vm", "d", &store).await;
    let answer = get(entry.boot.peer, "/v1/status", &[]).await.expect("an answer");
    let status: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(status["config"]["version"], 4);
    let searchers = status["searchers"].as_array().expect("a list");
    let shown: Vec<_> =
        searchers.iter().map(|searcher| (&searcher["id"], &searcher["availability"])).collect();
    let expect = [("s0", "used"), ("s1", "leaving")]
        .map(|(id, availability)| (id.into(), availability.into()));
    assert_eq!(
        shown,
        expect.iter().map(|(id, availability)| (id, availability)).collect::<Vec<_>>()
    );
}

// Guards against a directory that sends callers to addresses at which no entry serves.
#[tokio::test]
async fn directory_names_the_entries_that_are_ready() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let path = "/resolve?name=a.example&region=r&zone=d";
    let answer = get(entry.boot.directory, path, &[]).await.expect("an answer");
    assert_eq!(answer.status, 200);
    let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(body["addrs"], serde_json::json!([entry.boot.front]));
    assert!(body["ttl_s"].as_u64().is_some_and(|ttl| (1..=5).contains(&ttl)));
}
