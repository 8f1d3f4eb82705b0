//! One searcher: its slot queue, its connections and what runs there.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use tt_limits::Acquired;
use tt_limits::CancelOutcome;
use tt_limits::ConnectionAction;
use tt_limits::ConnectionId;
use tt_limits::ConnectionSettings;
use tt_limits::Connections;
use tt_limits::QueuePolicy;
use tt_limits::QueueSettings;
use tt_limits::RejectReason;
use tt_limits::RunOutcome;
use tt_limits::SlotAction;
use tt_limits::SlotKind;
use tt_limits::SlotQueue;
use tt_limits::SubQuery;
use tt_limits::Ticket;
use tt_membership::Usage;
use tt_model::Searcher;
use tt_model::SearcherState;
use tt_rpc::Outcome;
use tt_rpc::SubReply;

use crate::owner::Right;
use crate::owner::Work;
use crate::owner::client;
use crate::owner::client::Bound;
use crate::owner::client::Exchange;
use crate::owner::client::Sender;
use crate::settings::Policy;

/// How often the status endpoint is read while the searcher is owned.
const STATUS_EVERY: Duration = Duration::from_millis(500);

/// Age at which what a searcher said is no longer passed on.
const STATUS_FRESH: Duration = Duration::from_secs(2);

/// Time until a status poll counts as failed.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// Time for a searcher to notice a closed connection and free the slot behind it. With 5 ms
/// a busy searcher was sent one sub-query more than it has slots.
const CLOSE_SETTLE: Duration = Duration::from_millis(20);

/// Least wait between two looks at the state without an event, so that a due action that
/// needs another event cannot make a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// What is known of the searcher from its own statements.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Status {
    pub(crate) leaving: bool,
    pub(crate) cold: bool,
    pub(crate) held: Vec<u64>,
}

/// One searcher.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    connect: Duration,
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Debug)]
struct State {
    queue: SlotQueue<Work>,
    connections: Connections,
    open: HashMap<ConnectionId, Open>,
    waiting: VecDeque<Started>,
    running: HashMap<Ticket, Run>,
    status: Status,
    /// When the searcher last said something.
    heard: Option<Instant>,
    polled: Option<Instant>,
    random: SmallRng,
    mode: Mode,
    /// Whether the document calls the searcher leaving, which its own statements cannot end.
    listed: SearcherState,
    /// End of the promise on the wall clock, as it was when the promise was asked for. A
    /// deadline taken from the other clock later would be too late by the time for which the
    /// VM was suspended.
    promise_ms: Option<u64>,
}

/// Whether a host takes steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    Serving,
    /// Takes none until the next [`Host::set_right`].
    Frozen,
    /// Ends when nothing runs any more.
    Retired,
}

#[derive(Debug)]
struct Open {
    sender: Option<Sender>,
    driver: AbortHandle,
}

#[derive(Debug)]
struct Started {
    ticket: Ticket,
    work: Work,
    bound: Bound,
}

#[derive(Debug)]
struct Run {
    connection: ConnectionId,
    task: AbortHandle,
    work: Arc<Work>,
}

/// What to do after the lock is released.
enum Step {
    Open(ConnectionId),
    Close(AbortHandle),
    Poll(ConnectionId, Sender),
}

impl Host {
    /// Starts the host of a searcher. It uses nothing before [`Host::set_right`].
    pub(crate) fn start(searcher: &Searcher, policy: Policy) -> Arc<Host> {
        let now = Instant::now();
        let queue = QueueSettings {
            policy: match policy {
                Policy::Adaptive => QueuePolicy::Fair,
                Policy::Baseline => QueuePolicy::Fifo,
            },
            ..QueueSettings::default()
        };
        let settings =
            ConnectionSettings { connect: searcher.connect, ..ConnectionSettings::default() };
        let state = State {
            queue: SlotQueue::new(now, queue),
            connections: Connections::new(settings),
            open: HashMap::new(),
            waiting: VecDeque::new(),
            running: HashMap::new(),
            status: Status::default(),
            heard: None,
            polled: None,
            random: SmallRng::seed_from_u64(u64::from(searcher.address.port())),
            mode: Mode::Serving,
            listed: SearcherState::Active,
            promise_ms: None,
        };
        let host = Arc::new(Host {
            address: searcher.address,
            slots: searcher.slots,
            connections: searcher.connections,
            connect: searcher.connect,
            state: Mutex::new(state),
            wake: Notify::new(),
        });
        tokio::spawn(host.clone().run());
        host
    }

