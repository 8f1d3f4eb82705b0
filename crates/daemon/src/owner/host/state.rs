//! The state of a host, under its lock.

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
use crate::owner::host::Status;
use tt_limits::Acquired;
use tt_limits::ConnectionAction;
use tt_limits::ConnectionId;
use tt_limits::Connections;
use tt_limits::SlotQueue;
use tt_limits::Ticket;
use tt_model::SearcherState;
use tt_rpc::Outcome;
use tt_rpc::SubReply;

/// How often the status endpoint is read while the searcher is owned.
pub(super) const STATUS_EVERY: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct State {
    pub(super) queue: SlotQueue<Work>,
    pub(super) connections: Connections,
    pub(super) open: HashMap<ConnectionId, Open>,
    pub(super) waiting: VecDeque<Started>,
    pub(super) running: HashMap<Ticket, Run>,
    pub(super) status: Status,
    /// When the searcher last said something.
    pub(super) heard: Option<Instant>,
    pub(super) polled: Option<Instant>,
    pub(super) random: SmallRng,
    pub(super) mode: Mode,
    /// Whether the document calls the searcher leaving, which its own statements cannot end.
    pub(super) listed: SearcherState,
    /// The grant in force. Its lease end is a wall-clock time, computed when the lease was
    /// requested: one computed later from the monotonic clock would be too late by the time for
    /// which the VM was suspended.
    pub(super) grant: Option<SearcherGrant>,
}

/// Whether a host takes steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    Serving,
    /// Takes none until the next [`Host::set_grant`].
    Frozen(Steps),
    /// Ends when nothing runs any more.
    Retired,
}

/// Whether a frozen host was asked to take a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Steps {
    NoneDue,
    Due,
}

#[derive(Debug)]
pub(super) struct Open {
    pub(super) sender: Option<Sender>,
    pub(super) driver: AbortHandle,
}

#[derive(Debug)]
pub(super) struct Started {
    pub(super) ticket: Ticket,
    pub(super) work: Work,
    pub(super) deadlines: Deadlines,
}

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
        let sender = self.open.get_mut(&id).and_then(|open| open.sender.take());
        if sender.is_none() {
            self.connections.closed(now, id, &mut self.random);
        }
        Some(Step::Poll(id, sender?))
    }

    pub(super) fn give_back(&mut self, now: Instant, id: ConnectionId, sender: Sender) {
        if let Some(open) = self.open.get_mut(&id) {
            open.sender = Some(sender);
            self.connections.released(now, id);
        }
    }

    /// Closes the socket; its driver reports the end.
    pub(super) fn drop_connection(&mut self, id: ConnectionId) {
        if let Some(open) = self.open.get(&id) {
            open.driver.abort();
        }
    }

    /// Takes in what a reply says about the searcher.
    pub(super) fn note(&mut self, now: Instant, reply: &SubReply) {
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
    pub(super) fn note_status(&mut self, now: Instant, name: &str, held: Vec<u64>) {
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

    pub(super) fn is_over(&self) -> bool {
        self.mode == Mode::Retired && self.queue.running() == 0 && self.waiting.is_empty()
    }
}
