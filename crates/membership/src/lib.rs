//! Members of the tier, ownership of searchers, and entry addresses.
//!
//! Decision code only: events and the current time go in, messages and actions come out.
//! [`Members`] keeps the member table from heartbeats, the platform's list and failed
//! calls. [`AssignmentProposer`] turns it into epochs: an [`Assignment`] in the store lists the
//! members that may own searchers. [`Ownership`] ranks these members for each searcher,
//! and [`Halves`] decides how many slots and connections of a searcher this daemon may
//! use now, so that the sum over all daemons never exceeds the limits of the searcher.
//! [`entries`] orders addresses for callers and [`Drain`] is the stop sequence.

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
