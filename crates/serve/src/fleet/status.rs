//! What is known of each searcher, for operators.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Entry;
use super::Fleet;
use super::PoolKey;
use crate::Time;

/// Whether and why a searcher gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It gets requests.
    Used,
    /// It gets them only if no other searcher of its pool does, for this long: it failed or was
    /// full.
    Ejected(Duration),
    /// It gets none for this long: nothing accepts connections at its address.
    Unreachable(Duration),
    /// It gets none until it is heard again: another searcher has its address.
    Moved,
    /// It says that it is leaving.
    Leaving,
}

/// What is known of a searcher.
#[derive(Debug, Clone, PartialEq)]
pub struct SearcherStatus {
    /// Its id.
    pub id: String,
    /// Name of its pool.
    pub pool: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Whether it gets requests.
    pub availability: Availability,
    /// Requests of this daemon that are at it.
    pub outstanding: usize,
    /// How many times as long as usual it takes.
    pub slowness: f64,
    /// Share of its requests that fail or are refused.
    pub faults: f64,
}

impl Fleet {
    /// What is known of each searcher, by pool and id.
    pub fn status(&self, now: Time) -> Vec<SearcherStatus> {
        let names: HashMap<PoolKey, &str> =
            self.names.iter().map(|(name, &key)| (key, name.as_str())).collect();
        let mut all: Vec<SearcherStatus> = self
            .entries
            .values()
            .map(|entry| SearcherStatus {
                id: entry.searcher.id.clone(),
                pool: names.get(&entry.searcher.pool).copied().unwrap_or_default().to_owned(),
                address: entry.searcher.address,
                domain: entry.searcher.domain.clone(),
                availability: availability(entry, now),
                outstanding: entry.outstanding.len(),
                slowness: self.slowness(entry, now),
                faults: self.faults(entry, now),
            })
            .collect();
        all.sort_by(|a, b| (&a.pool, &a.id).cmp(&(&b.pool, &b.id)));
        all
    }
}

fn availability(entry: &Entry, now: Time) -> Availability {
    if !entry.searcher.ready {
        return Availability::Leaving;
    }
    if entry.closed_until == Time::MAX {
        return Availability::Moved;
    }
    if entry.closed_until > now {
        return Availability::Unreachable(entry.closed_until - now);
    }
    if entry.ejected_until > now {
        return Availability::Ejected(entry.ejected_until - now);
    }
    Availability::Used
}
