//! The queue of sub-queries for one searcher.

mod estimate;
mod grant;
mod interface;
mod order;
mod sorted;
mod tickets;

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::slots::estimate::SlotTimeEstimate;
use crate::slots::order::FairOrder;
use crate::slots::order::Position;
use crate::slots::order::Rank;
use crate::slots::order::Usage;
use crate::slots::sorted::SortedMap;
use crate::slots::tickets::Queued;
use crate::slots::tickets::Running;
use crate::slots::tickets::SubQueryState;
use crate::slots::tickets::TicketMap;
use crate::slowstart::SlowStart;
use tt_model::ServiceId;

pub use grant::SlotGrant;
pub use grant::SlotPolicy;
pub use interface::CancelOutcome;
pub use interface::Pressure;
pub use interface::QueuePolicy;
pub use interface::QueueSettings;
pub use interface::RejectReason;
pub use interface::Rejected;
pub use interface::RunOutcome;
pub use interface::SlotAction;
pub use interface::SubQuery;
pub use tickets::SlotKind;
pub use tickets::Ticket;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueueState {
    Serving,
    /// The searcher is leaving: queued sub-queries are rejected, running ones finish.
    Draining,
}

/// A slot in which a sub-query may start now.
#[derive(Debug, Clone, Copy)]
struct FreeSlot {
    kind: SlotKind,
    /// Upper bound for the deadline of a sub-query in this slot, if the slot is leased.
    max_deadline: Option<Instant>,
}

/// Orders the sub-queries for one searcher and starts them as slots become free.
///
/// `T` is the item that the owner stores with a sub-query. The queue returns it exactly once:
/// with the start, the rejection or the cancellation.
#[derive(Debug)]
pub struct SlotQueue<T> {
    settings: QueueSettings,
    created: Instant,
    state: QueueState,
    grant: SlotGrant,
    slow_start: Option<SlowStart>,
    sub_queries: TicketMap<T>,
    order: FairOrder,
    /// Deadlines of queued sub-queries, and of running ones without a cancel action so far.
    deadlines: SortedMap<(Instant, Ticket), ()>,
    rejected: VecDeque<(Ticket, RejectReason)>,
    own_running: u32,
    leased_running: u32,
    slot_time: SlotTimeEstimate,
    /// Number of sub-queries accepted so far; breaks ties in the order.
    sequence: u64,
}

impl<T> SlotQueue<T> {
    /// Creates an empty queue that may not use any slots.
    pub fn new(now: Instant, settings: QueueSettings) -> SlotQueue<T> {
        SlotQueue {
            settings,
            created: now,
            state: QueueState::Serving,
            grant: SlotGrant::None,
            slow_start: None,
            sub_queries: TicketMap::new(),
            order: FairOrder::new(),
            deadlines: SortedMap::new(),
            rejected: VecDeque::new(),
            own_running: 0,
            leased_running: 0,
            slot_time: SlotTimeEstimate::new(settings.initial_slot_time),
            sequence: 0,
        }
    }

    /// Queues a sub-query, or refuses it at once if it may not run here or is not expected
    /// to finish before its deadline.
    pub fn push(
        &mut self,
        now: Instant,
        sub_query: SubQuery,
        item: T,
    ) -> Result<Ticket, Rejected<T>> {
        let position = match self.admit(now, &sub_query) {
            Ok(position) => position,
            Err(reason) => return Err(Rejected { item, reason }),
        };
        let ticket = self.sub_queries.reserve();
        self.sequence += 1;
        self.sub_queries.set(
            ticket,
            SubQueryState::Queued(Queued { item, position, deadline: sub_query.deadline }),
        );
        self.order.push(position, ticket);
        self.deadlines.insert((sub_query.deadline, ticket), ());
        Ok(ticket)
    }

