//! Settings, inputs and results of the slot queue.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::slots::tickets::SlotKind;
use crate::slots::tickets::Ticket;
use crate::slowstart::SlowStartSettings;
use tt_model::ResultCode;
use tt_model::ServiceId;

/// The order in which a queue starts sub-queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueuePolicy {
    /// Weighted fair queueing over services and early rejection.
    Fair,
    /// First in, first out, without early rejection. Baseline for comparison.
    Fifo,
}

/// Settings of a [`SlotQueue`](crate::SlotQueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// The order in which sub-queries start.
    pub policy: QueuePolicy,
    /// Maximum number of queued sub-queries.
    pub capacity: usize,
    /// Expected time that a sub-query holds a slot, until the first run is observed.
    pub initial_slot_time: Duration,
    /// How long before the end of a lease the sub-queries in leased slots must end. Covers
    /// the difference between this VM's clock and the searcher's.
    pub clock_margin: Duration,
    /// Settings of the slow start after a searcher's cold start.
    pub slow_start: SlowStartSettings,
}

impl Default for QueueSettings {
    fn default() -> Self {
        QueueSettings {
            policy: QueuePolicy::Fair,
            capacity: 256,
            initial_slot_time: Duration::from_millis(10),
            clock_margin: Duration::from_millis(50),
            slow_start: SlowStartSettings::default(),
        }
    }
}

/// The properties of a sub-query that decide about its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SubQuery {
    /// The service that sent the query.
    pub service: ServiceId,
    /// The share from the service's contract, a weight relative to the other services.
    pub share: f64,
    /// The urgency of the service's class; decides between equal deadlines, higher first.
    pub urgency: u8,
    /// When the searcher's reply is due.
    pub deadline: Instant,
}

/// Why a sub-query was not run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The deadline passed before a slot was free.
    #[display("its deadline passed")]
    DeadlinePassed,
    /// By the expected wait and slot time, the sub-query cannot finish before its deadline.
    #[display("the expected wait is too long")]
    WaitTooLong,
    /// The queue is full and the service has the most queued sub-queries for its share.
    #[display("the queue is full")]
    QueueFull,
    /// The searcher is draining and accepts no sub-queries.
    #[display("the searcher is draining")]
    SearcherDraining,
    /// This daemon may not use the searcher.
    #[display("this daemon may not use the searcher")]
    NoGrant,
}

impl RejectReason {
    /// The result code for the caller if no other replica can run the sub-query.
    pub fn code(self) -> ResultCode {
        match self {
            RejectReason::DeadlinePassed => ResultCode::DeadlinePassed,
            RejectReason::WaitTooLong | RejectReason::QueueFull => ResultCode::Overloaded,
            RejectReason::SearcherDraining | RejectReason::NoGrant => ResultCode::NoReplica,
        }
    }
}

/// A sub-query that was refused by [`SlotQueue::push`](crate::SlotQueue::push).
#[derive(Debug, PartialEq, Eq)]
pub struct Rejected<T> {
    /// The item that was passed to `push`.
    pub item: T,
    /// Why the sub-query was refused.
    pub reason: RejectReason,
}

/// An action to carry out, returned by
/// [`SlotQueue::next_action`](crate::SlotQueue::next_action).
#[derive(Debug, PartialEq, Eq)]
pub enum SlotAction<T> {
    /// Send the sub-query; report its end with
    /// [`SlotQueue::finish`](crate::SlotQueue::finish).
    Start {
        /// The sub-query.
        ticket: Ticket,
        /// The item that was passed to `push`.
        item: T,
        /// The deadline to send to the searcher; in a leased slot, no later than the end
        /// of the lease minus the clock margin.
        deadline: Instant,
        /// The kind of slot that the sub-query holds.
        slot: SlotKind,
    },
    /// Report to the entry that the queued sub-query was not run and will not be.
    Reject {
        /// The sub-query; its ticket is stale now.
        ticket: Ticket,
        /// The item that was passed to `push`.
        item: T,
        /// Why the sub-query was not run.
        reason: RejectReason,
    },
    /// Close the connection of the running sub-query, whose deadline has passed, and report
    /// its end. The sub-query holds its slot until then.
    Cancel {
        /// The sub-query.
        ticket: Ticket,
    },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The searcher replied.
    Answered,
    /// The searcher stated that it did not run the sub-query, or it was never sent.
    NotRun,
    /// The sub-query failed, was cancelled or timed out.
    Failed,
}

/// The effect of [`SlotQueue::cancel`](crate::SlotQueue::cancel).
#[derive(Debug, PartialEq, Eq)]
pub enum CancelOutcome<T> {
    /// The sub-query was queued and has been removed without running.
    Dequeued(T),
    /// The sub-query is running. Close its connection and report its end to free the slot.
    Running,
    /// The ticket is stale: the sub-query has ended already.
    Unknown,
}

/// Load of a searcher's queue, for routing and for overload detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pressure {
    /// Number of queued sub-queries.
    pub queued: u32,
    /// Number of sub-queries that hold a slot.
    pub running: u32,
    /// Number of slots that this daemon may use now.
    pub allowed_slots: u32,
    /// Expected time that a sub-query holds a slot.
    pub slot_time: Duration,
    /// Expected time until a sub-query behind all queued ones starts.
    pub expected_wait: Duration,
}
