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

/// Number of claim partitions. A change moves request ids between logs, so that a request
/// could be claimed in both. Before a change, claims must stop for the retention window.
pub const PARTITION_COUNT: u8 = 4;

/// How far the time in a request id may be ahead of the clock. An id from further ahead is
/// refused, because it would stay in the log longer than the retention window.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// The current time, monotonic and wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// For waits and deadlines within the process.
    pub instant: Instant,
    /// For request ids and for deadlines stored in the log.
    pub unix_ms: u64,
}

/// Number of a claim partition, below [`PARTITION_COUNT`].
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartitionId(pub u8);

/// A random number that identifies the records of one claimant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u128);

/// A caller's attempt: the number of a request among all requests with the same request id,
/// counted by the caller from 1. A caller that repeats a request id uses a higher number each
/// time.
///
/// Without the number, an entry that can't reach the log could not tell whether an earlier
/// caller attempt has run, and a delayed earlier one could run after a later one was
/// answered "not run".
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallerAttempt(pub u32);

impl CallerAttempt {
    /// The caller stated no number, so there may have been an earlier attempt.
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

/// A request id together with its service. Ordered by the time embedded in the id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// A UUID version 7.
    pub id: Uuid,
    /// Hash of the service's name. The name is the same in every document; the service's
    /// arena key is not.
    pub service: u64,
}

/// The request id is not a UUID version 7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{}", self.code())]
pub struct BadRequestId;

impl BadRequestId {
    /// The code that the caller is told.
    pub fn code(self) -> ResultCode {
        ResultCode::BadRequestId
    }
}

impl RequestKey {
    /// Parses the request id of a request from the named service.
    pub fn parse(service: &str, id: &str) -> Result<RequestKey, BadRequestId> {
        let id = Uuid::try_parse(id).map_err(|_| BadRequestId)?;
        RequestKey::new(service, id)
    }

    /// Creates the key of `id` within the named service.
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
