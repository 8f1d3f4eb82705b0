//! What the queue is told and what it answers.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::slots::entries::SlotKind;
use crate::slots::entries::Ticket;
use crate::slowstart::SlowStartSettings;
use tt_model::ResultCode;
use tt_model::ServiceId;

/// The order of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueuePolicy {
    /// Weighted fair queueing over services and early rejection.
    Fair,
    /// First in, first out, without early rejection: the baseline for measurements.
    Fifo,
}

/// Settings of a [`SlotQueue`](crate::SlotQueue).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// The order of the queue.
    pub policy: QueuePolicy,
    /// The most sub-queries that wait.
    pub capacity: usize,
    /// Expected slot time before the first observation.
    pub initial_slot_time: Duration,
    /// Time before the end of a lease at which sub-queries in leased slots end. Covers
    /// the difference between this VM's clock and the searcher's.
    pub clock_margin: Duration,
    /// Steps after a cold start.
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

/// What the queue needs to know of a sub-query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SubQuery {
    /// The service that asks.
    pub service: ServiceId,
    /// The service's share from its contract.
    pub share: f64,
    /// The urgency of its class.
    pub urgency: u8,
    /// When the answer must be there.
    pub deadline: Instant,
}

/// Why a sub-query was not run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// Its deadline passed before a slot was free.
    #[display("its deadline passed")]
    DeadlinePassed,
    /// It cannot finish before its deadline, by the expected wait and slot time.
    #[display("the expected wait is too long")]
    WaitTooLong,
    /// The queue is full and its service has the most queued work for its share.
    #[display("the queue is full")]
    QueueFull,
    /// The searcher is leaving.
    #[display("the searcher is leaving")]
    SearcherDraining,
    /// This daemon may not use the searcher.
    #[display("this daemon may not use the searcher")]
    NoGrant,
}

impl RejectReason {
    /// The result code for a caller if no replica is left.
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
    /// The caller's item.
    pub item: T,
    /// Why it was refused.
    pub reason: RejectReason,
}

/// A step to take for the caller of [`SlotQueue::next_action`](crate::SlotQueue::next_action).
#[derive(Debug, PartialEq, Eq)]
pub enum SlotAction<T> {
    /// Send the sub-query; report its end by [`SlotQueue::finish`](crate::SlotQueue::finish).
    Start {
        /// The sub-query.
        ticket: Ticket,
        /// The caller's item.
        item: T,
        /// The absolute deadline to send to the searcher.
        deadline: Instant,
        /// The part of the allowance that it uses.
        slot: SlotKind,
    },
    /// Report to the entry that the queued sub-query was not run and will not be.
    Reject {
        /// The sub-query; its ticket is stale now.
        ticket: Ticket,
        /// The caller's item.
        item: T,
        /// Why it was not run.
        reason: RejectReason,
    },
    /// Cancel the running sub-query, whose deadline has passed, by closing its connection,
    /// and report its end. It holds its slot until then.
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
    /// It failed, was cancelled or timed out.
    Failed,
}

/// The effect of [`SlotQueue::cancel`](crate::SlotQueue::cancel).
#[derive(Debug, PartialEq, Eq)]
pub enum CancelOutcome<T> {
    /// It was queued and has been removed; it was not run.
    Dequeued(T),
    /// It is running. Close its connection and report its end, which frees the slot.
    Running,
    /// It ended before.
    Unknown,
}

/// How busy a searcher is, for routing and for overload detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pressure {
    /// Sub-queries that wait.
    pub queued: u32,
    /// Sub-queries that hold a slot.
    pub running: u32,
    /// Slots that may be used now.
    pub allowed_slots: u32,
    /// Expected slot time of a sub-query.
    pub slot_time: Duration,
    /// Expected wait of a sub-query behind everything queued.
    pub expected_wait: Duration,
}
