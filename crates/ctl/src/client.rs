//! Sends the requests of commands to a daemon.

use serde_json::Value;

use crate::output::Failure;
use tt_bench::HttpClient;
use tt_bench::HttpRequest;
use tt_model::ResultCode;

/// Sends one request and parses the answer as JSON. An answer with an error status is a failure.
pub(crate) async fn send_json(http: &HttpClient, request: HttpRequest) -> Result<Value, Failure> {
    let answer = http
        .send(request)
        .await
        .map_err(|error| Failure::new(ResultCode::Unreachable, error.to_string()))?;
    let value: Value = serde_json::from_slice(&answer.body).map_err(|error| {
        Failure::new(ResultCode::Unreachable, format!("the answer is not JSON: {error}"))
    })?;
    if (200..300).contains(&answer.status) { Ok(value) } else { Err(Failure::refused(value)) }
}
