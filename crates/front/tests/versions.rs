//! Queries over shards that are left to a relay with another version of the configuration.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::Entry;
use support::config::config;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry;
use support::start_ready_entry;
use support::start_store;
use tokio::time::sleep;

fn records(values: &[u8]) -> Vec<u8> {
    values.iter().flat_map(|&value| [value; 16]).collect()
}

/// An entry that queries the shards `p0` and `p1` itself and leaves `p2` and `p3` to a relay that
/// has another version of the configuration.
struct VersionGap {
    entry: Entry,
    relay: Entry,
    /// The searchers of `p2` and `p3`.
    far: Vec<Searcher>,
}

impl VersionGap {
    /// `change` turns the routes of the entry into those of the relay. Both versions have the same
    /// number, so that neither daemon adopts the other's.
    async fn start<F>(change: F, far: &[(&str, Behavior)]) -> VersionGap
    where
        F: FnOnce(&mut Vec<Value>),
    {
        let (store, relay_store) = (start_store().await, start_store().await);
        let bytes = config(1, &["p0", "p1", "p2", "p3"], 0.5);
        store.put("op/config", &bytes);
        let mut changed: Value = serde_json::from_slice(&bytes).expect("JSON");
        change(changed["routes"].as_array_mut().expect("a list"));
        relay_store.put("op/config", changed.to_string().as_bytes());
        for (pool, value) in [("p0", 2), ("p1", 1)] {
            let answer = Behavior::Answer(records(&[value]));
            let searcher = Searcher::start(&store, pool, pool, "near", answer).await;
            searcher.register(&relay_store, pool, "near", "ready", 1);
        }
        let mut started = Vec::new();
        for (index, (pool, behavior)) in far.iter().enumerate() {
            let id = format!("far-{index}");
            let searcher = Searcher::start(&store, &id, pool, "far", behavior.clone()).await;
            searcher.register(&relay_store, pool, "far", "ready", 1);
            started.push(searcher);
        }
        let relay = start_ready_entry("far-vm", "far", &relay_store).await;
        let entry = start_entry("near-vm", "near", store.address(), vec![relay.boot.peer]).await;
        entry.wait_ready().await;
        let gap = VersionGap { entry, relay, far: started };
        gap.wait_until_relay_is_known().await;
        gap
    }

    async fn wait_until_relay_is_known(&self) {
        loop {
            let answer = get(self.entry.boot.peer, "/v1/status", &[]).await.expect("an answer");
            let status: Value = serde_json::from_slice(&answer.body).expect("JSON");
            if status["daemons"][0]["state"] == "Open" {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Checks that requests of the entry reach the searchers of `p2` and `p3` through the relay:
    /// only the relay hears what these say of themselves.
    async fn check_delegated(&self, body: &[u8]) {
        let last = self.far.last().expect("one of p3");
        last.set_behavior(Behavior::AnswerWith("Server-Leaving: 1", body.to_vec()));
        self.entry.ask("/all/low/", "last").await;
        self.relay.wait_availability(&last.id, "leaving").await;
        self.entry.wait_availability(&last.id, "used").await;
    }
}

/// Adds a route below that of the query, over the same shards, with a smaller maximum of records.
fn add_narrow_route(routes: &mut Vec<Value>) {
    let mut narrow = routes[0].clone();
    narrow["name"] = "low".into();
    narrow["prefix"] = "/all/low/".into();
    narrow["top_k"] = 1.into();
    routes.push(narrow);
}

// Guards against answers with other records than the greatest of their parts, while a relay has a
// version in which a route with a smaller maximum handles the request (review/1).
#[tokio::test]
async fn relay_with_another_version_returns_as_many_records_as_the_entry_needs() {
    let far = [("p2", Behavior::Answer(records(&[9, 8]))), ("p3", Behavior::Answer(records(&[7])))];
    let gap = VersionGap::start(add_narrow_route, &far).await;
    for request in 0..20 {
        let answer = gap.entry.ask("/all/low/", &format!("r{request}")).await;
        assert_eq!(answer.header("x-missing-parts"), Some("0"));
        assert_eq!(answer.body, records(&[9, 8, 7]));
    }
    gap.check_delegated(&records(&[7])).await;
}

// Guards against a query that runs on more searchers of a shard than its route allows, while a
// relay has a version that allows more.
#[tokio::test]
async fn relay_with_another_version_makes_no_more_attempts_than_the_entry_allows() {
    let allow_more = |routes: &mut Vec<Value>| routes[0]["attempts"] = 3.into();
    let far = [
        ("p2", Behavior::Fail),
        ("p2", Behavior::Fail),
        ("p2", Behavior::Fail),
        ("p3", Behavior::Answer(records(&[7]))),
    ];
    let gap = VersionGap::start(allow_more, &far).await;
    for request in 0..20 {
        let id = format!("r{request}");
        gap.entry.ask("/all/low/", &id).await;
        let asked = gap.far.iter().filter(|it| it.request_ids().contains(&id));
        // Two of `p2`, and that of `p3`.
        assert!(asked.count() <= 3);
    }
    gap.check_delegated(&records(&[7])).await;
}
