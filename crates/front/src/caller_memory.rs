//! The memory and connections that callers hold at the interfaces of this process.
//!
//! [`tt_serve::CallerMemory`] decides; this applies its decisions to connections. `body` receives
//! bodies within an account, and `stream` sees when answers have been written.

mod body;
mod stream;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::metrics;
use crate::sync::lock;
use tt_serve::Admission;
use tt_serve::CallerMemory;
use tt_serve::CallerMemorySettings;
use tt_serve::Grant;
use tt_serve::HolderKey;
use tt_serve::HolderPhase;
use tt_serve::MemoryAction;
use tt_serve::MemoryLimits;
use tt_serve::MemoryPlan;
use tt_serve::MemoryStatus;
use tt_serve::Time;

pub(crate) use body::BodyError;
pub(crate) use body::HeldBytes;
pub(crate) use body::collect;
pub(crate) use stream::MeteredStream;

/// Memory of a connection besides its read buffer, in bytes: its task, its socket and the map of
/// the headers.
const CONNECTION_BYTES: usize = 4 * 1024;

/// Interval between checks while a reservation waits.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);

/// How long a new connection waits for another one to be closed, before it is closed itself.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between log lines of one interface.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The accounts of all interfaces.
#[derive(Debug)]
pub(crate) struct Accounts {
    pub(crate) callers: Arc<Account>,
    pub(crate) peers: Arc<Account>,
    pub(crate) auxiliary: Arc<Account>,
}

impl Accounts {
    pub(crate) fn new(settings: CallerMemorySettings, plan: &MemoryPlan, clock: Clock) -> Accounts {
        let account = |name, limits| Arc::new(Account::new(name, settings, limits, clock));
        Accounts {
            callers: account("callers", plan.callers),
            peers: account("peers", plan.peers),
            auxiliary: account("auxiliary", plan.auxiliary),
        }
    }

    pub(crate) fn all(&self) -> [&Arc<Account>; 3] {
        [&self.callers, &self.peers, &self.auxiliary]
    }
}

/// The account of one interface.
#[derive(Debug)]
pub struct Account {
    /// Name of the interface, for logs and metrics.
    pub(crate) name: &'static str,
    clock: Clock,
    state: Mutex<State>,
    /// Notified when a connection has ended.
    ended: Notify,
}

#[derive(Debug)]
struct State {
    memory: CallerMemory,
    connections: HashMap<HolderKey, Connection>,
    /// Connections whose reservations have been granted but not taken yet.
    granted: HashSet<HolderKey>,
    /// When the last connection was closed for a new one, or since when there is no room. From
    /// [`ADMISSION_TIMEOUT`] later on, new connections are refused at once.
    full_since: Option<Time>,
    /// Since the last log line.
    refused: u32,
    closed: u32,
    logged_at: Option<Time>,
}

#[derive(Debug)]
struct Connection {
    signal: watch::Sender<Signal>,
    /// The caller, for the log.
    address: Option<SocketAddr>,
}

/// What the account tells a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    Open,
    Granted,
    Refused,
    Closed,
}

impl Account {
    /// An account for a server outside this crate. `name` is for logs and metrics.
    pub fn start(
        name: &'static str,
        settings: CallerMemorySettings,
        limits: MemoryLimits,
    ) -> Arc<Account> {
        Arc::new(Account::new(name, settings, limits, Clock::start()))
    }

    fn new(
        name: &'static str,
        settings: CallerMemorySettings,
        limits: MemoryLimits,
        clock: Clock,
    ) -> Account {
        let state = State {
            memory: CallerMemory::new(settings, limits),
            connections: HashMap::new(),
            granted: HashSet::new(),
            full_since: None,
            refused: 0,
            closed: 0,
            logged_at: None,
        };
        Account { name, clock, state: Mutex::new(state), ended: Notify::new() }
    }

