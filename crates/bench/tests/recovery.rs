//! Daemons that start while the store is down. The revisions at all daemons must never go back.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use support::ENVIRONMENT;
use support::WAIT_TIMEOUT;

use tt_bench::Fleet;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_standin::Fault;

/// The last revision seen of each stage at each daemon since its start, by address; a restart
/// changes the address.
#[derive(Debug, Default)]
struct Revisions {
    seen: BTreeMap<(SocketAddr, String), u64>,
    /// Comparisons made.
    cases: usize,
}

impl Revisions {
    /// Asserts that no stage has gone back to an older revision at any daemon.
    async fn check(&mut self, http: &HttpClient, fleet: &Fleet) {
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

/// Guards against a daemon that cannot start without the store although its peers have the
/// configuration, and against one that serves an older document or goes back to one.
#[tokio::test(flavor = "multi_thread")]
async fn an_empty_daemon_recovers_from_peers_while_the_store_is_down() {
    let mut fleet = support::serving_fleet(3).await;
    let http = HttpClient::new();
    let mut revisions = Revisions::default();
    revisions.check(&http, &fleet).await;
    let newest = revisions.seen.values().copied().max().unwrap_or(0);

    fleet.platform.set_fault(Fault::Down);
    let killed = fleet.kill(2).expect("the daemon ran");
    revisions.check(&http, &fleet).await;
    fleet.restart(killed).await.expect("the address is free again");
    let restarted = fleet.operators(2).expect("the daemon runs");
    let callers = fleet.callers(2).expect("the daemon runs");
    let is_ready = Fleet::wait_for(WAIT_TIMEOUT, async || {
        support::get(&http, restarted, "/readyz").await.0 == 200
    });
    assert!(is_ready.await, "not ready although its peers have the document");
    let path = format!("/v1/env/{ENVIRONMENT}");
    let (_, status) = support::get(&http, restarted, &path).await;
    assert_eq!(status["stages"][1]["revision"], newest, "{status}");
    let serves = Fleet::wait_for(WAIT_TIMEOUT, async || {
        let answer = support::query(&http, callers, &support::search(&support::new_id())).await;
        answer.is_some_and(|answer| answer["name"] == "Complete")
    });
    assert!(serves.await, "the recovered daemon covers no full search");
    let knows_epoch = Fleet::wait_for(WAIT_TIMEOUT, async || {
        let (_, members) = support::get(&http, restarted, "/v1/members").await;
        members["epoch"].as_u64().unwrap_or(0) > 0
    });
    assert!(knows_epoch.await, "the assignment was not recovered");
    revisions.check(&http, &fleet).await;

    fleet.platform.set_fault(Fault::None);
    let operators = fleet.operators(0).expect("the daemon runs");
    let trial = format!("/v1/env/{ENVIRONMENT}/trial?operator=alice");
    let body = fleet.document.replace("200.0", "190.0").into_bytes();
    let answer =
        http.send(HttpRequest::post(operators, trial, body)).await.expect("the daemon answers");
    assert_eq!(answer.status, 200, "{answer:?}");
    for _ in 0..10 {
        revisions.check(&http, &fleet).await;
    }
    assert!(revisions.cases > 50, "{revisions:?}");
}

/// Guards against a daemon without any configuration that accepts requests, or that refuses them
/// without a reason.
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
    for body in [support::search(&id), support::at_most_once(&id, 1)] {
        let answer = support::query(&http, callers, &body).await.expect("the daemon answers");
        assert_eq!((&answer["name"], &answer["ran"]), (&"NotReady".into(), &"no".into()));
    }
    assert_eq!(support::executions(&fleet, &id), 0);

    fleet.platform.set_fault(Fault::None);
    let is_ready = Fleet::wait_for(WAIT_TIMEOUT, async || {
        support::get(&http, operators, "/readyz").await.0 == 200
    });
    assert!(is_ready.await, "not ready although the store is up again");
}
