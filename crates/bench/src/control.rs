//! Measures how long an accepted change takes until it is in force on every daemon.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::client::HttpClient;
use crate::client::HttpRequest;
use crate::fleet::Fleet;
use crate::fleet::FleetSettings;
use crate::submit::bring_into_force;
use crate::submit::wait_for_owners;
use tt_daemon::Policy;
use tt_standin::Fault;

/// Time between two polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The target time for a change to be in force on every daemon that can learn it.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of changes measured while the store is up.
const CHANGE_COUNT: usize = 5;

/// Key of the catalog in the store.
const CATALOG_KEY: &str = "catalog";

/// Times from the acceptance in the store until the change is in force, in milliseconds; `None`
/// if it was not in force within 10 s.
#[derive(Debug, Clone, Serialize)]
pub struct ControlReport {
    /// On all daemons, for each change with the store up.
    pub store_up: Vec<Option<f64>>,
    /// On all daemons, for a change right after whose acceptance the store went down.
    pub store_down: Option<f64>,
    /// On all daemons, counted from the restart of one of them without state during the outage.
    pub restarted_empty: Option<f64>,
}

/// Measures changes of `document` in a fleet of five daemons.
pub async fn measure_control(document: &str) -> io::Result<ControlReport> {
    let settings = FleetSettings { document: document.to_owned(), ..FleetSettings::default() };
    let mut fleet = Fleet::start(settings).await?;
    bring_into_force(&fleet).await.map_err(io::Error::other)?;
    wait_for_owners(&fleet, Policy::Adaptive).await.map_err(io::Error::other)?;
    let http = HttpClient::new();
    let mut store_up = Vec::new();
    for number in 0..CHANGE_COUNT {
        let accepted = submit_change(&http, &fleet, number).await;
        store_up.push(wait_in_force(&http, &fleet, accepted).await);
    }
    let accepted = submit_change(&http, &fleet, CHANGE_COUNT).await;
    fleet.platform.set_fault(Fault::Down);
    let store_down = wait_in_force(&http, &fleet, accepted).await;
    let last = fleet.len() - 1;
    let killed = fleet.kill(last).ok_or_else(|| io::Error::other("no daemon runs"))?;
    sleep(Duration::from_secs(1)).await;
    let revision = accepted.revision;
    let restarted = Instant::now();
    fleet.restart(killed).await?;
    let restarted_empty =
        wait_in_force(&http, &fleet, AcceptedChange { at: restarted, revision }).await;
    Ok(ControlReport { store_up, store_down, restarted_empty })
}

/// The revision of an accepted change, and the time from which its delay is measured.
#[derive(Debug, Clone, Copy)]
struct AcceptedChange {
    at: Instant,
    revision: u64,
}

/// Submits a change and waits until it is in the store.
async fn submit_change(http: &HttpClient, fleet: &Fleet, number: usize) -> AcceptedChange {
    let before = fleet.platform.value(CATALOG_KEY);
    let text = format!("// Change {number}.\n{}", fleet.document);
    let name = &fleet.environment.name;
    let path = format!("/v1/env/{name}/trial?operator=bench");
    if let Some(operators) = fleet.operators(number % fleet.len()) {
        let http = http.clone();
        tokio::spawn(async move {
            // The answer is not used: it comes only when the change is in force, and
            // `wait_in_force` measures that.
            let _ = http.send(HttpRequest::post(operators, path, text.into_bytes())).await;
        });
    }
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while fleet.platform.value(CATALOG_KEY) == before && Instant::now() < deadline {
        sleep(Duration::from_millis(1)).await;
    }
    let at = Instant::now();
    let catalog: Value = fleet
        .platform
        .value(CATALOG_KEY)
        .and_then(|value| serde_json::from_slice(&value).ok())
        .unwrap_or_default();
    AcceptedChange { at, revision: catalog["revision"].as_u64().unwrap_or(0) }
}

/// Waits until every daemon has the revision and returns the delay in milliseconds; `None` if the
/// timeout passed.
async fn wait_in_force(http: &HttpClient, fleet: &Fleet, accepted: AcceptedChange) -> Option<f64> {
    let name = &fleet.environment.name;
    let addresses: Vec<SocketAddr> = (0..8).filter_map(|index| fleet.operators(index)).collect();
    for address in addresses {
        while newest_revision(http, address, name).await < accepted.revision {
            if accepted.at.elapsed() >= IN_FORCE_TIMEOUT {
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Some(accepted.at.elapsed().as_secs_f64() * 1e3)
}

/// The newest revision of an environment at a daemon; 0 if it has none.
async fn newest_revision(http: &HttpClient, address: SocketAddr, name: &str) -> u64 {
    let request = HttpRequest::get(address, format!("/v1/env/{name}/history"));
    let Ok(answer) = http.send(request).await else {
        return 0;
    };
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["changes"][0]["revision"].as_u64().unwrap_or(0)
}
