//! Entries that know of a later configuration and can't get it from the peer that told them.

#[path = "support/peer.rs"]
mod peer;
mod support;

use std::time::Duration;

use peer::SilentPeer;
use support::Entry;
use support::config::config;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry;
use support::start_ready_entry;
use support::start_store;
use tokio::time::Instant;
use tokio::time::sleep;

use tt_standin::Fault;
use tt_standin::Platform;

/// Time after its acknowledgement in which a configuration must be in force, on the smallest
/// deployments (`config_apply_ms`).
const APPLY_BOUND: Duration = Duration::from_secs(3);

/// Time after which an entry that is no longer the first of its failure domain has ended its own
/// calls to the store: it goes on for 3 s, and the last watch takes 2.5 s.
const HAND_OVER_TIME: Duration = Duration::from_millis(6500);

async fn start_one_searcher() -> Platform {
    let store = start_store().await;
    store.put("op/config", &config(1, &["one"], 0.5));
    Searcher::start(&store, "s", "one", "d", Behavior::Answer(vec![1; 16])).await;
    store
}

/// Waits until the route that only `version` has is served, and returns when.
async fn wait_in_force(entry: &Entry, version: u64) -> Instant {
    entry.ask_until(&format!("/v{version}/"), |answer| answer.status == 200).await;
    Instant::now()
}

// Guards against an entry that keeps an old configuration, although the store would serve it: the
// peer that has the newer one can't deliver it, and a third entry keeps the listing fresh, by whose
// age alone an entry decided to read the store.
#[tokio::test]
async fn configuration_is_read_at_the_store_if_the_peer_that_has_it_does_not_answer() {
    let store = start_one_searcher().await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let reader = SilentPeer::start("reader", "d", &entry).await;
    let _remote = SilentPeer::start("remote", "e", &entry).await;
    sleep(HAND_OVER_TIME).await;
    store.put("op/config", &config(2, &["one"], 0.5));
    let acknowledged = Instant::now();
    reader.set_version(2);
    let in_force = wait_in_force(&entry, 2).await;
    assert!(in_force - acknowledged < APPLY_BOUND, "{:?}", in_force - acknowledged);
}

/// The largest values that the store takes have 1 MB. Four of them exceed the bound on an answer.
const LARGE_CONFIG_BYTES: usize = 900_000;

fn large_config(version: u64) -> Vec<u8> {
    let mut config: serde_json::Value =
        serde_json::from_slice(&config(version, &["one"], 0.5)).expect("JSON");
    config["note"] = "x".repeat(LARGE_CONFIG_BYTES).into();
    config.to_string().into_bytes()
}

// Guards against an entry that asks for the same changes again and again, although their answer is
// larger than it accepts (review/6). The stand-in of the store has a thread of its own: while it
// encodes such an answer the entry would take itself for paused, and read everything anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn configuration_is_read_if_the_changes_since_the_last_one_are_too_large() {
    let store = start_one_searcher().await;
    let entry = start_ready_entry("vm", "d", &store).await;
    store.set_fault(Fault::Down);
    for version in 2..6 {
        store.put("op/config", &large_config(version));
    }
    store.set_fault(Fault::None);
    let restored = Instant::now();
    let in_force = wait_in_force(&entry, 5).await;
    assert!(in_force - restored < APPLY_BOUND, "{:?}", in_force - restored);
}

// Guards against an entry that asks the same peer again and again, although another one of its
// failure domain has the configuration too.
#[tokio::test]
async fn configuration_is_fetched_from_another_peer_if_the_first_one_does_not_answer() {
    let store = start_one_searcher().await;
    let other = start_ready_entry("other", "d", &store).await;
    let refusing_store = start_store().await;
    refusing_store.set_fault(Fault::Refusing);
    let entry = start_entry("vm", "d", refusing_store.address(), vec![other.boot.peer]).await;
    entry.wait_ready().await;
    let reader = SilentPeer::start("reader", "d", &entry).await;
    sleep(HAND_OVER_TIME).await;
    store.put("op/config", &config(2, &["one"], 0.5));
    let acknowledged = Instant::now();
    reader.set_version(2);
    wait_in_force(&other, 2).await;
    let in_force = wait_in_force(&entry, 2).await;
    assert!(in_force - acknowledged < APPLY_BOUND, "{:?}", in_force - acknowledged);
}
