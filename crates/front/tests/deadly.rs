//! Requests that end each searcher that runs them, on real sockets.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::Answer;
use support::Entry;
use support::Start;
use support::config::config;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry;
use support::start_entry_as;
use support::start_ready_entry;
use support::start_store;
use tokio::time::sleep;

use tt_standin::Platform;

const POOLS: [&str; 4] = ["p0", "p1", "p2", "p3"];

/// Part of the target of the requests that end searchers.
const DEADLY: &str = "deadly";

/// Two entries, and two searchers of each shard and of the pool `one`, one near each entry.
struct Tier {
    store: Platform,
    entries: [Entry; 2],
    searchers: Vec<Searcher>,
}

impl Tier {
    async fn start() -> Tier {
        let store = start_store().await;
        store.put("op/config", &config(1, &POOLS, 0.5));
        let mut searchers = Vec::new();
        for pool in POOLS.iter().chain(&["one"]) {
            for domain in ["near", "far"] {
                let behavior = Behavior::EndsAt(DEADLY, vec![7; 16]);
                let id = format!("{pool}-{domain}");
                searchers.push(Searcher::start(&store, &id, pool, domain, behavior).await);
            }
        }
        let near = start_ready_entry("near-vm", "near", &store).await;
        let seeds = vec![near.boot.peer];
        let far = start_entry("far-vm", "far", store.address(), seeds).await;
        far.wait_ready().await;
        let tier = Tier { store, entries: [near, far], searchers };
        // They know one another.
        for entry in &tier.entries {
            while status(entry).await["daemons"][0]["state"] != "Open" {
                sleep(Duration::from_millis(20)).await;
            }
        }
        tier
    }

    fn ended_count(&self) -> usize {
        self.searchers.iter().filter(|searcher| searcher.has_ended()).count()
    }

    /// Sends a request with this target often through all entries. Returns the last answer.
    async fn repeat(&self, target: &str) -> Answer {
        let mut last = None;
        for round in 0..10 {
            for (index, entry) in self.entries.iter().enumerate() {
                last = Some(entry.ask(target, &format!("{index}-{round}")).await);
            }
        }
        last.expect("an answer")
    }
}

async fn status(entry: &Entry) -> Value {
    let answer = get(entry.boot.peer, "/v1/status", &[]).await.expect("an answer");
    serde_json::from_slice(&answer.body).expect("JSON")
}

// Guards against a query that ends all searchers of its shards, by retries, relays, and repeats at
// other entries, and against refusing other queries of its route.
#[tokio::test]
async fn a_deadly_query_ends_one_searcher_of_a_shard_and_is_then_refused() {
    let tier = Tier::start().await;
    assert_eq!(tier.entries[0].ask("/all/harmless", "r1").await.status, 200);
    let first = tier.entries[0].ask("/all/deadly", "first").await;
    assert_eq!(first.status, 502, "it has run");
    let ended = tier.ended_count();
    assert!(ended <= POOLS.len(), "{ended} searchers have ended");
    let repeated = tier.repeat("/all/deadly").await;
    assert_eq!(repeated.status, 503);
    assert!(repeated.header("retry-after").is_some());
    assert_eq!(tier.ended_count(), ended, "no repeat has reached a searcher");
    for entry in &tier.entries {
        assert_eq!(status(entry).await["suspects"][0]["knowledge"], "Suspect");
        let other = entry.ask("/all/other", "other").await;
        assert_eq!((other.status, other.header("x-missing-parts")), (200, Some("0")));
    }
}

// Guards against an entry that starts, takes a query for harmless that others have refused for long,
// and sends it to all shards.
#[tokio::test]
async fn an_entry_that_starts_refuses_what_others_know_to_end_searchers() {
    let tier = Tier::start().await;
    tier.entries[0].ask("/all/deadly", "first").await;
    // Longer than a change is told to all.
    sleep(Duration::from_millis(2500)).await;
    let ended = tier.ended_count();
    let seeds = vec![tier.entries[0].boot.peer];
    let store = tier.store.address();
    let started = start_entry_as(Start::Again, "new-vm", "near", store, seeds).await;
    started.wait_ready().await;
    assert_eq!(started.ask("/all/deadly", "again").await.status, 503);
    assert_eq!(tier.ended_count(), ended);
}

// Guards against a query that ends more searchers than the three that the users' issue allows.
#[tokio::test]
async fn deadly_query_over_many_shards_ends_three_searchers_at_most() {
    let tier = Tier::start().await;
    tier.entries[0].ask("/all/deadly", "first").await;
    let ended = tier.ended_count();
    assert!(ended <= 3, "{ended} searchers have ended");
}

// Guards against a request to one searcher that ends all of its pool, and against other requests
// that are refused after it.
#[tokio::test]
async fn a_deadly_request_to_one_searcher_is_refused_everywhere_after_two_have_ended() {
    for path in ["/one/deadly?a=1", "/once/deadly"] {
        let tier = Tier::start().await;
        assert_eq!(tier.entries[0].ask(path, "first").await.status, 502);
        assert_eq!(tier.repeat(path).await.status, 503);
        assert_eq!(tier.ended_count(), 2);
        assert_eq!(tier.entries[0].ask("/all/other", "other").await.status, 200);
    }
}

// Guards against suspicion of requests whose connections break while their searchers live.
#[tokio::test]
async fn a_broken_connection_alone_makes_no_suspect() {
    let tier = Tier::start().await;
    for searcher in &tier.searchers {
        searcher.set_behavior(Behavior::Close);
    }
    tier.repeat("/all/x").await;
    tier.repeat("/one/x").await;
    for entry in &tier.entries {
        assert_eq!(status(entry).await["suspects"], serde_json::json!([]));
    }
    for searcher in &tier.searchers {
        searcher.set_behavior(Behavior::Answer(vec![7; 16]));
    }
    tier.entries[0].ask_until("/all/x", |answer| answer.status == 200).await;
}
