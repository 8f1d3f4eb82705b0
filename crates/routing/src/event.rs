//! Inputs and outputs of the query state machine.

use std::time::Duration;

use tokio::time::Instant;

use crate::arena::AttemptKey;
use crate::arena::QueryKey;
use crate::plan::Shards;
use crate::view::Pressure;
use tt_model::ResultCode;
use tt_model::SearcherId;
use tt_model::ServiceId;
use tt_model::ShardId;
use tt_model::Snapshot;

/// Whether the sub-queries of a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Sub-queries may be hedged, retried and restarted.
    Idempotent,
    /// Each sub-query runs at most once. It is retried only if it certainly did not run.
    AtMostOnce,
}

/// A request that has passed admission.
#[derive(Debug, Clone)]
pub struct Request {
    /// The service of the caller. Its class sets the preference and the hedge quantile.
    pub service: ServiceId,
    /// The requested shards.
    pub shards: Shards,
    /// Whether sub-queries may run more than once.
    pub mode: Mode,
    /// When the caller must have the answer.
    pub deadline: Instant,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome<T> {
    /// The searcher executed the sub-query and returned a result.
    Answered {
        /// The snapshot that was searched.
        snapshot: Snapshot,
        /// The result as the searcher returned it.
        body: T,
    },
    /// Not executed: the searcher or its queue was full, or the deadline passed in the queue.
    Shed,
    /// Not executed: the searcher is draining.
    Draining,
    /// Not executed: the searcher does not hold the snapshot.
    SnapshotGone,
    /// Not executed: the searcher does not serve the shard.
    WrongShard,
    /// Not executed: the searcher refused the connection.
    Refused,
    /// Not executed: the owner could not be reached, and nothing was sent to the searcher.
    OwnerUnreachable,
    /// Sent, but whether it was executed is unknown.
    Failed,
}

/// The end of an attempt, whether the searcher replied or not.
#[derive(Debug, Clone)]
pub struct Reply<'a, T> {
    /// How the attempt ended.
    pub outcome: AttemptOutcome<T>,
    /// The snapshots that the searcher holds; empty if not reported.
    pub held: &'a [Snapshot],
    /// The queue pressure at the searcher; `None` if its owner did not report it.
    pub pressure: Option<Pressure>,
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt of the sub-query.
    Primary,
    /// Sent while an earlier attempt is late and still in flight.
    Hedge,
    /// Sent after an earlier attempt failed or was not executed.
    Retry,
    /// First attempt of the sub-query after the query restarted at a newer snapshot.
    Restart,
}

/// An attempt for the daemon to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// To be passed to [`Router::on_reply`](crate::Router::on_reply) when the attempt ends.
    pub key: AttemptKey,
    /// The searcher to send it to.
    pub searcher: SearcherId,
    /// The shard to search.
    pub shard: ShardId,
    /// The snapshot to search.
    pub snapshot: Snapshot,
    /// The time after which the query no longer uses a reply. Earlier than the deadline of
    /// the request.
    pub deadline: Instant,
    /// Why it is sent.
    pub kind: AttemptKind,
}

/// What the daemon must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action<T> {
    /// Send an attempt.
    Send(Attempt),
    /// Cancel an attempt. A later reply to it is ignored.
    Cancel {
        /// The attempt to cancel.
        key: AttemptKey,
        /// The searcher it was sent to.
        searcher: SearcherId,
    },
    /// Call [`Router::wake`](crate::Router::wake) at this time. Replaces an earlier wake-up
    /// of the same query.
    WakeAt {
        /// The query to wake.
        query: QueryKey,
        /// When to wake it.
        at: Instant,
    },
    /// Give this answer to the caller. The last action of each query, issued exactly once.
    Finish(Answer<T>),
}

/// The outcome of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An idempotent request that covers every shard.
    Complete,
    /// An idempotent request that covers some shards, but not all.
    Partial,
    /// An idempotent request that covers no shard, although sub-queries may have run.
    NoAnswer,
    /// A non-idempotent request that ran once on every shard.
    Done,
    /// No sub-query has run, for certain. The code tells the caller why.
    NotRun(ResultCode),
    /// A non-idempotent request that may have run on some shards.
    Unknown,
    /// The caller cancelled the query.
    Cancelled,
}

impl Outcome {
    /// The result code for the caller; `None` if the caller cancelled the query.
    pub fn code(self) -> Option<ResultCode> {
        match self {
            Outcome::Complete => Some(ResultCode::Complete),
            Outcome::Partial => Some(ResultCode::Partial),
            Outcome::NoAnswer => Some(ResultCode::NoAnswer),
            Outcome::Done => Some(ResultCode::Done),
            Outcome::NotRun(code) => Some(code),
            Outcome::Unknown => Some(ResultCode::OutcomeUnknown),
            Outcome::Cancelled => None,
        }
    }
}

/// Why an answer does not cover a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No replica accepted the sub-query, or none takes new work.
    NoReplica,
    /// A replica shed the sub-query, and no other one could take it.
    Overloaded,
    /// No replica that could be asked holds the pinned snapshot.
    SnapshotGone,
    /// An attempt failed and no other replica could be asked.
    Failed,
    /// No reply arrived before the deadline.
    TimedOut,
    /// The class prefers low latency, and a reply before the deadline was unlikely.
    LeftOut,
    /// The caller named the shard, but it does not exist at the pinned snapshot.
    Absent,
    /// The caller cancelled the query before a reply arrived.
    Cancelled,
}

/// A shard that an answer covers.
#[derive(Debug, Clone, PartialEq)]
pub struct CoveredShard<T> {
    /// The shard that was searched.
    pub shard: ShardId,
    /// The searcher whose result is used.
    pub searcher: SearcherId,
    /// The result as the searcher returned it.
    pub body: T,
}

/// A shard that an answer does not cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UncoveredShard {
    /// The shard without a result.
    pub shard: ShardId,
    /// Why there is no result.
    pub reason: Reason,
}

/// Numbers of attempts that a query sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// First attempts; one for each sub-query of the first plan that has a replica.
    pub primaries: u32,
    /// Hedges of late attempts.
    pub hedges: u32,
    /// Retries of attempts that failed or were not executed.
    pub retries: u32,
    /// First attempts after a restart at a newer snapshot.
    pub restarts: u32,
    /// Attempts, of any kind, that were certainly not executed.
    pub not_executed: u32,
}

/// The answer to a query.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// The query that is answered.
    pub query: QueryKey,
    /// How the query ended.
    pub outcome: Outcome,
    /// The pinned snapshot. Every result is from this snapshot.
    pub snapshot: Snapshot,
    /// The shards with a result, each once.
    pub covered: Vec<CoveredShard<T>>,
    /// The other shards of the query, each once.
    pub uncovered: Vec<UncoveredShard>,
    /// The attempts that the query sent.
    pub attempts: AttemptCounts,
    /// Time from the start of the query to the answer.
    pub elapsed: Duration,
}

/// Counts since a router was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Queries started.
    pub queries: u64,
    /// First attempts sent.
    pub primaries: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Hedges, retries and restarts that the retry budget did not allow.
    pub budget_denied: u64,
    /// Retries sent.
    pub retries: u64,
    /// First attempts sent after restarts.
    pub restarts: u64,
    /// Events whose query has ended or whose key is unknown.
    pub stale_events: u64,
    /// Replies to cancelled attempts.
    pub late_replies: u64,
    /// Replies to attempts that already had a reply.
    pub duplicate_replies: u64,
    /// Answers from another snapshot than the pinned one.
    pub mismatched_replies: u64,
}
