//! The checked form of an environment document.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::arena::Arena;
use crate::digest::Digest;
use crate::document;
use crate::document::Faults;
use crate::keys::ClassId;
use crate::keys::DomainId;
use crate::keys::SearcherId;
use crate::keys::ServiceId;
use crate::keys::ShardId;
use crate::keys::Snapshot;

/// An environment: which services may ask, what each is owed, and which searchers
/// serve them.
#[derive(Debug, Clone, PartialEq)]
pub struct Environment {
    /// The name of the environment.
    pub name: String,
    /// The digest of the document that this environment was read from.
    pub digest: Digest,
    /// Failure domains.
    pub domains: Arena<DomainId, Domain>,
    /// Service classes.
    pub classes: Arena<ClassId, Class>,
    /// Services with their contracts.
    pub services: Arena<ServiceId, Service>,
    /// Searchers with their limits.
    pub searchers: Arena<SearcherId, Searcher>,
    /// Shards with their replicas.
    pub shards: Arena<ShardId, Shard>,
    pub(crate) service_names: HashMap<String, ServiceId>,
    pub(crate) shard_names: HashMap<String, ShardId>,
    pub(crate) searcher_names: HashMap<String, SearcherId>,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Domain {
    /// The name of the domain.
    pub name: String,
}

/// What a class gives up first when not every shard can answer in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// Wait for missing shards until the deadline.
    Coverage,
    /// Answer early without the slowest shards.
    Latency,
}

/// A service class: policies shared by several services.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// What the class gives up first.
    pub prefer: Preference,
    /// The deadline of a request that states none, and the longest that one may state.
    pub timeout: Duration,
    /// The quantile of observed latency after which a sub-query is hedged.
    pub hedge_quantile: f64,
    /// Services of a class with a higher urgency go first when deadlines are equal.
    pub urgency: u8,
}

/// What a service is owed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Contract {
    /// Requests a second, for the whole tier.
    pub rate: f64,
    /// Requests that may arrive at once above the rate.
    pub burst: f64,
    /// Requests in flight, for the whole tier.
    pub concurrency: u32,
    /// Weight in the fair queues of searchers.
    pub share: f64,
}

/// A service that may ask.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// Its class.
    pub class: ClassId,
    /// What it is owed.
    pub contract: Contract,
    /// The shards that it may ask.
    pub shards: Vec<ShardId>,
}

/// A searcher's state as stated by the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearcherState {
    /// Takes work.
    Active,
    /// Gets no new work.
    Leaving,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Searcher {
    /// The name of the searcher.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Sub-queries that it runs at the same time, for the whole tier.
    pub slots: u32,
    /// Connections that it accepts, for the whole tier.
    pub connections: u32,
    /// Time to set up a connection.
    pub connect_time: Duration,
    /// Its state as stated by the operators.
    pub state: SearcherState,
}

/// A shard and its replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct Shard {
    /// The name of the shard.
    pub name: String,
    /// The searchers that serve it.
    pub replicas: Vec<SearcherId>,
    /// The first snapshot in which the shard exists.
    pub from: Snapshot,
    /// The first snapshot in which the shard no longer exists.
    pub until: Option<Snapshot>,
    /// The shards that this one was split or merged from.
    pub parents: Vec<ShardId>,
}

impl Environment {
    /// Reads and checks a document. All faults are reported at once.
    pub fn parse(text: &str) -> Result<Environment, Faults> {
        document::parse(text)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.service_names.get(name).copied()
    }

    /// The shard with this name.
    pub fn shard(&self, name: &str) -> Option<ShardId> {
        self.shard_names.get(name).copied()
    }

    /// The searcher with this name.
    pub fn searcher(&self, name: &str) -> Option<SearcherId> {
        self.searcher_names.get(name).copied()
    }
}

impl Shard {
    /// Whether the shard exists in `snapshot`.
    pub fn exists_at(&self, snapshot: Snapshot) -> bool {
        self.from <= snapshot && self.until.is_none_or(|until| snapshot < until)
    }
}
