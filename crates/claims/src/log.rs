//! The claim log of one partition in the store.
//!
//! `claims/{partition}/head` names the first and the last segment, the watermark and the
//! token of the owner. Segments `claims/{partition}/{sequence}` hold records in order.
//! A segment is sealed by its last write, never changes afterwards, and only then is the
//! next one created. A new segment counts once the head names it: a delayed creation of
//! a segment that has been pruned meanwhile succeeds, but the change of the head fails.

mod codec;

use derive_more::Display;
use derive_more::Error;

use crate::message::RunResult;
use crate::message::Start;
use crate::request_id::BodyDigest;
use crate::request_id::CallerAttempt;
use crate::request_id::ClaimId;
use crate::request_id::PartitionId;
use crate::request_id::RequestKey;
use tt_model::Epoch;
use tt_model::Incarnation;
use tt_model::ResultCode;

pub(crate) use codec::SEGMENT_PREFIX_BYTES;
pub(crate) use codec::encode_head;
pub(crate) use codec::encode_record;
pub(crate) use codec::encode_segment;

/// The largest segment value. Each write sends the whole segment, so a larger one costs
/// more for each batch and a smaller one more calls at take-over.
pub const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// Identifies one ownership of a partition. A log is taken over only from a lower token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FencingToken {
    /// The assignment epoch that made the daemon the owner.
    pub epoch: Epoch,
    /// The daemon's process.
    pub incarnation: Incarnation,
}

/// The value of the head key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// The last owner that took the log over.
    pub token: FencingToken,
    /// The lowest sequence that is retained.
    pub first: u64,
    /// The highest sequence in use; below `first` if there is none.
    pub tail: u64,
    /// Ids with an embedded time before this are refused.
    pub watermark_ms: u64,
}

/// The value of a segment key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The owner that wrote the segment last.
    pub token: FencingToken,
    /// Number of the last write among the writes of that owner.
    pub batch: u64,
    /// Whether the segment is sealed.
    pub seal: Seal,
    /// All records, oldest first.
    pub records: Vec<Record>,
}

/// Whether a segment may still change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seal {
    /// It is the tail.
    Open,
    /// It never changes again.
    Sealed,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The id belongs to `claim`; nothing is sent unless `start` says so.
    Claimed {
        /// The request id.
        key: RequestKey,
        /// The claim that holds the id.
        claim: ClaimId,
        /// Digest of the request body.
        digest: BodyDigest,
        /// The caller's count.
        attempt: CallerAttempt,
        /// After this time the request is no longer expected to be running.
        deadline_unix_ms: u64,
        /// Whether the record also stands for `Started`.
        start: Start,
    },
    /// The request may have been sent.
    Started {
        /// The request id.
        key: RequestKey,
        /// The claim that sends.
        claim: ClaimId,
    },
    /// The request ran.
    Done {
        /// The request id.
        key: RequestKey,
        /// The claim that ran.
        claim: ClaimId,
        /// The result.
        result: RunResult,
    },
    /// No attempt up to `attempt` ran or will.
    Aborted {
        /// The request id.
        key: RequestKey,
        /// The claim that is given up.
        claim: ClaimId,
        /// Digest of the request body.
        digest: BodyDigest,
        /// The highest attempt that is given up.
        attempt: CallerAttempt,
        /// Why it was not run.
        code: ResultCode,
    },
}

/// A value in the store is not a head or a segment of this format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("invalid claim log value at byte {offset}")]
pub struct DecodeError {
    /// Where decoding stopped.
    pub offset: usize,
}

impl DecodeError {
    /// The numbered code of this error.
    pub fn code(self) -> ResultCode {
        ResultCode::StoreUnavailable
    }
}

impl Record {
    /// The request id that the record is about.
    pub fn key(&self) -> RequestKey {
        match *self {
            Record::Claimed { key, .. }
            | Record::Started { key, .. }
            | Record::Done { key, .. }
            | Record::Aborted { key, .. } => key,
        }
    }
}

impl Head {
    /// The head of a log without segments.
    pub fn empty(token: FencingToken) -> Head {
        Head { token, first: 1, tail: 0, watermark_ms: 0 }
    }

    /// Reads a value of the head key.
    pub fn decode(value: &[u8]) -> Result<Head, DecodeError> {
        codec::decode_head(value)
    }
}

impl Segment {
    /// Reads a value of a segment key.
    pub fn decode(value: &[u8]) -> Result<Segment, DecodeError> {
        codec::decode_segment(value)
    }
}

/// The store key of the head of a partition's log.
pub fn head_key(partition: PartitionId) -> String {
    format!("claims/{partition}/head")
}

/// The store key of a segment.
pub fn segment_key(partition: PartitionId, sequence: u64) -> String {
    format!("claims/{partition}/{sequence}")
}
