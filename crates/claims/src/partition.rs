//! The owner of a claim partition.

mod owner;
mod queue;
mod take_over;
mod write;

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::log::FencingToken;
use crate::log::Head;
use crate::log::Seal;
use crate::message::ClaimReply;
use crate::message::ClaimRequest;
use crate::partition::queue::Queue;
use crate::partition::queue::Waiting;
use crate::partition::queue::is_outcome;
use crate::partition::take_over::TakeOver;
use crate::partition::write::Write;
use crate::request_id::Now;
use crate::request_id::PartitionId;
use crate::table::Decision;
use crate::table::Scope;
use crate::table::Table;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// Limits and intervals of a [`Partition`].
#[derive(Debug, Clone)]
pub struct PartitionSettings {
    /// Least time between the starts of two writes.
    pub write_interval: Duration,
    /// Ids older than this are pruned and refused.
    pub retention: Duration,
    /// Time between two prunings.
    pub prune_interval: Duration,
    /// Pause after a store call that got no answer.
    pub retry_delay: Duration,
    /// Calls that may wait. Claims and starts may use three quarters, so that outcomes
    /// of requests that already ran find room.
    pub max_queued: usize,
    /// Size of the results that may wait.
    pub max_queued_bytes: usize,
    /// Request ids that are retained. Further ones are refused until some are pruned.
    pub max_ids: usize,
    /// Size of the results held in memory. Of older ones only the digest is told.
    pub result_cache_bytes: usize,
    /// Largest segment value.
    pub max_segment_bytes: usize,
    /// Segments read at the same time at take-over.
    pub read_window: usize,
    /// Longest wait of a call, whatever it asks for.
    pub max_wait: Duration,
    /// Most records in one write.
    pub max_batch_len: usize,
}

impl Default for PartitionSettings {
    fn default() -> Self {
        PartitionSettings {
            // Four partitions use at most 200 of the several hundred writes a second that the store takes.
            write_interval: Duration::from_millis(20),
            retention: Duration::from_secs(15 * 60),
            prune_interval: Duration::from_secs(10),
            retry_delay: Duration::from_millis(200),
            max_queued: 4096,
            // Bounds four partitions to an eighth of the 128 MB that a daemon may use.
            max_queued_bytes: 4 * 1024 * 1024,
            // Full, a partition took 26 MB with results of 100 bytes, so a daemon that owns
            // all four stays below 128 MB. Allows 111 claims a second for each partition at
            // 15 min of retention.
            max_ids: 100_000,
            result_cache_bytes: 4 * 1024 * 1024,
            max_segment_bytes: crate::log::MAX_SEGMENT_BYTES,
            // Four reads of 5 ms use 800 of the two thousand reads a second that the store takes.
            read_window: 4,
            max_wait: Duration::from_secs(30),
            max_batch_len: usize::MAX,
        }
    }
}

/// Input of a [`Partition`].
#[derive(Debug, Clone)]
pub enum PartitionEvent {
    /// A claimant's call arrived. The answer carries the same tag.
    Request {
        /// Chosen by the daemon; unique among unanswered calls.
        tag: u64,
        /// The call.
        request: ClaimRequest,
    },
    /// The outcome of a store call.
    Store {
        /// Number of the call.
        call: u64,
        /// The outcome.
        reply: StoreReply,
    },
    /// The time of [`Partition::next_timer`] is reached.
    Timer,
    /// The assignment names another owner, or the daemon is stopping.
    Release,
}

/// Output of a [`Partition`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartitionAction {
    /// Make a store call and report its outcome to the same state machine; another one
    /// numbers its calls anew. Each call needs an outcome; one that gets no answer in time
    /// is [`StoreReply::Lost`].
    Store {
        /// Number of the call.
        call: u64,
        /// The call.
        request: StoreCall,
    },
    /// Answer a claimant's call.
    Reply {
        /// Tag of the call.
        tag: u64,
        /// The answer.
        reply: ClaimReply,
    },
}

/// What a [`Partition`] currently does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionStatus {
    /// Reads the log; calls wait.
    TakingOver,
    /// Records claims.
    Owner,
    /// Finishes the write in flight; refuses calls.
    Releasing,
    /// Refuses all calls, for good.
    Retired,
}

