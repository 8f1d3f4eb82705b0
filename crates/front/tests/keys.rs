//! API keys: who may send requests, what searchers get, and what happens without the store.

#[path = "support/peer.rs"]
mod peer;
mod support;

use std::sync::Mutex;
use std::time::Duration;

use peer::Heartbeat;
use peer::Record;
use prost::Message;
use serde_json::Value;
use support::Answer;
use support::CallerConnection;
use support::Entry;
use support::Start;
use support::boot;
use support::config::config;
use support::config::with_organisations;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::searcher::header_value;
use support::start_from;
use support::start_store;
use support::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;

use tt_standin::Fault;
use tt_standin::Platform;

/// Revocation bound of the entries. Shorter than that of deployments, to keep the tests short.
const BOUND: Duration = Duration::from_secs(3);

/// Timeout of each wait in a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const SHARDS: [&str; 4] = ["p0", "p1", "p2", "p3"];

fn records(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|&value| [value; 16]).collect()
}

/// Starts an entry with a strict revocation bound and waits until it is ready.
async fn start_strict(name: &str, domain: &str, store: &Platform, seeds: &[&Entry]) -> Entry {
    let seeds = seeds.iter().map(|entry| entry.boot.peer).collect();
    let mut boot = boot(Start::First, name, domain, store.address(), seeds).await;
    boot.bounds.revocation = Some(BOUND);
    let entry = start_from(boot);
    entry.wait_ready().await;
    entry
}

fn put(store: &Platform, version: u64, organisations: &[(&str, &[&str])]) {
    let config = config(version, &SHARDS, 0.5);
    store.put("op/config", &with_organisations(&config, organisations));
}

/// Collects the log lines of all entries in this process, at the finest level.
struct LogCapture;

static LOG_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

impl LogCapture {
    fn install() {
        // Fails if another test has installed it.
        let _ = log::set_logger(&LogCapture);
        log::set_max_level(log::LevelFilter::Trace);
    }

    fn lines_with(text: &str) -> Vec<String> {
        let lines = LOG_LINES.lock().expect("no holder panics");
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }
}

impl log::Log for LogCapture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOG_LINES.lock().expect("no holder panics").push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Sends a request with further headers.
async fn ask(entry: &Entry, path: &str, id: &str, headers: &[(&str, &str)]) -> Answer {
    let usual = [("X-Request-Id", id), ("X-Deadline-Ms", "4000")];
    get(entry.boot.front, path, &[&usual, headers].concat()).await.expect("an answer")
}

async fn status(entry: &Entry) -> Value {
    let answer = get(entry.boot.peer, "/v1/status", &[]).await.expect("an answer");
    serde_json::from_slice(&answer.body).expect("JSON")
}

/// Repeats a request until its answer has this status, and returns how long that took.
async fn ask_until(entry: &Entry, path: &str, key: &str, expected: u16) -> Duration {
    let start = Instant::now();
    while ask(entry, path, "until", &[("Api-Key", key)]).await.status != expected {
        assert!(start.elapsed() < TEST_TIMEOUT, "{path} never has {expected}");
        sleep(Duration::from_millis(30)).await;
    }
    start.elapsed()
}

