//! One send of a request to a searcher.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::connections::AcquireError;
use crate::connections::AcquireOptions;
use crate::entry::Entry;
use crate::metrics;
use crate::sync::lock;
use crate::work::Event;
use tt_adapter::headers;
use tt_serve::Choice;
use tt_serve::Ended;
use tt_serve::Repeat;

/// Idle connections that may turn out closed before a send is given up.
const CLOSED_TRIES: u32 = 3;

/// Time before the end that a searcher announced at which an idle connection is given up.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// A caller's request, for any number of sends.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) repeat: Repeat,
    /// Whether all shards are asked, so that only signed successes count.
    pub(crate) gather: bool,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether it ended with an answer, and not because the caller left.
    pub(crate) finished: AtomicBool,
}

/// A searcher's answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How a send ended, for the request that made it.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) shard: usize,
    pub(crate) ended: Ended,
    pub(crate) cause: Cause,
    pub(crate) reply: Option<Reply>,
}

/// What decided how a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// A sound answer.
    Answered,
    /// The searcher failed.
    Status,
    /// The request's end, before the searcher answered.
    Deadline,
    /// The end of the request some time ago.
    Abandoned,
    /// No connection to the searcher.
    Unreachable,
    /// No free connection in time.
    NoConnection,
    /// Idle connections that had been closed, more than once.
    Closed,
    /// A connection that broke before the answer.
    Broken,
    /// An answer that is not whole.
    CutShort,
    /// An answer to another request.
    OtherRequest,
    /// Another searcher at the address.
    Moved,
    /// A searcher that is full.
    Shed,
    /// An encoded body, which is not the searcher's.
    Encoded,
    /// A success without a signature.
    Unsigned,
    /// An id that can't stand in a header.
    Unspeakable,
}

/// One send.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) entry: Arc<Entry>,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) shard: usize,
    pub(crate) max_connections: usize,
    pub(crate) to: Choice,
    pub(crate) token: u64,
    pub(crate) events: UnboundedSender<Event>,
}

#[derive(Debug)]
struct Outcome {
    ended: Ended,
    cause: Cause,
    reply: Option<Reply>,
    latency: Option<Duration>,
}

impl Outcome {
    fn failure(ended: Ended, cause: Cause) -> Outcome {
        Outcome { ended, cause, reply: None, latency: None }
    }
}

impl Attempt {
    /// Sends, reports how it ended, and tells the fleet.
    pub(crate) async fn run(self) {
        let outcome = tokio::select! {
            outcome = self.send() => outcome,
            () = self.abandoned() => Outcome::failure(Ended::Unknown, Cause::Abandoned),
            () = sleep_until(self.outgoing.deadline) => {
                Outcome::failure(Ended::Unknown, Cause::Deadline)
            }
        };
        self.learn(&outcome);
        metrics::send(outcome.ended, outcome.cause, outcome.latency);
        let Outcome { ended, cause, reply, .. } = outcome;
        // The request may have ended without this send.
        let report = Report { shard: self.shard, ended, cause, reply };
        let _ = self.events.send(Event::Sent(report));
    }

    /// Ends some time after the request has.
    async fn abandoned(&self) {
        self.events.closed().await;
        // The searcher of a caller that has left must stop soon.
        let gone = !self.outgoing.finished.load(Ordering::Relaxed);
        let settings = &self.entry.settings;
        sleep(if gone { settings.disconnect_linger_timeout } else { settings.linger_timeout })
            .await;
    }

