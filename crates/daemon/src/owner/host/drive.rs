//! The work of a host: starting, finishing and cancelling sub-queries, and its connections.

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
use crate::owner::host::Host;
use crate::owner::host::refusal;
use crate::owner::host::state::Mode;
use crate::owner::host::state::Open;
use crate::owner::host::state::Run;
use crate::owner::host::state::STATUS_EVERY;
use crate::owner::host::state::Started;
use crate::owner::host::state::State;
use crate::owner::host::state::Step;
use crate::owner::host::state::Steps;
use tt_limits::Acquired;
use tt_limits::ConnectionId;
use tt_limits::RunOutcome;
use tt_limits::SlotAction;
use tt_limits::SlotKind;
use tt_limits::Ticket;
use tt_rpc::Outcome;

/// Time until a status poll counts as failed.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// Time for a searcher to notice a closed connection and free the slot behind it. With 5 ms
/// a busy searcher was sent one sub-query more than it has slots.
const CLOSE_SETTLE: Duration = Duration::from_millis(20);

/// Least wait between two looks at the state without an event, so that a due action that
/// needs another event cannot make a busy loop.
const MIN_WAIT: Duration = Duration::from_millis(1);

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

impl Host {
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

    /// Takes the queue's next actions and gives started sub-queries their connections.
    fn start_queued(self: &Arc<Self>) {
        loop {
            let now = Instant::now();
            let mut state = self.lock();
            if let Mode::Frozen(_) = state.mode {
                state.mode = Mode::Frozen(Steps::Due);
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
                    state.waiting.push_back(Started { ticket, work: item, deadlines });
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
                started.deadlines,
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
        deadlines: Deadlines,
    ) {
        let started = Instant::now();
        let exchange = client::search(sender, &work, deadlines).await;
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
    pub(super) fn abort(
        self: &Arc<Self>,
        mut guard: MutexGuard<'_, State>,
        ticket: Ticket,
        outcome: Outcome,
    ) {
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
            if let Mode::Frozen(_) = state.mode {
                state.mode = Mode::Frozen(Steps::Due);
                return Next::At(now + STATUS_EVERY);
            }
            let allowed = state.queue.allowed_slots(now);
            state.connections.set_concurrency(allowed.max(state.queue.running()));
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
