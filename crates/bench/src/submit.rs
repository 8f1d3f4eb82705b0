//! Brings the document of a fleet into force and waits until the fleet is ready for a load.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::client::ClientError;
use crate::client::HttpClient;
use crate::client::HttpRequest;
use crate::fleet::Fleet;
use tt_daemon::Policy;

/// How long the daemons may take after their start to agree on the owners of the searchers.
const OWNERS_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the epoch must stay the same. A daemon that joined late is in the next epoch, which
/// comes after 2 s without a change of membership.
const STABLE_PERIOD: Duration = Duration::from_secs(3);

/// Time for all daemons to know the state of all searchers: daemons poll it twice a second and
/// exchange the results as often.
const STATUS_DELAY: Duration = Duration::from_millis(1_500);

/// Why a fleet is not ready for a load.
#[derive(Debug, Display, Error)]
pub enum SubmitError {
    /// A daemon did not answer.
    #[display("{_0}")]
    Client(#[error(not(source))] ClientError),
    /// A daemon refused the document.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] Value),
    /// The daemons did not agree on owners in time, or none runs.
    #[display("the daemons did not agree on the owners of the searchers")]
    NoAgreement,
}

/// The daemon's answers to the two changes that bring a document into force.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmitReport {
    /// Answer to the trial.
    pub trial: Value,
    /// Answer to the promotion to production.
    pub promotion: Value,
}

/// Submits the document of a fleet for trial and then promotes it to production.
pub async fn bring_into_force(fleet: &Fleet) -> Result<SubmitReport, SubmitError> {
    let http = HttpClient::new();
    let operators = fleet.operators(0).ok_or(SubmitError::NoAgreement)?;
    let name = &fleet.environment.name;
    let document = fleet.document.clone().into_bytes();
    let path = format!("/v1/env/{name}/trial?operator=bench");
    let trial = submit(&http, HttpRequest::post(operators, path, document)).await?;
    let digest = fleet.environment.digest.as_str();
    let path = format!("/v1/env/{name}/promote?operator=bench&digest={digest}");
    let promotion = submit(&http, HttpRequest::post(operators, path, Vec::new())).await?;
    Ok(SubmitReport { trial, promotion })
}

/// Waits until the daemons agree on the owners of all searchers and know their snapshots.
pub async fn wait_for_owners(fleet: &Fleet, policy: Policy) -> Result<(), SubmitError> {
    let http = HttpClient::new();
    let operators: Vec<SocketAddr> =
        (0..fleet.len()).filter_map(|index| fleet.operators(index)).collect();
    let searchers = fleet.environment.searchers.len() as u64;
    let mut epochs = Vec::new();
    let mut unchanged_since = Instant::now();
    let agreed = Fleet::wait_for(OWNERS_TIMEOUT, async || {
        let mut fully_held = 0;
        let mut current = Vec::new();
        for &address in &operators {
            let members = members(&http, address).await;
            fully_held += members["searchers_full"].as_u64().unwrap_or(0);
            current.push(members["epoch"].as_u64().unwrap_or(0));
        }
        if current != epochs {
            epochs = current;
            unchanged_since = Instant::now();
        }
        let stable =
            epochs.iter().all(|epoch| *epoch > 0) && unchanged_since.elapsed() >= STABLE_PERIOD;
        match policy {
            Policy::Adaptive => stable && fully_held >= searchers,
            Policy::Baseline => stable,
        }
    })
    .await;
    if !agreed {
        return Err(SubmitError::NoAgreement);
    }
    sleep(STATUS_DELAY).await;
    Ok(())
}

/// The members as a daemon knows them (`GET /v1/members`); null if it does not answer.
pub async fn members(http: &HttpClient, operators: SocketAddr) -> Value {
    let request = HttpRequest::get(operators, "/v1/members".to_owned());
    match http.send(request).await {
        Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
        Err(_) => Value::Null,
    }
}

/// Sends a change and returns the answer if the daemon accepted it.
async fn submit(http: &HttpClient, request: HttpRequest) -> Result<Value, SubmitError> {
    let answer = http.send(request).await.map_err(SubmitError::Client)?;
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if answer.status == 200 { Ok(body) } else { Err(SubmitError::Refused(body)) }
}