/// The state machine of one ownership of a partition. It takes the log over, records
/// claims, and retires when another owner has taken the log over or on release.
///
/// Replace it by a new one when the assignment names this daemon in a later epoch and it
/// has retired, or another member was the owner in between. Within the same epoch a
/// retired one stays: the log belongs to a later token.
#[derive(Debug)]
pub struct Partition {
    id: PartitionId,
    token: FencingToken,
    settings: PartitionSettings,
    phase: Phase,
    table: Table,
    queue: Queue,
    /// Calls whose records are in the write in flight.
    batch: Queue,
    write: Option<InFlight>,
    next_call: u64,
    /// The next write may start.
    ready_at: Instant,
    /// Until then the store is taken to be down and claims are refused at once.
    down_until: Instant,
    head: Head,
    head_revision: Revision,
    tail: Tail,
    /// Sealed segments, oldest first.
    kept: VecDeque<Kept>,
    /// Segments below the head's first.
    removals: VecDeque<Removal>,
    /// Looks for segments below the head's first that an earlier owner did not remove.
    sweep: Sweep,
    prune_at: Instant,
    turn: Turn,
    batch_count: u64,
    out: Vec<PartitionAction>,
}

#[derive(Debug)]
enum Phase {
    TakeOver(TakeOver),
    Owner,
    Releasing,
    Retired,
}

#[derive(Debug)]
struct InFlight {
    write: Write,
    job: Job,
    /// The open call, or the time of the next one.
    state: CallState,
}

#[derive(Debug, Clone, Copy)]
enum CallState {
    Open(u64),
    Due(Instant),
}

/// What a write is for.
#[derive(Debug)]
enum Job {
    /// A part of the take-over; the state is in the phase.
    TakeOver,
    /// A batch in the open tail.
    Append(Tail),
    /// A batch in a new tail, which does not count before the head names it.
    Create(Tail),
    /// The head names the new tail.
    Confirm(Head, Tail),
    /// The head drops segments.
    Prune(Head),
    /// A dropped segment is removed.
    Remove,
}

/// A segment to be removed.
#[derive(Debug, Clone, Copy)]
struct Removal {
    sequence: u64,
    revision: Revision,
}

#[derive(Debug, Clone, Copy)]
enum Sweep {
    /// The segment with this sequence is looked at next.
    Due(u64),
    /// It is being read.
    Reading {
        call: u64,
        sequence: u64,
    },
    Ended,
}

/// Which kind of write goes next when both are waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    Batch,
    Upkeep,
}

#[derive(Debug, Clone)]
struct Tail {
    sequence: u64,
    revision: Revision,
    seal: Seal,
    records: Vec<u8>,
    /// The newest time embedded in an id of the segment.
    newest_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    sequence: u64,
    revision: Revision,
    newest_ms: u64,
}

impl Partition {
    /// Starts to take over the partition. A process may use the same token again for the
    /// same partition only after it has dropped the earlier state machine. The actions come with the next event, so send
    /// a [`PartitionEvent::Timer`] at once.
    pub fn new(
        id: PartitionId,
        token: FencingToken,
        settings: PartitionSettings,
        now: Now,
    ) -> Partition {
        Partition {
            id,
            token,
            phase: Phase::TakeOver(TakeOver::Paused(now.instant)),
            table: Table::new(settings.result_cache_bytes),
            settings,
            queue: Queue::default(),
            batch: Queue::default(),
            write: None,
            next_call: 0,
            ready_at: now.instant,
            down_until: now.instant,
            head: Head::empty(token),
            head_revision: Revision(0),
            tail: Tail::new(0),
            kept: VecDeque::new(),
            removals: VecDeque::new(),
            sweep: Sweep::Ended,
            prune_at: now.instant,
            turn: Turn::Batch,
            batch_count: 0,
            out: Vec::new(),
        }
    }

    /// Takes one event and returns the actions that follow from it.
    pub fn handle(&mut self, event: PartitionEvent, now: Now) -> Vec<PartitionAction> {
        self.expire(now);
        match event {
            PartitionEvent::Request { tag, request } => self.on_request(tag, request, now),
            PartitionEvent::Store { call, reply } => self.on_store(call, reply, now),
            PartitionEvent::Timer => {}
            PartitionEvent::Release => self.on_release(),
        }
        self.pump(now);
        std::mem::take(&mut self.out)
    }

    /// When to send the next [`PartitionEvent::Timer`], if no other event comes before.
    pub fn next_timer(&self) -> Option<Instant> {
        let write = self.write.as_ref().and_then(|flight| match flight.state {
            CallState::Open(_) => None,
            CallState::Due(at) => Some(at),
        });
        let phase = match &self.phase {
            Phase::TakeOver(TakeOver::Paused(at)) => Some(*at),
            Phase::TakeOver(TakeOver::Segments(replay)) => replay.again_at(),
            Phase::TakeOver(_) | Phase::Releasing | Phase::Retired => None,
            Phase::Owner if self.write.is_some() => None,
            Phase::Owner => {
                let due = if self.queue.is_empty() && self.removals.is_empty() {
                    self.prune_at
                } else {
                    self.ready_at
                };
                Some(due.max(self.ready_at).max(self.down_until))
            }
        };
        [write, phase, self.queue.expire_at(), self.batch.expire_at()].into_iter().flatten().min()
    }

