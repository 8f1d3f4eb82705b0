//! Shards that one daemon asks for another: one request and one merged answer in place of many.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use prost::Message;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::answer;
use crate::answer::Body;
use crate::attempt::Outgoing;
use crate::entry::Entry;
use crate::links::Wanted;
use crate::sync::lock;
use crate::work::Event;
use crate::work::Finished;
use crate::work::Work;
use tt_adapter::headers;
use tt_serve::CompiledTarget;
use tt_serve::Plan;
use tt_serve::Reach;
use tt_serve::Time;
use tt_serve::Vm;
use tt_serve::merge;

/// Path at which daemons ask one another for shards.
pub(crate) const PATH: &str = "/v1/gather";

/// Longest request or answer between daemons.
const MESSAGE_BYTES: usize = 4 * 1024 * 1024;

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
const LINGER: Duration = Duration::from_millis(80);

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
}

/// What another daemon has brought.
#[derive(Debug)]
pub(crate) enum Brought {
    /// Parts of the shards that answered.
    Parts { answered: Vec<usize>, signatures: Vec<HeaderValue>, records: Bytes },
    /// It has asked no searcher.
    Refused,
    /// It did not answer; it may have sent to this many searchers of each shard.
    Unknown { runs: u32 },
}

/// Asks another daemon for shards and reports what it brought.
pub(crate) async fn ask(ask: Ask) {
    let brought = tokio::select! {
        brought = ask.exchange_or_avoid() => brought,
        () = sleep_until(ask.entry.clock.at(ask.limit)) => ask.silent(),
        () = ask.abandoned() => return,
    };
    let Ask { shards, events, .. } = ask;
    // The request may have ended without these shards.
    let _ = events.send(Event::Relayed { shards, brought });
}

impl Ask {
    /// The other daemon answers at its cutoff, or later if it covers too little by then. One
    /// that is late may be cut off: no more shards are left to it meanwhile.
    async fn exchange_or_avoid(&self) -> Brought {
        let exchange = self.exchange();
        tokio::pin!(exchange);
        let late = self.entry.clock.at(self.cutoff + LATE);
        match timeout_at(late, exchange.as_mut()).await {
            Ok(brought) => brought,
            Err(_) => {
                self.avoid("late");
                exchange.await
            }
        }
    }

    async fn abandoned(&self) {
        self.events.closed().await;
        sleep(LINGER).await;
    }

    async fn exchange(&self) -> Brought {
        let link = self.entry.peers.of(self.relay.peer);
        let wanted = Wanted {
            address: self.relay.peer,
            cap: CONNECTIONS,
            connect: self.entry.settings.connect,
            fresh: None,
            until: self.outgoing.deadline,
        };
        let Ok(mut connection) = link.acquire(wanted).await else {
            return self.refused("unreachable");
        };
        let (Some(sender), Some(request)) = (connection.sender.as_mut(), self.request()) else {
            return Brought::Refused;
        };
        let sent = self.entry.now();
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return Brought::Refused,
            Err(_) => return self.broken(sent),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MESSAGE_BYTES);
        let Ok(body) = body.collect().await else { return self.broken(sent) };
        connection.give_back(None);
        if status != StatusCode::OK {
            return Brought::Refused;
        }
        self.decode(body.to_bytes()).unwrap_or_else(|| self.broken(sent))
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

    fn decode(&self, body: Bytes) -> Option<Brought> {
        let message = GatherResponse::decode(body).ok()?;
        let place = |number: &u32| self.shards.iter().find(|&&it| self.number(it) == *number);
        let answered: Option<Vec<usize>> =
            message.shards.iter().map(|number| place(number).copied()).collect();
        let answered = answered.filter(|it| it.len() == message.signatures.len())?;
        let signatures: Result<Vec<HeaderValue>, _> =
            message.signatures.into_iter().map(HeaderValue::try_from).collect();
        let (signatures, records) = (signatures.ok()?, Bytes::from(message.records));
        Some(Brought::Parts { answered, signatures, records })
    }

    /// Nothing has reached the other daemon.
    fn refused(&self, cause: &str) -> Brought {
        self.avoid(cause);
        Brought::Refused
    }

    /// The connection broke. Until the first hedge delay each shard has one send at most.
    fn broken(&self, sent: Time) -> Brought {
        self.avoid("broken");
        let now = self.entry.now();
        let settings = &self.entry.settings;
        let delay = self
            .entry
            .pace(&self.outgoing.route, |pace| pace.usual().unwrap_or(settings.pace.floor));
        let runs = if now < sent + delay { 1 } else { u32::MAX };
        Brought::Unknown { runs }
    }

    fn silent(&self) -> Brought {
        self.avoid("silent");
        self.entry.peers.of(self.relay.peer).close_idle();
        Brought::Unknown { runs: u32::MAX }
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
            let started = work.entry.now();
            let entry = work.entry.clone();
            let reach = if message.share { Reach::Domain } else { Reach::Nobody };
            let finished = work.run(reach).await;
            log::info!(
                "relay: id={} version={} shards={} answered={} hedges={} took_ms={:.1} cutoff_ms={}",
                message.id,
                message.version,
                finished.query.shards(),
                finished.query.answered(),
                finished.query.hedges(),
                entry.now().saturating_sub(started).as_secs_f64() * 1000.0,
                message.cutoff_ms
            );
            respond(&message, finished, top)
        }
        // The daemon that asked has another version.
        None => answer::refusal(StatusCode::CONFLICT, "not here", None),
    }
}

fn prepare(entry: Arc<Entry>, message: &GatherRequest) -> Option<(Work, usize)> {
    let in_force = entry.in_force().filter(|it| it.table.version == message.version)?;
    let uri: Uri = message.target.parse().ok()?;
    let route = in_force.table.find(&message.host, uri.path())?.clone();
    let CompiledTarget::Gather { pools, top, need } = &route.target else { return None };
    let shards: Option<Vec<_>> =
        message.shards.iter().map(|&shard| pools.get(shard as usize).copied()).collect();
    let shards = shards.filter(|it| !it.is_empty())?;
    let now = entry.now();
    let settings = &entry.settings;
    let hedge =
        entry.pace(&route.route.name, |pace| pace.hedge_delay(&settings.pace, route.route.goal));
    let limit = now + Duration::from_millis(u64::from(message.limit_ms));
    // Rounded down: the daemon that asked may cover what is missing with its own shards.
    let need = (shards.len() * need / pools.len()).max(1);
    let plan = Plan {
        pools: shards,
        need,
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

fn respond(message: &GatherRequest, finished: Finished, top: usize) -> Response<Body> {
    let Finished { query, replies, .. } = finished;
    let answered = (0..message.shards.len()).filter(|&index| query.is_answered(index));
    let response = GatherResponse {
        shards: answered.map(|index| message.shards[index]).collect(),
        signatures: replies.parts.signatures.iter().map(|it| it.as_bytes().to_vec()).collect(),
        records: merge(replies.parts.records.iter().map(Bytes::as_ref), top),
    };
    Response::new(Full::new(Bytes::from(response.encode_to_vec())))
}
