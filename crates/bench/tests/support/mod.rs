//! A small fleet, its document, its loads and requests, shared by the tests.
#![allow(dead_code)] // each test binary uses a part of it

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use tt_bench::Checks;
use tt_bench::Fleet;
use tt_bench::FleetSettings;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_bench::LoadKind;
use tt_bench::LoadSettings;
use tt_bench::RateStep;
use tt_bench::ServiceLoad;
use tt_bench::bring_into_force;
use tt_bench::scenario::DocumentShape;
use tt_bench::scenario::ServiceGroup;
use tt_bench::wait_for_owners;
use tt_daemon::Policy;

/// Timeout for conditions that tests wait for, with room for a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Name of the environment of the document.
pub const ENVIRONMENT: &str = "yards";

/// A document of 6 shards with 2 replicas each.
pub fn document() -> String {
    let service = |name: &str, count| ServiceGroup { name: name.to_owned(), count, rate: 200.0 };
    let shape = DocumentShape {
        shards: 6,
        replicas: 2,
        slots: 2,
        connections: 25,
        connect_ms: 1.0,
        domains: 3,
        deadline_ms: 4_000,
        services: vec![service("desk", 2), service("payout", 1)],
    };
    shape.document(ENVIRONMENT)
}

/// Starts a fleet and waits until its daemons know each other.
pub async fn fleet(daemons: usize) -> Fleet {
    let settings = FleetSettings { document: document(), daemons, ..FleetSettings::default() };
    let fleet = Fleet::start(settings).await.expect("loopback has free ports");
    assert!(all_live(&fleet, daemons).await, "the daemons did not find each other");
    fleet
}

/// Starts a fleet and waits until its document is in force and its searchers have owners.
pub async fn serving_fleet(daemons: usize) -> Fleet {
    let fleet = fleet(daemons).await;
    bring_into_force(&fleet).await.expect("the document is valid");
    wait_for_owners(&fleet, Policy::Adaptive).await.expect("the daemons agree on owners");
    fleet
}

/// Waits until every daemon that runs sees `count` live members.
pub async fn all_live(fleet: &Fleet, count: usize) -> bool {
    let http = HttpClient::new();
    Fleet::wait_for(WAIT_TIMEOUT, async || {
        for address in all_operators(fleet) {
            let (_, members) = get(&http, address, "/v1/members").await;
            let list = members["members"].as_array().cloned().unwrap_or_default();
            if list.iter().filter(|member| member["state"] == "live").count() != count {
                return false;
            }
        }
        true
    })
    .await
}

/// Waits until a search covers every shard at every daemon that runs.
pub async fn full_coverage(fleet: &Fleet) -> bool {
    let http = HttpClient::new();
    Fleet::wait_for(WAIT_TIMEOUT, async || {
        for address in fleet.all_callers() {
            let answer = query(&http, address, &search(&new_id())).await;
            if answer.is_none_or(|answer| answer["name"] != "Complete") {
                return false;
            }
        }
        true
    })
    .await
}

/// The addresses for operators of all daemons that run.
pub fn all_operators(fleet: &Fleet) -> Vec<SocketAddr> {
    (0..8).filter_map(|index| fleet.operators(index)).collect()
}

/// Sends a `GET` and returns status and body: the body is null if it is not JSON, and the status
/// is 0 if there is no answer.
pub async fn get(http: &HttpClient, address: SocketAddr, path: &str) -> (u16, Value) {
    match http.send(HttpRequest::get(address, path.to_owned())).await {
        Ok(answer) => (answer.status, serde_json::from_slice(&answer.body).unwrap_or_default()),
        Err(_) => (0, Value::Null),
    }
}

/// Sends a query; `None` if there is no answer.
pub async fn query(http: &HttpClient, address: SocketAddr, body: &Value) -> Option<Value> {
    let request = HttpRequest::post(address, "/v1/query".to_owned(), body.to_string().into_bytes());
    let answer = http.send(request).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// The body of a search of all shards.
pub fn search(id: &str) -> Value {
    json!({ "environment": ENVIRONMENT, "service": "desk-0", "request_id": id, "query": id })
}

/// The body of a request that must run at most once.
pub fn at_most_once(id: &str, attempt: u32) -> Value {
    json!({
        "environment": ENVIRONMENT,
        "service": "payout-0",
        "request_id": id,
        "query": id,
        "mode": "at-most-once",
        "attempt": attempt,
        "shards": ["s0"],
    })
}

/// A new request id.
pub fn new_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// How many times a request was executed, over all searchers.
pub fn executions(fleet: &Fleet, id: &str) -> u32 {
    fleet.searchers.values().map(|searcher| searcher.executions(id)).sum()
}

/// A steady load of searches and of requests that must run at most once.
pub fn load(fleet: &Fleet, seconds: u64, rate: f64, at_most_once_rate: f64) -> LoadSettings {
    let length = Duration::from_secs(seconds);
    let service = |service: &str, class: &str, rate, kind| ServiceLoad {
        service: service.to_owned(),
        class: class.to_owned(),
        steps: vec![RateStep { length, rate }],
        kind,
    };
    let at_most_once = LoadKind::AtMostOnce { shard: "s0".to_owned() };
    LoadSettings {
        environment: ENVIRONMENT.to_owned(),
        services: vec![
            service("desk-0", "desk", rate, LoadKind::Search),
            service("desk-1", "desk", rate, LoadKind::Search),
            service("payout-0", "payout", at_most_once_rate, at_most_once),
        ],
        seed: 7,
        entry_addresses: fleet.all_callers(),
    }
}

/// Asserts that no invariant was broken, except for those named in `except`, and that the main
/// ones were checked in more than 20 cases each.
pub fn assert_held(checks: &Checks, except: &[&str]) {
    for invariant in checks.invariants() {
        if !except.contains(&invariant.name) {
            assert_eq!(invariant.broken, 0, "{invariant:#?}");
        }
    }
    for name in ["one snapshot", "true coverage", "own answer", "at most once"] {
        let cases = checks.invariants().iter().find(|found| found.name == name);
        assert!(cases.is_some_and(|found| found.cases > 20), "{name}: {cases:?}");
    }
}
