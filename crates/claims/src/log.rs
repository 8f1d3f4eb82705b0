//! The claim log of one partition in the store.
//!
//! `claims/{partition}/head` holds the sequences of the first and the last segment, the
//! watermark and the token of the owner. Segments `claims/{partition}/{sequence}` hold
//! records in order. The last write to a segment seals it. A sealed segment never changes,
//! and the next segment is created only after the seal.
//!
//! A new segment is valid only once the head names it. The delayed creation of a segment
//! that has since been pruned succeeds, but the change of the head that follows fails.

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

/// Maximum size of a segment value. Each write sends the whole segment, so a larger maximum
/// makes batches more expensive and a smaller one needs more reads at take-over.
pub const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// Identifies one ownership of a partition. A daemon takes a log over only from an owner
/// with a lower token, so that an earlier owner can't take the log back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FencingToken {
    /// Epoch of the assignment that made the daemon the owner.
    pub epoch: Epoch,
    /// Tells processes of the same daemon apart.
    pub incarnation: Incarnation,
}

/// The value of the head key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Token of the last owner that took the log over.
    pub token: FencingToken,
    /// The lowest segment sequence that is retained.
    pub first: u64,
    /// The highest segment sequence in use; below `first` if there are no segments.
    pub tail: u64,
    /// Request ids with an embedded time before this one are refused.
    pub watermark_ms: u64,
}

/// The value of a segment key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Token of the owner that wrote the segment last.
    pub token: FencingToken,
    /// Number of the last write, counted by that owner over all its segment writes.
    pub batch: u64,
    /// Whether the segment may still change.
    pub seal: Seal,
    /// Oldest first.
    pub records: Vec<Record>,
}

/// Whether a segment is sealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seal {
    /// The segment is the tail and takes more records.
    Open,
    /// The segment never changes again.
    Sealed,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The request id belongs to `claim`. The record permits the send only if `start` is
    /// [`Start::Now`].
    Claimed {
        /// The claimed request.
        key: RequestKey,
        /// The claim that holds the request id.
        claim: ClaimId,
        /// Digest of the request body.
        digest: BodyDigest,
        /// The caller's attempt that made the claim.
        attempt: CallerAttempt,
        /// After this time the request is no longer expected to be running.
        deadline_unix_ms: u64,
        /// Whether the record also means `Started`.
        start: Start,
    },
    /// The request may have been sent.
    Started {
        /// The request that may have been sent.
        key: RequestKey,
        /// The claim under which it is sent.
        claim: ClaimId,
    },
    /// The request ran.
    Done {
        /// The request that ran.
        key: RequestKey,
        /// The claim under which it ran.
        claim: ClaimId,
        /// What the log keeps of the result.
        result: RunResult,
    },
    /// No caller attempt up to `attempt` ran or ever will.
    Aborted {
        /// The request that does not run.
        key: RequestKey,
        /// The aborted claim.
        claim: ClaimId,
        /// Digest of the request body.
        digest: BodyDigest,
        /// The highest caller attempt that is aborted.
        attempt: CallerAttempt,
        /// Why the request did not run.
        code: ResultCode,
    },
}

/// A value in the store is not a head or a segment of this format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("invalid claim log value at byte {offset}")]
pub struct DecodeError {
    /// Position in the value at which decoding stopped, in bytes.
    pub offset: usize,
}

impl DecodeError {
    /// The result code for a log that can't be read.
    pub fn code(self) -> ResultCode {
        ResultCode::StoreUnavailable
    }
}

impl Record {
    /// The request that the record is about.
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
    /// Creates the head of a log without segments.
    pub fn empty(token: FencingToken) -> Head {
        Head { token, first: 1, tail: 0, watermark_ms: 0 }
    }

    /// Decodes the value of the head key.
    pub fn decode(value: &[u8]) -> Result<Head, DecodeError> {
        codec::decode_head(value)
    }
}

impl Segment {
    /// Decodes the value of a segment key.
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