    /// Whether the host's limits are those of `searcher`.
    pub(crate) fn fits(&self, searcher: &Searcher) -> bool {
        self.slots == searcher.slots
            && self.connections == searcher.connections
            && self.connect == searcher.connect
    }

    /// Takes in the state that the document gives.
    pub(crate) fn set_state(&self, state: SearcherState) {
        let before = std::mem::replace(&mut self.lock().listed, state);
        match (before, state) {
            (_, SearcherState::Leaving) => self.mark_leaving(),
            // The next status poll tells whether it takes work again.
            (SearcherState::Leaving | SearcherState::Active, SearcherState::Active) => {}
        }
    }

    /// Starts nothing more at the searcher.
    pub(crate) fn mark_leaving(&self) {
        let mut state = self.lock();
        if !state.status.leaving {
            state.status.leaving = true;
            state.queue.drain();
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Drains and ends the host of a searcher that no document names.
    pub(crate) fn retire(&self) {
        let mut state = self.lock();
        state.queue.drain();
        state.mode = Mode::Retired;
        drop(state);
        self.wake.notify_one();
    }

    /// Stops starting sub-queries and opening connections until the next
    /// [`Host::set_right`], so that the use that is reported in between stays true.
    pub(crate) fn freeze(&self) {
        let mut state = self.lock();
        if state.mode == Mode::Serving {
            state.mode = Mode::Frozen;
        }
    }

    /// What this daemon uses of the searcher.
    pub(crate) fn usage(&self) -> Usage {
        let state = self.lock();
        let bounded = state.queue.running_promised();
        Usage {
            slots: state.queue.running() - bounded,
            bounded,
            connections: state.connections.count(),
        }
    }

    /// Changes the right to use the searcher.
    pub(crate) fn set_right(&self, right: Right) {
        let now = Instant::now();
        let mut state = self.lock();
        let state = &mut *state;
        if state.mode == Mode::Frozen {
            state.mode = Mode::Serving;
        }
        state.promise_ms = right.promise_ms;
        state.queue.set_right(right.slots);
        state.connections.set_limit(now, right.connections, &mut state.random);
        state.connections.set_need(right.slots.allowed(now));
        self.wake.notify_one();
    }

    /// Sub-queries that hold a slot.
    pub(crate) fn running(&self) -> u32 {
        self.lock().queue.running()
    }

    /// What the searcher has said lately. A daemon that no longer uses the searcher has
    /// nothing to say about it.
    pub(crate) fn status(&self) -> Option<Status> {
        let state = self.lock();
        let fresh = state.heard.is_some_and(|heard| heard.elapsed() < STATUS_FRESH);
        let listed = state.listed == SearcherState::Leaving;
        (fresh || listed).then(|| state.status.clone())
    }

    /// Queues a sub-query; the outcome is reported on its channel.
    pub(crate) fn push(&self, work: Work) -> Option<Ticket> {
        let now = Instant::now();
        let call = &work.call;
        let sub = SubQuery {
            service: call.service,
            share: call.share,
            urgency: call.urgency,
            deadline: call.deadline,
        };
        let pushed = self.lock().queue.push(now, sub, work);
        match pushed {
            Ok(ticket) => {
                self.wake.notify_one();
                Some(ticket)
            }
            Err(rejected) => {
                self.report(&rejected.item, refusal(rejected.reason));
                None
            }
        }
    }

    /// Cancels a sub-query. One that runs loses its connection.
    pub(crate) fn cancel(self: &Arc<Self>, ticket: Ticket) {
        let mut state = self.lock();
        match state.queue.cancel(ticket) {
            CancelOutcome::Dequeued(work) => {
                drop(state);
                self.report(&work, Outcome::Cancelled);
            }
            CancelOutcome::Running => self.abort(state, ticket, Outcome::Failed),
            CancelOutcome::Unknown => {}
        }
    }

    async fn run(self: Arc<Self>) {
        loop {
            self.start_queued();
            let wake_at = match self.serve_connections() {
                Next::End => return,
                Next::At(time) => time,
            };
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep_until(wake_at) => {}
            }
        }
    }

    /// Takes the queue's next actions and gives started sub-queries their connections.
    fn start_queued(self: &Arc<Self>) {
        loop {
            let now = Instant::now();
            let mut state = self.lock();
            if state.mode == Mode::Frozen {
                return;
            }
            let Some(action) = state.queue.next_action(now) else {
                break;
            };
            match action {
                SlotAction::Start { ticket, item, deadline, slot } => {
                    let latest_ms = match slot {
                        SlotKind::Half => None,
                        SlotKind::Promised => state.promise_ms,
                    };
                    let bound = Bound { deadline, latest_ms };
                    state.waiting.push_back(Started { ticket, work: item, bound });
                }
                SlotAction::Reject { item, reason, .. } => {
                    drop(state);
                    self.report(&item, refusal(reason));
                }
                SlotAction::Cancel { ticket } => self.abort(state, ticket, Outcome::Failed),
            }
        }
        self.send_waiting();
    }

    fn send_waiting(self: &Arc<Self>) {
        let mut state = self.lock();
        let state = &mut *state;
        while !state.waiting.is_empty() {
            let Acquired::Reuse(connection) = state.connections.acquire() else {
                return;
            };
            let sender = state.open.get_mut(&connection).and_then(|open| open.sender.take());
            let Some(sender) = sender else {
                state.connections.closed(Instant::now(), connection, &mut state.random);
                continue;
            };
            let Some(started) = state.waiting.pop_front() else {
                return;
            };
            let work = Arc::new(started.work);
            let task = tokio::spawn(self.clone().exchange(
                started.ticket,
                connection,
                sender,
                work.clone(),
                started.bound,
            ));
            let run = Run { connection, task: task.abort_handle(), work };
            state.running.insert(started.ticket, run);
        }
    }

    async fn exchange(
        self: Arc<Self>,
        ticket: Ticket,
        connection: ConnectionId,
        sender: Sender,
        work: Arc<Work>,
        bound: Bound,
    ) {
        let started = Instant::now();
        let exchange = client::search(sender, &work, bound).await;
        self.finish(ticket, connection, exchange, &work, started);
    }

    fn finish(
        &self,
        ticket: Ticket,
        connection: ConnectionId,
        exchange: Exchange,
        work: &Work,
        started: Instant,
    ) {
        let now = Instant::now();
        let Exchange { mut reply, sender } = exchange;
        let mut guard = self.lock();
        let state = &mut *guard;
        // An abort has already reported the outcome.
        if state.running.remove(&ticket).is_none() {
            return;
        }
        state.queue.finish(now, ticket, run_outcome(reply.outcome()));
        match sender {
            Some(sender) => state.give_back(now, connection, sender),
            None => state.drop_connection(connection),
        }
        state.note(now, &reply);
        reply.service_us = started.elapsed().as_micros() as u64;
        reply.pressure_us = state.queue.pressure(now).expected_wait.as_micros() as u64;
        drop(guard);
        self.wake.notify_one();
        // The entry may have gone away.
        let _ = work.reply.send(reply);
    }

    /// Ends a running or waiting sub-query by closing its connection.
    fn abort(self: &Arc<Self>, mut guard: MutexGuard<'_, State>, ticket: Ticket, outcome: Outcome) {
        let state = &mut *guard;
        if let Some(position) = state.waiting.iter().position(|started| started.ticket == ticket) {
            let started = state.waiting.remove(position);
            state.queue.finish(Instant::now(), ticket, RunOutcome::NotRun);
            drop(guard);
            if let Some(started) = started {
                self.report(&started.work, Outcome::Expired);
            }
            return;
        }
        let Some(run) = state.running.remove(&ticket) else {
            return;
        };
        run.task.abort();
        state.connections.abort(run.connection);
        state.drop_connection(run.connection);
        drop(guard);
        self.report(&run.work, outcome);
        let host = self.clone();
        tokio::spawn(async move {
            sleep(CLOSE_SETTLE).await;
            host.lock().queue.finish(Instant::now(), ticket, RunOutcome::Failed);
            host.wake.notify_one();
        });
    }

    /// Opens, closes and polls connections as decided, and returns when to look again.
    fn serve_connections(self: &Arc<Self>) -> Next {
        loop {
            let now = Instant::now();
            let mut guard = self.lock();
            let state = &mut *guard;
            if state.is_over() {
                return Next::End;
            }
            if state.mode == Mode::Frozen {
                return Next::At(now + STATUS_EVERY);
            }
            let allowed = state.queue.allowed(now);
            state.connections.set_need(allowed.max(state.queue.running()));
            let step = state.next_step(now);
            let Some(step) = step else {
                let times = [state.queue.wake_at(), state.connections.wake_at()];
                let poll = state.polled.map_or(now, |polled| polled) + STATUS_EVERY;
                let next = times.into_iter().flatten().fold(poll, Instant::min);
                return Next::At(next.max(now + MIN_WAIT));
            };
            drop(guard);
            match step {
                Step::Open(id) => {
                    tokio::spawn(self.clone().open(id));
                }
                Step::Close(driver) => driver.abort(),
                Step::Poll(id, sender) => {
                    tokio::spawn(self.clone().poll(id, sender));
                }
            }
        }
    }

    async fn open(self: Arc<Self>, id: ConnectionId) {
        let connected = client::connect(self.address, self.connect).await;
        let now = Instant::now();
        let Some((sender, driver)) = connected else {
            self.lost(id);
            return;
        };
        let host = self.clone();
        let task = tokio::spawn(async move {
            let _end = Closed { host, id };
            // The end of a connection shows in the exchange that uses it.
            let _ = driver.await;
        });
        let mut state = self.lock();
        state.open.insert(id, Open { sender: Some(sender), driver: task.abort_handle() });
        state.connections.opened(now, id);
        drop(state);
        self.send_waiting();
        self.wake.notify_one();
    }

    async fn poll(self: Arc<Self>, id: ConnectionId, sender: Sender) {
        let answer = timeout(STATUS_LIMIT, client::status(sender)).await;
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        match answer {
            Ok((body, Some(sender))) => {
                state.give_back(now, id, sender);
                if let Some(body) = body {
                    state.note_status(now, &body.state, body.snapshots);
                }
            }
            Ok((_, None)) | Err(_) => state.drop_connection(id),
        }
        drop(guard);
        self.wake.notify_one();
    }

    fn lost(&self, id: ConnectionId) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let now = Instant::now();
        state.open.remove(&id);
        state.connections.closed(now, id, &mut state.random);
        // Without any connection the searcher is taken to be unreachable; its replicas may
        // have the answer sooner than the next attempt.
        let stranded: Vec<Started> =
            if state.open.is_empty() { state.waiting.drain(..).collect() } else { Vec::new() };
        for started in &stranded {
            state.queue.finish(now, started.ticket, RunOutcome::NotRun);
        }
        drop(guard);
        for started in &stranded {
            self.report(&started.work, Outcome::Unreachable);
        }
        self.wake.notify_one();
    }

