//! The query decisions of an entry, as a state machine without I/O.
//!
//! A [`Router`] holds the entry's knowledge of the searchers of one environment document
//! ([`View`]), the hedge [`Budget`] and the queries in flight. The daemon passes it events
//! together with the current time: an admitted [`Request`], the [`Reply`] to an attempt, a
//! wake-up, a cancellation by the caller, a [`StatusReport`] about a searcher. The router
//! returns [`Action`]s: send or cancel an attempt, schedule a wake-up, finish with an
//! [`Answer`].
//!
//! The [`Planner`] first pins a snapshot for the request and derives the set of shards at
//! that snapshot. A sub-query is then sent to one replica of each shard. The query hedges,
//! retries and restarts until every shard is covered or given up, or until its deadline,
//! less a margin for assembling the answer, is reached. Each query produces exactly one
//! answer.

mod arena;
mod budget;
mod event;
mod latency;
mod plan;
mod query;
mod router;
mod settings;
mod view;

pub use arena::AttemptKey;
pub use arena::GenArena;
pub use arena::QueryKey;
pub use budget::Budget;
pub use budget::Load;
pub use event::Action;
pub use event::Answer;
pub use event::Attempt;
pub use event::AttemptCounts;
pub use event::AttemptKind;
pub use event::AttemptOutcome;
pub use event::Counters;
pub use event::CoveredShard;
pub use event::Mode;
pub use event::Outcome;
pub use event::Reason;
pub use event::Reply;
pub use event::Request;
pub use event::UncoveredShard;
pub use latency::LatencyEstimate;
pub use plan::Plan;
pub use plan::Planner;
pub use plan::Shards;
pub use plan::SnapshotFilter;
pub use router::Router;
pub use settings::BudgetSettings;
pub use settings::HealthSettings;
pub use settings::Policy;
pub use settings::Settings;
pub use view::Pressure;
pub use view::SearcherStatus;
pub use view::SnapshotStatus;
pub use view::StatusReport;
pub use view::View;
