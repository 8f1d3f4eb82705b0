//! What goes into and comes out of the state machine of a query.

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

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// May be hedged, retried and restarted.
    Idempotent,
    /// Runs at most once on each shard.
    AtMostOnce,
}

/// An admitted request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The service that asks; its class gives the policy.
    pub service: ServiceId,
    /// The shards that it asks for.
    pub shards: Shards,
    /// Whether it may run more than once.
    pub mode: Mode,
    /// The time by which the caller must have the answer.
    pub deadline: Instant,
}

/// What became of a sub-query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome<T> {
    /// It ran and this is its result.
    Answered {
        /// The snapshot that the result reflects.
        snapshot: Snapshot,
        /// The result.
        body: T,
    },
    /// Not executed: the searcher or its queue was full, or its deadline passed in the queue.
    Shed,
    /// Not executed: the searcher is leaving.
    Draining,
    /// Not executed: the searcher does not hold the snapshot.
    SnapshotGone,
    /// Not executed: the searcher does not serve the shard.
    WrongShard,
    /// Not executed: the searcher refused the connection.
    Refused,
    /// Not executed: the owner daemon was not reached before anything was sent.
    OwnerUnreachable,
    /// Sent, but nothing is known of its execution.
    Failed,
}

/// A reply to a sub-query, or the news that there is none.
#[derive(Debug, Clone)]
pub struct Reply<'a, T> {
    /// What became of the sub-query.
    pub outcome: AttemptOutcome<T>,
    /// The snapshots that the searcher holds; empty if it did not say.
    pub held: &'a [Snapshot],
    /// The pressure at the searcher, if its owner reported it.
    pub pressure: Option<Pressure>,
}

/// Why a sub-query is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first one for its shard.
    Primary,
    /// Beside an earlier one that is late.
    Hedge,
    /// After an earlier one that failed or was not executed.
    Retry,
    /// The first one for its shard after a restart at a newer snapshot.
    Restart,
}

/// A sub-query to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The key that its reply must carry.
    pub key: AttemptKey,
    /// Where to send it.
    pub searcher: SearcherId,
    /// The shard to search.
    pub shard: ShardId,
    /// The snapshot to search.
    pub snapshot: Snapshot,
    /// The time after which its reply is of no use.
    pub deadline: Instant,
    /// Why it is sent.
    pub kind: AttemptKind,
}

/// What the daemon must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action<T> {
    /// Send a sub-query.
    Send(Attempt),
    /// Cancel a sub-query; a reply to it is of no use.
    Cancel {
        /// The sub-query.
        key: AttemptKey,
        /// Where it was sent.
        searcher: SearcherId,
    },
    /// Call [`Router::wake`](crate::Router::wake) at this time. Replaces the earlier time
    /// of the same query.
    WakeAt {
        /// The query.
        query: QueryKey,
        /// The time.
        at: Instant,
    },
    /// Give this answer to the caller. The last action of a query, and the only one of its
    /// sort.
    Finish(Answer<T>),
}

/// The outcome of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Every shard asked is covered.
    Complete,
    /// Some shards are covered.
    Partial,
    /// No shard is covered; sub-queries may have run.
    NoAnswer,
    /// A non-idempotent request ran once on every shard asked.
    Done,
    /// Every sub-query is known not to have run. The code says why.
    NotRun(ResultCode),
    /// A non-idempotent request may have run.
    Unknown,
    /// The caller cancelled the query.
    Cancelled,
}

impl Outcome {
    /// The code that carries the outcome; `None` when the caller is gone.
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
    /// No replica took the sub-query, or there is none that takes work.
    NoReplica,
    /// Every replica that was asked was full.
    Overloaded,
    /// No replica that was asked holds the pinned snapshot.
    SnapshotGone,
    /// A sub-query failed and no other replica could be asked.
    Failed,
    /// No reply came before the deadline.
    TimedOut,
    /// The class prefers a timely answer, and a reply in time was unlikely.
    LeftOut,
    /// The shard was named but does not exist at the pinned snapshot.
    Absent,
    /// The caller cancelled the query before a reply came.
    Cancelled,
}

/// A shard that an answer covers.
#[derive(Debug, Clone, PartialEq)]
pub struct CoveredShard<T> {
    /// The shard.
    pub shard: ShardId,
    /// The searcher that answered.
    pub searcher: SearcherId,
    /// Its result.
    pub body: T,
}

/// A shard that an answer does not cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UncoveredShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is not covered.
    pub reason: Reason,
}

/// What a query cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Sub-queries sent first to their shards.
    pub primaries: u32,
    /// Sub-queries sent beside late ones.
    pub hedges: u32,
    /// Sub-queries sent after failed ones.
    pub retries: u32,
    /// Sub-queries sent again at a newer snapshot.
    pub restarts: u32,
    /// Sub-queries that are known not to have run.
    pub not_executed: u32,
}

/// The answer to a query.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer<T> {
    /// The query.
    pub query: QueryKey,
    /// The outcome.
    pub outcome: Outcome,
    /// The one snapshot that every result reflects.
    pub snapshot: Snapshot,
    /// The shards that are covered, each once.
    pub covered: Vec<CoveredShard<T>>,
    /// All other shards of the query, each once.
    pub uncovered: Vec<UncoveredShard>,
    /// What the query cost.
    pub attempts: AttemptCounts,
    /// Time from the start to the answer.
    pub elapsed: Duration,
}

/// Counts of a router since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Queries started.
    pub queries: u64,
    /// Primary sub-queries.
    pub primaries: u64,
    /// Hedges.
    pub hedges: u64,
    /// Hedges and retries that the budget did not allow at the time.
    pub budget_denied: u64,
    /// Retries.
    pub retries: u64,
    /// Sub-queries sent by restarts.
    pub restarts: u64,
    /// Events whose query has ended.
    pub stale_events: u64,
    /// Replies to sub-queries that were cancelled.
    pub late_replies: u64,
    /// Replies to sub-queries that had one already.
    pub duplicate_replies: u64,
    /// Answers for another snapshot than the pinned one.
    pub mismatched_replies: u64,
}
