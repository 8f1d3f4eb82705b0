//! HTTP exchanges with a searcher on one connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::clock;
use crate::owner::Work;
use crate::owner::reply::SearchBody;
use crate::owner::reply::SnapshotGoneBody;
use crate::owner::reply::StatusBody;
use tt_front::AnswerMemory;
use tt_rpc::Outcome;
use tt_rpc::RunMode;
use tt_rpc::SubReply;

/// Maximum size of the body of one reply.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Maximum size of the head of a reply.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Minimum timeout of a connection attempt, for documents with a very short connect time.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The sending half of a connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// The future that drives a connection; it ends when the socket is closed.
pub(crate) type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// The reply to a sub-query, and the connection if it can be used again.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) reply: SubReply,
    pub(crate) sender: Option<Sender>,
}

/// When a sub-query must have ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadlines {
    /// The deadline of the sub-query.
    pub(crate) deadline: Instant,
    /// When the lease of the slot expires, in Unix milliseconds; `None` for an own slot.
    pub(crate) lease_end_ms: Option<u64>,
}

/// Opens a connection. `expected` is the connect time in the document; the timeout is ten times
/// as long.
pub(crate) async fn connect(address: SocketAddr, expected: Duration) -> Option<(Sender, Driver)> {
    let connect_timeout = (expected * 10).max(MIN_CONNECT_TIMEOUT);
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await.ok()
}

/// Sends one sub-query and reads the reply, in the memory that all replies share.
pub(crate) async fn search(
    mut sender: Sender,
    work: &Work,
    deadlines: Deadlines,
    memory: &AnswerMemory,
) -> Exchange {
    let Some(request) = search_request(work, deadlines) else {
        return Exchange { reply: outcome(work.key, Outcome::Expired), sender: Some(sender) };
    };
    // A connection that was closed while it was idle has not carried the request.
    if sender.ready().await.is_err() {
        return Exchange { reply: outcome(work.key, Outcome::Unreachable), sender: None };
    }
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(error) => {
            let failure = if error.is_canceled() { Outcome::Unreachable } else { Outcome::Failed };
            return Exchange { reply: outcome(work.key, failure), sender: None };
        }
    };
    match read(work.key, response, memory).await {
        Some(reply) => Exchange { reply, sender: Some(sender) },
        None => Exchange { reply: outcome(work.key, Outcome::Failed), sender: None },
    }
}

/// Reads the status endpoint. The sender is returned if the connection can be used again.
pub(crate) async fn status(
    mut sender: Sender,
    memory: &AnswerMemory,
) -> (Option<StatusBody>, Option<Sender>) {
    let request =
        Request::builder().uri("/status").header("host", "searcher").body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return (None, None);
    };
    let Ok(response) = sender.send_request(request).await else {
        return (None, None);
    };
    let Some(body) = memory.collect(response.into_body(), MAX_REPLY_BYTES).await else {
        return (None, None);
    };
    (serde_json::from_slice(&body).ok(), Some(sender))
}

/// A reply without hits.
pub(crate) fn outcome(key: u64, outcome: Outcome) -> SubReply {
    SubReply { key, outcome: outcome.into(), ..SubReply::default() }
}

fn search_request(work: &Work, deadlines: Deadlines) -> Option<Request<Full<Bytes>>> {
    deadlines.deadline.checked_duration_since(Instant::now())?;
    let deadline_ms = clock::unix_ms_at(deadlines.deadline);
    let deadline_ms = deadlines.lease_end_ms.map_or(deadline_ms, |end| end.min(deadline_ms));
    let gather = &work.gather;
    let query: &RawValue = serde_json::from_slice(&gather.query).ok()?;
    let body = json!({
        "shard": work.shard,
        "snapshot": gather.snapshot,
        "query": query,
        "idempotent": gather.mode == RunMode::Idempotent,
    });
    Request::builder()
        .method(Method::POST)
        .uri("/search")
        .header("host", "searcher")
        .header("content-type", "application/json")
        .header("x-request-id", &gather.request_id)
        .header("x-deadline-unix-ms", deadline_ms)
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()
}

async fn read(key: u64, response: Response<Incoming>, memory: &AnswerMemory) -> Option<SubReply> {
    let status = response.status();
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    };
    let executed = header("x-executed") != "no";
    let draining = header("x-searcher-state") == "draining";
    let body = memory.collect(response.into_body(), MAX_REPLY_BYTES).await?;
    let reply = match status {
        StatusCode::OK => {
            let found: SearchBody<'_> = serde_json::from_slice(&body).ok()?;
            let hits = body.slice_ref(found.hits.get().as_bytes());
            SubReply {
                snapshot: found.snapshot,
                held: found.held,
                hits: hits.to_vec(),
                ..outcome(key, Outcome::Answered)
            }
        }
        StatusCode::GONE => {
            let held = serde_json::from_slice::<SnapshotGoneBody>(&body).map(|gone| gone.held);
            SubReply { held: held.unwrap_or_default(), ..outcome(key, Outcome::SnapshotGone) }
        }
        StatusCode::MISDIRECTED_REQUEST => outcome(key, Outcome::WrongShard),
        _ if executed => outcome(key, Outcome::Failed),
        StatusCode::GATEWAY_TIMEOUT => outcome(key, Outcome::Expired),
        _ if draining => outcome(key, Outcome::Draining),
        _ => outcome(key, Outcome::Shed),
    };
    Some(reply)
}
