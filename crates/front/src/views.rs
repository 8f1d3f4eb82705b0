//! Views: what daemons fetch from one another instead of from the store.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;

use crate::answer;
use crate::answer::Body;
use crate::entry::Entry;
use crate::metrics;
use crate::sync::lock;
use tt_adapter::decode_config;
use tt_serve::Comparison;
use tt_serve::EvacuatedDomains;
use tt_serve::EvacuationUpdate;
use tt_serve::Lag;
use tt_serve::ListingDelta;
use tt_serve::MemberStatus;
use tt_serve::SearcherRecord;
use tt_serve::StoreRevision;
use tt_serve::Time;
use tt_serve::ViewKey;
use tt_serve::Vm;

/// Path of a daemon's view.
pub(crate) const PATH: &str = "/v1/view";

/// Maximum size of a peer's view.
const MAX_VIEW_BYTES: usize = 4 * 1024 * 1024;

/// Time without any bytes of a peer's view after which the fetch is given up.
const FETCH_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum time of a fetch, however it proceeds. A configuration of the maximum size takes a second
/// over the slowest links in use.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Usual size of a searcher's record in a view, in bytes.
const RECORD_BYTES: usize = 200;

/// Size of the pieces in which a view is sent.
const CHUNK_BYTES: usize = 16 * 1024;

/// Interval between comparisons with what the peers know.
const COMPARE_INTERVAL: Duration = Duration::from_millis(150);

/// The configuration, the evacuations and the listing that a daemon has, as far as the peer that
/// asks lacks them.
#[derive(Debug, Serialize, Deserialize)]
struct View {
    /// The configuration as encoded in the store, if it is newer than that of the peer.
    config: Option<String>,
    /// The evacuated failure domains, if they are newer than those of the peer.
    #[serde(default)]
    evacuations: Option<EvacuatedDomains>,
    searchers: Searchers,
    /// Revision of the store at which the searchers were read.
    revision: StoreRevision,
    /// Time since the listing was read from the store, in milliseconds; `None` if there is none.
    listing_age: Option<u64>,
}

/// The searchers of a view.
#[derive(Debug, Serialize, Deserialize)]
enum Searchers {
    /// The whole listing.
    All(Vec<SearcherRecord>),
    /// The changes since the listing with this digest.
    Since(u64, ListingDelta),
}

impl Searchers {
    /// Number of records and ids.
    fn len(&self) -> usize {
        match self {
            Searchers::All(listing) => listing.len(),
            Searchers::Since(_, delta) => delta.changed.len() + delta.removed.len(),
        }
    }
}

/// Fetches the view of a peer whenever one has a newer configuration or listing.
pub(crate) async fn follow_peers(entry: Arc<Entry>) {
    loop {
        sleep(COMPARE_INTERVAL).await;
        let now = entry.now();
        let mut own = entry.status();
        if !entry.evacuates() {
            // None is newer, so that none is fetched.
            own.evacuation_revision = StoreRevision::MAX;
        }
        let Comparison { confirmed, source, newest, report } = {
            let members = lock(&entry.members);
            lock(&entry.catch_up).compare(&members, &own, &entry.settings.listing, now)
        };
        if let Some(lag) = report {
            log_lag(&entry, &own, &lag, now);
        }
        if let Some((revision, read_at)) = confirmed {
            entry.confirm_listing(revision, read_at);
        }
        let Some(Vm { name, peer, .. }) = source else { continue };
        let mut received = 0;
        let fetched = timeout(FETCH_TIMEOUT, fetch(peer, &own, &mut received)).await;
        let error = match fetched.unwrap_or(Err(FetchError::Late)) {
            Ok(view) => {
                metrics::count_view(true, received);
                adopt_view(&entry, view, now);
                continue;
            }
            Err(FetchError::Busy) => {
                metrics::count_busy_peer();
                lock(&entry.catch_up).record_busy(name, entry.now());
                continue;
            }
            Err(FetchError::Late) => "no answer in time".to_owned(),
            Err(FetchError::Failed(error)) => error.to_string(),
        };
        metrics::count_view(false, received);
        lock(&entry.catch_up).record_failure(name, entry.now());
        let took = entry.now().saturating_sub(now);
        log::info!(
            "peer: view of={peer} error=\"{error}\" version={} newest={} received={received} \
             took_ms={}",
            own.version,
            newest.config,
            took.as_millis()
        );
    }
}

