//! Brings the document of a fleet into force.

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

/// Time for the daemons to agree on owners after their start.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);

/// A daemon that joined late is in the next epoch, which comes after 2 s without a change.
const EPOCH_STABLE: Duration = Duration::from_secs(3);

/// Status polls run twice a second and their results are exchanged as often.
const STATUS_TIME: Duration = Duration::from_millis(1_500);

/// Why a fleet is not ready for a load.
#[derive(Debug, Display, Error)]
pub enum SubmitError {
    /// No daemon answers.
    #[display("{_0}")]
    Client(#[error(not(source))] ClientError),
    /// A daemon refused the document.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] Value),
    /// The daemons did not agree.
    #[display("the daemons did not agree on the owners of the searchers")]
    NoAgreement,
}

/// What became of the two changes that bring a document into force.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmitReport {
    /// The trial.
    pub trial: Value,
    /// The promotion.
    pub promotion: Value,
}

/// Tries and promotes the document of a fleet.
pub async fn bring_into_force(fleet: &Fleet) -> Result<SubmitReport, SubmitError> {
    let http = HttpClient::new();
    let operators = fleet.operators(0).ok_or(SubmitError::NoAgreement)?;
    let name = &fleet.environment.name;
    let document = fleet.document.clone().into_bytes();
    let path = format!("/v1/env/{name}/trial?operator=bench");
    let trial = accepted(&http, HttpRequest::post(operators, path, document)).await?;
    let digest = fleet.environment.digest.as_str();
    let path = format!("/v1/env/{name}/promote?operator=bench&digest={digest}");
    let promotion = accepted(&http, HttpRequest::post(operators, path, Vec::new())).await?;
    Ok(SubmitReport { trial, promotion })
}

/// Waits until the daemons agree on the owners of all searchers and know their snapshots.
pub async fn wait_for_owners(fleet: &Fleet, policy: Policy) -> Result<(), SubmitError> {
    let http = HttpClient::new();
    let operators: Vec<SocketAddr> =
        (0..fleet.len()).filter_map(|index| fleet.operators(index)).collect();
    let searchers = fleet.environment.searchers.len() as u64;
    let mut epochs = Vec::new();
    let mut since = Instant::now();
    let settled = Fleet::wait_for(SETTLE_LIMIT, async || {
        let mut full = 0;
        let mut found = Vec::new();
        for &address in &operators {
            let members = members(&http, address).await;
            full += members["searchers_full"].as_u64().unwrap_or(0);
            found.push(members["epoch"].as_u64().unwrap_or(0));
        }
        if found != epochs {
            epochs = found;
            since = Instant::now();
        }
        let stable = epochs.iter().all(|epoch| *epoch > 0) && since.elapsed() >= EPOCH_STABLE;
        match policy {
            Policy::Adaptive => stable && full >= searchers,
            Policy::Baseline => stable,
        }
    })
    .await;
    if !settled {
        return Err(SubmitError::NoAgreement);
    }
    sleep(STATUS_TIME).await;
    Ok(())
}

/// The member table of a daemon; null if it does not answer.
pub async fn members(http: &HttpClient, operators: SocketAddr) -> Value {
    let ask = HttpRequest::get(operators, "/v1/members".to_owned());
    match http.send(ask).await {
        Ok(answer) => serde_json::from_slice(&answer.body).unwrap_or_default(),
        Err(_) => Value::Null,
    }
}

async fn accepted(http: &HttpClient, ask: HttpRequest) -> Result<Value, SubmitError> {
    let answer = http.send(ask).await.map_err(SubmitError::Client)?;
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    if answer.status == 200 { Ok(body) } else { Err(SubmitError::Refused(body)) }
}
