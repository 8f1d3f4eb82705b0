//! Searchers that send bytes without end, to an entry that runs as a process of its own.

#[path = "soak/process.rs"]
mod process;
#[path = "../../front/tests/support/mod.rs"]
mod support;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use process::Vm;
use support::config::config;
use support::free_address;
use support::get;
use support::searcher::Behavior;
use support::searcher::Endless;
use support::searcher::Searcher;
use support::start_store;
use support::wait_until;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Memory of the smallest VM on which entries run.
const VM_MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// Number of shards of the query, all of which send without end.
const SHARDS: usize = 100;

/// Latency objective of a request to a single searcher on the users' deployments.
const OBJECTIVE: Duration = Duration::from_millis(400);

/// Time within which the connections to the searchers must be closed. Requests wait for 4 s, so that
/// those which are closed only at the end of the request miss it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

static NEXT_VM: AtomicU64 = AtomicU64::new(0);

async fn start(behavior: Behavior, shards: usize) -> (Vm, Vec<Searcher>) {
    let store = start_store().await;
    let names: Vec<String> = (0..shards).map(|shard| format!("p{shard}")).collect();
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    store.put("op/config", &config(1, &shards, 0.5));
    let mut searchers = Vec::new();
    for shard in shards {
        searchers.push(Searcher::start(&store, shard, shard, "d0", behavior.clone()).await);
    }
    Searcher::start(&store, "one", "one", "d0", Behavior::Answer(vec![1; 64])).await;
    // Each VM has a folder of its own by its number.
    let number = NEXT_VM.fetch_add(1, Ordering::Relaxed);
    let mut vm = Vm::new(number, 0, store.address(), &[free_address().await]).await;
    vm.start();
    let ready = async {
        while ask(&vm, "/one/", "ready").await != Some(200) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(20), ready).await.expect("the entry serves");
    (vm, searchers)
}

/// The status of the answer to a request that waits for 4 s.
async fn ask(vm: &Vm, path: &str, id: &str) -> Option<u16> {
    let headers = [("x-request-id", id), ("x-deadline-ms", "4000")];
    get(vm.front, path, &headers).await.map(|answer| answer.status)
}

// Guards against an entry that reads on until the deadline of the request, or for good on an idle
// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_is_closed_when_an_answer_has_no_end() {
    for endless in Endless::ALL {
        let (vm, searchers) = start(Behavior::Endless(endless), 1).await;
        let start = Instant::now();
        let status = ask(&vm, "/all/", "r1").await;
        if endless == Endless::AfterAnswer {
            assert_eq!(status, Some(200), "the answer before the bytes is complete");
        } else {
            assert_ne!(status, Some(200), "{endless:?}");
        }
        wait_until("the connection is closed", || searchers[0].closed_count() > 0).await;
        assert!(start.elapsed() < CLOSE_TIMEOUT, "{endless:?}: {:?}", start.elapsed());
        assert_eq!(ask(&vm, "/one/", "r2").await, Some(200), "{endless:?}: the entry serves on");
    }
}

// Guards against an entry that exceeds the memory of its VM, or that keeps other callers waiting,
// because all shards of several queries send without end at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_of_all_shards_neither_exhaust_an_entry_nor_delay_others() {
    for endless in [Endless::LongBody, Endless::Chunks, Endless::InterimAnswers] {
        let (vm, _searchers) = start(Behavior::Endless(endless), SHARDS).await;
        let queries = (0..4).map(|query| {
            let front = vm.front;
            tokio::spawn(async move {
                let id = format!("q{query}");
                let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "4000")];
                get(front, "/all/", &headers).await.map(|answer| answer.status)
            })
        });
        let queries: Vec<_> = queries.collect();
        let mut late = 0;
        for request in 0..20 {
            let start = Instant::now();
            assert_eq!(ask(&vm, "/one/", &format!("r{request}")).await, Some(200), "{endless:?}");
            late += usize::from(start.elapsed() > OBJECTIVE);
            sleep(Duration::from_millis(20)).await;
        }
        for query in queries {
            let status = query.await.expect("the query ends");
            assert!(status.is_some_and(|status| status != 200), "{endless:?}: {status:?}");
        }
        let peak = vm.peak_memory_bytes().expect("the process runs");
        assert!(peak < VM_MEMORY_BYTES, "{endless:?}: {} MB", peak / 1024 / 1024);
        assert!(late <= 2, "{endless:?}: {late} of 20 late");
    }
}
