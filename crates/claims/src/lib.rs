//! Claims, which make sure that a non-idempotent request runs at most once.
//!
//! A claim is a record in the claim log of one of [`PARTITION_COUNT`] partitions. The log is
//! in the store and is written by one daemon, the partition owner ([`Partition`]). The
//! entry that accepted a request ([`Claimant`]) sends it to searchers only after the owner
//! has confirmed a durable `Started` record under the claimant's own claim id.
//!
//! Data flow: a [`Claimant`] emits [`ClaimRequest`]s; the daemon delivers each to the
//! [`Partition`] of [`RequestKey::partition`], which emits store calls and
//! [`ClaimReply`]s; the daemon delivers the replies to the claimant. Both are state
//! machines without I/O: they take events and the current time ([`Now`]) and return
//! actions.

mod claimant;
mod log;
mod message;
mod partition;
mod request_id;
mod table;

pub use claimant::Answer;
pub use claimant::Claimant;
pub use claimant::ClaimantAction;
pub use claimant::ClaimantEvent;
pub use claimant::ClaimantSettings;
pub use claimant::RunOutcome;
pub use claimant::Submission;
pub use claimant::local_refusal;
pub use log::DecodeError;
pub use log::FencingToken;
pub use log::Head;
pub use log::MAX_SEGMENT_BYTES;
pub use log::Record;
pub use log::Seal;
pub use log::Segment;
pub use log::head_key;
pub use log::segment_key;
pub use message::ClaimReply;
pub use message::ClaimRequest;
pub use message::MAX_RESULT_BYTES;
pub use message::Refusal;
pub use message::RunResult;
pub use message::Start;
pub use message::Step;
pub use partition::Partition;
pub use partition::PartitionAction;
pub use partition::PartitionEvent;
pub use partition::PartitionSettings;
pub use partition::PartitionStatus;
pub use request_id::BadRequestId;
pub use request_id::BodyDigest;
pub use request_id::CallerAttempt;
pub use request_id::ClaimId;
pub use request_id::MAX_AHEAD_MS;
pub use request_id::Now;
pub use request_id::PARTITION_COUNT;
pub use request_id::PartitionId;
pub use request_id::RequestKey;