// Guards against requests without a known key, against keys and forged names that reach searchers,
// logs or the status page, and against names that a caller removes through `Connection`.
#[tokio::test]
async fn searchers_get_the_name_and_never_the_key() {
    LogCapture::install();
    let store = start_store().await;
    put(&store, 1, &[("acme", &["key-acme"]), ("other", &["key-other"])]);
    let searcher = Searcher::start(&store, "s", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_strict("vm", "d", &store, &[]).await;
    let acme = ("Api-Key", "key-acme");
    let refused: [&[(&str, &str)]; 6] = [
        &[],
        &[("Api-Key", "")],
        &[("Api-Key", "key-acm")],
        &[acme, acme],
        &[acme, ("Api-Key", "key-other")],
        &[("X-Tenant", "acme")],
    ];
    for headers in refused {
        let answer = ask(&entry, "/one/", "refused", headers).await;
        assert_eq!(answer.status, 401, "{headers:?}");
        assert_eq!(answer.header("retry-after"), None);
    }
    assert_eq!(searcher.request_ids(), Vec::<String>::new());
    let forged = [acme, ("X-Tenant", "other"), ("Connection", "x-tenant, close")];
    let key_on_public_route = [acme, ("X-Tenant", "other"), ("X-Tenant", "acme")];
    assert_eq!(ask(&entry, "/one/", "plain", &[acme]).await.status, 200);
    assert_eq!(ask(&entry, "/one/", "forged", &forged).await.status, 200);
    assert_eq!(ask(&entry, "/once/", "public", &key_on_public_route).await.status, 200);
    assert_eq!(ask(&entry, "/once/", "bare", &[]).await.status, 200);
    let heads = searcher.request_heads();
    let names: Vec<Option<String>> =
        heads.iter().map(|head| header_value(head, "x-tenant")).collect();
    let acme = Some("acme".to_owned());
    assert_eq!(names, [acme.clone(), acme, None, None]);
    for head in heads {
        let head = head.to_ascii_lowercase();
        assert!(!head.contains("key-acme") && !head.contains("api-key"), "{head}");
        assert!(head.matches("x-tenant").count() <= 1, "{head}");
    }
    let status = status(&entry).await;
    assert_eq!(status["keys"]["required"], true);
    assert!(!status.to_string().contains("key-acme"));
    // Its errors must not quote what they found either.
    let mut malformed: Value =
        serde_json::from_slice(&with_organisations(&config(2, &SHARDS, 0.5), &[("acme", &[])]))
            .expect("JSON");
    malformed["tenants"][0]["api_keys"] = "key-acme".into();
    store.put("op/config", malformed.to_string().as_bytes());
    let logged = || !LogCapture::lines_with("tenants[0] is malformed").is_empty();
    wait_until("the malformed configuration is logged", logged).await;
    assert!(!LogCapture::lines_with("outcome=refused cause=unknown_key").is_empty());
    assert_eq!(LogCapture::lines_with("key-ac"), Vec::<String>::new());
}

// Guards against a check that comes only after the body: a caller without a key could fill memory.
#[tokio::test]
async fn unknown_key_is_refused_before_the_body() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["key-acme"])]);
    let entry = start_strict("vm", "d", &store, &[]).await;
    let headers = [("X-Request-Id", "r"), ("Api-Key", "no key"), ("Content-Length", "900")];
    let answer = get(entry.boot.front, "/one/", &headers).await.expect("an answer");
    assert_eq!(answer.status, 401);
}

// Guards against a key that is withdrawn while a caller holds its body back.
#[tokio::test]
async fn key_is_checked_again_after_the_body() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["old"])]);
    let searcher = Searcher::start(&store, "s", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_strict("vm", "d", &store, &[]).await;
    let mut held = TcpStream::connect(entry.boot.front).await.expect("a connection");
    let head = "POST /one/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: held\r\nApi-Key: old\r\n\
                Content-Length: 4\r\nConnection: close\r\n\r\nbo";
    held.write_all(head.as_bytes()).await.expect("sent");
    assert_eq!(ask(&entry, "/one/", "r", &[("Api-Key", "old")]).await.status, 200);
    put(&store, 2, &[("acme", &["new"])]);
    ask_until(&entry, "/one/", "old", 401).await;
    held.write_all(b"dy").await.expect("sent");
    let mut answer = String::new();
    held.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(!searcher.request_ids().contains(&"held".to_owned()));
}

// Guards against relays that get keys or pass on what callers claim, and against searchers behind
// them that don't get the name.
#[tokio::test]
async fn relay_passes_on_the_name() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["key-acme"])]);
    for (pool, domain) in [("p0", "near"), ("p1", "near")] {
        Searcher::start(&store, pool, pool, domain, Behavior::Answer(records(&[1]))).await;
    }
    let mut far = Vec::new();
    for pool in ["p2", "p3"] {
        let answer = Behavior::AnswerWith("Server-Leaving: 1", records(&[2]));
        far.push(Searcher::start(&store, pool, pool, "far", answer).await);
    }
    let relay = start_strict("far-vm", "far", &store, &[]).await;
    let entry = start_strict("near-vm", "near", &store, &[&relay]).await;
    let known = async {
        while status(&entry).await["daemons"][0]["state"] != "Open" {
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, known).await.expect("the relay is known");
    let headers = [("Api-Key", "key-acme"), ("X-Tenant", "forged")];
    for request in 0..10 {
        let answer = ask(&entry, "/all/", &format!("r{request}"), &headers).await;
        assert_eq!(answer.status, 200);
    }
    // Only the relay hears what the searchers in its domain say.
    relay.wait_availability("p3", "leaving").await;
    entry.wait_availability("p3", "used").await;
    for searcher in far {
        let heads = searcher.request_heads();
        assert!(!heads.is_empty());
        for head in heads {
            assert_eq!(header_value(&head, "x-tenant").as_deref(), Some("acme"));
            assert!(!head.contains("key-acme") && !head.contains("forged"), "{head}");
        }
    }
}

