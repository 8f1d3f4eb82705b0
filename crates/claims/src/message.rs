//! Messages between a claimant and a partition owner.

use serde::Deserialize;
use serde::Serialize;

use crate::request_id::BodyDigest;
use crate::request_id::CallerAttempt;
use crate::request_id::ClaimId;
use crate::request_id::RequestKey;
use tt_model::Ran;
use tt_model::ResultCode;

/// The largest result that is kept in the log; of a larger one only the digest is kept.
pub const MAX_RESULT_BYTES: usize = 4096;

/// A call from a claimant to the owner of the partition of `key`. Every call may be
/// repeated with the same claim id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request id.
    pub key: RequestKey,
    /// The claimant's claim id.
    pub claim: ClaimId,
    /// Digest of the request body.
    pub digest: BodyDigest,
    /// The caller's count of sendings of this id.
    pub attempt: CallerAttempt,
    /// How long the owner may hold the call before it answers.
    pub wait_ms: u32,
    /// What is asked for.
    pub step: Step,
}

/// What a [`ClaimRequest`] asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// Claims the id.
    Claim {
        /// Whether the claimant sends as soon as the claim is granted.
        start: Start,
        /// After this time the request is no longer expected to be running.
        deadline_unix_ms: u64,
    },
    /// Records that the claimant is about to send.
    Start,
    /// Records the result of the run.
    Finish {
        /// The result.
        result: RunResult,
    },
    /// Records that nothing ran under this claim and nothing will.
    Abort {
        /// Why it was not run.
        code: ResultCode,
    },
    /// Asks for the state of the id.
    LookUp,
}

/// Whether `Started` is recorded together with `Claimed`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Start {
    /// In the same record.
    Now,
    /// By a later [`Step::Start`].
    Later,
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunResult {
    /// The result, at most [`MAX_RESULT_BYTES`].
    Kept(Vec<u8>),
    /// The digest of a larger result.
    Omitted(BodyDigest),
}

impl RunResult {
    /// The form of `result` that the log keeps.
    pub fn of(result: &[u8]) -> RunResult {
        if result.len() <= MAX_RESULT_BYTES {
            RunResult::Kept(result.to_vec())
        } else {
            RunResult::Omitted(BodyDigest::of(result))
        }
    }
}

/// The partition owner's answer to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// `Claimed` is durable under the caller's claim id.
    Claimed,
    /// `Started` is durable under the caller's claim id.
    Started,
    /// The `Done` or `Aborted` record is durable.
    Recorded,
    /// The state of the id does not allow the step.
    Refused(Refusal),
    /// This daemon does not own the partition; it has recorded nothing for this call.
    NotOwner,
    /// The store did not confirm the record; it may still become durable.
    Unavailable,
    /// The store is down; nothing is recorded for this call.
    Down,
    /// The queue is full; nothing is recorded for this call.
    Busy,
    /// The call waited for `wait_ms`; its record may still become durable.
    Expired,
}

/// Why a step is not allowed. Each holds for good, also if the owner that states it has
/// lost the partition without knowing, except for `InProgress`, `Unknown` and `Absent`,
/// which let the caller conclude nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another claim is being run.
    InProgress,
    /// Another claim may have run; its claimant has recorded no outcome in time.
    Unknown,
    /// The request ran.
    Done(RunResult),
    /// No attempt up to the one asked about ran or will.
    NotRun(ResultCode),
    /// The id belongs to a request with another body.
    Reused,
    /// The id is older than the retention window.
    BelowWatermark,
    /// The id is from too far ahead, and the log holds no record of it.
    Future,
    /// The log holds no record of the id.
    Absent,
}

/// `code`, or a general one if it does not state that the request was not run. Codes come
/// from peers and from logs of later versions.
pub(crate) fn not_run_code(code: Option<ResultCode>) -> ResultCode {
    code.filter(|code| code.ran() == Ran::No).unwrap_or(ResultCode::DeadlinePassed)
}
