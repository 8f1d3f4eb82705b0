//! Which entry addresses callers should use.

use std::net::SocketAddr;

use serde::Serialize;

use crate::http::Answer;
use crate::http::parameter;
use crate::node::Node;
use crate::node::lock;
use tt_membership::entries::Origin;
use tt_membership::entries::entries;
use tt_model::ResultCode;

/// Addresses in one answer. A caller needs a few; the rest would only grow the answer.
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
        let named = entries(&self.members(), &caller, origin);
        let public = lock(&self.public);
        let entries: Vec<Entry> = named
            .entries
            .into_iter()
            .filter_map(|entry| {
                let address = *public.get(&entry.address)?;
                Some(Entry { address, domain: entry.domain, weight: entry.weight })
            })
            .take(MAX_ENTRIES)
            .collect();
        let keep_ms = self.settings.callers.keep_ms;
        Answer::json(ResultCode::Complete, &Body { code: ResultCode::Complete, entries, keep_ms })
    }

    /// Where this daemon serves callers.
    pub(crate) fn public_address(&self) -> SocketAddr {
        let public = lock(&self.public);
        public.get(&self.me.id.address).copied().unwrap_or(self.settings.listen.callers)
    }

    /// Sets where this daemon serves callers.
    pub(crate) fn set_public_address(&self, address: SocketAddr) {
        lock(&self.public).insert(self.me.id.address, address);
    }
}