// Guards against withdrawn keys that are served, against new ones that are refused for good with
// 401, and against rotations that interrupt a caller.
#[tokio::test]
async fn keys_are_added_rotated_and_withdrawn() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["old"])]);
    Searcher::start(&store, "s", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_strict("vm", "d", &store, &[]).await;
    let connection = TcpStream::connect(entry.boot.front).await.expect("a connection");
    let mut kept = CallerConnection::new(connection);
    assert_eq!(kept.ask("/once/", "kept-1").await.expect("an answer").status, 200);
    assert_eq!(ask(&entry, "/one/", "r1", &[("Api-Key", "old")]).await.status, 200);
    put(&store, 2, &[("acme", &["old", "new"])]);
    // Sent right after the write: the entry may not have heard of it.
    assert_eq!(ask(&entry, "/one/", "r2", &[("Api-Key", "new")]).await.status, 200);
    assert_eq!(ask(&entry, "/one/", "r3", &[("Api-Key", "old")]).await.status, 200);
    put(&store, 3, &[("acme", &["new"])]);
    assert!(ask_until(&entry, "/one/", "old", 401).await < BOUND);
    assert_eq!(ask(&entry, "/one/", "r4", &[("Api-Key", "new")]).await.status, 200);
    assert_eq!(kept.ask("/one/", "kept-2").await.expect("an answer").status, 401);
}

// Guards against an entry that serves keys after the bound while it reaches callers and searchers
// but not the store, and against one that refuses them from the first failed call on.
#[tokio::test]
async fn entry_whose_store_falls_silent_stops_in_time() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["key"])]);
    Searcher::start(&store, "s", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_strict("vm", "d", &store, &[]).await;
    assert_eq!(ask(&entry, "/one/", "r1", &[("Api-Key", "key")]).await.status, 200);
    let down_at = Instant::now();
    store.set_fault(Fault::Down);
    // Withdrawn while no one can read it.
    put(&store, 2, &[("acme", &["other"])]);
    let withdrawn_at = Instant::now();
    assert_eq!(ask(&entry, "/one/", "r2", &[("Api-Key", "key")]).await.status, 200);
    loop {
        let sent_at = Instant::now();
        match ask(&entry, "/one/", "r3", &[("Api-Key", "key")]).await.status {
            200 => assert!(sent_at - withdrawn_at <= BOUND),
            503 => break,
            other => panic!("{other}"),
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert!(down_at.elapsed() < BOUND + Duration::from_secs(1));
    assert_eq!(status(&entry).await["keys"]["expired"], true);
    let answer = ask(&entry, "/one/", "r4", &[("Api-Key", "key")]).await;
    assert_eq!((answer.status, answer.header("retry-after").is_some()), (503, true));
    // It can't tell whether another key has been added.
    assert_eq!(ask(&entry, "/one/", "r5", &[("Api-Key", "other")]).await.status, 503);
    assert_eq!(ask(&entry, "/one/", "r6", &[]).await.status, 401);
    assert_eq!(ask(&entry, "/once/", "r7", &[]).await.status, 200);
    // No other entry serves keys, so callers keep this one for its public routes.
    assert!(directory(&entry).await.contains(&entry.boot.front.to_string()));
    store.set_fault(Fault::None);
    ask_until(&entry, "/one/", "other", 200).await;
    assert_eq!(ask(&entry, "/one/", "r8", &[("Api-Key", "key")]).await.status, 401);
}

// Guards against an entry that refuses keys although others can tell it that none was withdrawn, and
// against one that misses a withdrawal that only others hear of.
#[tokio::test]
async fn entry_without_the_store_is_vouched_for_by_another() {
    check_vouching("d").await;
}

// Guards against the same if a whole failure domain can't reach the store.
#[tokio::test]
async fn domain_without_the_store_is_vouched_for_by_another() {
    check_vouching("e").await;
}

/// Checks an entry in `domain` that can't reach the store beside one in the domain `d` that can.
async fn check_vouching(domain: &str) {
    let (store, lost_store) = (start_store().await, start_store().await);
    for store in [&store, &lost_store] {
        put(store, 1, &[("acme", &["key", "kept"])]);
    }
    let searcher = Searcher::start(&store, "s", "one", "d", Behavior::Answer(records(&[1]))).await;
    searcher.register(&lost_store, "one", "d", "ready", 1);
    let sound = start_strict("vm-a", "d", &store, &[]).await;
    let entry = start_strict("vm-b", domain, &lost_store, &[&sound]).await;
    lost_store.set_fault(Fault::Down);
    let start = Instant::now();
    while start.elapsed() < BOUND * 2 {
        let answer = ask(&entry, "/one/", "r", &[("Api-Key", "key")]).await;
        assert_eq!(answer.status, 200, "after {:?}", start.elapsed());
        sleep(Duration::from_millis(100)).await;
    }
    put(&store, 2, &[("acme", &["kept"])]);
    assert!(ask_until(&entry, "/one/", "key", 401).await < BOUND);
    assert_eq!(ask(&entry, "/one/", "r", &[("Api-Key", "kept")]).await.status, 200);
}

// Guards against a malformed configuration that ends all requests with keys, and against keys in the
// errors that it causes.
#[tokio::test]
async fn malformed_configuration_does_not_expire_keys() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["key", "withdrawn"])]);
    Searcher::start(&store, "s", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_strict("vm", "d", &store, &[]).await;
    assert_eq!(ask(&entry, "/one/", "r", &[("Api-Key", "withdrawn")]).await.status, 200);
    put(&store, 2, &[("acme", &["key"])]);
    store.put("op/config", b"{\"version\": 3");
    sleep(BOUND * 3 / 2).await;
    assert_eq!(ask(&entry, "/one/", "r", &[("Api-Key", "key")]).await.status, 200);
    assert_eq!(ask(&entry, "/one/", "r", &[("Api-Key", "withdrawn")]).await.status, 401);
}

