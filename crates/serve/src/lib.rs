//! Decision logic of an entry daemon that sends callers' requests directly to searchers.
//!
//! This crate does no I/O: the current time and all observations are arguments, and the actions to
//! take are return values.
//!
//! A [`Config`] describes the routes; a [`RouteTable`] is its compiled form and finds the route of
//! a request. The [`Registry`] applies listings of searchers to the [`Fleet`], which tracks the
//! state of each searcher and chooses one of a pool. A [`Query`] runs one request over one or more
//! pools: it plans attempts, hedges and retries within the [`RetryBudget`], and decides when to
//! answer. [`Members`] tracks the other daemons: which of them callers may use, and among how many
//! the shared limits are divided. [`merge_records`] selects the records of an answer over many
//! shards.

mod allowances;
mod caller_wait;
mod config;
mod config_proof;
mod directory;
mod fleet;
mod gossip;
mod history;
mod keys;
mod latency;
mod listing;
mod members;
mod merge;
mod outage;
mod query;
mod registry;
mod relays;
mod retry_after;
mod retry_budget;
mod routes;
mod suspects;
mod wake;

pub use allowances::AllowanceStatus;
pub use allowances::Allowances;
pub use allowances::OrganisationKey;
pub use allowances::Throttled;
pub use allowances::UsageRecord;
pub use allowances::UsageReport;
pub use allowances::UsageScope;
pub use caller_wait::CallerWait;
pub use caller_wait::CallerWaitSettings;
pub use caller_wait::objective_reserve;
pub use config::Allowance;
pub use config::ApiKey;
pub use config::CallerLimits;
pub use config::Config;
pub use config::Gather;
pub use config::Organisation;
pub use config::PoolSpec;
pub use config::RepeatPolicy;
pub use config::Route;
pub use config::Target;
pub use config::WeightedPool;
pub use config_proof::ConfigProof;
pub use config_proof::ConfigProofSettings;
pub use config_proof::ProofReport;
pub use directory::Candidate;
pub use directory::directory_addresses;
pub use fleet::AttemptKind;
pub use fleet::Availability;
pub use fleet::Choice;
pub use fleet::Fleet;
pub use fleet::FleetSettings;
pub use fleet::LoadReport;
pub use fleet::PoolKey;
pub use fleet::Searcher;
pub use fleet::SearcherKey;
pub use fleet::SearcherStatus;
pub use fleet::StatedLoad;
pub use fleet::StatedRate;
pub use fleet::StatedRest;
pub use fleet::Statement;
pub use fleet::Tier;
pub use fleet::WithheldCounts;
pub use gossip::DomainSummary;
pub use gossip::Gossip;
pub use history::ListingChange;
pub use history::ListingDelta;
pub use history::ListingHistory;
pub use keys::KeyFault;
pub use keys::KeyRing;
pub use keys::MAX_KEY_BYTES;
pub use latency::LatencyEstimate;
pub use latency::LatencyEstimateSettings;
pub use listing::ListingSettings;
pub use listing::ReadDecision;
pub use listing::SyncAction;
pub use listing::leaves_first_reads;
pub use listing::read_decision;
pub use listing::store_retry_delay;
pub use listing::sync_action;
pub use members::HeardDaemons;
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
pub use outage::OutageDetector;
pub use outage::OutageSettings;
pub use query::AttemptOutcome;
pub use query::Effect;
pub use query::Failure;
pub use query::Plan;
pub use query::PlannedAttempt;
pub use query::Query;
pub use query::Trust;
pub use query::Verdict;
pub use registry::EarlierReads;
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
pub use retry_budget::RetryBudget;
pub use retry_budget::RetryBudgetSettings;
pub use routes::CompiledRoute;
pub use routes::CompiledTarget;
pub use routes::PoolRole;
pub use routes::RouteTable;
pub use suspects::ContentKey;
pub use suspects::Knowledge;
pub use suspects::SuspectSettings;
pub use suspects::SuspectStatus;
pub use suspects::Suspects;
pub use wake::WakeGuard;
pub use wake::WakeSettings;

/// A point in time on the monotonic clock, as the duration since the start of the process.
pub type Time = std::time::Duration;
