//! The queue in front of one searcher's slots.

mod entries;
mod estimate;
mod grant;
mod interface;
mod order;
mod sorted;

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::slots::entries::Entries;
use crate::slots::entries::Entry;
use crate::slots::entries::Queued;
use crate::slots::entries::Running;
use crate::slots::estimate::Estimate;
use crate::slots::order::FairOrder;
use crate::slots::order::Position;
use crate::slots::order::Rank;
use crate::slots::order::Usage;
use crate::slots::sorted::SortedMap;
use crate::slowstart::SlowStart;
use tt_model::ServiceId;

pub use entries::SlotKind;
pub use entries::Ticket;
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Serving,
    Leaving,
}

/// A slot that may be taken now.
#[derive(Debug, Clone, Copy)]
struct FreeSlot {
    kind: SlotKind,
    /// The latest deadline of a sub-query in this slot.
    until: Option<Instant>,
}

/// Orders the sub-queries for one searcher and starts them as slots become free.
///
/// `T` is the caller's item for a sub-query. The queue gives it back exactly once: with
/// the start, the rejection or the cancellation.
#[derive(Debug)]
pub struct SlotQueue<T> {
    settings: QueueSettings,
    origin: Instant,
    state: State,
    grant: SlotGrant,
    slow_start: Option<SlowStart>,
    entries: Entries<T>,
    order: FairOrder,
    /// Deadlines of queued and of running sub-queries whose end was not yet asked for.
    deadlines: SortedMap<(Instant, Ticket), ()>,
    rejected: VecDeque<(Ticket, RejectReason)>,
    own_running: u32,
    leased_running: u32,
    slot_time: Estimate,
    sequence: u64,
}

impl<T> SlotQueue<T> {
    /// An empty queue that may not use any slots.
    pub fn new(now: Instant, settings: QueueSettings) -> SlotQueue<T> {
        SlotQueue {
            settings,
            origin: now,
            state: State::Serving,
            grant: SlotGrant::None,
            slow_start: None,
            entries: Entries::new(),
            order: FairOrder::new(),
            deadlines: SortedMap::new(),
            rejected: VecDeque::new(),
            own_running: 0,
            leased_running: 0,
            slot_time: Estimate::new(settings.initial_slot_time),
            sequence: 0,
        }
    }

    /// Queues a sub-query, or refuses it at once if it cannot be run in time.
    pub fn push(&mut self, now: Instant, sub: SubQuery, item: T) -> Result<Ticket, Rejected<T>> {
        let position = match self.admit(now, &sub) {
            Ok(position) => position,
            Err(reason) => return Err(Rejected { item, reason }),
        };
        let ticket = self.entries.reserve();
        self.sequence += 1;
        self.entries.set(ticket, Entry::Queued(Queued { item, position, deadline: sub.deadline }));
        self.order.push(position, ticket);
        self.deadlines.insert((sub.deadline, ticket), ());
        Ok(ticket)
    }

