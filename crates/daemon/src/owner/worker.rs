//! The worker of one searcher: its slot queue, its connections and the sub-queries that run.

mod drive;
mod state;

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
use tokio::time::Instant;

use crate::owner::SearcherGrant;
use crate::owner::Work;
use crate::owner::client;
use crate::owner::worker::state::Mode;
use crate::owner::worker::state::State;
use crate::owner::worker::state::WakePending;
use crate::settings::Policy;
use tt_front::AnswerMemory;
use tt_limits::CancelOutcome;
use tt_limits::ConnectionSettings;
use tt_limits::Connections;
use tt_limits::QueuePolicy;
use tt_limits::QueueSettings;
use tt_limits::RejectReason;
use tt_limits::SlotQueue;
use tt_limits::SubQuery;
use tt_limits::Ticket;
use tt_membership::SearcherKey;
use tt_membership::Usage;
use tt_model::Searcher;
use tt_model::SearcherState;
use tt_rpc::Outcome;

/// How long after the last reply of a searcher its status is passed on.
const STATUS_TTL: Duration = Duration::from_secs(2);

/// The state of a searcher, from its own reports; `leaving` also from the document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Status {
    pub(crate) leaving: bool,
    pub(crate) cold: bool,
    pub(crate) held: Vec<u64>,
}

/// Runs sub-queries at one searcher.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) key: SearcherKey,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    connect_time: Duration,
    /// Memory for the replies of all searchers.
    replies: Arc<AnswerMemory>,
    state: Mutex<State>,
    wake: Notify,
}

impl Worker {
    /// Starts the worker of a searcher. It uses no slot or connection before
    /// [`Worker::set_grant`]. `replies` is the memory that the replies of all searchers share.
    pub(crate) fn start(
        searcher: &Searcher,
        policy: Policy,
        replies: Arc<AnswerMemory>,
    ) -> Arc<Worker> {
        let now = Instant::now();
        let queue = QueueSettings {
            policy: match policy {
                Policy::Adaptive => QueuePolicy::Fair,
                Policy::Baseline => QueuePolicy::Fifo,
            },
            ..QueueSettings::default()
        };
        let settings = ConnectionSettings {
            connect_time: searcher.connect_time,
            ..ConnectionSettings::default()
        };
        let state = State {
            queue: SlotQueue::new(now, queue),
            connections: Connections::new(settings),
            open: HashMap::new(),
            waiting: VecDeque::new(),
            running: HashMap::new(),
            status: Status::default(),
            last_heard: None,
            last_poll: None,
            random: SmallRng::seed_from_u64(u64::from(searcher.address.port())),
            mode: Mode::Serving,
            document_state: SearcherState::Active,
            grant: None,
        };
        let worker = Arc::new(Worker {
            key: SearcherKey::of(searcher.address),
            address: searcher.address,
            slots: searcher.slots,
            connections: searcher.connections,
            connect_time: searcher.connect_time,
            replies,
            state: Mutex::new(state),
            wake: Notify::new(),
        });
        tokio::spawn(worker.clone().run());
        worker
    }

    /// Whether the worker has the same limits and connect time as `searcher`.
    pub(crate) fn has_limits_of(&self, searcher: &Searcher) -> bool {
        self.slots == searcher.slots
            && self.connections == searcher.connections
            && self.connect_time == searcher.connect_time
    }

    /// Sets the state that the document gives for the searcher.
    pub(crate) fn set_document_state(&self, state: SearcherState) {
        let before = std::mem::replace(&mut self.lock().document_state, state);
        match (before, state) {
            (_, SearcherState::Leaving) => self.mark_leaving(),
            // The next status poll shows whether the searcher takes work again.
            (SearcherState::Leaving | SearcherState::Active, SearcherState::Active) => {}
        }
    }

