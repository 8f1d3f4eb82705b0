//! Load tests and measurements: a fleet of daemons with stand-ins on loopback, an HTTP client,
//! an open-loop load generator, and checks of the answers.
//!
//! [`Fleet`] starts everything in one process, each daemon on a runtime of its own so that it
//! can be killed as a whole. [`Load`] sends queries at times that do not depend on the answers
//! and returns a [`Record`] of each; [`Checks`] tells whether the invariants held.

mod check;
mod client;
mod control;
mod fleet;
mod load;
mod report;
mod run;
pub mod scenario;
mod stats;
mod submit;

pub use check::Checks;
pub use check::Invariant;
pub use client::ClientError;
pub use client::HttpClient;
pub use client::HttpRequest;
pub use client::HttpResponse;
pub use control::ControlReport;
pub use control::measure_control;
pub use fleet::Fleet;
pub use fleet::FleetSettings;
pub use fleet::Killed;
pub use load::Load;
pub use load::LoadKind;
pub use load::LoadSettings;
pub use load::RateStep;
pub use load::Record;
pub use load::ServiceLoad;
pub use report::markdown;
pub use report::plot;
pub use run::RunReport;
pub use run::WindowReport;
pub use run::policy_name;
pub use run::run;
pub use stats::ClassStats;
pub use stats::class_stats;
pub use submit::SubmitError;
pub use submit::SubmitReport;
pub use submit::bring_into_force;
pub use submit::wait_for_owners;
