//! Entries while the store comes back from an older copy and gives out revisions again.

mod support;

use std::time::Duration;

use serde_json::Value;
use support::Entry;
use support::Start;
use support::config::config;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::start_entry_with;
use support::start_ready_entry;
use support::start_store;
use tokio::time::sleep;
use tokio::time::timeout;

use tt_standin::Fault;
use tt_standin::Platform;

/// Time after its acknowledgement in which what the operator writes must be in force, on the
/// smallest deployments (`config_apply_ms`), and in which a leaving searcher still gets requests
/// (`drain_ms`).
const APPLY_BOUND: Duration = Duration::from_secs(3);

/// Calls to the store that one entry may make in [`APPLY_BOUND`]: it reads the listing each 0.9 s,
/// renews its lease and watches the configuration.
const MAX_CALLS: u64 = 20;

/// A store with two searchers of the pool `one`.
async fn start_two_searchers() -> (Platform, [Searcher; 2]) {
    let store = start_store().await;
    store.put("op/config", &config(1, &["one"], 0.5));
    let answer = || Behavior::Answer(vec![1; 16]);
    let first = Searcher::start(&store, "s0", "one", "d", answer()).await;
    let second = Searcher::start(&store, "s1", "one", "d", answer()).await;
    (store, [first, second])
}

/// Changes that the copy lacks, so that the store has to make as many again to reach its revision.
fn write_changes(store: &Platform) {
    for _ in 0..10 {
        store.put("servers/other", b"{}");
    }
}

fn calls(store: &Platform) -> u64 {
    let counts = store.counts();
    counts.reads + counts.watches
}

// Guards against an entry that takes listings from the copy for older than its own, so that it goes
// on sending requests to searchers that leave, and reads the store again without a pause.
#[tokio::test]
async fn searcher_that_leaves_after_an_older_copy_is_known_as_leaving() {
    let (store, [first, _second]) = start_two_searchers().await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let copy = store.copy();
    write_changes(&store);
    first.register(&store, "one", "d", "ready", 5);
    sleep(APPLY_BOUND / 2).await;
    store.restore(&copy);
    let calls_before = calls(&store);
    first.register(&store, "one", "d", "draining", 6);
    let known = entry.wait_availability("s0", "leaving");
    timeout(APPLY_BOUND, known).await.expect("the searcher is known as leaving");
    sleep(APPLY_BOUND).await;
    let calls = calls(&store) - calls_before;
    assert!(calls <= 2 * MAX_CALLS, "{calls} calls");
}

// Guards against a watch that continues from a revision which the store has given out again: it
// skips the configuration that was written before that revision was reached once more.
#[tokio::test]
async fn configuration_is_in_force_if_its_revision_was_given_out_again() {
    let (store, _searchers) = start_two_searchers().await;
    let entry = start_ready_entry("vm", "d", &store).await;
    let copy = store.copy();
    store.set_fault(Fault::Refusing);
    // Ends the watch, so that the next one is refused and tried again from this revision.
    store.put("op/config", &config(2, &["one"], 0.5));
    entry.ask_until("/v2/", |answer| answer.status == 200).await;
    store.restore(&copy);
    store.put("op/config", &config(3, &["one"], 0.5));
    write_changes(&store);
    store.set_fault(Fault::None);
    let served = entry.ask_until("/v3/", |answer| answer.status == 200);
    timeout(APPLY_BOUND, served).await.expect("the configuration is in force");
}

/// An entry of a deployment whose operators may evacuate failure domains.
async fn start_evacuating_entry(store: &Platform) -> Entry {
    let evacuates = |boot: &mut tt_adapter::Boot| boot.bounds.evacuation = Some(APPLY_BOUND);
    let address = store.address();
    let entry = start_entry_with(Start::First, "vm", "d", address, Vec::new(), evacuates).await;
    entry.wait_ready().await;
    entry
}

async fn evacuated_domains(entry: &Entry) -> Vec<Value> {
    let answer = get(entry.boot.peer, "/v1/status", &[]).await.expect("an answer");
    let status: Value = serde_json::from_slice(&answer.body).expect("JSON");
    status["evacuations"]["domains"].as_array().expect("a list").clone()
}

async fn wait_evacuated(entry: &Entry, domains: &[&str]) {
    let known = async {
        while evacuated_domains(entry).await != domains {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(APPLY_BOUND, known).await.expect("the evacuated domains are known");
}

// Guards against an entry that takes evacuations after the return of the store for older than those
// that it knows.
#[tokio::test]
async fn evacuation_is_in_force_if_its_revision_was_given_out_again() {
    let (store, _searchers) = start_two_searchers().await;
    let entry = start_evacuating_entry(&store).await;
    let copy = store.copy();
    write_changes(&store);
    store.put("op/evacuate/east", b"{}");
    wait_evacuated(&entry, &["east"]).await;
    store.restore(&copy);
    store.put("op/evacuate/east", b"{}");
    store.put("op/evacuate/west", b"{}");
    wait_evacuated(&entry, &["east", "west"]).await;
}

// Guards against requests to an evacuated domain whose evacuation the store has lost, before the
// operator could write it again; and against one that never ends, since the operator has taken the
// domain back.
#[tokio::test]
async fn evacuation_that_the_store_lost_holds_for_a_while() {
    let (store, _searchers) = start_two_searchers().await;
    let entry = start_evacuating_entry(&store).await;
    let copy = store.copy();
    store.put("op/evacuate/east", b"{}");
    wait_evacuated(&entry, &["east"]).await;
    store.restore(&copy);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(evacuated_domains(&entry).await, ["east"]);
    wait_evacuated(&entry, &[]).await;
}
