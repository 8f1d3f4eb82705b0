//! The entry daemon on the users' platform: callers connect to it, it connects to searchers.
//!
//! [`run`] starts it. `watch` follows the store, `heartbeats` and `views` the other daemons; they
//! change the shared [`entry::Entry`]. `callers` accepts connections and `request` finds the route
//! of a request. `work` takes it through a [`tt_serve::Query`]: `attempt` makes one send over a
//! connection of `links`, `relay` leaves shards to a daemon that is nearer to them, `parts` collects
//! what comes back and `answer` builds what the caller gets. `directory` tells callers where to
//! connect, `status` tells operators what is known.

mod answer;
mod attempt;
mod callers;
mod clock;
mod connections;
mod daemon;
mod directory;
mod entry;
mod execution;
mod heartbeats;
mod logs;
mod metrics;
mod parts;
mod registration;
mod relay;
mod request;
mod settings;
mod status;
mod store;
mod sync;
mod views;

pub use daemon::run;
pub use logs::flush as flush_logs;
pub use logs::start as start_logs;
pub use registration::Registration;
pub use settings::FrontSettings;
