//! Data types shared by all crates: typed keys and arenas, the environment document and
//! its checker, snapshots and revisions, calls to the store, and the numbered result codes.
//!
//! [`Environment::parse`] parses the document of an operator, checks it and reports all
//! faults at once. The resulting [`Environment`] holds its objects in [`Arena`]s; other code
//! refers to them by small `Copy` keys such as [`ShardId`] and [`SearcherId`].

mod arena;
mod code;
mod digest;
mod document;
mod environment;
mod keys;
mod store;

pub use arena::Arena;
pub use arena::Key;
pub use code::Ran;
pub use code::ResultCode;
pub use digest::Digest;
pub use document::Fault;
pub use document::Faults;
pub use document::MAX_DOCUMENT_BYTES;
pub use environment::Class;
pub use environment::Contract;
pub use environment::Domain;
pub use environment::Environment;
pub use environment::Preference;
pub use environment::Searcher;
pub use environment::SearcherState;
pub use environment::Service;
pub use environment::Shard;
pub use keys::ClassId;
pub use keys::DomainId;
pub use keys::Epoch;
pub use keys::Incarnation;
pub use keys::Revision;
pub use keys::SearcherId;
pub use keys::ServiceId;
pub use keys::ShardId;
pub use keys::Snapshot;
pub use keys::VmId;
pub use store::MAX_VALUE_BYTES;
pub use store::StoreCall;
pub use store::StoreReply;
