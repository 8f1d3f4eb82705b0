//! What daemons tell one another: heartbeats, and what one has read at the store.

use std::io;
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
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer;
use crate::answer::Body;
use crate::entry::Entry;
use crate::sync::lock;
use tt_adapter::MemberRecord;
use tt_adapter::decode_config;
use tt_serve::Sighting;
use tt_serve::Time;
use tt_serve::Vm;

/// Longest heartbeat.
const HEARTBEAT_BYTES: usize = 1024;

/// Path of what a daemon has read at the store.
pub(crate) const VIEW_PATH: &str = "/v1/view";

/// Longest view of another daemon.
const VIEW_BYTES: usize = 4 * 1024 * 1024;

/// Time for a view of another daemon.
const VIEW_LIMIT: Duration = Duration::from_millis(800);

/// Time between two looks at whether another daemon knows more.
const COMPARE_EVERY: Duration = Duration::from_millis(300);

/// What a daemon says of itself.
#[derive(Debug, Serialize, Deserialize)]
struct Heartbeat {
    member: MemberRecord,
    open: bool,
    version: u64,
    /// Age of its listing of searchers, in milliseconds.
    listing_age: Option<u64>,
    /// Whether it wants one back at once.
    hello: bool,
}

/// What a daemon has read at the store.
#[derive(Debug, Serialize, Deserialize)]
struct View {
    config: Option<String>,
    searchers: Vec<Sighting>,
    listing_age: Option<u64>,
}

/// A daemon that knows more than this one.
#[derive(Debug)]
struct Ahead {
    peer: SocketAddr,
    version: u64,
    listed: Option<Time>,
}

/// Opens the socket for heartbeats.
pub(crate) async fn bind(entry: &Entry) -> io::Result<UdpSocket> {
    UdpSocket::bind(entry.vm.peer).await
}

/// Sends heartbeats to all daemons that are known, and to the first ones while none is.
pub(crate) async fn send_heartbeats(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut hello = true;
    loop {
        beat(&entry, &socket, hello).await;
        hello = lock(&entry.members).others().next().is_none();
        sleep(entry.settings.heartbeat).await;
    }
}

/// Sends one heartbeat to everybody.
pub(crate) async fn beat(entry: &Entry, socket: &UdpSocket, hello: bool) {
    let mut targets: Vec<SocketAddr> =
        lock(&entry.members).others().map(|member| member.vm.peer).collect();
    if hello {
        targets.extend(entry.boot().seeds.iter().filter(|seed| **seed != entry.vm.peer));
    }
    for target in targets {
        send(entry, socket, target, hello).await;
    }
}

async fn send(entry: &Entry, socket: &UdpSocket, target: SocketAddr, hello: bool) {
    let heartbeat = Heartbeat {
        member: MemberRecord::from(&entry.vm),
        open: entry.is_open(),
        version: entry.version(),
        listing_age: entry.listed().map(|read| age(entry, read)),
        hello,
    };
    let sent = match serde_json::to_vec(&heartbeat) {
        Ok(bytes) => socket.send_to(&bytes, target).await,
        Err(error) => Err(error.into()),
    };
    if let Err(error) = sent {
        log::debug!("peer: target={target} heartbeat=\"{error}\"");
    }
}

fn age(entry: &Entry, read: Time) -> u64 {
    entry.now().saturating_sub(read).as_millis() as u64
}

/// Takes heartbeats, and reads from daemons that know more.
pub(crate) async fn hear(entry: Arc<Entry>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; HEARTBEAT_BYTES];
    let ahead = Arc::new(tokio::sync::Mutex::new(None));
    tokio::spawn(compare(entry.clone(), ahead.clone()));
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("peer: receive=\"{error}\"");
                sleep(entry.settings.heartbeat).await;
                continue;
            }
        };
        let heartbeat: Heartbeat = match serde_json::from_slice(&buffer[..length]) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                log::warn!("peer: from={from} malformed=\"{error}\"");
                continue;
            }
        };
        let now = entry.now();
        let Heartbeat { member, open, version, listing_age, hello } = heartbeat;
        let vm = Vm::from(member);
        if vm.name == entry.vm.name {
            continue;
        }
        let peer = vm.peer;
        entry.note_heartbeat(vm, open, version);
        if hello {
            send(&entry, &socket, peer, false).await;
        }
        let listed = listing_age.map(|age| now.saturating_sub(Duration::from_millis(age)));
        if version > entry.version() || is_newer(&entry, listed, now) {
            *ahead.lock().await = Some(Ahead { peer, version, listed });
        }
    }
}

/// Whether a listing of another daemon replaces one that this daemon failed to renew.
fn is_newer(entry: &Entry, listed: Option<Time>, now: Time) -> bool {
    let Some(listed) = listed else { return false };
    let old = entry.settings.list_old;
    entry.listed().is_none_or(|own| own + old < now && own + old / 2 < listed)
}

/// Reads from a daemon that knows more, if this one doesn't learn it from the store meanwhile.
async fn compare(entry: Arc<Entry>, ahead: Arc<tokio::sync::Mutex<Option<Ahead>>>) {
    loop {
        sleep(COMPARE_EVERY).await;
        let Some(found) = ahead.lock().await.take() else { continue };
        if entry.version() > 0 {
            sleep(entry.settings.peer_wait).await;
        }
        let now = entry.now();
        if found.version <= entry.version() && !is_newer(&entry, found.listed, now) {
            continue;
        }
        match timeout(VIEW_LIMIT, fetch(found.peer)).await {
            Ok(Ok(view)) => adopt(&entry, view),
            Ok(Err(error)) => log::info!("peer: view of={} error=\"{error}\"", found.peer),
            Err(_) => log::info!("peer: view of={} error=\"no answer in time\"", found.peer),
        }
    }
}

fn adopt(entry: &Entry, view: View) {
    if let Some(text) = view.config {
        match decode_config(text.as_bytes()) {
            Ok(config) => {
                entry.adopt(&config, Bytes::from(text), "peer");
            }
            Err(error) => log::warn!("peer: config=\"{error}\""),
        }
    }
    if let Some(age) = view.listing_age {
        let read = entry.now().saturating_sub(Duration::from_millis(age));
        // Registrations that have lapsed are not known to have ended while the store is away.
        entry.adopt_listing(view.searchers, Some(entry.now()), read, "peer");
    }
}

type FetchError = Box<dyn std::error::Error + Send + Sync>;

async fn fetch(peer: SocketAddr) -> Result<View, FetchError> {
    let stream = TcpStream::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("peer: of={peer} closed=\"{error}\"");
        }
    });
    let request = Request::get(VIEW_PATH)
        .header(hyper::header::HOST, peer.to_string())
        .body(Full::<Bytes>::default())?;
    let response = sender.send_request(request).await?;
    let body = Limited::new(response.into_body(), VIEW_BYTES).collect().await?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

/// Answers other daemons that ask for this one's view.
pub(crate) fn serve_view(entry: &Entry) -> Response<Body> {
    let (searchers, read) = entry.listing();
    let config = entry.in_force().and_then(|it| String::from_utf8(it.bytes.to_vec()).ok());
    let view = View { config, searchers, listing_age: read.map(|read| age(entry, read)) };
    match serde_json::to_vec(&view) {
        Ok(bytes) => Response::new(Full::new(Bytes::from(bytes))),
        Err(error) => {
            log::error!("peer: view=\"{error}\"");
            answer::refusal(StatusCode::INTERNAL_SERVER_ERROR, "no view", None)
        }
    }
}
