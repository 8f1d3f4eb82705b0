//! Identity of non-idempotent requests.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

use tt_model::ResultCode;

/// Number of claim partitions. Changing it moves ids between logs, so a request could be
/// claimed in both; a change needs a pause of claims for the retention window.
pub const PARTITION_COUNT: u8 = 4;

/// An id from further ahead than this is refused: it would outlive the retention window.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// The current time on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Monotonic time, for waits and deadlines within the process.
    pub instant: Instant,
    /// Wall-clock time, for request ids and for deadlines stored in the log.
    pub unix_ms: u64,
}

/// A claim partition, below [`PARTITION_COUNT`].
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartitionId(pub u8);

/// A random number that lets a claimant recognise its own record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u128);

/// The position of a request among all sendings of the same request id, as counted by the
/// caller from 1. A caller that repeats an id uses a higher number than before.
///
/// Without the number, an entry that cannot reach the log could not tell whether an
/// earlier sending has run, and a delayed earlier sending could run after a later one
/// was answered "not run".
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallerAttempt(pub u32);

impl CallerAttempt {
    /// The caller stated no number: an earlier attempt is possible.
    pub const UNSTATED: CallerAttempt = CallerAttempt(0);
    /// The caller has not sent this id before.
    pub const FIRST: CallerAttempt = CallerAttempt(1);
}

/// A 128-bit XXH3 digest of a request body or of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest(pub u128);

impl BodyDigest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> BodyDigest {
        BodyDigest(xxh3_128(bytes))
    }
}

/// The request id within its service. Ordered by the time embedded in the id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// A UUID version 7.
    pub id: Uuid,
    /// Hash of the service's name. Names, unlike arena keys, are the same in every document.
    pub service: u64,
}

/// The request id is not a UUID version 7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{}", self.code())]
pub struct BadRequestId;

impl BadRequestId {
    /// The numbered code of this error.
    pub fn code(self) -> ResultCode {
        ResultCode::BadRequestId
    }
}

impl RequestKey {
    /// Reads the request id of a request of the named service.
    pub fn parse(service: &str, id: &str) -> Result<RequestKey, BadRequestId> {
        let id = Uuid::try_parse(id).map_err(|_| BadRequestId)?;
        RequestKey::new(service, id)
    }

    /// The key of `id` within the named service.
    pub fn new(service: &str, id: Uuid) -> Result<RequestKey, BadRequestId> {
        if id.get_version_num() != 7 || id.get_variant() != uuid::Variant::RFC4122 {
            return Err(BadRequestId);
        }
        Ok(RequestKey { id, service: xxh3_64(service.as_bytes()) })
    }

    /// The Unix time in milliseconds embedded in the id.
    pub fn time_ms(self) -> u64 {
        (self.id.as_u128() >> 80) as u64
    }

    /// The partition whose log holds the claims of this id.
    pub fn partition(self) -> PartitionId {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.service.to_be_bytes());
        bytes[8..].copy_from_slice(self.id.as_bytes());
        PartitionId((xxh3_64(&bytes) % u64::from(PARTITION_COUNT)) as u8)
    }
}
