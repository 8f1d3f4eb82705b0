//! One bounded HTTP exchange with the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

/// Bounds what one reply may make the daemon hold; the store's values end at a megabyte.
const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;

/// Time to set up a connection before the platform counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why there is no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request never left.
    NotSent,
    /// The request may have been carried out.
    NoReply,
}

/// A reply with its status, the value of the `x-revision` header, and its body.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) revision: u64,
    pub(crate) body: Bytes,
}

/// An HTTP client for one address.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Http {
    pub(crate) fn new(address: SocketAddr) -> Http {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Http { client, address }
    }

    pub(crate) async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|_| Failure::NotSent)?;
        match timeout(limit, self.send(request)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::NoReply),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Reply, Failure> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { Failure::NotSent } else { Failure::NoReply }
        })?;
        let status = response.status();
        let revision = response
            .headers()
            .get("x-revision")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|_| Failure::NoReply)?
            .to_bytes();
        Ok(Reply { status, revision, body })
    }
}