    fn learn(&self, outcome: &Outcome) {
        let entry = &self.entry;
        let now = entry.now();
        let key = self.to.key;
        let usual = entry.with_latency_estimate(&self.outgoing.route, |estimate| {
            let usual = estimate.usual();
            if let Some(latency) = outcome.latency {
                estimate.observe(&entry.settings.latency_estimate, latency);
            }
            usual
        });
        let mut fleet = lock(&entry.fleet);
        fleet.ended(key, self.token);
        match outcome.ended {
            Ended::Answer => {
                let ratio = usual.zip(outcome.latency).map(|(usual, latency)| {
                    latency.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON)
                });
                fleet.answered(key, ratio, now);
            }
            Ended::NotSent => {
                if outcome.cause == Cause::Unreachable {
                    fleet.unreachable(key, now);
                }
            }
            Ended::Refused if outcome.cause == Cause::Moved => fleet.moved(key),
            Ended::Refused => fleet.shed(key, now),
            Ended::Failed | Ended::Unknown => fleet.failed(key, now),
        }
        drop(fleet);
        if outcome.ended == Ended::Unknown || outcome.cause == Cause::Unreachable {
            entry.searcher_connections.server(key).close_idle();
        }
        if outcome.ended != Ended::Answer {
            log::info!(
                "send: id={} searcher={} shard={} outcome={:?} cause={:?}",
                self.outgoing.id,
                self.to.id,
                self.shard,
                outcome.ended,
                outcome.cause
            );
        }
    }

    async fn send(&self) -> Outcome {
        for _ in 0..CLOSED_TRIES {
            match self.send_once().await {
                Some(outcome) => return outcome,
                None => continue,
            }
        }
        Outcome::failure(Ended::NotSent, Cause::Closed)
    }

    /// Sends on one connection. `None` if it had been closed and nothing was sent.
    async fn send_once(&self) -> Option<Outcome> {
        let settings = &self.entry.settings;
        let options = AcquireOptions {
            address: self.to.address,
            max_connections: self.max_connections,
            connect_timeout: settings.connect_timeout,
            max_idle_time: (self.outgoing.repeat == Repeat::Once)
                .then_some(settings.at_most_once_idle_timeout),
            deadline: self.outgoing.deadline,
        };
        let server = self.entry.searcher_connections.server(self.to.key);
        let mut connection = match server.acquire(options).await {
            Ok(connection) => connection,
            Err(AcquireError::Unreachable) => {
                return Some(Outcome::failure(Ended::NotSent, Cause::Unreachable));
            }
            Err(AcquireError::DeadlinePassed) => {
                return Some(Outcome::failure(Ended::NotSent, Cause::NoConnection));
            }
        };
        let Some(request) = self.request() else {
            return Some(Outcome::failure(Ended::NotSent, Cause::Unspeakable));
        };
        let sender = connection.sender.as_mut()?;
        let sent = Instant::now();
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return None,
            Err(_) => return Some(Outcome::failure(Ended::Unknown, Cause::Broken)),
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, settings.max_answer_bytes);
        let Ok(body) = body.collect().await else {
            return Some(Outcome::failure(Ended::Unknown, Cause::CutShort));
        };
        let reply = Reply { status: head.status, headers: head.headers, body: body.to_bytes() };
        let keep_alive = keep_alive(&reply.headers);
        let mut outcome = self.judge(reply);
        if outcome.cause != Cause::OtherRequest {
            outcome.latency = (outcome.ended == Ended::Answer).then(|| sent.elapsed());
            connection.release(keep_alive);
        }
        Some(outcome)
    }

    /// The request as it goes to the searcher.
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let left = self.outgoing.deadline.saturating_duration_since(Instant::now());
        let mut request = Request::new(Full::new(self.outgoing.body.clone()));
        *request.method_mut() = self.outgoing.method.clone();
        *request.uri_mut() = self.outgoing.uri.clone();
        *request.headers_mut() = self.outgoing.headers.clone();
        let headers = request.headers_mut();
        let left = left.as_millis().max(1) as u64;
        headers.insert(headers::DEADLINE_MS, HeaderValue::from(left));
        let expected = HeaderValue::from_str(&self.to.id).ok()?;
        headers.insert(headers::EXPECTED_SEARCHER, expected);
        Some(request)
    }

    fn judge(&self, reply: Reply) -> Outcome {
        let echoed = reply.headers.get(headers::REQUEST_ID);
        if echoed.is_none_or(|id| id.as_bytes() != self.outgoing.id.as_bytes()) {
            return Outcome::failure(Ended::Unknown, Cause::OtherRequest);
        }
        if reply.status == StatusCode::MISDIRECTED_REQUEST {
            return Outcome::failure(Ended::Refused, Cause::Moved);
        }
        if reply.headers.contains_key(headers::NOT_RUN) {
            return Outcome::failure(Ended::Refused, Cause::Shed);
        }
        if reply.headers.contains_key(header::CONTENT_ENCODING) {
            return Outcome::failure(Ended::Unknown, Cause::Encoded);
        }
        let signed = reply.headers.contains_key(headers::SIGNATURE);
        let (ended, cause) = match (reply.status.is_success(), signed) {
            (true, true) => (Ended::Answer, Cause::Answered),
            (true, false) => return Outcome::failure(Ended::Unknown, Cause::Unsigned),
            (false, _) if self.outgoing.gather => (Ended::Failed, Cause::Status),
            (false, _) if reply.status.is_client_error() => (Ended::Answer, Cause::Status),
            (false, _) => (Ended::Failed, Cause::Status),
        };
        Outcome { ended, cause, reply: Some(reply), latency: None }
    }
}

/// How long a searcher keeps an idle connection, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}
