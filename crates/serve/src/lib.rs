//! Decisions of an entry daemon that serves callers directly from searchers.
//!
//! Nothing here does I/O: the time and what was seen are inputs, actions are outputs.
//!
//! A [`Config`] names the routes; a [`RouteTable`] is its compiled form and finds the route of
//! a request. The [`Registry`] turns listings of searchers into the [`Fleet`], which knows what
//! each searcher is doing and picks one of a pool. A [`Query`] runs one request over one or many
//! pools: it sends, hedges within the [`Budget`], retries and decides when to answer.
//! [`Members`] knows the other daemons: who is named to callers, and between how many the
//! shared limits are divided. [`merge`] selects the records of an answer over many shards.

mod budget;
mod config;
mod delta;
mod directory;
mod fleet;
mod gossip;
mod listing;
mod members;
mod merge;
mod pace;
mod query;
mod registry;
mod relays;
mod retry_after;
mod routes;

pub use budget::Budget;
pub use budget::BudgetSettings;
pub use config::CallerLimits;
pub use config::Config;
pub use config::Gather;
pub use config::PoolSpec;
pub use config::Repeat;
pub use config::Route;
pub use config::Share;
pub use config::Target;
pub use delta::Delta;
pub use delta::Listings;
pub use directory::Candidate;
pub use directory::named;
pub use fleet::Availability;
pub use fleet::Choice;
pub use fleet::Fleet;
pub use fleet::FleetSettings;
pub use fleet::PoolKey;
pub use fleet::Searcher;
pub use fleet::SearcherKey;
pub use fleet::SearcherStatus;
pub use gossip::Summary;
pub use gossip::Told;
pub use listing::ListingSettings;
pub use listing::News;
pub use listing::Next;
pub use listing::news;
pub use listing::next;
pub use members::ListChange;
pub use members::Member;
pub use members::MemberSettings;
pub use members::MemberState;
pub use members::Members;
pub use members::Sharers;
pub use members::Standing;
pub use members::Vm;
pub use merge::RECORD_BYTES;
pub use merge::merge;
pub use pace::Pace;
pub use pace::PaceSettings;
pub use query::Ended;
pub use query::Failure;
pub use query::Plan;
pub use query::Query;
pub use query::Send;
pub use query::Verdict;
pub use registry::Registry;
pub use registry::RegistrySettings;
pub use registry::SearcherState;
pub use registry::Sighting;
pub use registry::digest;
pub use relays::Assignment;
pub use relays::Delegation;
pub use relays::Reach;
pub use relays::assign;
pub use retry_after::Refusal;
pub use retry_after::RetrySettings;
pub use retry_after::retry_after;
pub use routes::CompiledRoute;
pub use routes::CompiledTarget;
pub use routes::RouteTable;
pub use routes::Use;

/// Time since the start of the process, on the steady clock.
pub type Time = std::time::Duration;
