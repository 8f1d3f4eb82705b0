//! Asks another daemon for shards.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
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
use super::message::next_message;
use crate::attempt::Outgoing;
use crate::connections::AcquireOptions;
use crate::entry::Entry;
use crate::parts::Part;
use crate::sync::lock;
use crate::work::Event;
use tt_adapter::headers;
use tt_serve::Reach;
use tt_serve::Time;
use tt_serve::Vm;

/// Connections to one other daemon at most.
const CONNECTIONS: usize = 64;

/// Time for which a daemon that has not answered is not asked.
const SILENT_PAUSE: Duration = Duration::from_millis(1500);

/// Time that the answer of another daemon takes, kept free before the cutoff.
const WAY: Duration = Duration::from_millis(6);

/// The same within a failure domain.
const NEAR_WAY: Duration = Duration::from_millis(3);

/// Time beyond its own cutoff after which a daemon that has not answered is given up.
const LATE: Duration = Duration::from_millis(60);

/// Time that an answer which is no longer needed may still take, so that its connection can be
/// used again.
const LINGER: Duration = Duration::from_millis(150);

/// Shards to ask another daemon for.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) entry: Arc<Entry>,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) version: u64,
    pub(crate) cutoff: Time,
    pub(crate) limit: Time,
    pub(crate) relay: Vm,
    pub(crate) shards: Vec<usize>,
    pub(crate) numbers: Option<Arc<[u32]>>,
    pub(crate) reach: Reach,
    pub(crate) events: UnboundedSender<Event>,
    /// Whether it has brought anything.
    pub(crate) answered: AtomicBool,
}

/// Why a daemon brings no more shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayEnd {
    /// It has brought what it could.
    Done,
    /// It has asked no searcher.
    Refused,
    /// It may have sent to this many searchers of each shard.
    Unknown {
        /// Sends.
        runs: u32,
    },
}

/// Asks another daemon for shards and reports what it brings.
pub(crate) async fn ask(ask: Ask) {
    let end = tokio::select! {
        end = ask.exchange_or_avoid() => end,
        () = sleep_until(ask.entry.clock.at(ask.limit)) => ask.silent(),
        () = ask.abandoned() => return,
    };
    let Ask { shards, events, .. } = ask;
    // The request may have ended without these shards.
    let _ = events.send(Event::Ended { shards, end });
}

impl Ask {
    /// The other daemon answers at its cutoff, with what it has by then. One that is late may be
    /// cut off: no more shards are left to it meanwhile.
    async fn exchange_or_avoid(&self) -> RelayEnd {
        let exchange = self.exchange();
        tokio::pin!(exchange);
        let late = self.entry.clock.at(self.cutoff + LATE);
        match timeout_at(late, exchange.as_mut()).await {
            Ok(end) => end,
            Err(_) => {
                self.avoid_if_silent();
                exchange.await
            }
        }
    }

    async fn abandoned(&self) {
        self.events.closed().await;
        if self.outgoing.finished.load(Ordering::Relaxed) {
            sleep(LINGER).await;
        }
    }

