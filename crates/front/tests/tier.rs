//! Configurations, the store and several entries.

mod support;

use std::time::Duration;

use support::config::config;
use support::entry;
use support::eventually;
use support::get;
use support::platform;
use support::ready_entry;
use support::searcher::Act;
use support::searcher::Searcher;

use tt_standin::Fault;

fn records(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|&value| [value; 16]).collect()
}

// Guards against "no such route" from an entry that knows no configuration.
#[tokio::test]
async fn an_entry_without_a_configuration_refuses_and_is_not_ready() {
    let store = platform().await;
    let entry = entry("vm", "d", store.address(), Vec::new()).await;
    eventually("the entry listens", || std::net::TcpStream::connect(entry.boot.front).is_ok())
        .await;
    let answer = entry.ask("/one/", "r1").await;
    assert_eq!(answer.status, 503);
    // 30% of the 4 s that the caller waits.
    assert_eq!(answer.header("retry-after"), Some("1.200"));
    let ready = get(entry.boot.ready, "/ready", &[]).await.expect("an answer");
    assert_eq!(ready.status, 503);
}

// Guards against an old configuration in force, and against one that comes back.
#[tokio::test]
async fn a_later_configuration_is_in_force_and_an_earlier_one_changes_nothing() {
    let store = platform().await;
    store.put("op/config", &config(5, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Act::Answer(records(&[1]))).await;
    Searcher::start(&store, "s1", "p1", "d", Act::Answer(records(&[2]))).await;
    let entry = ready_entry("vm", "d", &store).await;
    assert_eq!(entry.ask("/all/", "r1").await.body, records(&[1]));
    assert_eq!(entry.ask("/none/", "r2").await.status, 404);
    store.put("op/config", &config(9, &["p1"], 0.5));
    entry.ask_until("/all/", |answer| answer.body == records(&[2])).await;
    store.put("op/config", &config(7, &["p0"], 0.5));
    store.put("op/config", b"{\"version\": 12");
    for attempt in 0..20 {
        let answer = entry.ask("/all/", &format!("later-{attempt}")).await;
        assert_eq!(answer.body, records(&[2]));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

// Guards against a body beyond what the operator allows.
#[tokio::test]
async fn a_body_that_is_too_long_is_refused() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;

    let store = platform().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let searcher = Searcher::start(&store, "s0", "one", "d", Act::Answer(records(&[1]))).await;
    let entry = ready_entry("vm", "d", &store).await;
    let mut stream = tokio::net::TcpStream::connect(entry.boot.front).await.expect("connected");
    let head = "POST /one/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\
                Content-Length: 1001\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(&[b'x'; 1001]).await.expect("sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert!(searcher.ids().is_empty());
}

// Guards against shards that are lost or doubled when another entry asks for them, and when that
// entry is gone.
#[tokio::test]
async fn shards_of_another_domain_are_asked_by_an_entry_there() {
    let store = platform().await;
    store.put("op/config", &config(1, &["p0", "p1", "p2", "p3"], 0.9));
    Searcher::start(&store, "s0", "p0", "near", Act::Answer(records(&[8]))).await;
    Searcher::start(&store, "s1", "p1", "near", Act::Answer(records(&[3]))).await;
    let far = [
        Searcher::start(&store, "s2", "p2", "far", Act::Answer(records(&[9, 1]))).await,
        Searcher::start(&store, "s3", "p3", "far", Act::Answer(records(&[5]))).await,
    ];
    let near_entry = ready_entry("near-vm", "near", &store).await;
    let seeds = vec![near_entry.boot.peer];
    let far_entry = entry("far-vm", "far", store.address(), seeds).await;
    far_entry.wait_ready().await;
    let asked = near_entry.ask_until("/all/", |answer| answer.body == records(&[9, 8, 5])).await;
    assert_eq!(asked.header("x-missing-parts"), Some("0"));
    let signatures = asked.header("x-part-stamps").expect("signatures").split(", ").count();
    assert_eq!(signatures, 4);
    drop(far_entry);
    let alone = near_entry
        .ask_until("/all/", |answer| answer.status == 200 && answer.body == records(&[9, 8, 5]))
        .await;
    assert_eq!(alone.header("x-missing-parts"), Some("0"));
    assert!(far.iter().all(|searcher| !searcher.ids().is_empty()));
}

// Guards against an entry that can't serve because the store turns it away.
#[tokio::test]
async fn an_entry_that_starts_while_the_store_is_away_learns_from_another() {
    let store = platform().await;
    store.put("op/config", &config(3, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Act::Answer(records(&[1]))).await;
    let first = ready_entry("vm-1", "d", &store).await;
    let away = platform().await;
    away.set_fault(Fault::Refusing);
    let second = entry("vm-2", "d", away.address(), vec![first.boot.peer]).await;
    second.wait_ready().await;
    assert_eq!(second.ask("/all/", "r1").await.body, records(&[1]));
}

// Guards against an operator who can't see why a searcher gets no requests.
#[tokio::test]
async fn the_status_tells_what_is_in_force_and_which_searchers_are_used() {
    let store = platform().await;
    store.put("op/config", &config(4, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Act::Answer(records(&[1]))).await;
    let leaving = Searcher::start(&store, "s1", "p0", "d", Act::Answer(records(&[1]))).await;
    leaving.register(&store, "p0", "d", "draining", 2);
    let entry = ready_entry("vm", "d", &store).await;
    let answer = get(entry.boot.peer, "/v1/status", &[]).await.expect("an answer");
    let status: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(status["config"]["version"], 4);
    let searchers = status["searchers"].as_array().expect("a list");
    let seen: Vec<_> = searchers.iter().map(|it| (&it["id"], &it["availability"])).collect();
    let expect = [("s0", "used"), ("s1", "leaving")].map(|(id, it)| (id.into(), it.into()));
    assert_eq!(seen, expect.iter().map(|(id, it)| (id, it)).collect::<Vec<_>>());
}

// Guards against callers that are sent to addresses that don't serve.
#[tokio::test]
async fn the_directory_names_the_entries_that_take_callers() {
    let store = platform().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    Searcher::start(&store, "s0", "p0", "d", Act::Answer(records(&[1]))).await;
    let entry = ready_entry("vm", "d", &store).await;
    let path = "/resolve?name=a.example&region=r&zone=d";
    let answer = get(entry.boot.directory, path, &[]).await.expect("an answer");
    assert_eq!(answer.status, 200);
    let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(body["addrs"], serde_json::json!([entry.boot.front]));
    assert!(body["ttl_s"].as_u64().is_some_and(|ttl| (1..=5).contains(&ttl)));
}
