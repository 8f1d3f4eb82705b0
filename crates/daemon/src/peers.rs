//! Messages to and from other daemons.

mod client;
mod gather;
mod server;

pub(crate) use client::ExchangeError;
pub(crate) use client::Peers;
pub(crate) use gather::QueryOrigin;
pub(crate) use gather::RunningGathers;
pub(crate) use server::Server;
pub(crate) use server::start;
