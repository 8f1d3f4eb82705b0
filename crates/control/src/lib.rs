//! The catalog of configuration documents: how changes are accepted and reach all daemons.
//!
//! An operator's request becomes a [`Change`], which cuts the document into [`parts`] and
//! replaces the [`Catalog`] in the store by a compare-and-swap. Each daemon has a
//! [`ControlPlane`]: its [`Replica`] adopts whole catalog revisions, and [`dissemination`]
//! decides whether the daemon watches the store and to which peers it pushes updates. The daemon
//! for which [`ControlPlane::is_collector`] is true also drives a [`Collector`], which removes
//! parts that no catalog record references. [`InForcePoll`] counts the daemons that have
//! adopted a revision.
//!
//! This crate does no I/O: the daemon passes in events and the current time, and carries out
//! the [`Action`]s and [`StoreRequest`]s that are returned.

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