    /// Returns the next action at `now`, or `None` if there is none before the next event or
    /// [`SlotQueue::wake_at`].
    pub fn next_action(&mut self, now: Instant) -> Option<SlotAction<T>> {
        while let Some((ticket, reason)) = self.rejected.pop_front() {
            if let Some(action) = self.reject(ticket, reason) {
                return Some(action);
            }
        }
        while let Some(&((deadline, ticket), ())) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, ticket));
            match self.sub_queries.get(ticket) {
                Some(SubQueryState::Queued(_)) => {
                    return self.reject(ticket, RejectReason::DeadlinePassed);
                }
                Some(SubQueryState::Running(_)) => return Some(SlotAction::Cancel { ticket }),
                None => {}
            }
        }
        self.start(now)
    }

    /// Frees the slot of a started sub-query.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: RunOutcome) {
        let Some(&SubQueryState::Running(run)) = self.sub_queries.get(ticket) else { return };
        self.sub_queries.remove(ticket);
        self.deadlines.remove(&(run.deadline, ticket));
        match run.slot {
            SlotKind::Own => self.own_running -= 1,
            SlotKind::Leased => self.leased_running -= 1,
        }
        let held = now.saturating_duration_since(run.started);
        let usage = match outcome {
            RunOutcome::NotRun => Usage::NotRun,
            RunOutcome::Answered | RunOutcome::Failed => Usage::Held(held),
        };
        self.order.finish(run.flow, run.charged, usage);
        match outcome {
            RunOutcome::Answered => {
                self.slot_time.observe(held);
                if let Some(slow_start) = &mut self.slow_start {
                    slow_start.record_success(now);
                }
                if self.slow_start.as_ref().is_some_and(SlowStart::is_finished) {
                    self.slow_start = None;
                }
            }
            // A run that was cut short gives only a lower bound of the slot time.
            RunOutcome::Failed if held > self.slot_time.mean() => {
                self.slot_time.observe(held);
            }
            RunOutcome::Failed | RunOutcome::NotRun => {}
        }
    }

    /// Cancels a sub-query on behalf of its entry.
    pub fn cancel(&mut self, ticket: Ticket) -> CancelOutcome<T> {
        match self.sub_queries.get(ticket) {
            None => CancelOutcome::Unknown,
            Some(SubQueryState::Running(_)) => CancelOutcome::Running,
            Some(SubQueryState::Queued(_)) => match self.dequeue(ticket) {
                Some(item) => CancelOutcome::Dequeued(item),
                None => CancelOutcome::Unknown,
            },
        }
    }

    /// Changes which slots may be used. Running sub-queries are not affected. With
    /// [`SlotGrant::None`], queued ones are returned as not run, so that their entries can
    /// ask a replica with another owner.
    pub fn set_grant(&mut self, grant: SlotGrant) {
        self.grant = grant;
        if grant == SlotGrant::None {
            self.reject_queued(RejectReason::NoGrant);
        }
    }

    /// Stops starting sub-queries and returns the queued ones as not run; running ones
    /// finish.
    pub fn drain(&mut self) {
        self.state = QueueState::Draining;
        self.reject_queued(RejectReason::SearcherDraining);
    }

    /// Ends the drain of a searcher that accepts sub-queries again.
    pub fn resume(&mut self) {
        self.state = QueueState::Serving;
    }

    /// Starts the slow start of a searcher with cold caches.
    pub fn cold_start(&mut self, now: Instant) {
        self.slow_start = Some(SlowStart::new(now, self.settings.slow_start));
    }

    /// The time at which to call [`SlotQueue::next_action`] next if no event occurs before.
    pub fn wake_at(&self) -> Option<Instant> {
        self.deadlines.first().map(|&((deadline, _), ())| deadline)
    }

    /// Number of slots that may be used at `now`.
    pub fn allowed_slots(&self, now: Instant) -> u32 {
        if self.state == QueueState::Draining {
            return 0;
        }
        let allowed = self.grant.allowed_slots(now);
        self.slow_start.as_ref().map_or(allowed, |slow_start| slow_start.limit(allowed))
    }

    /// Number of sub-queries that hold a slot.
    pub fn running(&self) -> u32 {
        self.own_running + self.leased_running
    }

    /// Number of sub-queries that hold a leased slot.
    pub fn running_leased(&self) -> u32 {
        self.leased_running
    }

    /// Number of sub-queries that wait for a slot.
    pub fn queued(&self) -> usize {
        self.order.queued()
    }

    /// Load of this queue at `now`.
    pub fn pressure(&self, now: Instant) -> Pressure {
        let allowed = self.allowed_slots(now);
        let slots = f64::from(allowed.max(1));
        let queued_seconds = self.order.queued() as f64 * self.slot_time.seconds() / slots;
        Pressure {
            queued: self.order.queued() as u32,
            running: self.running(),
            allowed_slots: allowed,
            slot_time: self.slot_time.mean(),
            expected_wait: Duration::from_secs_f64(queued_seconds)
                + self.expected_slot_release(allowed),
        }
    }

    /// Returns the position of a new sub-query in the order, or why it is refused. Makes room
    /// in a full queue.
    fn admit(&mut self, now: Instant, sub_query: &SubQuery) -> Result<Position, RejectReason> {
        if self.state == QueueState::Draining {
            return Err(RejectReason::SearcherDraining);
        }
        if self.grant == SlotGrant::None {
            return Err(RejectReason::NoGrant);
        }
        if sub_query.deadline <= now {
            return Err(RejectReason::DeadlinePassed);
        }
        let position = self.position(sub_query);
        // An idle searcher always gets one sub-query. Otherwise an estimate that is too high
        // would reject everything and never be corrected.
        let idle = self.running() == 0 && self.order.queued() == 0;
        if self.settings.policy == QueuePolicy::Fair && !idle {
            let allowed = self.allowed_slots(now);
            let wait = self.order.expected_wait(position, allowed, self.slot_time)
                + self.expected_slot_release(allowed);
            if now + wait + self.slot_time.mean() > sub_query.deadline {
                return Err(RejectReason::WaitTooLong);
            }
        }
        if self.order.queued() >= self.settings.capacity {
            let evicted = match self.settings.policy {
                QueuePolicy::Fair => self.order.eviction_candidate(position.flow),
                QueuePolicy::Fifo => None,
            };
            self.withdraw(evicted.ok_or(RejectReason::QueueFull)?, RejectReason::QueueFull);
        }
        Ok(position)
    }

    fn start(&mut self, now: Instant) -> Option<SlotAction<T>> {
        if self.order.queued() == 0 {
            return None;
        }
        let free = self.free_slot(now)?;
        let ticket = self.order.first()?;
        let Some(SubQueryState::Queued(queued)) = self.sub_queries.get(ticket) else {
            unreachable!("the order holds only queued sub-queries");
        };
        let (deadline, position) = (queued.deadline, queued.position);
        if self.settings.policy == QueuePolicy::Fair
            && self.running() > 0
            && now + self.slot_time.mean() > deadline
        {
            return self.reject(ticket, RejectReason::WaitTooLong);
        }
        let charged = self.order.start(now, position);
        let queue_deadline = deadline;
        let deadline = free.max_deadline.map_or(queue_deadline, |max| max.min(queue_deadline));
        if deadline != queue_deadline {
            self.deadlines.remove(&(queue_deadline, ticket));
            self.deadlines.insert((deadline, ticket), ());
        }
        match free.kind {
            SlotKind::Own => self.own_running += 1,
            SlotKind::Leased => self.leased_running += 1,
        }
        let run = Running { flow: position.flow, slot: free.kind, started: now, deadline, charged };
        let Some(SubQueryState::Queued(queued)) = self.sub_queries.take(ticket) else {
            unreachable!("the sub-query was queued above");
        };
        self.sub_queries.set(ticket, SubQueryState::Running(run));
        Some(SlotAction::Start { ticket, item: queued.item, deadline, slot: free.kind })
    }

    fn free_slot(&self, now: Instant) -> Option<FreeSlot> {
        if self.running() >= self.allowed_slots(now) {
            return None;
        }
        if self.own_running < self.grant.own_slots() {
            return Some(FreeSlot { kind: SlotKind::Own, max_deadline: None });
        }
        // A sub-query that the end of the lease would cut short waits for the renewal of the
        // lease or for an own slot.
        let max_deadline = self.grant.lease_end()?.checked_sub(self.settings.clock_margin)?;
        if now + self.slot_time.mean() >= max_deadline {
            return None;
        }
        Some(FreeSlot { kind: SlotKind::Leased, max_deadline: Some(max_deadline) })
    }

    /// Expected time until one of the running sub-queries frees a slot.
    fn expected_slot_release(&self, allowed: u32) -> Duration {
        if allowed > 0 && self.running() < allowed && self.order.queued() == 0 {
            return Duration::ZERO;
        }
        self.slot_time.mean() / allowed.max(1)
    }

    fn position(&mut self, sub_query: &SubQuery) -> Position {
        let sequence = self.sequence;
        match self.settings.policy {
            QueuePolicy::Fair => {
                let due = sub_query.deadline.saturating_duration_since(self.created);
                Position {
                    flow: self.order.flow(sub_query.service, sub_query.share, self.slot_time),
                    rank: Rank {
                        deadline_ms: due.as_millis() as u64,
                        urgency: Reverse(sub_query.urgency),
                        sequence,
                    },
                }
            }
            // A single flow in which the sequence alone decides.
            QueuePolicy::Fifo => Position {
                flow: self.order.flow(ServiceId(0), 1.0, self.slot_time),
                rank: Rank { deadline_ms: 0, urgency: Reverse(0), sequence },
            },
        }
    }

    fn reject_queued(&mut self, reason: RejectReason) {
        while let Some(ticket) = self.order.first() {
            self.withdraw(ticket, reason);
        }
    }

    /// Removes a queued sub-query from the order; [`SlotQueue::next_action`] returns it later.
    fn withdraw(&mut self, ticket: Ticket, reason: RejectReason) {
        if let Some(SubQueryState::Queued(queued)) = self.sub_queries.get(ticket) {
            self.order.remove(queued.position);
            self.rejected.push_back((ticket, reason));
        }
    }

    fn reject(&mut self, ticket: Ticket, reason: RejectReason) -> Option<SlotAction<T>> {
        let item = self.dequeue(ticket)?;
        Some(SlotAction::Reject { ticket, item, reason })
    }

    fn dequeue(&mut self, ticket: Ticket) -> Option<T> {
        let Some(SubQueryState::Queued(queued)) = self.sub_queries.remove(ticket) else {
            return None;
        };
        self.order.remove(queued.position);
        self.deadlines.remove(&(queued.deadline, ticket));
        Some(queued.item)
    }
}