    /// Admits a connection that reads heads of up to `head_bytes`. `None` if there is no room and
    /// none is made in time.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        head_bytes: usize,
        address: Option<SocketAddr>,
    ) -> Option<Arc<Holder>> {
        loop {
            let ended = self.ended.notified();
            if let Some(holder) = self.try_admit(head_bytes, address) {
                return Some(holder);
            }
            let is_refused = self.update(|state, now| {
                let is_refused = state
                    .full_since
                    .is_some_and(|full_since| now >= full_since + ADMISSION_TIMEOUT);
                if is_refused {
                    state.refused += 1;
                    state.log(self.name, "connection_refused", address, now);
                }
                is_refused
            });
            if is_refused {
                metrics::count_memory_event(self.name, "connection_refused");
                return None;
            }
            // Connections that are too new to be closed become old enough meanwhile.
            let _ = timeout(WAIT_INTERVAL, ended).await;
        }
    }

    /// Admits a connection that reads heads of up to `head_bytes`, if there is room.
    pub fn try_admit(
        self: &Arc<Self>,
        head_bytes: usize,
        address: Option<SocketAddr>,
    ) -> Option<Arc<Holder>> {
        let bytes = head_bytes + CONNECTION_BYTES;
        self.update(|state, now| match state.memory.connect(bytes, now) {
            (Admission::Admitted(key), _) => {
                state.full_since = None;
                let (sender, signal) = watch::channel(Signal::Open);
                state.connections.insert(key, Connection { signal: sender, address });
                let account = self.clone();
                let (answer, unwritten) = (AtomicUsize::new(0), AtomicUsize::new(0));
                Some(Arc::new(Holder { account, key, signal, answer, unwritten }))
            }
            (Admission::Full, action) => {
                if action.is_some() || state.full_since.is_none() {
                    state.full_since = Some(now);
                }
                state.apply(self.name, action.into_iter().collect(), now);
                None
            }
        })
    }

    /// Reserves bytes for a copy that the process can do without.
    pub(crate) fn try_copy(self: &Arc<Self>, bytes: usize) -> Option<Charge> {
        let has_room = self.update(|state, _| state.memory.try_copy(bytes));
        has_room.then(|| Charge { account: self.clone(), key: None, bytes })
    }

    pub(crate) fn status(&self) -> MemoryStatus {
        lock(&self.state).memory.status()
    }

    /// Calls `change`, and does what the decision asks for afterwards.
    fn update<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut State, Time) -> T,
    {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let result = change(&mut state, now);
        let actions = state.memory.tick(now);
        state.apply(self.name, actions, now);
        result
    }
}

impl State {
    fn apply(&mut self, interface: &'static str, actions: Vec<MemoryAction>, now: Time) {
        for action in actions {
            let (key, signal) = match action {
                MemoryAction::Grant(key) => {
                    self.granted.insert(key);
                    (key, Signal::Granted)
                }
                MemoryAction::Refuse(key) => {
                    metrics::count_memory_event(interface, "request_refused");
                    self.refused += 1;
                    self.log(interface, "request_refused", self.address(key), now);
                    (key, Signal::Refused)
                }
                MemoryAction::Close { key, phase, bytes, age } => {
                    let cause = match phase {
                        HolderPhase::Idle | HolderPhase::Running => "idle_closed",
                        HolderPhase::Body => "body_closed",
                        HolderPhase::Answer => "answer_closed",
                    };
                    metrics::count_memory_event(interface, cause);
                    self.closed += 1;
                    let age_ms = age.as_millis();
                    let done = format!("{cause} bytes={bytes} age_ms={age_ms}");
                    self.log(interface, &done, self.address(key), now);
                    (key, Signal::Closed)
                }
            };
            if let Some(connection) = self.connections.get(&key) {
                connection.signal.send_if_modified(|current| {
                    let changes = *current != Signal::Closed;
                    if changes {
                        *current = signal;
                    }
                    changes
                });
            }
        }
    }

    fn address(&self, key: HolderKey) -> Option<SocketAddr> {
        self.connections.get(&key)?.address
    }

    /// Logs what was done last, and how often since the last line.
    fn log(&mut self, interface: &str, done: &str, address: Option<SocketAddr>, now: Time) {
        if self.logged_at.is_some_and(|logged_at| now < logged_at + LOG_INTERVAL) {
            return;
        }
        let MemoryStatus { bytes, connections, waiting, limits } = self.memory.status();
        let caller = address.map_or_else(|| "-".to_owned(), |address| address.to_string());
        log::warn!(
            "memory: interface={interface} caller={caller} done={done} refused={} closed={} \
             held={bytes} max_held={} connections={connections} max_connections={} \
             waiting={waiting}",
            self.refused,
            self.closed,
            limits.bytes,
            limits.connections
        );
        (self.refused, self.closed, self.logged_at) = (0, 0, Some(now));
    }
}