    async fn exchange(&self) -> RelayEnd {
        let server = self.entry.peer_connections.server(self.relay.peer);
        let options = AcquireOptions {
            address: self.relay.peer,
            max_connections: CONNECTIONS,
            connect_timeout: self.entry.settings.connect_timeout,
            max_idle_time: None,
            deadline: self.outgoing.deadline,
        };
        let Ok(mut connection) = server.acquire(options).await else {
            self.avoid("unreachable");
            return RelayEnd::Refused;
        };
        let (Some(sender), Some(request)) = (connection.sender.as_mut(), self.request()) else {
            return RelayEnd::Refused;
        };
        let sent = self.entry.now();
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return RelayEnd::Refused,
            Err(_) => return self.broken(sent),
        };
        if response.status() != StatusCode::OK {
            return RelayEnd::Refused;
        }
        match self.read(response.into_body()).await {
            Some(()) => {
                connection.release(None);
                RelayEnd::Done
            }
            None => self.broken(sent),
        }
    }

    /// Takes the shards as they come. `None` if the answer is not whole.
    async fn read(&self, mut body: Incoming) -> Option<()> {
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            received.extend_from_slice(&data);
            while let Some(message) = next_message(&mut received)? {
                self.answered.store(true, Ordering::Relaxed);
                let part = self.decode(message)?;
                // The request may have ended without these shards.
                let _ = self.events.send(Event::Arrived(part));
            }
        }
        received.is_empty().then_some(())
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let now = self.entry.now();
        let left = |until: Time| until.saturating_sub(now).as_millis() as u32;
        let way = match self.reach {
            Reach::Everywhere => WAY,
            Reach::Domain | Reach::Nobody => NEAR_WAY,
        };
        let outgoing = &self.outgoing;
        let named = [headers::REQUEST_ID, headers::DEADLINE_MS, header::HOST.as_str()];
        let further = outgoing.headers.iter().filter(|(name, _)| !named.contains(&name.as_str()));
        let message = GatherRequest {
            id: outgoing.id.clone(),
            version: self.version,
            host: outgoing.headers.get(header::HOST)?.to_str().ok()?.to_owned(),
            method: outgoing.method.as_str().to_owned(),
            target: outgoing.uri.path_and_query()?.as_str().to_owned(),
            headers: further
                .map(|(name, value)| Header {
                    name: name.as_str().to_owned(),
                    value: value.as_bytes().to_vec(),
                })
                .collect(),
            body: outgoing.body.to_vec(),
            shards: self.shards.iter().map(|&shard| self.number(shard)).collect(),
            cutoff_ms: left(self.cutoff.saturating_sub(way)),
            limit_ms: left(self.limit.saturating_sub(way)),
            share: self.reach == Reach::Everywhere,
        };
        let body = Full::new(Bytes::from(message.encode_to_vec()));
        Request::post(PATH).header(header::HOST, "d").body(body).ok()
    }

    /// The number of a shard of the plan in the whole query.
    fn number(&self, shard: usize) -> u32 {
        self.numbers.as_ref().map_or(shard as u32, |numbers| numbers[shard])
    }

    fn decode(&self, message: GatherResponse) -> Option<Part> {
        let place = |number: &u32| self.shards.iter().find(|&&it| self.number(it) == *number);
        let shards: Option<Vec<usize>> =
            message.shards.iter().map(|number| place(number).copied()).collect();
        let shards = shards.filter(|it| it.len() == message.signatures.len())?;
        let signatures: Result<Vec<HeaderValue>, _> =
            message.signatures.into_iter().map(HeaderValue::try_from).collect();
        Some(Part { shards, signatures: signatures.ok()?, records: message.records.into() })
    }

    /// The connection broke. Until the first hedge delay each shard has one send at most.
    fn broken(&self, sent: Time) -> RelayEnd {
        self.avoid("broken");
        let now = self.entry.now();
        let settings = &self.entry.settings;
        let delay = self.entry.with_latency_estimate(&self.outgoing.route, |estimate| {
            estimate.usual().unwrap_or(settings.latency_estimate.floor)
        });
        let answered = self.answered.load(Ordering::Relaxed);
        let runs = if now < sent + delay && !answered { 1 } else { u32::MAX };
        RelayEnd::Unknown { runs }
    }

    fn avoid_if_silent(&self) {
        if !self.answered.load(Ordering::Relaxed) {
            self.avoid("late");
        }
    }

    fn silent(&self) -> RelayEnd {
        self.avoid_if_silent();
        self.entry.peer_connections.server(self.relay.peer).close_idle();
        RelayEnd::Unknown { runs: u32::MAX }
    }

    fn avoid(&self, cause: &str) {
        log::info!(
            "relay: id={} vm={} shards={} outcome=failed cause={cause}",
            self.outgoing.id,
            self.relay.name,
            self.shards.len()
        );
        let now = self.entry.now();
        lock(&self.entry.members).avoid(&self.relay.name, now + SILENT_PAUSE);
    }
}
