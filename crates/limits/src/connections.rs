//! Connections to one searcher: when to open, reuse and close them.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;

/// Identifies a connection of one [`Connections`]; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Times and spare connections for the connections to one searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Expected time to open a connection, from the document.
    pub connect_time: Duration,
    /// Number of connections kept beyond the concurrency. They replace connections that are
    /// closed to cancel a sub-query.
    pub spare_connections: u32,
    /// Maximum backoff after failed connects, before jitter.
    pub max_backoff: Duration,
    /// Idle time after which a connection that is not needed is closed.
    pub idle_timeout: Duration,
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        ConnectionSettings {
            connect_time: Duration::from_millis(1),
            spare_connections: 1,
            max_backoff: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(10),
        }
    }
}

/// Result of [`Connections::acquire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquired {
    /// Send on this idle connection.
    Reuse(ConnectionId),
    /// No connection is idle. Try again when a connection was opened or released, or at
    /// [`Connections::wake_at`].
    Wait,
}

/// An action to carry out, returned by [`Connections::next_action`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Open a connection, then call [`Connections::on_opened`], or [`Connections::on_closed`] if
    /// the connect failed.
    Open(ConnectionId),
    /// Close a connection, and call [`Connections::on_closed`] when its socket is closed.
    Close(ConnectionId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Connecting,
    Idle {
        since: Instant,
    },
    Busy,
    /// Closed by this daemon; the socket is not yet confirmed closed.
    Closing,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    id: ConnectionId,
    state: State,
}

/// Minimum backoff after a failed connect: the lower bound of the connect time from which the
/// backoff is computed.
const MIN_BACKOFF: Duration = Duration::from_millis(10);

/// Lower bound of the mean time between connects, for documents without a connect time.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(1);

/// Counts the connections to one searcher and decides when to open, reuse and close each.
///
/// A connection counts against the limit from the decision to open it until its socket is
/// confirmed closed.
#[derive(Debug)]
pub struct Connections {
    settings: ConnectionSettings,
    limit: u32,
    /// Number of sub-queries that may be sent at the same time.
    concurrency: u32,
    connections: Vec<Connection>,
    next_id: u64,
    /// Maximum number of connections in the state `Connecting`. Starts at 1 and doubles with
    /// each connection that was opened.
    max_connecting: u32,
    /// Number of failed connects since the last successful one.
    failures: u32,
    /// Earliest time of the next connect.
    next_connect: Option<Instant>,
}

impl Connections {
    /// Starts without connections and with a limit of 0.
    pub fn new(settings: ConnectionSettings) -> Connections {
        Connections {
            settings,
            limit: 0,
            concurrency: 0,
            connections: Vec::new(),
            next_id: 0,
            max_connecting: 1,
            failures: 0,
            next_connect: None,
        }
    }

    /// Changes the maximum number of connections: this daemon's half of the searcher's
    /// connections, or 0 if it may not use the searcher. When the limit rises from 0, the first
    /// connect is delayed by a random part of the connect time, so that a daemon that takes
    /// over many searchers does not connect to all of them at once.
    pub fn set_limit<R>(&mut self, now: Instant, limit: u32, rng: &mut R)
    where
        R: Rng,
    {
        if self.limit == 0 && limit > 0 {
            self.max_connecting = 1;
            self.next_connect = Some(now + jitter(self.connect_interval(), 0.0, rng));
        }
        self.limit = limit;
    }

    /// Changes how many sub-queries may be sent at the same time.
    pub fn set_concurrency(&mut self, slots: u32) {
        self.concurrency = slots;
    }

    /// Takes the most recently used idle connection.
    pub fn acquire(&mut self) -> Acquired {
        if self.limit == 0 {
            return Acquired::Wait;
        }
        let idle = self
            .connections
            .iter_mut()
            .filter_map(|connection| match connection.state {
                State::Idle { since } => Some((since, connection)),
                State::Connecting | State::Busy | State::Closing => None,
            })
            .max_by_key(|(since, connection)| (*since, connection.id));
        match idle {
            Some((_, connection)) => {
                connection.state = State::Busy;
                Acquired::Reuse(connection.id)
            }
            None => Acquired::Wait,
        }
    }

