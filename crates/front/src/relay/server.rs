//! Queries the shards that another daemon delegates to this one.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use prost::Message;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use super::message::GatherRequest;
use super::message::GatherResponse;
use super::message::Header;
use super::message::MAX_MESSAGE_BYTES;
use super::message::UnsentShard;
use crate::answer;
use crate::answer::Body;
use crate::attempt::OutgoingRequest;
use crate::attempt::RequestKind;
use crate::caller_memory::BodyError;
use crate::caller_memory::HeldBytes;
use crate::caller_memory::Holder;
use crate::caller_memory::collect;
use crate::entry::Entry;
use crate::execution::PlannedRequest;
use crate::execution::RunningRequest;
use crate::sync::lock;
use tt_adapter::headers;
use tt_serve::CompiledTarget;
use tt_serve::ContentKey;
use tt_serve::Plan;
use tt_serve::RegionRule;
use tt_serve::RelayScope;
use tt_serve::Trust;
use tt_serve::Verdict;
use tt_serve::merge_records;

/// Maximum number of late answers that are queued for sending.
const MAX_QUEUED_FRAMES: usize = 4;

/// Answers a [`GatherRequest`] of another daemon.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    request: Request<Incoming>,
    holder: &Holder,
) -> Response<Body> {
    let HeldBytes { bytes, charges } =
        match collect(holder, request.into_body(), MAX_MESSAGE_BYTES).await {
            Ok(body) => body,
            Err(BodyError::Refused) => {
                log::info!("relay: outcome=refused cause=memory");
                // The sender takes any other status than 200 as a refusal, and tries elsewhere.
                return answer::error(StatusCode::SERVICE_UNAVAILABLE, "no memory", None);
            }
            Err(BodyError::TooLarge | BodyError::Cut) => {
                return answer::error(StatusCode::BAD_REQUEST, "the body is cut", None);
            }
        };
    let mut message = match GatherRequest::decode(bytes.as_slice()) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("relay: malformed=\"{error}\"");
            return answer::error(StatusCode::BAD_REQUEST, "malformed", None);
        }
    };
    // The request's body is what is left of the message, and keeps the charge.
    drop(bytes);
    let body = HeldBytes { bytes: std::mem::take(&mut message.body), charges }.into_bytes();
    entry.wait_until_current().await;
    match plan(entry, &message, body) {
        Some((planned, max_records)) => {
            let scope = if message.share { RelayScope::Domain } else { RelayScope::None };
            respond(message, planned, scope, max_records).await
        }
        // For example, the daemon that sent the request has a configuration with other shards.
        None => answer::error(StatusCode::CONFLICT, "not here", None),
    }
}

/// Plans the sub-queries. Returns `None` if the request does not match the configuration in force
/// or is malformed. The route that is in force here may be another one than the sender's: only the
/// names of its pools count, which are the same by their digest.
fn plan(
    entry: Arc<Entry>,
    message: &GatherRequest,
    body: Bytes,
) -> Option<(PlannedRequest, usize)> {
    let active_config = entry.active_config()?;
    let uri: Uri = message.target.parse().ok()?;
    let route = active_config.table.find(&message.host, uri.path())?.clone();
    let CompiledTarget::Gather { pools, digest, .. } = &route.target else {
        return None;
    };
    if *digest != message.shards_digest || message.max_records == 0 || message.max_attempts == 0 {
        return None;
    }
    let max_records = message.max_records as usize;
    let shards_digest = *digest;
    let shards: Option<Vec<_>> =
        message.shards.iter().map(|&shard| pools.get(shard as usize).copied()).collect();
    let shards = shards.filter(|shards| !shards.is_empty())?;
    let now = entry.now();
    let settings = &entry.settings;
    let hedge_delay = entry.with_latency_estimate(&route.route.name, |estimate| {
        estimate.hedge_delay(&settings.latency_estimate, route.route.objective)
    });
    let deadline = now + Duration::from_millis(u64::from(message.limit_ms));
    let plan = Plan {
        pools: shards,
        // The coverage is checked by the daemon that delegated the shards.
        min_shards: 0,
        max_attempts: message.max_attempts,
        repeat: route.route.repeat,
        hedge_delay,
        cutoff: now + Duration::from_millis(u64::from(message.cutoff_ms)),
        deadline,
        trust: Trust::Delegated,
    };
    let outgoing = OutgoingRequest {
        id: message.id.clone(),
        route: route.route.name.clone(),
        method: Method::from_bytes(message.method.as_bytes()).ok()?,
        uri,
        headers: outgoing_headers(message)?,
        content: ContentKey::new(&message.method, &message.host, &message.target, &body),
        body,
        repeat: route.route.repeat,
        kind: RequestKind::Gather { max_records },
        deadline: Instant::now() + deadline.saturating_sub(now),
        finished: AtomicBool::new(false),
    };
    let query_indices = Some(message.shards.as_slice().into());
    Some((
        PlannedRequest {
            entry,
            active_config,
            outgoing: Arc::new(outgoing),
            plan,
            shards_digest,
            regions: match message.restricted {
                true => RegionRule::only(&message.regions),
                false => RegionRule::default(),
            },
            query_indices,
        },
        max_records,
    ))
}

