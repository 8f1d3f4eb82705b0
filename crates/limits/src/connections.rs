//! Connections to one searcher: when to open, reuse and close them.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;

/// Names a connection of one [`Connections`]; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Settings of [`Connections`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Time to set up a connection, from the document.
    pub connect_time: Duration,
    /// Idle connections kept beyond one for each slot. They replace those that are closed
    /// to cancel a sub-query.
    pub spare_connections: u32,
    /// The longest pause after failed attempts.
    pub max_backoff: Duration,
    /// How long an idle connection beyond the need is kept.
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

/// The answer to a request for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acquired {
    /// Send on this idle connection.
    Reuse(ConnectionId),
    /// Wait for an event: a connection that is being opened, a released one, or
    /// [`Connections::wake_at`].
    Wait,
}

/// A step to take for the caller of [`Connections::next_action`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Open a connection; report [`Connections::opened`] or [`Connections::closed`].
    Open(ConnectionId),
    /// Close a connection; report [`Connections::closed`] when its socket is closed.
    Close(ConnectionId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Connecting,
    Idle {
        since: Instant,
    },
    Busy,
    /// Closed by this side, until the socket is confirmed closed.
    Closing,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    id: ConnectionId,
    state: State,
}

/// Shortest pause after a failed attempt.
const MIN_BACKOFF: Duration = Duration::from_millis(10);

/// Least mean time between attempts, for documents that state no connect time.
const MIN_SPACING: Duration = Duration::from_millis(1);

/// Counts the connections to one searcher and decides about each.
///
/// A connection counts against the limit from the decision to open it until its socket is
/// confirmed closed.
#[derive(Debug)]
pub struct Connections {
    settings: ConnectionSettings,
    limit: u32,
    need: u32,
    list: Vec<Connection>,
    next_id: u64,
    /// Connections that may be connecting at the same time.
    ramp: u32,
    failures: u32,
    not_before: Option<Instant>,
}

impl Connections {
    /// No connections and no right to open any.
    pub fn new(settings: ConnectionSettings) -> Connections {
        Connections {
            settings,
            limit: 0,
            need: 0,
            list: Vec::new(),
            next_id: 0,
            ramp: 1,
            failures: 0,
            not_before: None,
        }
    }

    /// Changes the limit, which is the member's half of the searcher's connections or 0
    /// without a right. When the right starts, the first attempt waits a random part of the
    /// connect time, so that a member that takes over many searchers spreads its attempts.
    pub fn set_limit<R>(&mut self, now: Instant, limit: u32, rng: &mut R)
    where
        R: Rng,
    {
        if self.limit == 0 && limit > 0 {
            self.ramp = 1;
            self.not_before = Some(now + jitter(self.spacing(), 0.0, rng));
        }
        self.limit = limit;
    }

    /// Changes how many sub-queries may be sent at the same time.
    pub fn set_concurrency(&mut self, slots: u32) {
        self.need = slots;
    }

