//! Searchers that send bytes without end to the product's own daemons.

mod support;

use std::fs;

use tt_bench::Fleet;
use tt_bench::FleetSettings;
use tt_bench::HttpClient;
use tt_bench::bring_into_force;
use tt_bench::scenario::DocumentShape;
use tt_bench::scenario::ServiceGroup;
use tt_bench::wait_for_owners;
use tt_daemon::Policy;
use tt_standin::State;

const DAEMONS: usize = 3;

/// Memory of one daemon at the size that the tier is designed for.
const DAEMON_MEMORY_BYTES: u64 = 128 * 1024 * 1024;

/// Number of queries at the same time, each over all shards.
const QUERIES: usize = 36;

fn document() -> String {
    let shape = DocumentShape {
        shards: 60,
        replicas: 2,
        slots: 8,
        connections: 60,
        connect_ms: 1.0,
        domains: 3,
        deadline_ms: 4_000,
        services: vec![ServiceGroup { name: "desk".to_owned(), count: 1, rate: 200.0 }],
    };
    shape.document(support::ENVIRONMENT)
}

/// The peak of the memory that this process has used, with all daemons and stand-ins.
fn peak_memory_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("it can be read");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes * 1024
}

/// Guards against a daemon that runs out of memory because many searchers send answers without
/// end, each of which alone is within its bound.
#[tokio::test(flavor = "multi_thread")]
async fn endless_replies_of_all_searchers_do_not_exhaust_daemons() {
    let settings =
        FleetSettings { document: document(), daemons: DAEMONS, ..FleetSettings::default() };
    let fleet = Fleet::start(settings).await.expect("loopback has free ports");
    assert!(support::all_live(&fleet, DAEMONS).await, "the daemons did not find each other");
    bring_into_force(&fleet).await.expect("the document is valid");
    wait_for_owners(&fleet, Policy::Adaptive).await.expect("the daemons agree on owners");
    let callers = fleet.all_callers();
    for searcher in fleet.searchers.values() {
        searcher.set_state(State::Endless);
    }
    let queries = (0..QUERIES).map(|number| {
        let address = callers[number % DAEMONS];
        tokio::spawn(async move {
            let http = HttpClient::new();
            support::query(&http, address, &support::search(&format!("endless-{number}"))).await
        })
    });
    for query in queries.collect::<Vec<_>>() {
        query.await.expect("it does not panic").expect("an answer");
    }
    let peak = peak_memory_bytes();
    assert!(peak < DAEMONS as u64 * DAEMON_MEMORY_BYTES, "{} MB", peak / 1024 / 1024);
    for searcher in fleet.searchers.values() {
        searcher.set_state(State::Ready);
    }
    assert!(support::full_coverage(&fleet).await, "the daemons serve on");
}