fn outgoing_headers(message: &GatherRequest) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_str(&message.host).ok()?);
    headers.insert(headers::REQUEST_ID, HeaderValue::from_str(&message.id).ok()?);
    for Header { name, value } in &message.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Answers at the cutoff, or as soon as all shards are settled. Answers that arrive after the
/// cutoff are sent in further messages.
async fn respond(
    message: GatherRequest,
    planned: PlannedRequest,
    scope: RelayScope,
    max_records: usize,
) -> Response<Body> {
    let entry = planned.entry.clone();
    let outgoing = planned.outgoing.clone();
    let start = entry.now();
    let mut running = planned.start(scope);
    running.verdict().await;
    let first_message =
        next_response(&message, &mut running, max_records).encode_length_delimited_to_vec();
    let query = &running.query;
    log::info!(
        "relay: id={} version={} shards={} answered={} hedges={} took_ms={:.1} cutoff_ms={}",
        message.id,
        message.version,
        query.shard_count(),
        query.answered_count(),
        query.hedge_count(),
        entry.now().saturating_sub(start).as_secs_f64() * 1000.0,
        message.cutoff_ms
    );
    if query.all_shards_ended() {
        outgoing.finished.store(true, Ordering::Relaxed);
        return Response::new(answer::full_body(first_message));
    }
    let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    tokio::spawn(async move {
        if sender.send(Ok(Frame::data(Bytes::from(first_message)))).await.is_ok() {
            tokio::select! {
                () = send_late_parts(message, running, max_records, &sender) => {
                    outgoing.finished.store(true, Ordering::Relaxed);
                }
                // The daemon that delegated the shards has closed the connection, as it does when
                // the caller has disconnected.
                () = sender.closed() => {}
            }
        }
    });
    Response::new(Body::Right(StreamBody::new(ReceiverStream::new(frames))))
}

/// Sends the parts that arrive after the cutoff, until the end of the request.
async fn send_late_parts(
    message: GatherRequest,
    mut running: RunningRequest,
    max_records: usize,
    sender: &mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
) {
    running.query.await_all();
    let entry = running.entry();
    let mut ended = running.query.ended_count();
    while let Verdict::Wait(wake) = running.query.verdict(entry.now()) {
        running.step(wake).await;
        let response = next_response(&message, &mut running, max_records);
        let is_news = response.ended > ended;
        ended = response.ended;
        if response.shards.is_empty() && response.unsent.is_empty() && !is_news {
            continue;
        }
        let frame = Frame::data(Bytes::from(response.encode_length_delimited_to_vec()));
        if sender.send(Ok(frame)).await.is_err() {
            return;
        }
    }
}

/// Merges the parts that were received since the last call.
fn next_response(
    message: &GatherRequest,
    running: &mut RunningRequest,
    max_records: usize,
) -> GatherResponse {
    if running.query.all_shards_ended() && running.query.ended_count() > 0 {
        let (effect, ended) = (running.query.effect(), running.query.ended_count());
        let content = running.content();
        running.entry().record_effect(&message.id, content, effect, ended);
    }
    let parts = running.replies.parts.take_new();
    let shards = parts.iter().flat_map(|part| &part.shards);
    let signatures = parts.iter().flat_map(|part| &part.signatures);
    GatherResponse {
        shards: shards.map(|&index| message.shards[index]).collect(),
        signatures: signatures.map(|signature| signature.as_bytes().to_vec()).collect(),
        records: merge_records(parts.iter().map(|part| part.records.as_ref()), max_records),
        unsent: unsent_shards(message, running),
        ended: running.query.ended_count(),
    }
}

/// The shards that were sent to no searcher. Empty until all shards have ended.
fn unsent_shards(message: &GatherRequest, running: &RunningRequest) -> Vec<UnsentShard> {
    let entry = running.entry();
    let unsent = running.query.unsent_shards();
    if unsent.is_empty() {
        return Vec::new();
    }
    let (fleet, now) = (lock(&entry.fleet), entry.now());
    let wait_ms = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    let unsent = unsent.into_iter().map(|shard| UnsentShard {
        shard: message.shards[shard],
        wait_ms: running.query.shard_wait(shard, &fleet, now).map_or(0, wait_ms),
    });
    unsent.collect()
}
