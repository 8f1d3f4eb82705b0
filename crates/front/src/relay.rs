//! Shards that one daemon asks for another: one request and one merged answer in place of many.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
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
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use tokio_stream::wrappers::ReceiverStream;

use crate::answer;
use crate::answer::Body;
use crate::attempt::Outgoing;
use crate::entry::Entry;
use crate::links::Wanted;
use crate::parts::Part;
use crate::sync::lock;
use crate::work::Event;
use crate::work::Running;
use crate::work::Work;
use tt_adapter::headers;
use tt_serve::CompiledTarget;
use tt_serve::Plan;
use tt_serve::Reach;
use tt_serve::Time;
use tt_serve::Verdict;
use tt_serve::Vm;
use tt_serve::merge;

/// Path at which daemons ask one another for shards.
pub(crate) const PATH: &str = "/v1/gather";

/// Longest request or answer between daemons.
const MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Late answers that wait to be sent.
const WAITING_FRAMES: usize = 4;

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

/// A request for shards.
#[derive(Clone, PartialEq, Message)]
struct GatherRequest {
    /// Id of the caller's attempt.
    #[prost(string, tag = "1")]
    id: String,
    /// Version of the configuration that numbers the shards.
    #[prost(uint64, tag = "2")]
    version: u64,
    /// Host of the route.
    #[prost(string, tag = "3")]
    host: String,
    /// Method of the request.
    #[prost(string, tag = "4")]
    method: String,
    /// Path and query.
    #[prost(string, tag = "5")]
    target: String,
    /// Further headers that go to searchers.
    #[prost(message, repeated, tag = "6")]
    headers: Vec<Header>,
    /// Body of the request.
    #[prost(bytes = "vec", tag = "7")]
    body: Vec<u8>,
    /// Indices of the shards.
    #[prost(uint32, repeated, tag = "8")]
    shards: Vec<u32>,
    /// Milliseconds until an answer without the stragglers is wanted.
    #[prost(uint32, tag = "9")]
    cutoff_ms: u32,
    /// Milliseconds until the request ends.
    #[prost(uint32, tag = "10")]
    limit_ms: u32,
    /// Whether it may leave some of them to others of its failure domain.
    #[prost(bool, tag = "11")]
    share: bool,
}

#[derive(Clone, PartialEq, Message)]
struct Header {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
}

/// The shards that have answered.
#[derive(Clone, PartialEq, Message)]
struct GatherResponse {
    /// Indices of the shards.
    #[prost(uint32, repeated, tag = "1")]
    shards: Vec<u32>,
    /// Their signatures, in any order.
    #[prost(bytes = "vec", repeated, tag = "2")]
    signatures: Vec<Vec<u8>>,
    /// The greatest of their records.
    #[prost(bytes = "vec", tag = "3")]
    records: Vec<u8>,
}

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
        let link = self.entry.peers.of(self.relay.peer);
        let wanted = Wanted {
            address: self.relay.peer,
            cap: CONNECTIONS,
            connect: self.entry.settings.connect,
            fresh: None,
            until: self.outgoing.deadline,
        };
        let Ok(mut connection) = link.acquire(wanted).await else {
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
                connection.give_back(None);
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
        let delay = self
            .entry
            .pace(&self.outgoing.route, |pace| pace.usual().unwrap_or(settings.pace.floor));
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
        self.entry.peers.of(self.relay.peer).close_idle();
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

/// Asks searchers for another daemon.
pub(crate) async fn serve(entry: Arc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES);
    let Ok(body) = body.collect().await else {
        return answer::refusal(StatusCode::BAD_REQUEST, "the body is cut", None);
    };
    let message = match GatherRequest::decode(body.to_bytes()) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("relay: malformed=\"{error}\"");
            return answer::refusal(StatusCode::BAD_REQUEST, "malformed", None);
        }
    };
    match prepare(entry, &message) {
        Some((work, top)) => {
            let reach = if message.share { Reach::Domain } else { Reach::Nobody };
            respond(message, work, reach, top).await
        }
        // The daemon that asked has another version.
        None => answer::refusal(StatusCode::CONFLICT, "not here", None),
    }
}