async fn directory(entry: &Entry) -> String {
    let path = "/resolve?name=a.example";
    let answer = get(entry.boot.directory, path, &[]).await.expect("an answer");
    String::from_utf8(answer.body).expect("text")
}

/// Another entry of the domain `d` that only sends heartbeats.
struct Peer {
    socket: UdpSocket,
    record: Record,
}

impl Peer {
    async fn start() -> Peer {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let address = socket.local_addr().expect("an address");
        let record = Record::new("vm-peer", "d", address);
        Peer { socket, record }
    }

    async fn send(&self, entry: &Entry, keys_expired: bool, echo: u64, age_ms: Option<u32>) {
        let record = Record { keys_expired, ..self.record.clone() };
        let heartbeat =
            Heartbeat { records: vec![record], sent_at: 77, echo, config_age_ms: age_ms };
        let bytes = heartbeat.encode_to_vec();
        self.socket.send_to(&bytes, entry.boot.peer).await.expect("sent");
    }

    /// The next heartbeat of the entry that echoes this peer.
    async fn receive(&self) -> Heartbeat {
        let mut buffer = vec![0; 65_000];
        loop {
            let length = self.socket.recv(&mut buffer).await.expect("a datagram");
            let heartbeat = Heartbeat::decode(&buffer[..length]).expect("a heartbeat");
            if heartbeat.echo == 77 {
                return heartbeat;
            }
        }
    }
}

// Guards against callers that are sent to an entry that refuses their keys.
#[tokio::test]
async fn directory_leaves_out_entries_that_refuse_keys() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["key"])]);
    let entry = start_strict("vm", "d", &store, &[]).await;
    let peer = Peer::start().await;
    for (keys_expired, is_listed) in [(false, true), (true, false), (false, true)] {
        let start = Instant::now();
        while directory(&entry).await.contains("127.0.0.1:9\"") != is_listed {
            assert!(start.elapsed() < TEST_TIMEOUT);
            peer.send(&entry, keys_expired, 0, None).await;
            sleep(Duration::from_millis(50)).await;
        }
    }
}

// Guards against heartbeats that renew the proof by more than their echo shows, and against entries
// that don't state their proof.
#[tokio::test]
async fn heartbeats_carry_proofs_that_hold_by_their_echo() {
    let store = start_store().await;
    put(&store, 1, &[("acme", &["key"])]);
    Searcher::start(&store, "s", "one", "d", Behavior::Answer(records(&[1]))).await;
    let entry = start_strict("vm", "d", &store, &[]).await;
    let peer = Peer::start().await;
    peer.send(&entry, false, 0, None).await;
    let told = tokio::time::timeout(TEST_TIMEOUT, peer.receive()).await.expect("a heartbeat");
    assert!(told.sent_at != 0);
    assert!(told.config_age_ms.is_some_and(|age| u128::from(age) < BOUND.as_millis()));
    store.set_fault(Fault::Down);
    let vouched = Instant::now();
    // The echo is that of one heartbeat, whenever these arrive.
    while vouched.elapsed() < BOUND + Duration::from_millis(500) {
        peer.send(&entry, false, told.sent_at, Some(0)).await;
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(ask(&entry, "/one/", "r1", &[("Api-Key", "key")]).await.status, 503);
    // Later echoes renew it.
    let told = tokio::time::timeout(TEST_TIMEOUT, async {
        loop {
            let heard = peer.receive().await;
            if heard.sent_at > told.sent_at.wrapping_add(3_000_000) {
                return heard;
            }
        }
    });
    let told = told.await.expect("a heartbeat");
    peer.send(&entry, false, told.sent_at, Some(0)).await;
    ask_until(&entry, "/one/", "key", 200).await;
}