    /// Returns the next action at `now`, or `None` if there is none before the next event or
    /// [`Connections::wake_at`].
    pub fn next_action<R>(&mut self, now: Instant, rng: &mut R) -> Option<ConnectionAction>
    where
        R: Rng,
    {
        if let Some(id) = self.connection_to_close(now) {
            return Some(self.close(id));
        }
        if !self.wants_connection() || self.next_connect.is_some_and(|time| now < time) {
            return None;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.push(Connection { id, state: State::Connecting });
        // Connects are 0.5 to 1.5 connect times apart.
        self.next_connect = Some(now + jitter(self.connect_interval(), 0.5, rng));
        Some(ConnectionAction::Open(id))
    }

    /// Records that a connection was opened.
    pub fn on_opened(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.find(id)
            && connection.state == State::Connecting
        {
            connection.state = State::Idle { since: now };
            self.failures = 0;
            self.max_connecting = self.max_connecting.saturating_mul(2);
        }
    }

    /// Records that the sub-query on a connection ended and the connection can be reused.
    pub fn on_released(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.find(id)
            && connection.state == State::Busy
        {
            connection.state = State::Idle { since: now };
        }
    }

    /// Closes a busy connection to cancel its sub-query.
    pub fn abort(&mut self, id: ConnectionId) -> ConnectionAction {
        self.close(id)
    }

    /// Records that a socket was closed, or could not be opened.
    pub fn on_closed<R>(&mut self, now: Instant, id: ConnectionId, rng: &mut R)
    where
        R: Rng,
    {
        let Some(index) = self.connections.iter().position(|connection| connection.id == id) else {
            return;
        };
        let connection = self.connections.swap_remove(index);
        match connection.state {
            State::Connecting => {
                self.failures = self.failures.saturating_add(1);
                self.max_connecting = 1;
                let base = self.settings.connect_time.max(MIN_BACKOFF);
                let backoff = base * 2u32.saturating_pow(self.failures.min(16));
                let backoff = backoff.min(self.settings.max_backoff);
                self.next_connect = Some(now + jitter(backoff, 0.5, rng));
            }
            // Closed by the searcher, which may have restarted and closed all connections.
            State::Idle { .. } | State::Busy => self.max_connecting = 1,
            State::Closing => {}
        }
    }

    /// The time at which to call [`Connections::next_action`] next if no event occurs before.
    pub fn wake_at(&self) -> Option<Instant> {
        let open = if self.wants_connection() { self.next_connect } else { None };
        let idle = self
            .connections
            .iter()
            .filter_map(|connection| match connection.state {
                State::Idle { since } => Some(since + self.settings.idle_timeout),
                State::Connecting | State::Busy | State::Closing => None,
            })
            .min()
            .filter(|_| self.excess_idle() > 0);
        [open, idle].into_iter().flatten().min()
    }

    /// Expected time until a connection can be taken, so that sub-queries with an earlier
    /// deadline can be rejected instead of started. `None` while the limit is 0.
    pub fn expected_wait(&self, now: Instant) -> Option<Duration> {
        if self.limit == 0 {
            return None;
        }
        if self.idle_count() > 0 {
            return Some(Duration::ZERO);
        }
        if self.count_in(State::Connecting) > 0 {
            return Some(self.settings.connect_time);
        }
        let delay =
            self.next_connect.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        Some(delay + self.settings.connect_time)
    }

    /// Number of connections that count against the limit.
    pub fn count(&self) -> u32 {
        self.connections.len() as u32
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> u32 {
        self.connections
            .iter()
            .filter(|connection| matches!(connection.state, State::Idle { .. }))
            .count() as u32
    }

    fn connect_interval(&self) -> Duration {
        self.settings.connect_time.max(MIN_CONNECT_INTERVAL)
    }

    /// Whether to open another connection as soon as `next_connect` allows.
    fn wants_connection(&self) -> bool {
        let connecting = self.count_in(State::Connecting);
        let usable = self.idle_count() + connecting + self.count_in(State::Busy);
        self.count() < self.limit
            && connecting < self.max_connecting
            && usable < self.target_count()
    }

    /// Number of connections to keep for the current concurrency.
    fn target_count(&self) -> u32 {
        if self.limit == 0 || self.concurrency == 0 {
            return 0;
        }
        (self.concurrency + self.settings.spare_connections).min(self.limit)
    }

    /// Returns the longest idle connection if the limit is exceeded, or if it is not
    /// needed and its idle timeout has passed.
    fn connection_to_close(&self, now: Instant) -> Option<ConnectionId> {
        let oldest = self
            .connections
            .iter()
            .filter_map(|connection| match connection.state {
                State::Idle { since } => Some((since, connection.id)),
                State::Connecting | State::Busy | State::Closing => None,
            })
            .min()?;
        let closing = self.count_in(State::Closing);
        let over = self.count() - closing > self.limit;
        let unused = self.excess_idle() > 0
            && now.saturating_duration_since(oldest.0) >= self.settings.idle_timeout;
        (over || unused).then_some(oldest.1)
    }

    /// Number of idle connections beyond the target count.
    fn excess_idle(&self) -> u32 {
        (self.idle_count() + self.count_in(State::Busy))
            .saturating_sub(self.target_count())
            .min(self.idle_count())
    }

    fn close(&mut self, id: ConnectionId) -> ConnectionAction {
        if let Some(connection) = self.find(id) {
            connection.state = State::Closing;
        }
        ConnectionAction::Close(id)
    }

    fn find(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|connection| connection.id == id)
    }

    fn count_in(&self, state: State) -> u32 {
        self.connections.iter().filter(|connection| connection.state == state).count() as u32
    }
}

/// Returns `time` times a random factor from `min_factor` up to `min_factor` + 1.
fn jitter<R>(time: Duration, min_factor: f64, rng: &mut R) -> Duration
where
    R: Rng,
{
    time.mul_f64(min_factor + rng.random_range(0.0..1.0))
}