    fn report(&self, work: &Work, outcome: Outcome) {
        let mut reply = client::outcome(work.key, outcome);
        let pressure = self.lock().queue.pressure(Instant::now());
        reply.pressure_us = pressure.expected_wait.as_micros() as u64;
        // The entry may have gone away.
        let _ = work.reply.send(reply);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// When a host looks at its state again.
enum Next {
    At(Instant),
    End,
}

/// Reports the end of a connection, also when its task is aborted.
struct Closed {
    host: Arc<Host>,
    id: ConnectionId,
}

impl Drop for Closed {
    fn drop(&mut self) {
        self.host.lost(self.id);
    }
}

impl State {
    fn next_step(&mut self, now: Instant) -> Option<Step> {
        match self.connections.next_action(now, &mut self.random) {
            Some(ConnectionAction::Open(id)) => return Some(Step::Open(id)),
            Some(ConnectionAction::Close(id)) => {
                // Without a socket there is nothing to close.
                if let Some(open) = self.open.get(&id) {
                    return Some(Step::Close(open.driver.clone()));
                }
                self.connections.closed(now, id, &mut self.random);
            }
            None => {}
        }
        let due = self.polled.is_none_or(|polled| now >= polled + STATUS_EVERY);
        if !due || !self.waiting.is_empty() {
            return None;
        }
        let Acquired::Reuse(id) = self.connections.acquire() else {
            return None;
        };
        self.polled = Some(now);
        let sender = self.open.get_mut(&id).and_then(|open| open.sender.take())?;
        Some(Step::Poll(id, sender))
    }

    fn give_back(&mut self, now: Instant, id: ConnectionId, sender: Sender) {
        if let Some(open) = self.open.get_mut(&id) {
            open.sender = Some(sender);
            self.connections.released(now, id);
        }
    }

    /// Closes the socket; its driver reports the end.
    fn drop_connection(&mut self, id: ConnectionId) {
        if let Some(open) = self.open.get(&id) {
            open.driver.abort();
        }
    }

    /// Takes in what a reply says about the searcher.
    fn note(&mut self, now: Instant, reply: &SubReply) {
        match reply.outcome() {
            Outcome::Answered
            | Outcome::Shed
            | Outcome::Draining
            | Outcome::SnapshotGone
            | Outcome::WrongShard => self.heard = Some(now),
            Outcome::Failed
            | Outcome::Unreachable
            | Outcome::Expired
            | Outcome::NotOwner
            | Outcome::Cancelled => {}
        }
        if !reply.held.is_empty() && reply.held != self.status.held {
            self.status.held.clone_from(&reply.held);
        }
        if reply.outcome() == Outcome::Draining && !self.status.leaving {
            self.status.leaving = true;
            self.queue.drain();
        }
    }

    /// Takes in what the status endpoint says. A drain is believed at once; the end of one is
    /// believed too, because a reply that contradicts it drains the queue again.
    fn note_status(&mut self, now: Instant, name: &str, held: Vec<u64>) {
        let leaving = name == "draining";
        let cold = name == "cold";
        if leaving && !self.status.leaving {
            self.queue.drain();
        }
        let leaving = leaving || self.listed == SearcherState::Leaving;
        if !leaving && self.status.leaving {
            self.queue.resume();
        }
        if cold && !self.status.cold {
            self.queue.cold_start(now);
        }
        self.status = Status { leaving, cold, held };
        self.heard = Some(now);
    }

    fn is_over(&self) -> bool {
        self.mode == Mode::Retired && self.queue.running() == 0 && self.waiting.is_empty()
    }
}

fn refusal(reason: RejectReason) -> Outcome {
    match reason {
        RejectReason::DeadlinePassed => Outcome::Expired,
        RejectReason::WaitTooLong | RejectReason::QueueFull => Outcome::Shed,
        RejectReason::SearcherLeaving => Outcome::Draining,
        RejectReason::NoRight => Outcome::NotOwner,
    }
}

fn run_outcome(outcome: Outcome) -> RunOutcome {
    match outcome {
        Outcome::Answered => RunOutcome::Answered,
        Outcome::Failed => RunOutcome::Failed,
        Outcome::Shed
        | Outcome::Draining
        | Outcome::SnapshotGone
        | Outcome::WrongShard
        | Outcome::Unreachable
        | Outcome::Expired
        | Outcome::NotOwner
        | Outcome::Cancelled => RunOutcome::NotRun,
    }
}
