//! The entry addresses that a caller should use.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::DomainKey;
use crate::ids::Member;
use crate::members::Members;
use crate::members::State;
use crate::ownership::Candidate;

/// How long callers may keep an answer. A stopping daemon goes on serving for at least this
/// long, and callers retry because of a lost daemon for at most this long.
pub const ENTRIES_TTL: Duration = Duration::from_secs(10);

/// A daemon that a caller may send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address of the member for calls between daemons. The daemon replaces it by the public
    /// address before it answers.
    pub address: SocketAddr,
    /// Name of the member's failure domain.
    pub domain: String,
    /// Share of callers relative to the weights of other members.
    pub weight: u32,
}

/// The answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// In the order in which the caller should try them.
    pub entries: Vec<Entry>,
    /// How long the caller may keep this answer, in milliseconds.
    pub keep_ms: u64,
}

/// Where a request for entries comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The caller named this failure domain.
    Domain(&'a str),
    /// The caller named no domain, so none is preferred.
    Unknown,
}

/// Orders the members for a caller: those of its domain first, and within that by rendezvous
/// hashing of its name. Suspect members come last rather than being left out, because a
/// suspicion is often only a lost message; leaving and gone ones are left out.
pub fn entries(members: &Members, caller: &str, origin: Origin<'_>) -> Entries {
    let key = xxh3_64(caller.as_bytes());
    let is_local = |member: &Member| match origin {
        Origin::Domain(name) => member.domain == name,
        Origin::Unknown => true,
    };
    let mut ranked: Vec<_> = members
        .iter()
        .filter(|view| matches!(view.state, State::Live | State::Suspect))
        .map(|view| {
            let member = view.member;
            let candidate = Candidate::new(member.id, DomainKey::of(&member.domain), member.weight);
            ((view.state == State::Suspect, !is_local(member), candidate.score(key)), member)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    let entries = ranked
        .into_iter()
        .map(|(_, member)| Entry {
            address: member.id.address,
            domain: member.domain.clone(),
            weight: member.weight,
        })
        .collect();
    Entries { entries, keep_ms: ENTRIES_TTL.as_millis() as u64 }
}
