//! Members of the tier, ownership of searchers, and entry addresses.
//!
//! This crate does no I/O: events and the current time go in, messages and actions come out.
//!
//! * [`Members`] is the member table, kept from heartbeats, the list of daemons in the store
//!   and failed calls.
//! * [`AssignmentProposer`] turns the table into epochs: an [`Assignment`] in the store lists
//!   the members that may own searchers.
//! * [`Ownership`] ranks these members to find the owner and the successor of each searcher.
//! * [`Halves`] decides how many slots and connections of a searcher this daemon may use now,
//!   so that the sum over all daemons never exceeds the limits of the searcher.
//! * [`entries`] orders entry addresses for callers.
//! * [`Drain`] is the stop sequence.

pub mod assignment;
pub mod drain;
pub mod entries;
pub mod halves;
pub mod ids;
pub mod members;
pub mod ownership;

pub use assignment::Assignment;
pub use assignment::AssignmentProposer;
pub use drain::Drain;
pub use halves::Allowance;
pub use halves::Halves;
pub use halves::Usage;
pub use ids::DomainKey;
pub use ids::Member;
pub use ids::MemberId;
pub use ids::SearcherKey;
pub use members::Members;
pub use ownership::Ownership;
pub use ownership::Pair;
