//! Connections to searchers and other daemons, a bounded number to each.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::sync::lock;

/// Time after which the kernel gives up on bytes that a peer does not acknowledge.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// Longest head of an answer.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Connections to servers of one kind.
#[derive(Debug)]
pub(crate) struct Links<K> {
    by_server: Mutex<HashMap<K, Arc<Link>>>,
}

/// Connections to one server.
#[derive(Debug, Default)]
pub(crate) struct Link {
    state: Mutex<LinkState>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct LinkState {
    idle: Vec<Idle>,
    open: usize,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
    expires: Option<Instant>,
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Connection {
    link: Arc<Link>,
    pub(crate) sender: Option<SendRequest<Full<Bytes>>>,
}

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoConnection {
    /// The searcher refuses it or does not answer.
    Unreachable,
    /// The request ended before.
    Late,
}

/// How a connection is asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wanted {
    pub(crate) address: SocketAddr,
    /// Most connections to this searcher.
    pub(crate) cap: usize,
    /// Time for a new connection.
    pub(crate) connect: Duration,
    /// Longest idle time of a connection that is used again.
    pub(crate) fresh: Option<Duration>,
    /// When the request no longer needs it.
    pub(crate) until: Instant,
}

impl<K> Default for Links<K> {
    fn default() -> Self {
        Links { by_server: Mutex::new(HashMap::new()) }
    }
}

impl<K> Links<K>
where
    K: Copy + Eq + Hash,
{
    pub(crate) fn of(&self, key: K) -> Arc<Link> {
        lock(&self.by_server).entry(key).or_default().clone()
    }

    /// Closes the idle connections to servers that are not in use any more.
    pub(crate) fn retain<F>(&self, keep: F)
    where
        F: Fn(K) -> bool,
    {
        lock(&self.by_server).retain(|&key, _| keep(key));
    }
}

impl Link {
    /// An idle connection, or a new one while there are fewer than allowed.
    pub(crate) async fn acquire(
        self: &Arc<Link>,
        wanted: Wanted,
    ) -> Result<Connection, NoConnection> {
        loop {
            let freed = self.freed.notified();
            match self.reserve(&wanted) {
                Reserved::Idle(sender) => {
                    return Ok(Connection { link: self.clone(), sender: Some(sender) });
                }
                Reserved::Place => {
                    // Gives its place back when dropped.
                    let mut connection = Connection { link: self.clone(), sender: None };
                    let open = timeout(wanted.connect, open(wanted.address));
                    return match timeout_at(wanted.until, open).await {
                        Ok(Ok(Some(sender))) => {
                            connection.sender = Some(sender);
                            Ok(connection)
                        }
                        Ok(_) => Err(NoConnection::Unreachable),
                        Err(_) => Err(NoConnection::Late),
                    };
                }
                Reserved::Full => {
                    timeout_at(wanted.until, freed).await.map_err(|_| NoConnection::Late)?;
                }
            }
        }
    }

    fn reserve(&self, wanted: &Wanted) -> Reserved {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let before = state.idle.len();
        state.idle.retain(|idle| {
            !idle.sender.is_closed() && idle.expires.is_none_or(|expires| now < expires)
        });
        state.open -= before - state.idle.len();
        let fresh = |idle: &Idle| wanted.fresh.is_none_or(|fresh| now < idle.since + fresh);
        if let Some(place) = state.idle.iter().rposition(|it| it.sender.is_ready() && fresh(it)) {
            return Reserved::Idle(state.idle.remove(place).sender);
        }
        if state.open < wanted.cap {
            state.open += 1;
            return Reserved::Place;
        }
        if wanted.fresh.is_some() && !state.idle.is_empty() {
            // Its place is taken by the new connection.
            state.idle.remove(0);
            return Reserved::Place;
        }
        Reserved::Full
    }

    /// Closes all idle connections: the searcher has failed, and they may be dead too.
    pub(crate) fn close_idle(&self) {
        let mut state = lock(&self.state);
        let closed = state.idle.len();
        state.open -= closed;
        state.idle.clear();
        drop(state);
        self.freed.notify_waiters();
    }
}

enum Reserved {
    Idle(SendRequest<Full<Bytes>>),
    Place,
    Full,
}

impl Connection {
    /// Gives the connection back for further requests. `keep` is how long the searcher keeps
    /// it open without one.
    pub(crate) fn give_back(mut self, keep: Option<Duration>) {
        let Some(sender) = self.sender.take() else { return };
        if sender.is_ready() {
            self.store(sender, keep);
        } else {
            tokio::spawn(self.give_back_later(sender, keep));
        }
    }

    /// The rest of a request that was answered early must be sent first.
    async fn give_back_later(self, mut sender: SendRequest<Full<Bytes>>, keep: Option<Duration>) {
        if sender.ready().await.is_ok() {
            self.store(sender, keep);
        }
    }

    fn store(self, sender: SendRequest<Full<Bytes>>, keep: Option<Duration>) {
        let now = Instant::now();
        let mut state = lock(&self.link.state);
        // The place stays taken: it passes to the idle connection.
        state.open += 1;
        state.idle.push(Idle { sender, since: now, expires: keep.map(|keep| now + keep) });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.link.state).open -= 1;
        self.link.freed.notify_one();
    }
}

async fn open(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    prepare(&stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("link: server={address} closed=\"{error}\"");
        }
    });
    Some(sender)
}

/// Sets the options of a connection, so that a dead peer is noticed.
pub(crate) fn prepare(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)));
    if let Err(error) = set {
        log::debug!("link: socket_options=\"{error}\"");
    }
}
