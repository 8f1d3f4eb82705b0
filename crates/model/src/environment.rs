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

/// A checked environment document: the services that may send requests, their contracts, and
/// the searchers that serve the shards. Arenas hold the objects in document order.
#[derive(Debug, Clone, PartialEq)]
pub struct Environment {
    /// The name of the environment. All names of a document have 1 to 64 characters of `a-z`,
    /// `0-9` and `-`.
    pub name: String,
    /// The digest of the text of the document.
    pub digest: Digest,
    /// The failure domains; at least one.
    pub domains: Arena<DomainId, Domain>,
    /// The service classes; at least one.
    pub classes: Arena<ClassId, Class>,
    /// The services with their contracts; at least one.
    pub services: Arena<ServiceId, Service>,
    /// The searchers with their limits; at least one.
    pub searchers: Arena<SearcherId, Searcher>,
    /// The shards with their replicas; at least one.
    pub shards: Arena<ShardId, Shard>,
    pub(crate) service_names: HashMap<String, ServiceId>,
    pub(crate) shard_names: HashMap<String, ShardId>,
    pub(crate) searcher_names: HashMap<String, SearcherId>,
}

/// A failure domain: daemons and searchers that may fail together.
#[derive(Debug, Clone, PartialEq)]
pub struct Domain {
    /// Unique among the domains of the document.
    pub name: String,
}

/// What a class prefers when not every shard answers in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// Waits for missing shards until the deadline.
    Coverage,
    /// Answers early without the slowest shards.
    Latency,
}

/// A service class: settings shared by several services.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Unique among the classes of the document.
    pub name: String,
    /// Whether the class prefers coverage or latency.
    pub prefer: Preference,
    /// Time from the start of a request to its deadline, 1 ms to 60 s. Default for requests
    /// that state none, and maximum for the others.
    pub timeout: Duration,
    /// The quantile of observed latency after which a sub-query is hedged; at least 0.5 and
    /// less than 1.
    pub hedge_quantile: f64,
    /// Decides between sub-queries with equal deadlines; the higher urgency goes first.
    pub urgency: u8,
}

/// The limits of a service and its weight in relation to other services.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Contract {
    /// Maximum rate in requests per second, for the whole tier; more than 0.
    pub rate: f64,
    /// Number of requests that may arrive at once above the rate; more than 0.
    pub burst: f64,
    /// Maximum number of requests in flight, for the whole tier; at least 1.
    pub concurrency: u32,
    /// Weight in the fair queues of searchers, and in the division of an entry's capacity among
    /// services; more than 0.
    pub share: f64,
}

/// An organisation that may send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique among the services of the document.
    pub name: String,
    /// The class that sets its preference, timeout, hedge quantile and urgency.
    pub class: ClassId,
    /// Its limits and its weight.
    pub contract: Contract,
    /// The shards that it may query, sorted, without duplicates; at least one.
    pub shards: Vec<ShardId>,
}

/// The state that the document gives for a searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearcherState {
    /// Receives sub-queries.
    Active,
    /// Receives no new sub-queries.
    Leaving,
}

/// A backend server and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Searcher {
    /// Unique among the searchers of the document.
    pub name: String,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The failure domain to which it belongs.
    pub domain: DomainId,
    /// Maximum number of sub-queries that it runs at the same time, for the whole tier; 1 to
    /// 4096.
    pub slots: u32,
    /// Maximum number of connections that it accepts, for the whole tier; at least twice the
    /// slots.
    pub connections: u32,
    /// Expected time to open a connection; 0 to 10 s.
    pub connect_time: Duration,
    /// The state that operators set.
    pub state: SearcherState,
}

/// A shard of the index, its replicas and the snapshots in which it exists.
#[derive(Debug, Clone, PartialEq)]
pub struct Shard {
    /// Unique among the shards of the document.
    pub name: String,
    /// The searchers that serve the shard, without duplicates; at least one.
    pub replicas: Vec<SearcherId>,
    /// The first snapshot in which the shard exists.
    pub from: Snapshot,
    /// The first later snapshot in which the shard no longer exists; `None` if there is none
    /// yet.
    pub until: Option<Snapshot>,
    /// The shards from which this one resulted by a split or merge. Each of them ends at the
    /// snapshot at which this one starts.
    pub parents: Vec<ShardId>,
}

impl Environment {
    /// Parses and checks the text of a document, in JSON with comments. All faults of a
    /// document that can be parsed are reported at once.
    pub fn parse(text: &str) -> Result<Environment, Faults> {
        document::parse(text)
    }

    /// The service with this name, or `None` if the document has none.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.service_names.get(name).copied()
    }

    /// The shard with this name, or `None` if the document has none.
    pub fn shard(&self, name: &str) -> Option<ShardId> {
        self.shard_names.get(name).copied()
    }

    /// The searcher with this name, or `None` if the document has none.
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
