//! The state of a worker, behind its lock.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::owner::SearcherGrant;
use crate::owner::Work;
use crate::owner::client::Deadlines;
use crate::owner::client::Sender;
use crate::owner::worker::Status;
use tt_limits::Acquired;
use tt_limits::ConnectionAction;
use tt_limits::ConnectionId;
use tt_limits::Connections;
use tt_limits::SlotQueue;
use tt_limits::Ticket;
use tt_model::SearcherState;
use tt_rpc::Outcome;
use tt_rpc::SubReply;

/// Interval at which the status endpoint is read while there are connections.
pub(super) const STATUS_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct State {
    pub(super) queue: SlotQueue<Work>,
    pub(super) connections: Connections,
    pub(super) open: HashMap<ConnectionId, OpenConnection>,
    pub(super) waiting: VecDeque<Pending>,
    pub(super) running: HashMap<Ticket, Run>,
    pub(super) status: Status,
    /// When the searcher last replied.
    pub(super) last_heard: Option<Instant>,
    pub(super) last_poll: Option<Instant>,
    pub(super) random: SmallRng,
    pub(super) mode: Mode,
    /// The state of the searcher in the document. If the document lists it as leaving, its own
    /// status does not change that.
    pub(super) document_state: SearcherState,
    /// The grant in force. Its lease end is a wall-clock time, computed when the lease was
    /// requested: one computed later from the monotonic clock would be too late by the time for
    /// which the VM was suspended.
    pub(super) grant: Option<SearcherGrant>,
}

/// Whether a worker starts sub-queries and opens connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    Serving,
    /// Starts nothing until the next [`Worker::set_grant`].
    Frozen(WakePending),
    /// Starts nothing, and ends when no sub-query runs any more.
    Retired,
}

/// Whether a worker skipped a step because it was frozen, so that it must be woken afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WakePending {
    No,
    Yes,
}

/// An open connection. The sender is taken out while the connection is in use.
#[derive(Debug)]
pub(super) struct OpenConnection {
    pub(super) sender: Option<Sender>,
    pub(super) driver: AbortHandle,
}

/// A sub-query that has a slot and waits for a connection.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) ticket: Ticket,
    pub(super) work: Work,
    pub(super) deadlines: Deadlines,
}

/// A sub-query that was sent on a connection.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) connection: ConnectionId,
    pub(super) task: AbortHandle,
    pub(super) work: Arc<Work>,
}

/// What to do after the lock is released.
pub(super) enum Step {
    Open(ConnectionId),
    Close(AbortHandle),
    Poll(ConnectionId, Sender),
}

impl State {
    pub(super) fn next_step(&mut self, now: Instant) -> Option<Step> {
        match self.connections.next_action(now, &mut self.random) {
            Some(ConnectionAction::Open(id)) => return Some(Step::Open(id)),
            Some(ConnectionAction::Close(id)) => {
                // The socket is already gone, so there is nothing to close.
                if let Some(open) = self.open.get(&id) {
                    return Some(Step::Close(open.driver.clone()));
                }
                self.connections.on_closed(now, id, &mut self.random);
            }
            None => {}
        }
        let due = self.last_poll.is_none_or(|polled| now >= polled + STATUS_INTERVAL);
        if !due || !self.waiting.is_empty() {
            return None;
        }
        let Acquired::Reuse(id) = self.connections.acquire() else {
            return None;
        };
        self.last_poll = Some(now);
        let sender = self.open.get_mut(&id).and_then(|open| open.sender.take());
        if sender.is_none() {
            self.connections.on_closed(now, id, &mut self.random);
        }
        Some(Step::Poll(id, sender?))
    }

    pub(super) fn return_connection(&mut self, now: Instant, id: ConnectionId, sender: Sender) {
        if let Some(open) = self.open.get_mut(&id) {
            open.sender = Some(sender);
            self.connections.on_released(now, id);
        }
    }

    /// Closes the socket; the guard in its driver task then reports the end.
    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        if let Some(open) = self.open.get(&id) {
            open.driver.abort();
        }
    }

    /// Updates the status of the searcher from a reply.
    pub(super) fn on_reply(&mut self, now: Instant, reply: &SubReply) {
        match reply.outcome() {
            Outcome::Answered
            | Outcome::Shed
            | Outcome::Draining
            | Outcome::SnapshotGone
            | Outcome::WrongShard => self.last_heard = Some(now),
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

    /// Updates the status of the searcher from a status poll. The start and the end of a drain
    /// both take effect at once; if the end was wrong, the next reply drains the queue again.
    pub(super) fn on_status(&mut self, now: Instant, name: &str, held: Vec<u64>) {
        let leaving = name == "draining";
        let cold = name == "cold";
        if leaving && !self.status.leaving {
            self.queue.drain();
        }
        let leaving = leaving || self.document_state == SearcherState::Leaving;
        if !leaving && self.status.leaving {
            self.queue.resume();
        }
        if cold && !self.status.cold {
            self.queue.cold_start(now);
        }
        self.status = Status { leaving, cold, held };
        self.last_heard = Some(now);
    }

    pub(super) fn is_finished(&self) -> bool {
        self.mode == Mode::Retired && self.queue.running() == 0 && self.waiting.is_empty()
    }
}
