//! A process that is paused for some seconds, and what it may still do when it wakes.

#[path = "soak/process.rs"]
mod process;
#[path = "../../front/tests/support/mod.rs"]
mod support;

use std::time::Duration;

use nix::sys::signal::Signal;
use process::Vm;
use support::config::config;
use support::free_address;
use support::get;
use support::searcher::Behavior;
use support::searcher::Searcher;
use support::send_request;
use support::start_store;
use tokio::time::sleep;
use tokio::time::timeout;

use tt_standin::Platform;

/// Longer than the users allow for a drain or a configuration to be in force everywhere (3 s).
const PAUSE: Duration = Duration::from_secs(4);

/// Starts an entry as a process, and waits until it serves `/one/`.
async fn start(seed: u64, store: &Platform) -> Vm {
    let mut vm = Vm::new(seed, 0, store.address(), &[free_address().await]).await;
    vm.start();
    let ready = async {
        while ask(&vm, "/one/", "ready").await != Some(200) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), ready).await.expect("the entry serves");
    vm
}

async fn ask(vm: &Vm, path: &str, id: &str) -> Option<u16> {
    let headers = [("x-request-id", id), ("x-deadline-ms", "4000")];
    get(vm.front, path, &headers).await.map(|answer| answer.status)
}

// Guards against a request that reaches a searcher which was drained and removed while the process
// was paused: the listing of before the pause no longer permits it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry_does_not_use_searchers_that_left_meanwhile() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let left = Searcher::start(&store, "s0", "one", "d0", Behavior::Answer(vec![1; 64])).await;
    let vm = start(1, &store).await;
    vm.signal(Signal::SIGSTOP);
    left.register(&store, "one", "d0", "draining", 2);
    Searcher::start(&store, "s1", "one", "d0", Behavior::Answer(vec![2; 64])).await;
    left.unregister(&store);
    let before = left.request_ids().len();
    // They arrive while the process is paused, and are read as soon as it wakes.
    let mut callers = Vec::new();
    for request in 0..10 {
        callers.push(send_request(vm.front, "/one/", &format!("paused-{request}")).await);
    }
    sleep(PAUSE).await;
    vm.signal(Signal::SIGCONT);
    sleep(Duration::from_millis(1500)).await;
    assert_eq!(left.request_ids().len(), before);
    assert_eq!(ask(&vm, "/one/", "later").await, Some(200));
}

// Guards against a request that a withdrawn configuration permits: the route was removed while the
// process was paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry_does_not_serve_a_route_that_was_removed_meanwhile() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let searcher = Searcher::start(&store, "s0", "one", "d0", Behavior::Answer(vec![1; 64])).await;
    let vm = start(2, &store).await;
    assert_eq!(ask(&vm, "/v1/", "before").await, Some(200));
    vm.signal(Signal::SIGSTOP);
    store.put("op/config", &config(2, &["p0"], 0.5));
    let before = searcher.request_ids().len();
    let mut callers = Vec::new();
    for request in 0..10 {
        callers.push(send_request(vm.front, "/v1/", &format!("paused-{request}")).await);
    }
    sleep(PAUSE).await;
    vm.signal(Signal::SIGCONT);
    sleep(Duration::from_millis(1500)).await;
    assert_eq!(searcher.request_ids().len(), before);
    assert_eq!(ask(&vm, "/v2/", "later").await, Some(200));
}

// Guards against a pause that brings back a searcher which had left before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry_does_not_use_a_searcher_that_left_before() {
    let store = start_store().await;
    store.put("op/config", &config(1, &["p0"], 0.5));
    let searcher = Searcher::start(&store, "s0", "one", "d0", Behavior::Answer(vec![1; 64])).await;
    let vm = start(3, &store).await;
    searcher.unregister(&store);
    let refused = async {
        while ask(&vm, "/one/", "until").await != Some(503) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(10), refused).await.expect("the searcher is known to have left");
    let before = searcher.request_ids().len();
    vm.signal(Signal::SIGSTOP);
    sleep(PAUSE).await;
    vm.signal(Signal::SIGCONT);
    for request in 0..10 {
        assert_eq!(ask(&vm, "/one/", &format!("after-{request}")).await, Some(503));
    }
    assert_eq!(searcher.request_ids().len(), before);
}
