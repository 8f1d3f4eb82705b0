//! A small HTTP client for the daemons' interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::timeout;

use tt_model::ResultCode;

use crate::output::Failure;

/// Longer than any deadline and any change that waits for the store.
const CALL_LIMIT: Duration = Duration::from_secs(70);

/// A client that keeps its connections.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to a daemon.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) address: SocketAddr,
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
}

/// An answer of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

impl Http {
    pub(crate) fn new() -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Http { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends one request.
    pub(crate) async fn send(&self, ask: Ask) -> Result<Answer, Failure> {
        let unreachable = |detail: String| Failure::new(ResultCode::Unreachable, detail);
        let request = Request::builder()
            .method(ask.method)
            .uri(format!("http://{}{}", ask.address, ask.path))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(ask.body)))
            .map_err(|error| Failure::usage(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
            Ok::<_, String>(Answer { status, body: body.to_bytes() })
        };
        match timeout(CALL_LIMIT, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(unreachable(format!("{}: {error}", ask.address))),
            Err(_) => Err(unreachable(format!("{}: no answer", ask.address))),
        }
    }

    /// Sends one request and reads a JSON answer; a refusal is a failure.
    pub(crate) async fn json(&self, ask: Ask) -> Result<Value, Failure> {
        let answer = self.send(ask).await?;
        let value: Value = serde_json::from_slice(&answer.body)
            .map_err(|error| Failure::new(ResultCode::Unreachable, format!("not JSON: {error}")))?;
        if (200..300).contains(&answer.status) { Ok(value) } else { Err(Failure::refused(value)) }
    }
}

impl Ask {
    pub(crate) fn get(address: SocketAddr, path: String) -> Ask {
        Ask { address, method: "GET", path, body: Vec::new() }
    }

    pub(crate) fn post(address: SocketAddr, path: String, body: Vec<u8>) -> Ask {
        Ask { address, method: "POST", path, body }
    }
}
