//! The catalog, acceptance of documents and their dissemination.
//!
//! An operator's request becomes a [`Change`], which cuts the document into [`parts`] and
//! swaps the [`Catalog`] in the store. Every daemon holds a [`ControlPlane`]: its
//! [`Replica`] adopts whole catalog revisions, and its [`dissemination`] decides whether this
//! daemon watches the store and to whom it pushes. The daemon for which
//! [`ControlPlane::is_collector`] holds also drives a [`Collector`], which removes parts that
//! no catalog record references. [`InForcePoll`] finds on how many daemons a revision is in force.
//!
//! Nothing here does I/O: events and the current time go in, [`Action`]s and
//! [`StoreRequest`]s come out.

mod backoff;
pub mod catalog;
pub mod change;
mod collector;
mod control_plane;
pub mod diff;
pub mod dissemination;
mod in_force;
mod journal;
mod message;
pub mod parts;
mod replica;

pub use backoff::Backoff;
pub use catalog::CATALOG_KEY;
pub use catalog::Catalog;
pub use catalog::ChangeId;
pub use catalog::Stage;
pub use change::Change;
pub use change::ChangeKind;
pub use change::ChangeRequest;
pub use change::ChangeSettings;
pub use change::ChangeStatus;
pub use change::Outcome;
pub use change::SubmissionKind;
pub use collector::Collector;
pub use collector::CollectorSettings;
pub use control_plane::ControlPlane;
pub use control_plane::ControlSettings;
pub use control_plane::NotReady;
pub use control_plane::PullFailed;
pub use diff::Diff;
pub use diff::diff;
pub use dissemination::Member;
pub use in_force::InForcePoll;
pub use in_force::InForceReport;
pub use journal::JOURNAL_KEY;
pub use journal::Journal;
pub use journal::JournalRecord;
pub use message::ASSIGNMENT_KEY;
pub use message::Action;
pub use message::CallId;
pub use message::PullId;
pub use message::PullRequest;
pub use message::StoreRequest;
pub use message::Update;
pub use message::Versions;
pub use replica::OfferResult;
pub use replica::Replica;
