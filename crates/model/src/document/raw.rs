//! The document as operators write it, before references and limits are checked.

use std::net::SocketAddr;

use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Document {
    pub(crate) environment: String,
    pub(crate) domains: Vec<String>,
    pub(crate) classes: Vec<Class>,
    pub(crate) services: Vec<Service>,
    pub(crate) searchers: Vec<Searcher>,
    pub(crate) shards: Vec<Shard>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Class {
    pub(crate) name: String,
    pub(crate) prefer: Preference,
    pub(crate) deadline_ms: u64,
    #[serde(default = "default_hedge_quantile")]
    pub(crate) hedge_quantile: f64,
    #[serde(default)]
    pub(crate) urgency: u8,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Preference {
    Coverage,
    Latency,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) class: String,
    pub(crate) contract: Contract,
    /// Names of shards, or prefixes of names, each followed by `*`.
    pub(crate) shards: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Contract {
    pub(crate) rate: f64,
    pub(crate) burst: f64,
    pub(crate) concurrency: u32,
    #[serde(default = "default_share")]
    pub(crate) share: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Searcher {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) domain: String,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    #[serde(default)]
    pub(crate) connect_ms: f64,
    #[serde(default)]
    pub(crate) state: State,
}

#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum State {
    #[default]
    Active,
    Leaving,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Shard {
    pub(crate) name: String,
    pub(crate) replicas: Vec<String>,
    #[serde(default)]
    pub(crate) from: u64,
    #[serde(default)]
    pub(crate) until: Option<u64>,
    #[serde(default)]
    pub(crate) parents: Vec<String>,
}

/// Hedging above the 95th percentile bounds the extra load to about 5%.
fn default_hedge_quantile() -> f64 {
    0.95
}

fn default_share() -> f64 {
    1.0
}