    /// Stops starting sub-queries at the searcher; running ones finish.
    pub(crate) fn mark_leaving(&self) {
        let mut state = self.lock();
        if !state.status.leaving {
            state.status.leaving = true;
            state.queue.drain();
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Drains the worker of a searcher that no document names any more, and ends it.
    pub(crate) fn retire(&self) {
        let mut state = self.lock();
        state.queue.drain();
        state.mode = Mode::Retired;
        drop(state);
        self.wake.notify_one();
    }

    /// Stops starting sub-queries and opening connections until the next
    /// [`Worker::set_grant`], so that the usage read in between does not change.
    pub(crate) fn freeze(&self) {
        let mut state = self.lock();
        if state.mode == Mode::Serving {
            state.mode = Mode::Frozen(WakePending::No);
        }
    }

    /// What this daemon uses of the searcher.
    pub(crate) fn usage(&self) -> Usage {
        let state = self.lock();
        let leased = state.queue.running_leased();
        Usage {
            slots: state.queue.running() - leased,
            leased,
            connections: state.connections.count(),
        }
    }

    /// Changes what this daemon may use of the searcher, and ends a freeze.
    pub(crate) fn set_grant(&self, grant: SearcherGrant) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        let wake_pending = match state.mode {
            Mode::Frozen(WakePending::Yes) => true,
            Mode::Frozen(WakePending::No) | Mode::Serving | Mode::Retired => false,
        };
        if let Mode::Frozen(_) = state.mode {
            state.mode = Mode::Serving;
        }
        let is_new = state.grant.is_none_or(|before| !before.allows_the_same(&grant));
        if is_new {
            state.grant = Some(grant);
            state.queue.set_grant(grant.slots);
            state.connections.set_limit(now, grant.connections, &mut state.random);
            state.connections.set_concurrency(grant.slots.allowed_slots(now));
        }
        drop(guard);
        // With many searchers, waking every worker at every tick would take most of the CPU.
        if is_new || wake_pending {
            self.wake.notify_one();
        }
    }

    /// Number of sub-queries that hold a slot.
    pub(crate) fn running(&self) -> u32 {
        self.lock().queue.running()
    }

    /// The status of the searcher, if it is recent or the document lists the searcher as leaving.
    /// A daemon that no longer uses the searcher has no recent status.
    pub(crate) fn status(&self) -> Option<Status> {
        let state = self.lock();
        let fresh = state.last_heard.is_some_and(|heard| heard.elapsed() < STATUS_TTL);
        let listed = state.document_state == SearcherState::Leaving;
        (fresh || listed).then(|| state.status.clone())
    }

    /// Queues a sub-query; the outcome is sent on its channel. `None` if it was rejected.
    pub(crate) fn push(&self, work: Work) -> Option<Ticket> {
        let now = Instant::now();
        let gather = &work.gather;
        let sub = SubQuery {
            service: gather.service,
            share: gather.share,
            urgency: gather.urgency,
            deadline: gather.deadline,
        };
        let pushed = self.lock().queue.push(now, sub, work);
        match pushed {
            Ok(ticket) => {
                self.wake.notify_one();
                Some(ticket)
            }
            Err(rejected) => {
                self.report(&rejected.item, rejection_outcome(rejected.reason));
                None
            }
        }
    }

    /// Cancels a sub-query. If it is running, its connection is closed.
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

    fn report(&self, work: &Work, outcome: Outcome) {
        let mut reply = client::outcome(work.key, outcome);
        let pressure = self.lock().queue.pressure(Instant::now());
        reply.pressure_us = pressure.expected_wait.as_micros() as u64;
        // The entry may no longer wait for the reply.
        let _ = work.reply.send(reply);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

fn rejection_outcome(reason: RejectReason) -> Outcome {
    match reason {
        RejectReason::DeadlinePassed => Outcome::Expired,
        RejectReason::WaitTooLong | RejectReason::QueueFull => Outcome::Shed,
        RejectReason::SearcherDraining => Outcome::Draining,
        RejectReason::NoGrant => Outcome::NotOwner,
    }
}
