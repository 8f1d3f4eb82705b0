//! The partition owner, which keeps the claim log of one partition.

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
use crate::partition::queue::WaitingCall;
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
    /// Minimum time between the starts of two writes to the store.
    pub write_interval: Duration,
    /// Request ids older than this are pruned and refused.
    pub retention: Duration,
    /// Time between two checks for segments to prune.
    pub prune_interval: Duration,
    /// Delay before the next call after the store gave no answer.
    pub retry_delay: Duration,
    /// Maximum number of calls in the queue. Calls that record no outcome are refused at
    /// three quarters of it, so that outcomes of requests that already ran find room.
    pub max_queued: usize,
    /// Calls are refused while the results in the queue take at least this many bytes.
    pub max_queued_bytes: usize,
    /// Maximum number of request ids in memory. Further ids are refused until some are pruned.
    pub max_ids: usize,
    /// Maximum total size of the results in memory. The oldest results beyond it are replaced
    /// by their digests.
    pub result_cache_bytes: usize,
    /// Maximum size of a segment value. A single record may exceed it.
    pub max_segment_bytes: usize,
    /// Maximum number of segments that are read ahead at take-over.
    pub read_window: usize,
    /// Maximum time that a call may wait, whatever its `wait_ms`.
    pub max_wait: Duration,
    /// Maximum number of records in one write.
    pub max_batch_len: usize,
}

impl Default for PartitionSettings {
    fn default() -> Self {
        PartitionSettings {
            // Four partitions make at most 200 writes a second; the store takes several hundred.
            write_interval: Duration::from_millis(20),
            retention: Duration::from_secs(15 * 60),
            prune_interval: Duration::from_secs(10),
            retry_delay: Duration::from_millis(200),
            max_queued: 4096,
            // For four partitions 16 MB, an eighth of the 128 MB that a daemon may use.
            max_queued_bytes: 4 * 1024 * 1024,
            // A full partition takes 26 MB with results of 100 bytes, so a daemon that owns
            // all four stays below 128 MB. With 15 min of retention, this bound allows 111
            // claims a second for each partition.
            max_ids: 100_000,
            result_cache_bytes: 4 * 1024 * 1024,
            max_segment_bytes: crate::log::MAX_SEGMENT_BYTES,
            // Four concurrent reads of 5 ms make 800 reads a second; the store takes 2000.
            read_window: 4,
            max_wait: Duration::from_secs(30),
            max_batch_len: usize::MAX,
        }
    }
}

/// Input of a [`Partition`].
#[derive(Debug, Clone)]
pub enum PartitionEvent {
    /// A claimant's call arrived. The reply carries the same tag.
    Request {
        /// Chosen by the daemon; unique among unanswered calls.
        tag: u64,
        /// What the claimant sent.
        request: ClaimRequest,
    },
    /// A store call ended.
    Store {
        /// Number of the call from [`PartitionAction::Store`].
        call: u64,
        /// The store's reply, or [`StoreReply::Lost`].
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
    /// Make a store call and report its reply to the same state machine in a
    /// [`PartitionEvent::Store`]. Every call needs a reply; report [`StoreReply::Lost`] if
    /// there was none in time.
    Store {
        /// Number of the call, unique within this state machine only.
        call: u64,
        /// What to send to the store.
        request: StoreCall,
    },
    /// Reply to a claimant's call.
    Reply {
        /// Tag of the call from [`PartitionEvent::Request`].
        tag: u64,
        /// What to send to the claimant.
        reply: ClaimReply,
    },
}

/// The phase of a [`Partition`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartitionStatus {
    /// The log is being read; calls wait.
    TakingOver,
    /// Claims are recorded.
    Owner,
    /// The last write is being finished; new calls are refused.
    Releasing,
    /// All calls are refused. This phase is final.
    Retired,
}

/// The state machine of one ownership of a partition. It takes the log over, records
/// claims, and retires on release or when another owner has taken the log over.
///
/// Replace a `Partition` by a new one when the assignment names this daemon as the owner in
/// a later epoch and either the `Partition` has retired or another member was the owner in
/// between. Don't replace a retired `Partition` within the same epoch, because the log
/// belongs to a later token.
#[derive(Debug)]
pub struct Partition {
    id: PartitionId,
    token: FencingToken,
    settings: PartitionSettings,
    phase: Phase,
    table: Table,
    queue: Queue,
    /// Calls that are answered once the current write is durable.
    batch: Queue,
    write: Option<PendingWrite>,
    next_call: u64,
    /// Earliest start of the next write.
    ready_at: Instant,
    /// Until this time the store is assumed to be down, and claims are refused at once.
    down_until: Instant,
    head: Head,
    head_revision: Revision,
    tail: Tail,
    /// Sealed segments, oldest first.
    sealed: VecDeque<SealedSegment>,
    /// Segments below `head.first`, which are to be removed from the store.
    removals: VecDeque<Removal>,
    /// Search for segments below `head.first` that an earlier owner did not remove.
    sweep: Sweep,
    prune_at: Instant,
    next_write: NextWrite,
    /// Number of segment writes under this token.
    batch_count: u64,
    actions: Vec<PartitionAction>,
}

#[derive(Debug)]
enum Phase {
    TakeOver(TakeOver),
    Owner,
    Releasing,
    Retired,
}

/// A write whose outcome is not known yet.
#[derive(Debug)]
struct PendingWrite {
    write: Write,
    kind: WriteKind,
    state: CallState,
}

