//! Delegates shards to another daemon and reads its answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use prost::Message;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::PATH;
use super::message::GatherRequest;
use super::message::GatherResponse;
use super::message::Header;
use super::message::MAX_MESSAGE_BYTES;
use super::message::UnsentShard;
use super::message::next_message;
use crate::attempt::OutgoingRequest;
use crate::attempt::RequestKind;
use crate::caller_memory::HeldBytes;
use crate::connections::AcquireOptions;
use crate::entry::Entry;
use crate::execution::Event;
use crate::parts::Part;
use crate::sync::lock;
use tt_adapter::headers;
use tt_serve::RegionRule;
use tt_serve::RelayScope;
use tt_serve::Time;
use tt_serve::Vm;

/// Maximum number of connections to one peer.
const MAX_PEER_CONNECTIONS: usize = 64;

/// How long no shards are delegated to a peer that failed to answer.
const AVOID_PERIOD: Duration = Duration::from_millis(1500);

/// Time that the answer of a relay in another failure domain takes to arrive. Reserved before the
/// cutoff and the deadline.
const RELAY_MARGIN: Duration = Duration::from_millis(6);

/// As [`RELAY_MARGIN`], within one failure domain.
const DOMAIN_RELAY_MARGIN: Duration = Duration::from_millis(3);

/// How long after the cutoff a relay may still answer before it is avoided.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_millis(60);

/// How long to read an answer that is no longer needed, so that its connection can be reused.
const LINGER_TIMEOUT: Duration = Duration::from_millis(150);

/// Shards that are delegated to another daemon, the relay.
#[derive(Debug)]
pub(crate) struct RelayRequest {
    pub(crate) entry: Arc<Entry>,
    pub(crate) outgoing: Arc<OutgoingRequest>,
    /// Version of the configuration that the request was planned with.
    pub(crate) version: u64,
    /// As in [`Plan`](tt_serve::Plan).
    pub(crate) max_attempts: u32,
    /// As in [`PlannedRequest`](crate::execution::PlannedRequest).
    pub(crate) shards_digest: u64,
    /// The regions whose searchers may run the request.
    pub(crate) regions: RegionRule,
    /// When the answer without the stragglers is due.
    pub(crate) cutoff: Time,
    /// When the request ends.
    pub(crate) deadline: Time,
    pub(crate) relay: Vm,
    /// Indices in the plan.
    pub(crate) shards: Vec<usize>,
    /// As in [`PlannedRequest`](crate::execution::PlannedRequest).
    pub(crate) query_indices: Option<Arc<[u32]>>,
    /// `Domain` if the relay is in the failure domain of this daemon.
    pub(crate) scope: RelayScope,
    pub(crate) events: UnboundedSender<Event>,
    /// Whether the relay has returned anything.
    pub(crate) answered: AtomicBool,
}

/// How a delegation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    /// It has returned all answers that it received.
    Done,
    /// It has sent nothing to a searcher.
    Refused,
    /// Its connection broke, or it did not answer in time.
    Unknown {
        /// Maximum number of attempts that it may have made of each shard.
        runs: u32,
    },
}

/// Delegates shards to another daemon and reports the answers that it returns.
pub(crate) async fn fetch_shards(request: RelayRequest) {
    let outcome = tokio::select! {
        outcome = request.exchange_with_grace() => outcome,
        () = sleep_until(request.entry.clock.instant(request.deadline)) => request.timed_out(),
        () = request.abandoned() => return,
    };
    let RelayRequest { shards, events, .. } = request;
    // The request may have ended without these shards.
    let _ = events.send(Event::RelayEnded { shards, outcome });
}