fn prepare(entry: Arc<Entry>, message: &GatherRequest) -> Option<(Work, usize)> {
    let in_force = entry.in_force().filter(|it| it.table.version == message.version)?;
    let uri: Uri = message.target.parse().ok()?;
    let route = in_force.table.find(&message.host, uri.path())?.clone();
    let CompiledTarget::Gather { pools, top, .. } = &route.target else { return None };
    let shards: Option<Vec<_>> =
        message.shards.iter().map(|&shard| pools.get(shard as usize).copied()).collect();
    let shards = shards.filter(|it| !it.is_empty())?;
    let now = entry.now();
    let settings = &entry.settings;
    let hedge =
        entry.pace(&route.route.name, |pace| pace.hedge_delay(&settings.pace, route.route.goal));
    let limit = now + Duration::from_millis(u64::from(message.limit_ms));
    let plan = Plan {
        pools: shards,
        // The daemon that asked knows whether enough is covered.
        need: 0,
        attempts: route.route.attempts,
        repeat: route.route.repeat,
        hedge,
        cutoff: now + Duration::from_millis(u64::from(message.cutoff_ms)),
        limit,
    };
    let outgoing = Outgoing {
        id: message.id.clone(),
        route: route.route.name.clone(),
        method: Method::from_bytes(message.method.as_bytes()).ok()?,
        uri,
        headers: outgoing_headers(message)?,
        body: Bytes::from(message.body.clone()),
        repeat: route.route.repeat,
        gather: true,
        deadline: Instant::now() + limit.saturating_sub(now),
        finished: AtomicBool::new(false),
    };
    let numbers = Some(message.shards.as_slice().into());
    Some((Work { entry, in_force, outgoing: Arc::new(outgoing), plan, numbers }, *top))
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

/// Answers at the cutoff, or before if all shards are settled. What comes later follows.
async fn respond(message: GatherRequest, work: Work, reach: Reach, top: usize) -> Response<Body> {
    let entry = work.entry.clone();
    let outgoing = work.outgoing.clone();
    let started = entry.now();
    let mut running = work.start(reach);
    running.verdict().await;
    let first = collect(&message, &mut running, top).encode_length_delimited_to_vec();
    let query = &running.query;
    log::info!(
        "relay: id={} version={} shards={} answered={} hedges={} took_ms={:.1} cutoff_ms={}",
        message.id,
        message.version,
        query.shards(),
        query.answered(),
        query.hedges(),
        entry.now().saturating_sub(started).as_secs_f64() * 1000.0,
        message.cutoff_ms
    );
    if query.is_settled() {
        outgoing.finished.store(true, Ordering::Relaxed);
        return Response::new(answer::whole(first));
    }
    let (sender, frames) = mpsc::channel(WAITING_FRAMES);
    tokio::spawn(async move {
        if sender.send(Ok(Frame::data(Bytes::from(first)))).await.is_ok() {
            tokio::select! {
                () = follow_up(message, running, top, &sender) => {
                    outgoing.finished.store(true, Ordering::Relaxed);
                }
                // The caller may have left.
                () = sender.closed() => {}
            }
        }
    });
    Response::new(Body::Right(StreamBody::new(ReceiverStream::new(frames))))
}

/// Sends the shards that come after the cutoff, until the end of the request.
async fn follow_up(
    message: GatherRequest,
    mut running: Running,
    top: usize,
    sender: &mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
) {
    running.query.settle();
    let entry = running.entry();
    while let Verdict::Wait(wake) = running.query.verdict(entry.now()) {
        running.step(wake).await;
        let response = collect(&message, &mut running, top);
        if response.shards.is_empty() {
            continue;
        }
        let frame = Frame::data(Bytes::from(response.encode_length_delimited_to_vec()));
        if sender.send(Ok(frame)).await.is_err() {
            return;
        }
    }
}

/// What has come since the last call.
fn collect(message: &GatherRequest, running: &mut Running, top: usize) -> GatherResponse {
    let parts = running.replies.parts.take();
    let shards = parts.iter().flat_map(|part| &part.shards);
    let signatures = parts.iter().flat_map(|part| &part.signatures);
    GatherResponse {
        shards: shards.map(|&index| message.shards[index]).collect(),
        signatures: signatures.map(|it| it.as_bytes().to_vec()).collect(),
        records: merge(parts.iter().map(|part| part.records.as_ref()), top),
    }
}

/// Takes the next message, if it is whole. `None` if there can't be one.
fn next_message(received: &mut BytesMut) -> Option<Option<GatherResponse>> {
    let Ok(length) = prost::decode_length_delimiter(&received[..]) else {
        // A length takes ten bytes at most.
        return (received.len() < 10).then_some(None);
    };
    if length > MESSAGE_BYTES {
        return None;
    }
    let head = prost::length_delimiter_len(length);
    if received.len() < head + length {
        return Some(None);
    }
    let message = received.split_to(head + length).split_off(head);
    GatherResponse::decode(message).ok().map(Some)
}
