//! In-process stand-ins for the external systems that the tier depends on, for tests, the demo
//! and the bench: the platform's store and the searchers.
//!
//! Each stand-in serves real sockets on loopback, is controlled through its handle, and counts
//! the calls that it gets: [`Platform::counts`] counts every call to the store,
//! [`Searcher::counts`] counts connections and sub-queries above the limits, executions and
//! refusals.

mod http;
mod platform;
mod searcher;

pub use platform::Fault;
pub use platform::Platform;
pub use platform::PlatformCounts;
pub use platform::StoreCopy;
pub use searcher::LatencyProfile;
pub use searcher::Searcher;
pub use searcher::SearcherCounts;
pub use searcher::SearcherSettings;
pub use searcher::State;
pub use searcher::StatusMode;
