//! What daemons read from one another of what lies in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer;
use crate::answer::Body;
use crate::entry::Entry;
use crate::sync::lock;
use tt_adapter::decode_config;
use tt_serve::Delta;
use tt_serve::Member;
use tt_serve::Members;
use tt_serve::News;
use tt_serve::Sighting;
use tt_serve::Standing;
use tt_serve::Time;
use tt_serve::news;

/// Path of what a daemon has read at the store.
pub(crate) const PATH: &str = "/v1/view";

/// Longest view of another daemon.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Time for a view of another daemon.
const LIMIT: Duration = Duration::from_millis(800);

/// Time between two looks at whether another daemon knows more.
const COMPARE_EVERY: Duration = Duration::from_millis(150);

/// What a daemon has read at the store, as far as another one does not know it.
#[derive(Debug, Serialize, Deserialize)]
struct View {
    config: Option<String>,
    searchers: Searchers,
    /// Revision of the store at which they were read.
    revision: u64,
    listing_age: Option<u64>,
    /// Time since the store came back to whoever read the listing.
    restored_age: Option<u64>,
}

/// The searchers of a view.
#[derive(Debug, Serialize, Deserialize)]
enum Searchers {
    /// All of them.
    All(Vec<Sighting>),
    /// What has changed since the listing with this digest.
    Since(u64, Delta),
}

/// Reads from a daemon that knows more.
pub(crate) async fn compare(entry: Arc<Entry>) {
    let mut behind_since = None;
    loop {
        sleep(COMPARE_EVERY).await;
        let now = entry.now();
        let own = entry.standing();
        let late = behind_since.is_some_and(|since| since + entry.settings.peer_fetch_delay < now);
        let (confirmed, source, behind) = {
            let members = lock(&entry.members);
            survey(&entry, &members, &own, late, now)
        };
        behind_since = if behind { behind_since.or(Some(now)) } else { None };
        if let Some((revision, read)) = confirmed {
            entry.confirm_listing(revision, read);
        }
        let Some(peer) = source else { continue };
        match timeout(LIMIT, fetch(peer, &own)).await {
            Ok(Ok(view)) => adopt(&entry, view),
            Ok(Err(error)) => log::info!("peer: view of={peer} error=\"{error}\""),
            Err(_) => log::info!("peer: view of={peer} error=\"no answer in time\""),
        }
    }
}

/// What the other daemons know: until when the own listing is confirmed, whom to read from, and
/// whether any has a later configuration.
fn survey(
    entry: &Entry,
    members: &Members,
    own: &Standing,
    late: bool,
    now: Time,
) -> (Option<(u64, Time)>, Option<SocketAddr>, bool) {
    let domain = entry.vm.domain.as_str();
    let mut confirmed = None;
    let mut best: Option<&Member> = None;
    let mut behind = false;
    let order = |member: &Member| {
        let standing = &member.standing;
        (member.vm.domain == domain, standing.version, standing.revision)
    };
    for member in members.heard(now) {
        behind |= member.standing.version > own.version;
        match news(member, domain, own, &entry.settings.listing, late, now) {
            News::None => {}
            News::Confirmed(revision, read) => confirmed = confirmed.max(Some((revision, read))),
            News::Fetch if best.is_none_or(|best| order(best) < order(member)) => {
                best = Some(member);
            }
            News::Fetch => {}
        }
    }
    (confirmed, best.map(|member| member.vm.peer), behind)
}

fn adopt(entry: &Entry, view: View) {
    if let Some(text) = view.config {
        match decode_config(text.as_bytes()) {
            Ok(config) => {
                entry.adopt_config(&config, Bytes::from(text), "peer");
            }
            Err(error) => log::warn!("peer: config=\"{error}\""),
        }
    }
    if let Some(age) = view.listing_age {
        let at = |age: u64| entry.now().saturating_sub(Duration::from_millis(age));
        let restored = view.restored_age.map(at);
        let listing = match view.searchers {
            Searchers::All(listing) => listing,
            Searchers::Since(digest, delta) if digest == entry.standing().digest => {
                delta.apply(&entry.listing())
            }
            // A later listing has come meanwhile; the next comparison tells.
            Searchers::Since(..) => return,
        };
        entry.adopt_listing(listing, restored, view.revision, at(age), "peer");
    }
}

type FetchError = Box<dyn std::error::Error + Send + Sync>;

/// Reads from another daemon what it knows beyond `own`.
async fn fetch(peer: SocketAddr, own: &Standing) -> Result<View, FetchError> {
    let stream = TcpStream::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("peer: of={peer} closed=\"{error}\"");
        }
    });
    let Standing { version, digest, .. } = own;
    let request = Request::get(format!("{PATH}?version={version}&digest={digest}"))
        .header(hyper::header::HOST, peer.to_string())
        .body(Full::<Bytes>::default())?;
    let response = sender.send_request(request).await?;
    let body = Limited::new(response.into_body(), MAX_BYTES).collect().await?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Answers other daemons that ask for what this one knows beyond a version and a listing.
pub(crate) fn serve(entry: &Entry, query: &str) -> Response<Body> {
    let known = |name: &str| {
        let mut pairs = form_urlencoded::parse(query.as_bytes());
        pairs.find(|(key, _)| key == name).and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let version = known("version").unwrap_or(0);
    let newer = entry.active_config().filter(|it| it.table.version > version);
    let delta = known("digest").and_then(|digest| Some((digest, entry.listing_delta(digest)?)));
    let Standing { revision, listed, .. } = entry.standing();
    let view = View {
        config: newer.and_then(|it| text(&it.bytes)),
        searchers: match delta {
            Some((digest, delta)) => Searchers::Since(digest, delta),
            None => Searchers::All(entry.listing()),
        },
        revision,
        listing_age: listed.map(|read| age(entry, read)),
        restored_age: entry.store_restored_at().map(|at| age(entry, at)),
    };
    match serde_json::to_vec(&view) {
        Ok(bytes) => Response::new(answer::whole(bytes)),
        Err(error) => {
            log::error!("peer: view=\"{error}\"");
            answer::refusal(StatusCode::INTERNAL_SERVER_ERROR, "no view", None)
        }
    }
}

/// The encoded configuration as text. It has been decoded before, so that it is text.
fn text(bytes: &Bytes) -> Option<String> {
    String::from_utf8(bytes.to_vec())
        .inspect_err(|error| log::error!("peer: config=\"{error}\""))
        .ok()
}

/// Age in milliseconds.
fn age(entry: &Entry, read: Time) -> u64 {
    entry.now().saturating_sub(read).as_millis() as u64
}
