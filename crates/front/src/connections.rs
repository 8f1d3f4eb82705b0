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

use crate::bounded::Allowance;
use crate::bounded::BoundedStream;
use crate::sync::lock;

/// `TCP_USER_TIMEOUT`: the kernel closes a connection whose data stays unacknowledged this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Size of the read buffer of a connection, and so the maximum size of the head of an answer.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Maximum number of bytes that are received until the head of an answer is complete, interim answers
/// included. The start of the body may arrive with the head: what is in the buffer, what waits to be
/// taken, and one more read.
const MAX_HEAD_BYTES: usize = 4 * READ_BUFFER_BYTES;

/// Connections to all servers of one kind, searchers or peers, by their key.
#[derive(Debug)]
pub(crate) struct Connections<K> {
    by_server: Mutex<HashMap<K, Arc<ServerConnections>>>,
}

/// Connections to one server.
#[derive(Debug, Default)]
pub(crate) struct ServerConnections {
    state: Mutex<ServerState>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct ServerState {
    idle: Vec<IdleConnection>,
    /// Connections in use, being opened or idle.
    open: usize,
}

#[derive(Debug)]
struct IdleConnection {
    link: Link,
    since: Instant,
    /// From then on it is not reused, since the server may close it; `None` if that is not known.
    expires: Option<Instant>,
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
}

/// A connection in use. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Connection {
    server: Arc<ServerConnections>,
    /// `None` while the connection is being opened.
    pub(crate) link: Option<Link>,
}

/// Why no connection could be acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// The server refused the connection or did not answer within the timeout.
    Unreachable,
    /// No connection was free, or could be opened, before the deadline.
    DeadlinePassed,
}

/// How to acquire a connection to a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AcquireOptions {
    pub(crate) address: SocketAddr,
    /// Maximum number of connections to this server.
    pub(crate) max_connections: usize,
    /// Timeout for opening a new connection.
    pub(crate) connect_timeout: Duration,
    /// Maximum idle time of a connection to reuse; any if `None`.
    pub(crate) max_idle_time: Option<Duration>,
    /// When the request no longer needs a connection.
    pub(crate) deadline: Instant,
}

impl<K> Default for Connections<K> {
    fn default() -> Self {
        Connections { by_server: Mutex::new(HashMap::new()) }
    }
}

impl<K> Connections<K>
where
    K: Copy + Eq + Hash,
{
    pub(crate) fn server(&self, key: K) -> Arc<ServerConnections> {
        lock(&self.by_server).entry(key).or_default().clone()
    }

    /// Forgets the servers for which `keep` is false and closes their idle connections.
    pub(crate) fn retain<F>(&self, keep: F)
    where
        F: Fn(K) -> bool,
    {
        lock(&self.by_server).retain(|&key, _| keep(key));
    }
}

impl ServerConnections {
    /// Returns an idle connection, or opens one if fewer than the maximum are open, or waits for
    /// one of the two.
    pub(crate) async fn acquire(
        self: &Arc<ServerConnections>,
        options: AcquireOptions,
    ) -> Result<Connection, AcquireError> {
        loop {
            let freed = self.freed.notified();
            match self.reserve(&options) {
                Reservation::Idle(link) => {
                    link.allowance.reset(MAX_HEAD_BYTES);
                    return Ok(Connection { server: self.clone(), link: Some(link) });
                }
                Reservation::New => {
                    // Dropping it on failure releases the reservation.
                    let mut connection = Connection { server: self.clone(), link: None };
                    let connecting = timeout(options.connect_timeout, connect(options.address));
                    return match timeout_at(options.deadline, connecting).await {
                        Ok(Ok(Some(link))) => {
                            link.allowance.reset(MAX_HEAD_BYTES);
                            connection.link = Some(link);
                            Ok(connection)
                        }
                        Ok(_) => Err(AcquireError::Unreachable),
                        Err(_) => Err(AcquireError::DeadlinePassed),
                    };
                }
                Reservation::Full => {
                    timeout_at(options.deadline, freed)
                        .await
                        .map_err(|_| AcquireError::DeadlinePassed)?;
                }
            }
        }
    }

    fn reserve(&self, options: &AcquireOptions) -> Reservation {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let before = state.idle.len();
        state.idle.retain(|idle| {
            !idle.link.sender.is_closed() && idle.expires.is_none_or(|expires| now < expires)
        });
        state.open -= before - state.idle.len();
        let is_recent =
            |idle: &IdleConnection| options.max_idle_time.is_none_or(|max| now < idle.since + max);
        if let Some(index) =
            state.idle.iter().rposition(|idle| idle.link.sender.is_ready() && is_recent(idle))
        {
            return Reservation::Idle(state.idle.remove(index).link);
        }
        if state.open < options.max_connections {
            state.open += 1;
            return Reservation::New;
        }
        if options.max_idle_time.is_some() && !state.idle.is_empty() {
            // No idle connection may be used: the oldest makes room for a new one.
            state.idle.remove(0);
            return Reservation::New;
        }
        Reservation::Full
    }

    /// Closes all idle connections, since they may be dead after a failure of the server.
    pub(crate) fn close_idle(&self) {
        let mut state = lock(&self.state);
        let closed = state.idle.len();
        state.open -= closed;
        state.idle.clear();
        drop(state);
        self.freed.notify_waiters();
    }
}

enum Reservation {
    Idle(Link),
    /// A new connection may be opened; it is already counted.
    New,
    /// All connections are in use.
    Full,
}

impl Connection {
    /// Allows an answer whose head has arrived to have a body of this size, framing included. The
    /// connection is closed when more is received.
    pub(crate) fn allow_body(&self, max_bytes: usize) {
        if let Some(link) = &self.link {
            link.allowance.extend(max_bytes);
        }
    }

    /// Makes the connection available to further requests. `keep_alive` is how long the server
    /// keeps it open while idle, if known.
    pub(crate) fn release(mut self, keep_alive: Option<Duration>) {
        let Some(link) = self.link.take() else { return };
        if link.sender.is_ready() {
            self.put_idle(link, keep_alive);
        } else {
            tokio::spawn(self.release_when_ready(link, keep_alive));
        }
    }

    /// Waits until the request is sent completely, since the answer may arrive before that.
    async fn release_when_ready(self, mut link: Link, keep_alive: Option<Duration>) {
        if link.sender.ready().await.is_ok() {
            self.put_idle(link, keep_alive);
        }
    }

    fn put_idle(self, link: Link, keep_alive: Option<Duration>) {
        let now = Instant::now();
        let mut state = lock(&self.server.state);
        // Balances the decrement in `drop`: the idle connection still counts as open.
        state.open += 1;
        state.idle.push(IdleConnection {
            link,
            since: now,
            // A time that is too late for the clock is as good as none.
            expires: keep_alive.and_then(|duration| now.checked_add(duration)),
        });
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.server.state).open -= 1;
        self.server.freed.notify_one();
    }
}

async fn connect(address: SocketAddr) -> Option<Link> {
    let stream = TcpStream::connect(address).await.ok()?;
    set_socket_options(&stream);
    let allowance = Allowance::default();
    // Nothing is received before the first request, which resets the allowance.
    let stream = BoundedStream::new(stream, allowance.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("link: server={address} closed=\"{error}\"");
        }
    });
    Some(Link { sender, allowance })
}

/// Sets `TCP_NODELAY` and `TCP_USER_TIMEOUT`; the latter detects a dead peer.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::debug!("link: socket_options=\"{error}\"");
    }
}
