//! Delegation of shards to another daemon (a relay), which is nearer to their searchers or holds
//! connections to them: one request and one merged answer between daemons in place of many.

mod client;
mod message;
mod server;

pub(crate) use client::RelayOutcome;
pub(crate) use client::RelayRequest;
pub(crate) use client::fetch_shards;
pub(crate) use server::serve;

/// Path of requests with delegated shards.
pub(crate) const PATH: &str = "/v1/gather";