impl RelayRequest {
    /// Runs the exchange. A relay answers at its cutoff with what it has by then; one that has not
    /// answered after the grace period may be unreachable: no more shards are delegated to it for a
    /// while.
    async fn exchange_with_grace(&self) -> RelayOutcome {
        let exchange = self.exchange();
        tokio::pin!(exchange);
        let grace_end = self.entry.clock.instant(self.cutoff + ANSWER_GRACE_PERIOD);
        match timeout_at(grace_end, exchange.as_mut()).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.avoid_if_unanswered();
                exchange.await
            }
        }
    }

    /// Completes some time after the end of the request, or at once if the caller has disconnected.
    async fn abandoned(&self) {
        self.events.closed().await;
        if self.outgoing.finished.load(Ordering::Relaxed) {
            sleep(LINGER_TIMEOUT).await;
        }
    }

    async fn exchange(&self) -> RelayOutcome {
        let server = self.entry.peer_connections.server(self.relay.peer);
        let options = AcquireOptions {
            address: self.relay.peer,
            max_connections: MAX_PEER_CONNECTIONS,
            connect_timeout: self.entry.settings.connect_timeout,
            max_idle_time: None,
            deadline: self.outgoing.deadline,
        };
        let Ok(mut connection) = server.acquire(options).await else {
            self.avoid_relay("unreachable");
            return RelayOutcome::Refused;
        };
        let (Some(link), Some(request)) = (connection.link.as_mut(), self.build_request()) else {
            return RelayOutcome::Refused;
        };
        let sent_at = self.entry.now();
        let response = match link.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return RelayOutcome::Refused,
            Err(_) => return self.connection_broken(sent_at),
        };
        connection.allow_body(MAX_MESSAGE_BYTES);
        if response.status() != StatusCode::OK {
            let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES);
            if body.collect().await.is_ok() {
                connection.release(None);
            }
            return RelayOutcome::Refused;
        }
        match self.read_parts(response.into_body()).await {
            Some(()) => {
                connection.release(None);
                RelayOutcome::Done
            }
            None => self.connection_broken(sent_at),
        }
    }

    /// Reports the parts of the answer as they arrive. Returns `None` if the answer is truncated or
    /// malformed.
    async fn read_parts(&self, mut body: Incoming) -> Option<()> {
        let mut received = BytesMut::new();
        let mut ended = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            received.extend_from_slice(&data);
            while let Some(message) = next_message(&mut received)? {
                self.answered.store(true, Ordering::Relaxed);
                for UnsentShard { shard, wait_ms } in &message.unsent {
                    let shard = self.plan_index(*shard)?;
                    let wait = Duration::from_millis(u64::from(*wait_ms));
                    let _ = self.events.send(Event::ShardUnsent { shard, wait });
                }
                if message.ended > ended {
                    let _ = self.events.send(Event::SearchersEnded(message.ended - ended));
                    ended = message.ended;
                }
                let part = self.decode_part(message)?;
                // The request may have ended without these shards.
                let _ = self.events.send(Event::PartReceived(part));
            }
        }
        received.is_empty().then_some(())
    }

    fn build_request(&self) -> Option<Request<Full<Bytes>>> {
        let now = self.entry.now();
        let left_ms = |until: Time| until.saturating_sub(now).as_millis() as u32;
        let margin = match self.scope {
            RelayScope::All => RELAY_MARGIN,
            RelayScope::Domain | RelayScope::None => DOMAIN_RELAY_MARGIN,
        };
        let outgoing = &self.outgoing;
        let headers_with_fields =
            [headers::REQUEST_ID, headers::DEADLINE_MS, header::HOST.as_str()];
        let other_headers = outgoing
            .headers
            .iter()
            .filter(|(name, _)| !headers_with_fields.contains(&name.as_str()));
        let RequestKind::Gather { max_records } = outgoing.kind else { return None };
        // Without memory for the copy, the shards are queried directly.
        let charge = self.entry.accounts.callers.try_copy(outgoing.body.len())?;
        let message = GatherRequest {
            id: outgoing.id.clone(),
            version: self.version,
            shards_digest: self.shards_digest,
            host: outgoing.headers.get(header::HOST)?.to_str().ok()?.to_owned(),
            method: outgoing.method.as_str().to_owned(),
            target: outgoing.uri.path_and_query()?.as_str().to_owned(),
            headers: other_headers
                .map(|(name, value)| Header {
                    name: name.as_str().to_owned(),
                    value: value.as_bytes().to_vec(),
                })
                .collect(),
            body: outgoing.body.to_vec(),
            shards: self.shards.iter().map(|&shard| self.query_index(shard)).collect(),
            cutoff_ms: left_ms(self.cutoff.saturating_sub(margin)),
            limit_ms: left_ms(self.deadline.saturating_sub(margin)),
            share: self.scope == RelayScope::All,
            // A larger maximum than the encoded type can hold is as good as none.
            max_records: u32::try_from(max_records).unwrap_or(u32::MAX),
            max_attempts: self.max_attempts,
            restricted: !self.regions.allows_all(),
            regions: self.regions.regions(),
        };
        let bytes = message.encode_to_vec();
        let body = HeldBytes { bytes, charges: vec![charge] };
        let body = Full::new(body.into_bytes());
        Request::post(PATH).header(header::HOST, "d").body(body).ok()
    }

    /// Converts the index of a shard in the plan to its index in the whole query.
    fn query_index(&self, shard: usize) -> u32 {
        self.query_indices.as_ref().map_or(shard as u32, |query_indices| query_indices[shard])
    }

    /// Converts the index of a delegated shard in the whole query to its index in the plan.
    fn plan_index(&self, query_index: u32) -> Option<usize> {
        self.shards.iter().copied().find(|&shard| self.query_index(shard) == query_index)
    }

    fn decode_part(&self, message: GatherResponse) -> Option<Part> {
        let shards: Option<Vec<usize>> =
            message.shards.iter().map(|&index| self.plan_index(index)).collect();
        let shards = shards.filter(|shards| shards.len() == message.signatures.len())?;
        let signatures: Result<Vec<HeaderValue>, _> =
            message.signatures.into_iter().map(HeaderValue::try_from).collect();
        Some(Part { shards, signatures: signatures.ok()?, records: message.records.into() })
    }

    /// Handles a broken connection. Before the first hedge delay the relay has made at most one
    /// attempt per shard.
    fn connection_broken(&self, sent_at: Time) -> RelayOutcome {
        self.avoid_relay("broken");
        let now = self.entry.now();
        let settings = &self.entry.settings;
        let delay = self.entry.with_latency_estimate(&self.outgoing.route, |estimate| {
            estimate.median().unwrap_or(settings.latency_estimate.min_delay)
        });
        let answered = self.answered.load(Ordering::Relaxed);
        let runs = if now < sent_at + delay && !answered { 1 } else { u32::MAX };
        RelayOutcome::Unknown { runs }
    }

    fn avoid_if_unanswered(&self) {
        if !self.answered.load(Ordering::Relaxed) {
            self.avoid_relay("late");
        }
    }

    fn timed_out(&self) -> RelayOutcome {
        self.avoid_if_unanswered();
        self.entry.peer_connections.server(self.relay.peer).close_idle();
        RelayOutcome::Unknown { runs: u32::MAX }
    }

    fn avoid_relay(&self, cause: &str) {
        log::info!(
            "relay: id={} vm={} shards={} outcome=failed cause={cause}",
            self.outgoing.id,
            self.relay.name,
            self.shards.len()
        );
        let now = self.entry.now();
        lock(&self.entry.members).avoid_relay(&self.relay.name, now + AVOID_PERIOD);
    }
}
