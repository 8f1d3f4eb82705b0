//! Requests of commands to a daemon.

use serde_json::Value;

use crate::output::Failure;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_model::ResultCode;

/// Sends one request and reads a JSON answer; a refusal is a failure.
pub(crate) async fn json(http: &HttpClient, ask: HttpRequest) -> Result<Value, Failure> {
    let answer = http
        .send(ask)
        .await
        .map_err(|error| Failure::new(ResultCode::Unreachable, error.to_string()))?;
    let value: Value = serde_json::from_slice(&answer.body)
        .map_err(|error| Failure::new(ResultCode::Unreachable, format!("not JSON: {error}")))?;
    if (200..300).contains(&answer.status) { Ok(value) } else { Err(Failure::refused(value)) }
}
