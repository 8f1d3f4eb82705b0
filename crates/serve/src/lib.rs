//! Decisions of an entry daemon that serves callers directly from searchers.
//!
//! Nothing here does I/O: the time and what was seen are inputs, actions are outputs.
//!
//! A [`Config`] names the routes; a [`RouteTable`] is its compiled form and finds the route of
//! a request. The [`Registry`] turns listings of searchers into the [`Fleet`], which knows what
//! each searcher is doing and picks one of a pool. A [`Query`] runs one request over one or many
//! pools: it sends, hedges within the [`RetryBudget`], retries and decides when to answer.
//! [`Members`] knows the other daemons: who is named to callers, and between how many the
//! shared limits are divided. [`merge_records`] selects the records of an answer over many shards.

mod budget;
mod config;
mod directory;
mod fleet;
mod gossip;
mod history;
mod latency;
mod listing;
mod members;
mod merge;
mod query;
mod registry;
mod relays;
mod retry_after;
mod routes;

pub use budget::RetryBudget;
pub use budget::RetryBudgetSettings;
pub use config::CallerLimits;
pub use config::Config;
pub use config::Gather;
pub use config::PoolSpec;
pub use config::RepeatPolicy;
pub use config::Route;
pub use config::Target;
pub use config::WeightedPool;
pub use directory::Candidate;
pub use directory::directory_addresses;
pub use fleet::Availability;
pub use fleet::Choice;
pub use fleet::Fleet;
pub use fleet::FleetSettings;
pub use fleet::PoolKey;
pub use fleet::Searcher;
pub use fleet::SearcherKey;
pub use fleet::SearcherStatus;
pub use gossip::DomainSummary;
pub use gossip::Gossip;
pub use history::ListingDelta;
pub use history::ListingHistory;
pub use latency::LatencyEstimate;
pub use latency::LatencyEstimateSettings;
pub use listing::ListingSettings;
pub use listing::ReadDecision;
pub use listing::SyncAction;
pub use listing::read_decision;
pub use listing::sync_action;
pub use members::ListChange;
pub use members::Member;
pub use members::MemberSettings;
pub use members::MemberState;
pub use members::MemberStatus;
pub use members::Members;
pub use members::TierSize;
pub use members::Vm;
pub use merge::RECORD_BYTES;
pub use merge::merge_records;
pub use query::AttemptOutcome;
pub use query::Failure;
pub use query::Plan;
pub use query::PlannedAttempt;
pub use query::Query;
pub use query::Verdict;
pub use registry::Registry;
pub use registry::RegistrySettings;
pub use registry::SearcherRecord;
pub use registry::SearcherState;
pub use registry::listing_digest;
pub use relays::Assignment;
pub use relays::Delegation;
pub use relays::RelayScope;
pub use relays::assign;
pub use retry_after::Refusal;
pub use retry_after::RetryAfterSettings;
pub use retry_after::retry_after;
pub use routes::CompiledRoute;
pub use routes::CompiledTarget;
pub use routes::PoolRole;
pub use routes::RouteTable;

/// Time since the start of the process, on the steady clock.
pub type Time = std::time::Duration;
