//! How long an accepted change takes until it is in force on every daemon.

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

/// Time between two looks at a daemon.
const LOOK: Duration = Duration::from_millis(2);

/// The target for a change that every daemon can learn.
const LIMIT: Duration = Duration::from_secs(10);

/// Changes that are measured with the store up.
const CHANGES: usize = 5;

/// Where the store keeps the catalog.
const CATALOG_KEY: &str = "catalog";

/// Times from the acceptance in the store, in milliseconds; `None` if the limit was reached.
#[derive(Debug, Clone, Serialize)]
pub struct ControlReport {
    /// Until all daemons have the change, with the store up.
    pub store_up: Vec<Option<f64>>,
    /// Until all daemons have a change after which the store went down at once.
    pub store_down: Option<f64>,
    /// From the restart of a daemon with an empty memory during the outage until it has it.
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
    for number in 0..CHANGES {
        let accepted = change(&http, &fleet, number).await;
        store_up.push(in_force(&http, &fleet, accepted).await);
    }
    let accepted = change(&http, &fleet, CHANGES).await;
    fleet.platform.set_fault(Fault::Down);
    let store_down = in_force(&http, &fleet, accepted).await;
    let last = fleet.len() - 1;
    let killed = fleet.kill(last).ok_or_else(|| io::Error::other("no daemon runs"))?;
    sleep(Duration::from_secs(1)).await;
    let revision = accepted.revision;
    let restarted = Instant::now();
    fleet.restart(killed).await?;
    let restarted_empty = in_force(&http, &fleet, Accepted { at: restarted, revision }).await;
    Ok(ControlReport { store_up, store_down, restarted_empty })
}

/// An accepted change.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    at: Instant,
    revision: u64,
}

/// Submits a change and waits until it is in the store.
async fn change(http: &HttpClient, fleet: &Fleet, number: usize) -> Accepted {
    let before = fleet.platform.value(CATALOG_KEY);
    let text = format!("// Change {number}.\n{}", fleet.document);
    let name = &fleet.environment.name;
    let path = format!("/v1/env/{name}/trial?operator=bench");
    if let Some(operators) = fleet.operators(number % fleet.len()) {
        let http = http.clone();
        tokio::spawn(async move {
            // The answer comes when the change is in force, which is measured here instead.
            let _ = http.send(HttpRequest::post(operators, path, text.into_bytes())).await;
        });
    }
    let end = Instant::now() + LIMIT;
    while fleet.platform.value(CATALOG_KEY) == before && Instant::now() < end {
        sleep(Duration::from_millis(1)).await;
    }
    let at = Instant::now();
    let catalog: Value = fleet
        .platform
        .value(CATALOG_KEY)
        .and_then(|value| serde_json::from_slice(&value).ok())
        .unwrap_or_default();
    Accepted { at, revision: catalog["revision"].as_u64().unwrap_or(0) }
}

/// Waits until every daemon has the revision.
async fn in_force(http: &HttpClient, fleet: &Fleet, accepted: Accepted) -> Option<f64> {
    let name = &fleet.environment.name;
    let addresses: Vec<SocketAddr> = (0..8).filter_map(|index| fleet.operators(index)).collect();
    for address in addresses {
        while newest(http, address, name).await < accepted.revision {
            if accepted.at.elapsed() >= LIMIT {
                return None;
            }
            sleep(LOOK).await;
        }
    }
    Some(accepted.at.elapsed().as_secs_f64() * 1e3)
}

/// The newest revision of an environment at a daemon; 0 if it has none.
async fn newest(http: &HttpClient, address: SocketAddr, name: &str) -> u64 {
    let ask = HttpRequest::get(address, format!("/v1/env/{name}/history"));
    let Ok(answer) = http.send(ask).await else {
        return 0;
    };
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["changes"][0]["revision"].as_u64().unwrap_or(0)
}