/// Logs that this daemon lacks something that others have had for some time.
fn log_lag(entry: &Entry, own: &MemberStatus, lag: &Lag, now: Time) {
    let age_ms = |at: Time| now.saturating_sub(at).as_millis().to_string();
    let age_text = |at: Option<Time>| at.map_or_else(|| "none".to_owned(), age_ms);
    log::warn!(
        "config: state=behind version={} newest={} evacuations={} newest_evacuations={} \
         behind_ms={} failed_views={} rank={} listing_age_ms={} config_read_age_ms={}",
        own.version,
        lag.newest.config,
        entry.evacuation_revision(),
        lag.newest.evacuations,
        age_ms(lag.since),
        lag.failures,
        lock(&entry.members).rank_in_domain(now),
        age_text(own.listing_read_at),
        age_text(entry.last_config_read()),
    );
}

/// Puts a view in force that was asked for at `asked_at`.
fn adopt_view(entry: &Entry, view: View, asked_at: Time) {
    // First, so that no request is planned with the configuration and without them.
    if let Some(evacuations) = view.evacuations {
        entry.adopt_evacuations(EvacuationUpdate::Whole(evacuations), "peer");
    }
    if let Some(text) = view.config {
        match decode_config(text.as_bytes()) {
            Ok(config) => {
                entry.adopt_config(&config, Bytes::from(text), "peer");
            }
            Err(error) => log::warn!("peer: config=\"{error}\""),
        }
    }
    if let Some(age) = view.listing_age {
        // The age was stated after the request, at a time that is not known.
        let read_at = asked_at.saturating_sub(Duration::from_millis(age));
        let listing = match view.searchers {
            Searchers::All(listing) => listing,
            Searchers::Since(digest, delta) if digest == entry.status().digest => {
                delta.apply(&entry.listing())
            }
            // The own listing has changed since the request; the next comparison handles it.
            Searchers::Since(..) => return,
        };
        entry.adopt_listing(listing, view.revision, read_at, "peer");
    }
}

/// Why a view was not fetched.
#[derive(Debug)]
enum FetchError {
    /// The peer is sending to others.
    Busy,
    /// Nothing has arrived for too long.
    Late,
    Failed(Box<dyn std::error::Error + Send + Sync>),
}

impl FetchError {
    fn failed<E>(error: E) -> FetchError
    where
        E: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        FetchError::Failed(error.into())
    }
}

/// Fetches from a peer what it knows beyond `own`. Adds the bytes of the answer to `received`, also
/// if the fetch is given up.
async fn fetch(
    peer: SocketAddr,
    own: &MemberStatus,
    received: &mut usize,
) -> Result<View, FetchError> {
    let answered = timeout(FETCH_IDLE_TIMEOUT, ask(peer, own)).await;
    let response = answered.map_err(|_| FetchError::Late)?.map_err(FetchError::failed)?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return Err(FetchError::Busy);
    }
    let mut body = Limited::new(response.into_body(), MAX_VIEW_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(FETCH_IDLE_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| FetchError::Late)? else { break };
        let Ok(data) = frame.map_err(FetchError::failed)?.into_data() else { continue };
        *received += data.len();
        bytes.extend_from_slice(&data);
    }
    serde_json::from_slice(&bytes).map_err(FetchError::failed)
}

