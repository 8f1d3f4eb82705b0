//! The state of each searcher, for operators.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Fleet;
use super::LoadStatus;
use super::PoolKey;
use super::TrackedSearcher;
use crate::Time;

/// Whether a searcher gets requests, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It gets requests.
    Used,
    /// It gets requests only if no other searcher of its pool does, for this long: it failed or
    /// shed a request.
    Ejected(Duration),
    /// It gets no requests for this long: nothing accepts connections at its address.
    Unreachable(Duration),
    /// It gets no requests until its heartbeat advances: another searcher has its address.
    Moved,
    /// It gets no requests for this long: it has asked for that.
    Resting(Duration),
    /// It gets no requests: operators have evacuated its failure domain.
    Evacuated,
    /// It gets no requests, or only if no other searcher of its pool does: it is registered as
    /// leaving or has said so.
    Leaving,
}

/// The state of a searcher.
#[derive(Debug, Clone, PartialEq)]
pub struct SearcherStatus {
    /// The id under which it is registered at the store.
    pub id: String,
    /// Name of its pool.
    pub pool: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Whether it gets requests.
    pub availability: Availability,
    /// Number of attempts of this daemon that are in flight.
    pub outstanding: usize,
    /// Its latency as a multiple of the route's median.
    pub slowness: f64,
    /// Share of its requests that fail or are refused, 0 to 1.
    pub fault_ratio: f64,
    /// Whether it counts as slow after a start or an evacuation.
    pub cold: bool,
    /// Requests a second that it accepts from all daemons together, if it limits them.
    pub rate_limit: Option<f64>,
    /// Its load as it counts in a choice.
    pub load: LoadStatus,
}

impl Fleet {
    /// The state of all searchers, ordered by pool and id.
    pub fn status(&self, now: Time) -> Vec<SearcherStatus> {
        let names: HashMap<PoolKey, &str> =
            self.pool_keys.iter().map(|(name, &key)| (key, name.as_str())).collect();
        let mut all: Vec<SearcherStatus> = self
            .searchers
            .values()
            .map(|tracked| SearcherStatus {
                id: tracked.searcher.id.clone(),
                pool: names.get(&tracked.searcher.pool).copied().unwrap_or_default().to_owned(),
                address: tracked.searcher.address,
                domain: tracked.searcher.domain.clone(),
                availability: availability(tracked, now),
                outstanding: tracked.load.outstanding(),
                slowness: self.slowness(tracked, now),
                fault_ratio: self.fault_ratio(tracked, now),
                cold: tracked.is_cold(now),
                rate_limit: tracked.stated.limit(),
                load: self.load_status(tracked, now),
            })
            .collect();
        all.sort_by(|a, b| (&a.pool, &a.id).cmp(&(&b.pool, &b.id)));
        all
    }
}

fn availability(tracked: &TrackedSearcher, now: Time) -> Availability {
    if tracked.evacuated {
        return Availability::Evacuated;
    }
    if !tracked.searcher.ready || tracked.stated.is_leaving(now) {
        return Availability::Leaving;
    }
    if tracked.closed_until == Time::MAX {
        return Availability::Moved;
    }
    if tracked.closed_until > now {
        return Availability::Unreachable(tracked.closed_until - now);
    }
    let rest = tracked.stated.rest_left(now);
    if !rest.is_zero() {
        return Availability::Resting(rest);
    }
    if tracked.ejected_until > now {
        return Availability::Ejected(tracked.ejected_until - now);
    }
    Availability::Used
}
