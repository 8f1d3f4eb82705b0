//! A small HTTP client for the daemons' interfaces.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

/// Longer than any deadline and any change that waits for the store.
const CALL_LIMIT: Duration = Duration::from_secs(70);

/// A request without an answer.
#[derive(Debug, Display, Clone, PartialEq, Eq, Error)]
#[display("{address}: {detail}")]
pub struct ClientError {
    address: SocketAddr,
    detail: String,
}

/// A client that keeps its connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to a daemon.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// An answer of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl HttpClient {
    /// A client without connections.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        HttpClient { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends one request.
    pub async fn send(&self, ask: HttpRequest) -> Result<HttpResponse, ClientError> {
        let address = ask.address;
        let unreachable = |detail: String| ClientError { address, detail };
        let request = Request::builder()
            .method(ask.method)
            .uri(format!("http://{}{}", ask.address, ask.path))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(ask.body)))
            .map_err(|error| unreachable(error.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
            Ok::<_, String>(HttpResponse { status, body: body.to_bytes() })
        };
        match timeout(CALL_LIMIT, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(unreachable(error)),
            Err(_) => Err(unreachable("no answer".to_owned())),
        }
    }
}

impl HttpRequest {
    /// A `GET`.
    pub fn get(address: SocketAddr, path: String) -> HttpRequest {
        HttpRequest { address, method: "GET", path, body: Vec::new() }
    }

    /// A `POST` with a body.
    pub fn post(address: SocketAddr, path: String, body: Vec<u8>) -> HttpRequest {
        HttpRequest { address, method: "POST", path, body }
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new()
    }
}