    /// What the partition currently does.
    pub fn status(&self) -> PartitionStatus {
        match self.phase {
            Phase::TakeOver(_) => PartitionStatus::TakingOver,
            Phase::Owner => PartitionStatus::Owner,
            Phase::Releasing => PartitionStatus::Releasing,
            Phase::Retired => PartitionStatus::Retired,
        }
    }

    /// Number of request ids that are retained.
    pub fn retained(&self) -> usize {
        self.table.len()
    }

    /// Number of calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.batch.len()
    }

    fn on_request(&mut self, tag: u64, request: ClaimRequest, now: Now) {
        match self.phase {
            Phase::Owner => {
                // Refusals hold also if this owner has been replaced without knowing, and
                // the other replies state records that are durable.
                let decision = self.table.decide(&request, now.unix_ms, Scope::Durable);
                if let Decision::Reply(reply) = decision {
                    return self.reply(tag, reply);
                }
                let full = self.table.len() >= self.settings.max_ids;
                if full && !self.table.contains(request.key) {
                    return self.reply(tag, ClaimReply::Busy);
                }
            }
            Phase::TakeOver(_) => {}
            Phase::Releasing | Phase::Retired => return self.reply(tag, ClaimReply::NotOwner),
        }
        let outcome = is_outcome(&request.step);
        if now.instant < self.down_until && !outcome {
            return self.reply(tag, ClaimReply::Down);
        }
        let limit = self.settings.max_queued;
        let limit = if outcome { limit } else { limit - limit / 4 };
        if self.queue.len() >= limit || self.queue.result_bytes() >= self.settings.max_queued_bytes
        {
            return self.reply(tag, ClaimReply::Busy);
        }
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(self.settings.max_wait);
        let reply = ClaimReply::Unavailable;
        self.queue.push(Waiting { tag, request, expires: now.instant + wait, reply });
    }

    fn on_store(&mut self, call: u64, reply: StoreReply, now: Now) {
        match &self.write {
            Some(flight) if matches!(flight.state, CallState::Open(open) if open == call) => {
                self.on_write_reply(&reply, now);
            }
            _ => self.on_read_reply(call, reply, now),
        }
    }

    fn on_release(&mut self) {
        match self.phase {
            Phase::Owner if self.write.is_some() => {
                self.phase = Phase::Releasing;
                for waiting in self.queue.take() {
                    self.reply(waiting.tag, ClaimReply::NotOwner);
                }
            }
            Phase::Owner | Phase::TakeOver(_) => self.retire(),
            Phase::Releasing | Phase::Retired => {}
        }
    }

    /// Answers all calls; nothing is written any more. Records of the batch may have become
    /// durable, so the claimants ask the next owner with the same claim id.
    fn retire(&mut self) {
        self.phase = Phase::Retired;
        self.write = None;
        let batch = self.batch.take();
        for waiting in batch.into_iter().chain(self.queue.take()) {
            self.reply(waiting.tag, ClaimReply::NotOwner);
        }
        self.table = Table::new(0);
        self.kept.clear();
        self.removals.clear();
    }

    /// Answers the calls whose wait has ended.
    fn expire(&mut self, now: Now) {
        for queue in [&mut self.queue, &mut self.batch] {
            if queue.expire_at().is_some_and(|at| at <= now.instant) {
                for waiting in queue.remove(|waiting| waiting.expires <= now.instant) {
                    let reply = ClaimReply::Expired;
                    self.out.push(PartitionAction::Reply { tag: waiting.tag, reply });
                }
            }
        }
    }

    fn reply(&mut self, tag: u64, reply: ClaimReply) {
        self.out.push(PartitionAction::Reply { tag, reply });
    }

    fn store_call(&mut self, request: StoreCall) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        self.out.push(PartitionAction::Store { call, request });
        call
    }
}

impl Tail {
    fn new(sequence: u64) -> Tail {
        Tail {
            sequence,
            revision: Revision(0),
            seal: Seal::Open,
            records: Vec::new(),
            newest_ms: 0,
        }
    }

    fn kept(&self) -> Kept {
        Kept { sequence: self.sequence, revision: self.revision, newest_ms: self.newest_ms }
    }
}