/// Asks a peer for its view.
async fn ask(
    peer: SocketAddr,
    own: &MemberStatus,
) -> Result<Response<Incoming>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("peer: of={peer} closed=\"{error}\"");
        }
    });
    let MemberStatus { version, digest, evacuation_revision, .. } = own;
    let path =
        format!("{PATH}?version={version}&digest={digest}&evacuations={evacuation_revision}");
    let request = Request::get(path)
        .header(hyper::header::HOST, peer.to_string())
        .body(Full::<Bytes>::default())?;
    Ok(sender.send_request(request).await?)
}

/// Answers a peer that asks for the view. The query names the version and the digest that it has.
pub(crate) fn serve(entry: Arc<Entry>, query: &str) -> Response<Body> {
    let version = parameter(query, "version").unwrap_or(0);
    let newer = entry.active_config().filter(|config| config.table.version > version);
    let delta =
        parameter(query, "digest").and_then(|digest| Some((digest, entry.listing_delta(digest)?)));
    let searchers = match delta {
        Some((digest, delta)) => Searchers::Since(digest, delta),
        None => Searchers::All(entry.listing()),
    };
    let config_bytes = newer.as_ref().map_or(0, |config| config.bytes.len());
    let bytes = config_bytes + searchers.len() * RECORD_BYTES;
    let Some(key) = lock(&entry.served_views).start(bytes, entry.now()) else {
        metrics::count_refused_view();
        return answer::error(StatusCode::SERVICE_UNAVAILABLE, "sending to others", None);
    };
    let sending = SendingView { entry, key };
    let entry = &sending.entry;
    let evacuations = entry.evacuations();
    let known: StoreRevision = parameter(query, "evacuations").unwrap_or_default();
    let MemberStatus { revision, listing_read_at, .. } = entry.status();
    let view = View {
        config: newer.and_then(|config| config_text(&config.bytes)),
        evacuations: (evacuations.revision > known).then_some(evacuations),
        searchers,
        revision,
        listing_age: listing_read_at.map(|read_at| age_ms(entry, read_at)),
    };
    match serde_json::to_vec(&view) {
        Ok(bytes) => {
            metrics::count_served_view(view.config.is_some(), bytes.len());
            Response::new(match bytes.len() {
                0..=CHUNK_BYTES => answer::full_body(bytes),
                _ => sending.send(Bytes::from(bytes)),
            })
        }
        Err(error) => {
            log::error!("peer: view=\"{error}\"");
            answer::error(StatusCode::INTERNAL_SERVER_ERROR, "no view", None)
        }
    }
}

/// The value of a parameter of a query, if it has a valid one.
fn parameter<T>(query: &str, name: &str) -> Option<T>
where
    T: FromStr,
{
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs.find(|(key, _)| key == name).and_then(|(_, value)| value.parse().ok())
}

/// A view that is being sent. Dropping it makes room for others.
#[derive(Debug)]
struct SendingView {
    entry: Arc<Entry>,
    key: ViewKey,
}

impl SendingView {
    /// Sends `bytes` in pieces, so that this is dropped when the last one is taken, or the connection
    /// is closed.
    fn send(self, bytes: Bytes) -> Body {
        let (sender, frames) = mpsc::channel(1);
        tokio::spawn(async move {
            let _sending = self;
            let mut left = bytes;
            while !left.is_empty() {
                let chunk = left.split_to(left.len().min(CHUNK_BYTES));
                if sender.send(Ok(Frame::data(chunk))).await.is_err() {
                    return;
                }
            }
        });
        Body::Right(StreamBody::new(ReceiverStream::new(frames)))
    }
}

impl Drop for SendingView {
    fn drop(&mut self) {
        lock(&self.entry.served_views).end(self.key);
    }
}

/// Converts the encoded configuration to text. This succeeds, since it was decoded before.
fn config_text(bytes: &Bytes) -> Option<String> {
    String::from_utf8(bytes.to_vec())
        .inspect_err(|error| log::error!("peer: config=\"{error}\""))
        .ok()
}

/// Returns the time since `read_at` in milliseconds.
fn age_ms(entry: &Entry, read_at: Time) -> u64 {
    entry.now().saturating_sub(read_at).as_millis() as u64
}
