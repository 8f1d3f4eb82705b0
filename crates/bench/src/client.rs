//! A small HTTP client for the interfaces of the daemons.

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

/// Longer than a daemon may take for any query, and for any change that waits for the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(70);

/// Why a request got no answer.
#[derive(Debug, Display, Clone, PartialEq, Eq, Error)]
#[display("{address}: {detail}")]
pub struct ClientError {
    address: SocketAddr,
    detail: String,
}

/// A client that keeps its connections open. Clones share them.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to a daemon.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// HTTP method, in capitals.
    pub method: &'static str,
    /// Path with the query string.
    pub path: String,
    /// Body; JSON or empty.
    pub body: Vec<u8>,
}

/// A response of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whole body, as received.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client without connections; they are opened as needed.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        HttpClient { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends one request and reads the whole response. Any HTTP status is a response.
    pub async fn send(&self, request: HttpRequest) -> Result<HttpResponse, ClientError> {
        let address = request.address;
        let failed = |detail: String| ClientError { address, detail };
        let request = Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", request.address, request.path))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(request.body)))
            .map_err(|error| failed(error.to_string()))?;
        let response = async {
            let response = self.client.request(request).await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
            Ok::<_, String>(HttpResponse { status, body: body.to_bytes() })
        };
        match timeout(CALL_TIMEOUT, response).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(failed(error)),
            Err(_) => Err(failed(format!("no answer within {} s", CALL_TIMEOUT.as_secs()))),
        }
    }
}

impl HttpRequest {
    /// A `GET` request without a body.
    pub fn get(address: SocketAddr, path: String) -> HttpRequest {
        HttpRequest { address, method: "GET", path, body: Vec::new() }
    }

    /// A `POST` request.
    pub fn post(address: SocketAddr, path: String, body: Vec<u8>) -> HttpRequest {
        HttpRequest { address, method: "POST", path, body }
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        HttpClient::new()
    }
}
