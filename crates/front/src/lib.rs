//! An entry on the users' platform: callers connect to it, and it connects to searchers.
//!
//! [`run`] starts it. `store` follows the platform's store; `heartbeats` and `views` exchange state
//! with the other daemons. They all update the shared [`entry::Entry`].
//!
//! `callers` accepts connections, `caller_memory` accounts for what they hold, `request` finds the
//! route of a request, and `keys` and `usage` whose it is and whether it is allowed. `execution` runs the
//! request through a [`tt_serve::Query`]: `attempt` sends a sub-query over one of the
//! `connections`, `relay` delegates shards to a daemon that is nearer to them, `parts` collects the
//! answers, and `answer` builds the response to the caller.
//!
//! `directory` tells callers where to connect, and `status` shows operators the state of the
//! daemon.

mod answer;
mod attempt;
mod bounded;
mod caller_memory;
mod callers;
mod clock;
mod connections;
mod daemon;
mod directory;
mod entry;
mod execution;
mod heartbeats;
mod keys;
mod logs;
mod metrics;
mod parts;
mod proof;
mod registration;
mod relay;
mod request;
mod settings;
mod status;
mod store;
mod sync;
mod usage;
mod views;

pub use bounded::AnswerMemory;
pub use caller_memory::Account;
pub use caller_memory::Charge;
pub use caller_memory::Holder;
pub use daemon::run;
pub use logs::flush as flush_logs;
pub use logs::start as start_logs;
pub use registration::Registration;
pub use settings::FrontSettings;
