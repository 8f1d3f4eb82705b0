//! Entry addresses for a caller.

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

/// How long callers may keep an answer. A stopping daemon serves for at least as long, and
/// a lost daemon costs its callers retries for at most as long.
pub const ENTRIES_TTL: Duration = Duration::from_secs(10);

/// One address of the tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address of the member for calls between daemons; the caller of this module maps it
    /// to the public address.
    pub address: SocketAddr,
    /// Failure domain of the member.
    pub domain: String,
    /// Share of callers relative to other members.
    pub weight: u32,
}

/// The answer to a caller, best address first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// Addresses in the order in which the caller should try them.
    pub entries: Vec<Entry>,
    /// How long the caller may keep this answer, in milliseconds.
    pub keep_ms: u64,
}

/// The caller's failure domain, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin<'a> {
    /// The caller named its domain.
    Domain(&'a str),
    /// The caller named none; all members rank alike.
    Unknown,
}

/// Orders the members for a caller: those of its domain first, then by rendezvous on its
/// name. Suspect members come last, because suspicion is often a lost message; leaving and
/// gone ones are not named.
pub fn entries(members: &Members, caller: &str, origin: Origin<'_>) -> Entries {
    let key = xxh3_64(caller.as_bytes());
    let near = |member: &Member| match origin {
        Origin::Domain(name) => member.domain == name,
        Origin::Unknown => true,
    };
    let mut ranked: Vec<_> = members
        .iter()
        .filter(|view| matches!(view.state, State::Live | State::Suspect))
        .map(|view| {
            let member = view.member;
            let candidate = Candidate::new(member.id, DomainKey::of(&member.domain), member.weight);
            ((view.state == State::Suspect, !near(member), candidate.score(key)), member)
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
