//! The task of a worker: starts, finishes and cancels sub-queries, and manages connections.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::owner::Work;
use crate::owner::client;
use crate::owner::client::Deadlines;
use crate::owner::client::Exchange;
use crate::owner::client::Sender;
use crate::owner::worker::Worker;
use crate::owner::worker::rejection_outcome;
use crate::owner::worker::state::Mode;
use crate::owner::worker::state::OpenConnection;
use crate::owner::worker::state::Pending;
use crate::owner::worker::state::Run;
use crate::owner::worker::state::STATUS_INTERVAL;
use crate::owner::worker::state::State;
use crate::owner::worker::state::Step;
use crate::owner::worker::state::WakePending;
use tt_limits::Acquired;
use tt_limits::ConnectionId;
use tt_limits::RunOutcome;
use tt_limits::SlotAction;
use tt_limits::SlotKind;
use tt_limits::Ticket;
use tt_rpc::Outcome;

/// Timeout of a status poll.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a searcher to notice a closed connection and free its slot. With 5 ms, a busy
/// searcher was sent one sub-query more than it has slots.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Minimum delay before the worker wakes up without an event. It prevents a busy loop when an
/// action is due that has to wait for an event.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// When a worker runs its next step.
enum Next {
    At(Instant),
    End,
}

/// Calls [`Worker::on_closed`] when the task of a connection ends, also when it is aborted.
struct CloseGuard {
    worker: Arc<Worker>,
    id: ConnectionId,
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.worker.on_closed(self.id);
    }
}

impl Worker {
    pub(super) async fn run(self: Arc<Self>) {
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

    /// Executes the actions of the queue, and sends the started sub-queries for which there is a
    /// connection.
    fn start_queued(self: &Arc<Self>) {
        loop {
            let now = Instant::now();
            let mut state = self.lock();
            if let Mode::Frozen(_) = state.mode {
                state.mode = Mode::Frozen(WakePending::Yes);
                return;
            }
            let Some(action) = state.queue.next_action(now) else {
                break;
            };
            match action {
                SlotAction::Start { ticket, item, deadline, slot } => {
                    let lease_end_ms = match slot {
                        SlotKind::Own => None,
                        SlotKind::Leased => state.grant.and_then(|grant| grant.lease_end_ms),
                    };
                    let deadlines = Deadlines { deadline, lease_end_ms };
                    state.waiting.push_back(Pending { ticket, work: item, deadlines });
                }
                SlotAction::Reject { item, reason, .. } => {
                    drop(state);
                    self.report(&item, rejection_outcome(reason));
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
                state.connections.on_closed(Instant::now(), connection, &mut state.random);
                continue;
            };
            let Some(pending) = state.waiting.pop_front() else {
                return;
            };
            let work = Arc::new(pending.work);
            let task = tokio::spawn(self.clone().exchange(
                pending.ticket,
                connection,
                sender,
                work.clone(),
                pending.deadlines,
            ));
            let run = Run { connection, task: task.abort_handle(), work };
            state.running.insert(pending.ticket, run);
        }
    }

    async fn exchange(
        self: Arc<Self>,
        ticket: Ticket,
        connection: ConnectionId,
        sender: Sender,
        work: Arc<Work>,
        deadlines: Deadlines,
    ) {
        let started = Instant::now();
        let exchange = client::search(sender, &work, deadlines, &self.replies).await;
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
            Some(sender) => state.return_connection(now, connection, sender),
            None => state.close_connection(connection),
        }
        state.on_reply(now, &reply);
        reply.service_us = started.elapsed().as_micros() as u64;
        reply.pressure_us = state.queue.pressure(now).expected_wait.as_micros() as u64;
        drop(guard);
        self.wake.notify_one();
        // The entry may no longer wait for the reply.
        let _ = work.reply.send(reply);
    }

    /// Ends a started sub-query. If it has a connection, the connection is closed.
    pub(super) fn abort(
        self: &Arc<Self>,
        mut guard: MutexGuard<'_, State>,
        ticket: Ticket,
        outcome: Outcome,
    ) {
        let state = &mut *guard;
        if let Some(position) = state.waiting.iter().position(|pending| pending.ticket == ticket) {
            let pending = state.waiting.remove(position);
            state.queue.finish(Instant::now(), ticket, RunOutcome::NotRun);
            drop(guard);
            if let Some(pending) = pending {
                self.report(&pending.work, Outcome::Expired);
            }
            return;
        }
        let Some(run) = state.running.remove(&ticket) else {
            return;
        };
        run.task.abort();
        state.connections.abort(run.connection);
        state.close_connection(run.connection);
        drop(guard);
        self.report(&run.work, outcome);
        let worker = self.clone();
        tokio::spawn(async move {
            sleep(CLOSE_DELAY).await;
            worker.lock().queue.finish(Instant::now(), ticket, RunOutcome::Failed);
            worker.wake.notify_one();
        });
    }

    /// Opens, closes and polls connections, and returns when to run the next step.
    fn serve_connections(self: &Arc<Self>) -> Next {
        loop {
            let now = Instant::now();
            let mut guard = self.lock();
            let state = &mut *guard;
            if state.is_finished() {
                return Next::End;
            }
            if let Mode::Frozen(_) = state.mode {
                state.mode = Mode::Frozen(WakePending::Yes);
                return Next::At(now + STATUS_INTERVAL);
            }
            let allowed = state.queue.allowed_slots(now);
            state.connections.set_concurrency(allowed.max(state.queue.running()));
            let step = state.next_step(now);
            let Some(step) = step else {
                let times = [state.queue.wake_at(), state.connections.wake_at()];
                let poll = state.last_poll.map_or(now, |polled| polled) + STATUS_INTERVAL;
                let next = times.into_iter().flatten().fold(poll, Instant::min);
                return Next::At(next.max(now + MIN_WAKE_DELAY));
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
        let connected = client::connect(self.address, self.connect_time).await;
        let now = Instant::now();
        let Some((sender, driver)) = connected else {
            self.on_closed(id);
            return;
        };
        let worker = self.clone();
        let task = tokio::spawn(async move {
            let _guard = CloseGuard { worker, id };
            // An error is reported by the exchange that uses the connection.
            let _ = driver.await;
        });
        let mut state = self.lock();
        state.open.insert(id, OpenConnection { sender: Some(sender), driver: task.abort_handle() });
        state.connections.on_opened(now, id);
        drop(state);
        self.send_waiting();
        self.wake.notify_one();
    }

    async fn poll(self: Arc<Self>, id: ConnectionId, sender: Sender) {
        let answer = timeout(STATUS_TIMEOUT, client::status(sender, &self.replies)).await;
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        match answer {
            Ok((body, Some(sender))) => {
                state.return_connection(now, id, sender);
                if let Some(body) = body {
                    state.on_status(now, &body.state, body.snapshots);
                }
            }
            Ok((_, None)) | Err(_) => state.close_connection(id),
        }
        drop(guard);
        self.wake.notify_one();
    }

    fn on_closed(&self, id: ConnectionId) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let now = Instant::now();
        state.open.remove(&id);
        state.connections.on_closed(now, id, &mut state.random);
        // Without any connection the searcher counts as unreachable; a replica may answer sooner
        // than this searcher after the next connection attempt.
        let unreachable: Vec<Pending> =
            if state.open.is_empty() { state.waiting.drain(..).collect() } else { Vec::new() };
        for pending in &unreachable {
            state.queue.finish(now, pending.ticket, RunOutcome::NotRun);
        }
        drop(guard);
        for pending in &unreachable {
            self.report(&pending.work, Outcome::Unreachable);
        }
        self.wake.notify_one();
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
