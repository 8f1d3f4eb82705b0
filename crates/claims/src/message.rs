//! Messages between a claimant and a partition owner.

use serde::Deserialize;
use serde::Serialize;

use crate::request_id::BodyDigest;
use crate::request_id::CallerAttempt;
use crate::request_id::ClaimId;
use crate::request_id::RequestKey;
use tt_model::Ran;
use tt_model::ResultCode;

/// Maximum size of a result in the log. For a larger result the log holds only the digest.
pub const MAX_RESULT_BYTES: usize = 4096;

/// A call from a claimant to the owner of the partition of `key`. A claimant may repeat any
/// call with the same claim id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request that the call is about.
    pub key: RequestKey,
    /// The claimant's claim id, drawn at random for its submission.
    pub claim: ClaimId,
    /// Digest of the request body.
    pub digest: BodyDigest,
    /// The caller's attempt that the claimant serves.
    pub attempt: CallerAttempt,
    /// Maximum time until the owner replies; after it the reply is [`ClaimReply::Expired`].
    pub wait_ms: u32,
    /// What the owner is to do.
    pub step: Step,
}

/// What a [`ClaimRequest`] asks the owner to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Claim the request id for the claimant.
    Claim {
        /// Whether the claimant sends the request as soon as the claim is granted.
        start: Start,
        /// After this time the request is no longer expected to be running.
        deadline_unix_ms: u64,
    },
    /// Record that the claimant is about to send the request.
    Start,
    /// Record that the request ran.
    Finish {
        /// What the log keeps of the result.
        result: RunResult,
    },
    /// Record that the request did not run under this claim and never will.
    Abort {
        /// Why the request did not run.
        code: ResultCode,
    },
    /// Reply with the state of the request id.
    LookUp,
}

/// When `Started` is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Start {
    /// Together with `Claimed`, in the same record.
    Now,
    /// By a later [`Step::Start`].
    Later,
}

/// What the log keeps of the result of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// The whole result, at most [`MAX_RESULT_BYTES`] long.
    Kept(Vec<u8>),
    /// The digest of a result that is too large.
    Omitted(BodyDigest),
}

impl RunResult {
    /// Keeps `result`, or its digest if it is longer than [`MAX_RESULT_BYTES`].
    pub fn of(result: &[u8]) -> RunResult {
        if result.len() <= MAX_RESULT_BYTES {
            RunResult::Kept(result.to_vec())
        } else {
            RunResult::Omitted(BodyDigest::of(result))
        }
    }
}

/// The partition owner's reply to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// `Claimed` is durable under the claimant's claim id.
    Claimed,
    /// `Started` is durable under the claimant's claim id.
    Started,
    /// The `Done` or `Aborted` record is durable.
    Recorded,
    /// The state of the request id does not allow the step.
    Refused(Refusal),
    /// This daemon does not own the partition; it has recorded nothing for this call.
    NotOwner,
    /// The store did not confirm the record; it may still become durable.
    Unavailable,
    /// The store does not answer; nothing is recorded for this call.
    Down,
    /// The owner's queue or its table of ids is full; nothing is recorded for this call.
    Busy,
    /// The call has waited for `wait_ms`; its record may still become durable.
    Expired,
}

/// Why a step is not allowed.
///
/// A refusal stays true even if the owner that states it has lost the partition without
/// knowing. The exceptions are `InProgress`, `Unknown` and `Absent`, from which the claimant
/// can't conclude whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The request is running under another claim, or is about to.
    InProgress,
    /// The request may have run under another claim, whose claimant recorded no outcome
    /// before its deadline.
    Unknown,
    /// The request ran.
    Done(RunResult),
    /// No caller attempt up to the one in the call ran or ever will.
    NotRun(ResultCode),
    /// The request id was used with another body.
    Reused,
    /// The request id is older than the retention window.
    BelowWatermark,
    /// The time in the request id is further ahead of the owner's clock than
    /// [`MAX_AHEAD_MS`](crate::MAX_AHEAD_MS), and the log holds no record of the id.
    Future,
    /// The log holds no record of the request id that applies to this caller attempt.
    Absent,
}

/// Returns `code` if it states that the request was not run, otherwise `DeadlinePassed`.
/// Codes come from peers and from logs of later versions, so `code` may be unknown here.
pub(crate) fn not_run_code(code: Option<ResultCode>) -> ResultCode {
    code.filter(|code| code.ran() == Ran::No).unwrap_or(ResultCode::DeadlinePassed)
}
