//! The entry addresses that callers should use.

use std::net::SocketAddr;

use serde::Serialize;

use crate::http::Answer;
use crate::http::parameter;
use crate::node::Node;
use crate::node::lock;
use tt_membership::entries::Origin;
use tt_membership::entries::entries;
use tt_model::ResultCode;

/// Maximum number of addresses in an answer. Callers need only a few; more would only make the
/// answer larger.
const MAX_ENTRIES: usize = 8;

#[derive(Debug, Serialize)]
struct Body {
    code: ResultCode,
    entries: Vec<Entry>,
    keep_ms: u64,
}

#[derive(Debug, Serialize)]
struct Entry {
    address: SocketAddr,
    domain: String,
    weight: u32,
}

impl Node {
    /// Answers `GET /v1/entries`.
    pub(crate) fn entries(&self, query: &str) -> Answer {
        let caller = parameter(query, "caller").unwrap_or_default();
        let domain = parameter(query, "domain").unwrap_or_default();
        let origin = if domain.is_empty() { Origin::Unknown } else { Origin::Domain(&domain) };
        let ranked = entries(&self.members(), &caller, origin);
        let addresses = lock(&self.caller_addresses);
        let entries: Vec<Entry> = ranked
            .entries
            .into_iter()
            .filter_map(|entry| {
                let address = *addresses.get(&entry.address)?;
                Some(Entry { address, domain: entry.domain, weight: entry.weight })
            })
            .take(MAX_ENTRIES)
            .collect();
        let keep_ms = self.settings.callers.keep_ms;
        Answer::json(ResultCode::Complete, &Body { code: ResultCode::Complete, entries, keep_ms })
    }

    /// The address at which this daemon serves callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        let addresses = lock(&self.caller_addresses);
        addresses.get(&self.me.id.address).copied().unwrap_or(self.settings.listen.callers)
    }

    /// Sets the address at which this daemon serves callers.
    pub(crate) fn set_caller_address(&self, address: SocketAddr) {
        lock(&self.caller_addresses).insert(self.me.id.address, address);
    }
}
