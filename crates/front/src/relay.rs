//! Shards that one daemon asks for another: one request and one merged answer in place of many.

mod ask;
mod message;
mod serve;

pub(crate) use ask::Ask;
pub(crate) use ask::RelayEnd;
pub(crate) use ask::ask;
pub(crate) use serve::serve;

/// Path at which daemons ask one another for shards.
pub(crate) const PATH: &str = "/v1/gather";