    /// Takes an idle connection, the most recently used one.
    pub fn acquire(&mut self) -> Acquired {
        if self.limit == 0 {
            return Acquired::Wait;
        }
        let idle = self
            .list
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

    /// The next step at `now`, or `None` until the next event or [`Connections::wake_at`].
    pub fn next_action<R>(&mut self, now: Instant, rng: &mut R) -> Option<ConnectionAction>
    where
        R: Rng,
    {
        if let Some(id) = self.surplus(now) {
            return Some(self.close(id));
        }
        if !self.wants_another() || self.not_before.is_some_and(|time| now < time) {
            return None;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.list.push(Connection { id, state: State::Connecting });
        // Half to one and a half connect times apart.
        self.not_before = Some(now + jitter(self.spacing(), 0.5, rng));
        Some(ConnectionAction::Open(id))
    }

    /// A connection was set up.
    pub fn opened(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.find(id)
            && connection.state == State::Connecting
        {
            connection.state = State::Idle { since: now };
            self.failures = 0;
            self.ramp = self.ramp.saturating_mul(2);
        }
    }

    /// A sub-query on a connection ended and the connection can be used again.
    pub fn released(&mut self, now: Instant, id: ConnectionId) {
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

    /// A socket was closed, or could not be opened.
    pub fn closed<R>(&mut self, now: Instant, id: ConnectionId, rng: &mut R)
    where
        R: Rng,
    {
        let Some(index) = self.list.iter().position(|connection| connection.id == id) else {
            return;
        };
        let connection = self.list.swap_remove(index);
        match connection.state {
            State::Connecting => {
                self.failures = self.failures.saturating_add(1);
                self.ramp = 1;
                let base = self.settings.connect_time.max(MIN_BACKOFF);
                let pause = base * 2u32.saturating_pow(self.failures.min(16));
                let pause = pause.min(self.settings.max_backoff);
                self.not_before = Some(now + jitter(pause, 0.5, rng));
            }
            // The searcher closed it, perhaps all of them by a restart.
            State::Idle { .. } | State::Busy => self.ramp = 1,
            State::Closing => {}
        }
    }

    /// The next time at which [`Connections::next_action`] has something to do without a
    /// further event.
    pub fn wake_at(&self) -> Option<Instant> {
        let open = if self.wants_another() { self.not_before } else { None };
        let idle = self
            .list
            .iter()
            .filter_map(|connection| match connection.state {
                State::Idle { since } => Some(since + self.settings.idle_timeout),
                State::Connecting | State::Busy | State::Closing => None,
            })
            .min()
            .filter(|_| self.idle_surplus() > 0);
        [open, idle].into_iter().flatten().min()
    }

    /// Expected time until a connection can be taken. A sub-query whose deadline is earlier
    /// is better rejected than started. `None` without a right to any connection.
    pub fn expected_wait(&self, now: Instant) -> Option<Duration> {
        if self.limit == 0 {
            return None;
        }
        if self.idle() > 0 {
            return Some(Duration::ZERO);
        }
        if self.count_in(State::Connecting) > 0 {
            return Some(self.settings.connect_time);
        }
        let pause = self.not_before.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        Some(pause + self.settings.connect_time)
    }

    /// All connections that count against the limit.
    pub fn count(&self) -> u32 {
        self.list.len() as u32
    }

    /// Connections that can be taken now.
    pub fn idle(&self) -> u32 {
        self.list.iter().filter(|connection| matches!(connection.state, State::Idle { .. })).count()
            as u32
    }

    fn spacing(&self) -> Duration {
        self.settings.connect_time.max(MIN_SPACING)
    }

    fn wants_another(&self) -> bool {
        let connecting = self.count_in(State::Connecting);
        let usable = self.idle() + connecting + self.count_in(State::Busy);
        self.count() < self.limit && connecting < self.ramp && usable < self.target()
    }

    fn target(&self) -> u32 {
        if self.limit == 0 || self.need == 0 {
            return 0;
        }
        (self.need + self.settings.spare_connections).min(self.limit)
    }

    fn surplus(&self, now: Instant) -> Option<ConnectionId> {
        let oldest = self
            .list
            .iter()
            .filter_map(|connection| match connection.state {
                State::Idle { since } => Some((since, connection.id)),
                State::Connecting | State::Busy | State::Closing => None,
            })
            .min()?;
        let closing = self.count_in(State::Closing);
        let over = self.count() - closing > self.limit;
        let unused = self.idle_surplus() > 0
            && now.saturating_duration_since(oldest.0) >= self.settings.idle_timeout;
        (over || unused).then_some(oldest.1)
    }

    fn idle_surplus(&self) -> u32 {
        (self.idle() + self.count_in(State::Busy)).saturating_sub(self.target()).min(self.idle())
    }

    fn close(&mut self, id: ConnectionId) -> ConnectionAction {
        if let Some(connection) = self.find(id) {
            connection.state = State::Closing;
        }
        ConnectionAction::Close(id)
    }

    fn find(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.list.iter_mut().find(|connection| connection.id == id)
    }

    fn count_in(&self, state: State) -> u32 {
        self.list.iter().filter(|connection| connection.state == state).count() as u32
    }
}

/// `time` times a random factor between `least` and `least` + 1.
fn jitter<R>(time: Duration, least: f64, rng: &mut R) -> Duration
where
    R: Rng,
{
    time.mul_f64(least + rng.random_range(0.0..1.0))
}
