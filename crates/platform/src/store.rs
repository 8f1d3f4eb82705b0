//! The key-value store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;

use crate::http::Failure;
use crate::http::Http;
use crate::http::Reply;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// How calls to the store are made.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Time until a read or a write counts as lost.
    pub call_limit: Duration,
    /// Time that a watch waits at the store.
    pub watch_wait: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        StoreSettings {
            // The store answers in milliseconds; a second leaves room for a slow spell.
            call_limit: Duration::from_secs(1),
            // A long wait keeps the number of watch calls low, since each counts.
            watch_wait: Duration::from_secs(30),
        }
    }
}

/// A client of the store. Clones share its connections.
#[derive(Debug, Clone)]
pub struct Store {
    http: Http,
    settings: StoreSettings,
}

impl Store {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr, settings: StoreSettings) -> Store {
        Store { http: Http::new(address), settings }
    }

    /// Carries out one call.
    pub async fn call(&self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { key } => {
                let path = format!("/kv/{key}");
                self.read(path, self.settings.call_limit).await
            }
            StoreCall::Watch { key, after } => {
                let wait = self.settings.watch_wait;
                let path = format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
                self.read(path, wait + self.settings.call_limit).await
            }
            StoreCall::Put { key, expect, value } => {
                let path = format!("/kv/{key}?expect={expect}");
                self.write(Method::PUT, path, Bytes::from(value)).await
            }
            StoreCall::Delete { key, expect } => {
                let path = format!("/kv/{key}?expect={expect}");
                self.write(Method::DELETE, path, Bytes::new()).await
            }
        }
    }

    async fn read(&self, path: String, limit: Duration) -> StoreReply {
        match self.http.exchange(Method::GET, &path, Bytes::new(), limit).await {
            Ok(reply) if reply.status == StatusCode::OK => {
                StoreReply::Value { revision: Revision(reply.revision), value: reply.body.to_vec() }
            }
            Ok(reply) if is_absent(reply.status) => StoreReply::Missing,
            // A read has no effect, whatever happened to its reply.
            Ok(_) | Err(_) => StoreReply::Unavailable,
        }
    }

    async fn write(&self, method: Method, path: String, value: Bytes) -> StoreReply {
        match self.http.exchange(method, &path, value, self.settings.call_limit).await {
            Ok(reply) => classify_write(&reply),
            Err(Failure::NotSent) => StoreReply::Unavailable,
            Err(Failure::NoReply) => StoreReply::Lost,
        }
    }
}

fn is_absent(status: StatusCode) -> bool {
    status == StatusCode::NOT_FOUND || status == StatusCode::NOT_MODIFIED
}

fn classify_write(reply: &Reply) -> StoreReply {
    let revision = Revision(reply.revision);
    match reply.status {
        StatusCode::OK => StoreReply::Written { revision },
        StatusCode::CONFLICT => StoreReply::Conflict { revision },
        StatusCode::NOT_FOUND => StoreReply::Missing,
        // The store refuses before it writes when it is over its rate or a value is too large.
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::BAD_REQUEST => StoreReply::Unavailable,
        _ => StoreReply::Lost,
    }
}
