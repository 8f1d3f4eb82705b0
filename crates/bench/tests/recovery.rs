//! Daemons that start while the store is down, and revisions at all daemons.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use support::ENVIRONMENT;
use support::LIMIT;

use tt_bench::Fleet;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_standin::Fault;

/// The highest revisions seen at each daemon since it started.
#[derive(Debug, Default)]
struct Revisions {
    seen: BTreeMap<(SocketAddr, String), u64>,
    cases: usize,
}

impl Revisions {
    /// Looks at the revision of each stage at each daemon.
    async fn look(&mut self, http: &HttpClient, fleet: &Fleet) {
        for address in support::all_operators(fleet) {
            let path = format!("/v1/env/{ENVIRONMENT}");
            let (_, status) = support::get(http, address, &path).await;
            for stage in status["stages"].as_array().into_iter().flatten() {
                let revision = stage["revision"].as_u64().unwrap_or(0);
                let key = (address, stage["stage"].to_string());
                let before = self.seen.insert(key, revision).unwrap_or(0);
                assert!(revision >= before, "{address}: {before}, then {revision}");
                self.cases += 1;
            }
        }
    }
}

/// Guards against a daemon that needs the store to start, and against one that serves or
/// returns to an older document.
#[tokio::test(flavor = "multi_thread")]
async fn an_empty_daemon_recovers_from_peers_while_the_store_is_down() {
    let mut fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    let mut revisions = Revisions::default();
    revisions.look(&http, &fleet).await;
    let newest = revisions.seen.values().copied().max().unwrap_or(0);

    fleet.platform.set_fault(Fault::Down);
    let killed = fleet.kill(2).expect("the daemon ran");
    revisions.look(&http, &fleet).await;
    fleet.restart(killed).await.expect("the address is free again");
    let empty = fleet.operators(2).expect("the daemon runs");
    let callers = fleet.callers(2).expect("the daemon runs");
    let is_ready =
        Fleet::wait_for(LIMIT, async || support::get(&http, empty, "/readyz").await.0 == 200);
    assert!(is_ready.await, "not ready although its peers have the document");
    let path = format!("/v1/env/{ENVIRONMENT}");
    let (_, status) = support::get(&http, empty, &path).await;
    assert_eq!(status["stages"][1]["revision"], newest, "{status}");
    let serves = Fleet::wait_for(LIMIT, async || {
        let answer = support::query(&http, callers, &support::search(&support::new_id())).await;
        answer.is_some_and(|answer| answer["name"] == "Complete")
    });
    assert!(serves.await, "the recovered daemon covers no full search");
    let knows_epoch = Fleet::wait_for(LIMIT, async || {
        let (_, members) = support::get(&http, empty, "/v1/members").await;
        members["epoch"].as_u64().unwrap_or(0) > 0
    });
    assert!(knows_epoch.await, "the assignment was not recovered");
    revisions.look(&http, &fleet).await;

    fleet.platform.set_fault(Fault::None);
    let operators = fleet.operators(0).expect("the daemon runs");
    let trial = format!("/v1/env/{ENVIRONMENT}/trial?operator=alice");
    let body = fleet.document.replace("200.0", "190.0").into_bytes();
    let answer =
        http.send(HttpRequest::post(operators, trial, body)).await.expect("the daemon answers");
    assert_eq!(answer.status, 200, "{answer:?}");
    for _ in 0..10 {
        revisions.look(&http, &fleet).await;
    }
    assert!(revisions.cases > 50, "{revisions:?}");
}

/// Guards against a daemon without any configuration that takes requests, or that does not say
/// why it takes none.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_alone_without_the_store_is_not_ready() {
    let mut fleet = support::serving_fleet(1).await;
    let http = HttpClient::new();
    fleet.platform.set_fault(Fault::Down);
    let killed = fleet.kill(0).expect("the daemon ran");
    fleet.restart(killed).await.expect("the address is free again");
    let operators = fleet.operators(0).expect("the daemon runs");
    let callers = fleet.callers(0).expect("the daemon runs");
    let (status, body) = support::get(&http, operators, "/readyz").await;
    assert_eq!((status, &body["name"]), (503, &"NotReady".into()), "{body}");
    assert!(body["detail"].as_str().is_some_and(|detail| !detail.is_empty()), "{body}");
    let id = support::new_id();
    for body in [support::search(&id), support::once(&id, 1)] {
        let answer = support::query(&http, callers, &body).await.expect("the daemon answers");
        assert_eq!((&answer["name"], &answer["ran"]), (&"NotReady".into(), &"no".into()));
    }
    assert_eq!(support::executions(&fleet, &id), 0);

    fleet.platform.set_fault(Fault::None);
    let is_ready =
        Fleet::wait_for(LIMIT, async || support::get(&http, operators, "/readyz").await.0 == 200);
    assert!(is_ready.await, "not ready although the store is up again");
}
