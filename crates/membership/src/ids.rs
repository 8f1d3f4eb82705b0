//! Ids and keys that are the same at every daemon.

use std::net::IpAddr;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use tt_model::Incarnation;

/// One process of a daemon. A later process at the same address has a higher incarnation.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{address}#{incarnation}")]
pub struct MemberId {
    /// Address for calls between daemons.
    pub address: SocketAddr,
    /// Tells the processes at this address apart.
    pub incarnation: Incarnation,
}

impl MemberId {
    /// Whether `self` is a later process at the address of `other`.
    pub fn supersedes(&self, other: &MemberId) -> bool {
        self.address == other.address && self.incarnation > other.incarnation
    }
}

/// A daemon's description of itself, fixed at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The daemon's process.
    pub id: MemberId,
    /// Name of the daemon's failure domain.
    pub domain: String,
    /// Share of searchers and callers relative to the weights of other members; 0 counts as 1.
    pub weight: u32,
}

/// A searcher, by the hash of its address. The limits belong to the server at that address,
/// and the arena keys of an environment differ between versions of its document.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SearcherKey(pub u64);

impl SearcherKey {
    /// The key of the searcher at `address`.
    pub fn of(address: SocketAddr) -> SearcherKey {
        SearcherKey(hash_address(address))
    }
}

/// A failure domain, by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DomainKey(pub u64);

impl DomainKey {
    /// The key of the domain called `name`.
    pub fn of(name: &str) -> DomainKey {
        DomainKey(xxh3_64(name.as_bytes()))
    }
}

pub(crate) fn hash_address(address: SocketAddr) -> u64 {
    let mut bytes = [0u8; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    xxh3_64(&bytes)
}