    /// The next step at `now`, or `None` if there is nothing to do before the next event
    /// or [`SlotQueue::wake_at`].
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
            match self.entries.get(ticket) {
                Some(Entry::Queued(_)) => return self.reject(ticket, RejectReason::DeadlinePassed),
                Some(Entry::Running(_)) => return Some(SlotAction::Cancel { ticket }),
                None => {}
            }
        }
        self.start(now)
    }

    /// Frees the slot of a started sub-query.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: RunOutcome) {
        let Some(&Entry::Running(run)) = self.entries.get(ticket) else { return };
        self.entries.remove(ticket);
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
            // A run that was cut short says only that the slot time is at least this.
            RunOutcome::Failed if held > self.slot_time.mean() => {
                self.slot_time.observe(held);
            }
            RunOutcome::Failed | RunOutcome::NotRun => {}
        }
    }

    /// Cancels a sub-query for the entry.
    pub fn cancel(&mut self, ticket: Ticket) -> CancelOutcome<T> {
        match self.entries.get(ticket) {
            None => CancelOutcome::Unknown,
            Some(Entry::Running(_)) => CancelOutcome::Running,
            Some(Entry::Queued(_)) => match self.dequeue(ticket) {
                Some(item) => CancelOutcome::Dequeued(item),
                None => CancelOutcome::Unknown,
            },
        }
    }

    /// Changes the slots that may be used. Running sub-queries are not affected. Without a
    /// grant, queued ones are returned as not run, so that their entries can ask a replica
    /// with another owner.
    pub fn set_grant(&mut self, grant: SlotGrant) {
        self.grant = grant;
        if grant == SlotGrant::None {
            self.reject_queued(RejectReason::NoGrant);
        }
    }

    /// Starts nothing more and returns queued sub-queries as not run; running ones finish.
    pub fn drain(&mut self) {
        self.state = State::Leaving;
        self.reject_queued(RejectReason::SearcherDraining);
    }

    /// Ends the drain of a searcher that takes work again.
    pub fn resume(&mut self) {
        self.state = State::Serving;
    }

    /// Limits the slots in steps after a cold start of the searcher.
    pub fn cold_start(&mut self, now: Instant) {
        self.slow_start = Some(SlowStart::new(now, self.settings.slow_start));
    }

    /// The next time at which [`SlotQueue::next_action`] has something to do without a
    /// further event.
    pub fn wake_at(&self) -> Option<Instant> {
        self.deadlines.first().map(|&((deadline, _), ())| deadline)
    }

    /// Slots that may be used at `now`.
    pub fn allowed_slots(&self, now: Instant) -> u32 {
        if self.state == State::Leaving {
            return 0;
        }
        let allowed = self.grant.allowed_slots(now);
        self.slow_start.as_ref().map_or(allowed, |slow_start| slow_start.limit(allowed))
    }

    /// Sub-queries that hold a slot.
    pub fn running(&self) -> u32 {
        self.own_running + self.leased_running
    }

    /// Number of sub-queries that hold a leased slot.
    pub fn running_leased(&self) -> u32 {
        self.leased_running
    }

    /// Sub-queries that wait.
    pub fn queued(&self) -> usize {
        self.order.queued()
    }

    /// How busy the searcher is.
    pub fn pressure(&self, now: Instant) -> Pressure {
        let allowed = self.allowed_slots(now);
        let slots = f64::from(allowed.max(1));
        let work = self.order.queued() as f64 * self.slot_time.seconds() / slots;
        Pressure {
            queued: self.order.queued() as u32,
            running: self.running(),
            allowed_slots: allowed,
            slot_time: self.slot_time.mean(),
            expected_wait: Duration::from_secs_f64(work) + self.residual(allowed),
        }
    }

    /// The position of a new sub-query, or why it is refused.
    fn admit(&mut self, now: Instant, sub: &SubQuery) -> Result<Position, RejectReason> {
        if self.state == State::Leaving {
            return Err(RejectReason::SearcherDraining);
        }
        if self.grant == SlotGrant::None {
            return Err(RejectReason::NoGrant);
        }
        if sub.deadline <= now {
            return Err(RejectReason::DeadlinePassed);
        }
        let position = self.position(sub);
        // An idle searcher always gets one sub-query: without it a wrong estimate would
        // reject everything and never be corrected.
        let idle = self.running() == 0 && self.order.queued() == 0;
        if self.settings.policy == QueuePolicy::Fair && !idle {
            let allowed = self.allowed_slots(now);
            let wait = self.order.expected_wait(position, allowed, self.slot_time)
                + self.residual(allowed);
            if now + wait + self.slot_time.mean() > sub.deadline {
                return Err(RejectReason::WaitTooLong);
            }
        }
        if self.order.queued() >= self.settings.capacity {
            let victim = match self.settings.policy {
                QueuePolicy::Fair => self.order.eviction(position.flow),
                QueuePolicy::Fifo => None,
            };
            self.withdraw(victim.ok_or(RejectReason::QueueFull)?, RejectReason::QueueFull);
        }
        Ok(position)
    }

    fn start(&mut self, now: Instant) -> Option<SlotAction<T>> {
        if self.order.queued() == 0 {
            return None;
        }
        let free = self.free_slot(now)?;
        let ticket = self.order.first()?;
        let Some(Entry::Queued(queued)) = self.entries.get(ticket) else {
            unreachable!("the order holds only queued entries");
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
        let deadline = free.until.map_or(queue_deadline, |until| until.min(queue_deadline));
        if deadline != queue_deadline {
            self.deadlines.remove(&(queue_deadline, ticket));
            self.deadlines.insert((deadline, ticket), ());
        }
        match free.kind {
            SlotKind::Own => self.own_running += 1,
            SlotKind::Leased => self.leased_running += 1,
        }
        let run = Running { flow: position.flow, slot: free.kind, started: now, deadline, charged };
        let Some(Entry::Queued(queued)) = self.entries.take(ticket) else {
            unreachable!("the entry was queued above");
        };
        self.entries.set(ticket, Entry::Running(run));
        Some(SlotAction::Start { ticket, item: queued.item, deadline, slot: free.kind })
    }

    fn free_slot(&self, now: Instant) -> Option<FreeSlot> {
        if self.running() >= self.allowed_slots(now) {
            return None;
        }
        if self.own_running < self.grant.own_slots() {
            return Some(FreeSlot { kind: SlotKind::Own, until: None });
        }
        // A sub-query that would be cut short by the end of the lease waits for its
        // renewal or for an own slot.
        let until = self.grant.lease_end()?.checked_sub(self.settings.clock_margin)?;
        if now + self.slot_time.mean() >= until {
            return None;
        }
        Some(FreeSlot { kind: SlotKind::Leased, until: Some(until) })
    }

    /// Expected time until one of the running sub-queries frees a slot.
    fn residual(&self, allowed: u32) -> Duration {
        if allowed > 0 && self.running() < allowed && self.order.queued() == 0 {
            return Duration::ZERO;
        }
        self.slot_time.mean() / allowed.max(1)
    }

    fn position(&mut self, sub: &SubQuery) -> Position {
        let sequence = self.sequence;
        match self.settings.policy {
            QueuePolicy::Fair => {
                let due = sub.deadline.saturating_duration_since(self.origin);
                Position {
                    flow: self.order.flow(sub.service, sub.share, self.slot_time),
                    rank: Rank {
                        deadline_ms: due.as_millis() as u64,
                        urgency: Reverse(sub.urgency),
                        sequence,
                    },
                }
            }
            // One flow in order of arrival.
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

    /// Takes a queued sub-query out of the order; [`SlotQueue::next_action`] returns it.
    fn withdraw(&mut self, ticket: Ticket, reason: RejectReason) {
        if let Some(Entry::Queued(queued)) = self.entries.get(ticket) {
            self.order.remove(queued.position);
            self.rejected.push_back((ticket, reason));
        }
    }

    fn reject(&mut self, ticket: Ticket, reason: RejectReason) -> Option<SlotAction<T>> {
        let item = self.dequeue(ticket)?;
        Some(SlotAction::Reject { ticket, item, reason })
    }

    fn dequeue(&mut self, ticket: Ticket) -> Option<T> {
        let Some(Entry::Queued(queued)) = self.entries.remove(ticket) else {
            return None;
        };
        self.order.remove(queued.position);
        self.deadlines.remove(&(queued.deadline, ticket));
        Some(queued.item)
    }
}