#[derive(Debug, Clone, Copy)]
enum CallState {
    /// The call with this number has no reply yet.
    Open(u64),
    /// The next call is made at this time.
    Due(Instant),
}

/// What a write changes in the log.
#[derive(Debug)]
enum WriteKind {
    /// A step of the take-over, which the phase holds.
    TakeOver,
    /// Adds a batch to the open tail.
    Append(Tail),
    /// Creates a new tail with a batch. It is not valid until the head names it.
    Create(Tail),
    /// Names the new tail in the head.
    CommitTail(Head, Tail),
    /// Raises `first` in the head, so that older segments are no longer part of the log.
    Prune(Head),
    /// Removes a pruned segment from the store.
    Remove,
}

/// A pruned segment that is to be removed from the store.
#[derive(Debug, Clone, Copy)]
struct Removal {
    sequence: u64,
    revision: Revision,
}

/// Progress of the search for segments that an earlier owner did not remove.
#[derive(Debug, Clone, Copy)]
enum Sweep {
    /// The segment with this sequence is read next.
    Due(u64),
    /// The segment `sequence` is being read.
    Reading {
        call: u64,
        sequence: u64,
    },
    Ended,
}

/// Which kind of write goes first when both are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextWrite {
    Batch,
    /// Pruning, or the removal of a pruned segment.
    Maintenance,
}

/// The last segment of the log.
#[derive(Debug, Clone)]
struct Tail {
    sequence: u64,
    revision: Revision,
    seal: Seal,
    /// Encoded; dropped once the sealed segment is durable.
    records: Vec<u8>,
    /// The latest time embedded in a request id of the segment.
    newest_ms: u64,
}

/// A retained segment that no longer changes.
#[derive(Debug, Clone, Copy)]
struct SealedSegment {
    sequence: u64,
    revision: Revision,
    newest_ms: u64,
}

impl Partition {
    /// Creates the state machine, which starts to take over the partition with the next
    /// event. Send a [`PartitionEvent::Timer`] at once.
    ///
    /// A process may use the same token again for the same partition only after it has
    /// dropped the earlier state machine.
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
            sealed: VecDeque::new(),
            removals: VecDeque::new(),
            sweep: Sweep::Ended,
            prune_at: now.instant,
            next_write: NextWrite::Batch,
            batch_count: 0,
            actions: Vec::new(),
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
        self.start_due(now);
        std::mem::take(&mut self.actions)
    }

    /// When to send a [`PartitionEvent::Timer`], unless another event comes earlier.
    pub fn next_timer(&self) -> Option<Instant> {
        let write = self.write.as_ref().and_then(|pending| match pending.state {
            CallState::Open(_) => None,
            CallState::Due(at) => Some(at),
        });
        let phase = match &self.phase {
            Phase::TakeOver(TakeOver::Paused(at)) => Some(*at),
            Phase::TakeOver(TakeOver::Segments(replay)) => replay.retry_at(),
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

    /// The current phase.
    pub fn status(&self) -> PartitionStatus {
        match self.phase {
            Phase::TakeOver(_) => PartitionStatus::TakingOver,
            Phase::Owner => PartitionStatus::Owner,
            Phase::Releasing => PartitionStatus::Releasing,
            Phase::Retired => PartitionStatus::Retired,
        }
    }

    /// Number of request ids in memory.
    pub fn request_id_count(&self) -> usize {
        self.table.len()
    }

    /// Number of calls that have no reply yet.
    pub fn pending_calls(&self) -> usize {
        self.queue.len() + self.batch.len()
    }

    fn on_request(&mut self, tag: u64, request: ClaimRequest, now: Now) {
        match self.phase {
            Phase::Owner => {
                // These replies are true even if this owner has been replaced without knowing:
                // refusals stay true, and the other replies are about durable records.
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
        self.queue.push(WaitingCall { tag, request, expires: now.instant + wait, reply });
    }

    fn on_store(&mut self, call: u64, reply: StoreReply, now: Now) {
        match &self.write {
            Some(pending) if matches!(pending.state, CallState::Open(open) if open == call) => {
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

    /// Ends the ownership: replies `NotOwner` to all calls and writes nothing more. Records of
    /// the batch may be durable, so claimants repeat the call at the next owner with the same
    /// claim id.
    fn retire(&mut self) {
        self.phase = Phase::Retired;
        self.write = None;
        let batch = self.batch.take();
        for waiting in batch.into_iter().chain(self.queue.take()) {
            self.reply(waiting.tag, ClaimReply::NotOwner);
        }
        self.table = Table::new(0);
        self.sealed.clear();
        self.removals.clear();
    }

    /// Replies to the calls that have reached their maximum wait.
    fn expire(&mut self, now: Now) {
        for queue in [&mut self.queue, &mut self.batch] {
            if queue.expire_at().is_some_and(|at| at <= now.instant) {
                for waiting in queue.remove(|waiting| waiting.expires <= now.instant) {
                    let reply = ClaimReply::Expired;
                    self.actions.push(PartitionAction::Reply { tag: waiting.tag, reply });
                }
            }
        }
    }

    fn reply(&mut self, tag: u64, reply: ClaimReply) {
        self.actions.push(PartitionAction::Reply { tag, reply });
    }

    fn store_call(&mut self, request: StoreCall) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        self.actions.push(PartitionAction::Store { call, request });
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

    fn sealed(&self) -> SealedSegment {
        SealedSegment {
            sequence: self.sequence,
            revision: self.revision,
            newest_ms: self.newest_ms,
        }
    }
}
