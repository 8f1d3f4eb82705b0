//! All query decisions of an entry daemon, without I/O.
//!
//! A [`Router`] holds what an entry knows of the searchers of one environment document
//! ([`View`]), the hedge [`Budget`], and the queries in flight. The daemon feeds it
//! events with the current time: an admitted [`Request`], a [`Reply`] to a sub-query, a
//! due wake-up, a caller that is gone, a [`StatusReport`] about a searcher. The router appends
//! [`Action`]s: send or cancel a sub-query, wake a query later, give an [`Answer`] out.
//!
//! A request is first planned ([`Planner`]): the snapshot is pinned and the shard set
//! derived from it. Then a replica is chosen for each shard, and the state machine of the
//! query hedges, retries and restarts until every shard is covered or given up, or the
//! deadline less a margin is reached. Each query gives exactly one answer.

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