/// A connection in an account. Dropping it ends it there.
#[derive(Debug)]
pub struct Holder {
    account: Arc<Account>,
    key: HolderKey,
    signal: watch::Receiver<Signal>,
    /// Bytes of the answers that are charged. They are freed as a whole.
    answer: AtomicUsize,
    /// Bytes of them that are not written yet.
    unwritten: AtomicUsize,
}

impl Drop for Holder {
    fn drop(&mut self) {
        let answer = *self.answer.get_mut();
        self.account.update(|state, _| {
            state.connections.remove(&self.key);
            state.memory.release(Some(self.key), answer);
            state.memory.disconnect(self.key);
        });
        self.account.ended.notify_one();
    }
}

impl Holder {
    /// Completes when the connection must be closed.
    pub async fn closed(&self) {
        let mut signal = self.signal.clone();
        if signal.wait_for(|signal| *signal == Signal::Closed).await.is_err() {
            // The account keeps the sender until this is dropped.
            std::future::pending::<()>().await;
        }
    }

    /// The connection enters another phase.
    pub fn set_phase(&self, phase: HolderPhase) {
        self.account.update(|state, now| state.memory.set_phase(self.key, phase, now));
    }

    /// A request has arrived.
    pub(crate) fn start_request(&self) {
        self.set_phase(HolderPhase::Running);
    }

    /// An answer of `bytes` is ready to be written. `None` for one that is sent while it is produced,
    /// of which only a few messages are in memory. An earlier answer may not have been written yet,
    /// if requests are pipelined.
    pub(crate) fn start_answer(&self, bytes: Option<usize>) {
        let Some(bytes) = bytes else { return };
        self.answer.fetch_add(bytes, Ordering::Relaxed);
        let earlier = self.unwritten.fetch_add(bytes, Ordering::Relaxed);
        let phase = if earlier + bytes > 0 { HolderPhase::Answer } else { HolderPhase::Idle };
        self.account.update(|state, now| {
            state.memory.charge(self.key, bytes);
            state.memory.set_phase(self.key, phase, now);
        });
    }

    fn record_written(&self, bytes: usize) {
        let unwritten = self.unwritten.load(Ordering::Relaxed);
        if unwritten == 0 {
            return;
        }
        let left = unwritten.saturating_sub(bytes);
        self.unwritten.store(left, Ordering::Relaxed);
        if left == 0 {
            let answer = self.answer.swap(0, Ordering::Relaxed);
            self.account.update(|state, now| {
                state.memory.release(Some(self.key), answer);
                state.memory.end_answer(self.key, now);
            });
        }
    }

    /// Reserves bytes before they are read. `None` if there is no room in time.
    pub async fn reserve(&self, bytes: usize) -> Option<Charge> {
        let charge = || Charge { account: self.account.clone(), key: Some(self.key), bytes };
        let mut signal = self.signal.clone();
        let grant = self.account.update(|state, now| {
            if let Some(connection) = state.connections.get(&self.key) {
                connection.signal.send_if_modified(|signal| {
                    let is_stale = *signal != Signal::Closed;
                    if is_stale {
                        *signal = Signal::Open;
                    }
                    is_stale
                });
            }
            state.memory.reserve(self.key, bytes, now)
        });
        if grant == Grant::Granted {
            return Some(charge());
        }
        let _waiting = Waiting { holder: self, bytes };
        loop {
            let settled = signal.wait_for(|signal| *signal != Signal::Open);
            let signal = match timeout(WAIT_INTERVAL, settled).await {
                Ok(Ok(signal)) => *signal,
                Ok(Err(_)) => return None,
                Err(_) => {
                    self.account.update(|_, _| ());
                    continue;
                }
            };
            match signal {
                Signal::Granted => {
                    let is_granted =
                        self.account.update(|state, _| state.granted.remove(&self.key));
                    return is_granted.then(charge);
                }
                Signal::Refused => return None,
                // The connection is dropped next.
                Signal::Closed => std::future::pending().await,
                Signal::Open => {}
            }
        }
    }
}

/// A reservation that waits. Dropping it gives it up, unless it has been taken.
#[derive(Debug)]
struct Waiting<'a> {
    holder: &'a Holder,
    bytes: usize,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let key = self.holder.key;
        self.holder.account.update(|state, _| {
            if state.granted.remove(&key) {
                state.memory.release(Some(key), self.bytes);
            }
            state.memory.cancel(key);
        });
    }
}

/// Bytes in an account, until this is dropped. May outlive its connection.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    key: Option<HolderKey>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.update(|state, _| state.memory.release(self.key, self.bytes));
    }
}
