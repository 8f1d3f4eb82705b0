//! The daemon of the query tier: sockets, timers and tasks around the state machines of the other
//! crates.
//!
//! [`Daemon::start`] binds the three interfaces (callers, operators, other daemons) and starts
//! the periodic tasks. A query comes in over [`http`], is run by [`query`], which sends
//! sub-queries to the daemons that own the searchers ([`peers`]), where [`owner`] runs them.
//! [`node`] holds the state that all of them share.

mod active_document;
mod backlog;
mod change;
mod claims;
mod clock;
mod codec;
mod daemon;
mod http;
mod metrics;
mod node;
mod owner;
mod peers;
mod query;
mod settings;
mod tasks;

pub use daemon::Daemon;
pub use daemon::StartError;
pub use settings::Callers;
pub use settings::Listen;
pub use settings::Policy;
pub use settings::Settings;
pub use settings::SettingsError;
