//! The owner side: runs sub-queries at the searchers that this daemon may use.
//!
//! [`Hosts`] holds one [`host::Host`] for each searcher address, each under its own lock. A
//! host queues sub-queries, starts them when the ownership right and a connection allow it,
//! and reports each outcome once.

mod client;
mod host;
mod reply;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::clock;
use crate::settings::Policy;
use tt_limits::SlotGrant;
use tt_limits::SlotPolicy;
use tt_limits::Ticket;
use tt_membership::Allowance;
use tt_membership::SearcherKey;
use tt_model::Searcher;
use tt_model::ServiceId;
use tt_rpc::SubReply;

pub(crate) use host::Host;

/// A sub-query to run at a searcher.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) key: u64,
    pub(crate) shard: String,
    pub(crate) call: Arc<Call>,
    pub(crate) reply: UnboundedSender<SubReply>,
}

/// What all sub-queries of one `Gather` have in common.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) service: ServiceId,
    pub(crate) share: f64,
    pub(crate) urgency: u8,
    pub(crate) snapshot: u64,
    pub(crate) deadline: Instant,
    pub(crate) mode: tt_rpc::RunMode,
    pub(crate) request: String,
    pub(crate) query: Bytes,
}

/// A queued or running sub-query, for cancelling it.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) host: Arc<Host>,
    pub(crate) ticket: Ticket,
    pub(crate) key: u64,
}

/// Whether a searcher is assigned to this daemon, held or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// This daemon is its owner or its successor.
    Assigned,
    /// Others are.
    Unassigned,
}

/// The right of this daemon to use one searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Right {
    pub(crate) slots: SlotGrant,
    pub(crate) connections: u32,
    /// End of the promise in `slots`, on the wall clock.
    pub(crate) promise_ms: Option<u64>,
}

impl Right {
    /// Whether both allow the same. The end of a promise is compared on the wall clock: on the
    /// other clock it is computed anew each time, with small differences.
    pub(crate) fn allows_the_same(&self, other: &Right) -> bool {
        let slots = match (self.slots, other.slots) {
            (
                SlotGrant::Leased { slots, own_slots, .. },
                SlotGrant::Leased { slots: other_slots, own_slots: other_own, .. },
            ) => (slots, own_slots) == (other_slots, other_own),
            (one, other) => one == other,
        };
        slots && (self.connections, self.promise_ms) == (other.connections, other.promise_ms)
    }

    /// The right of one of `daemons` daemons that share a searcher statically.
    pub(crate) fn static_share(slots: u32, connections: u32, daemons: u32) -> Right {
        let shares = SlotPolicy::StaticShare { daemons };
        Right {
            slots: shares.grant(SlotGrant::None, slots),
            connections: (connections / daemons.max(1)).max(1),
            promise_ms: None,
        }
    }

    /// The right for what the ownership allows.
    pub(crate) fn of(allowance: Allowance, standing: Standing) -> Right {
        let Allowance { slots, leased: bounded, until_unix_ms: until, connections } = allowance;
        let right = match until {
            Some(until) if bounded > 0 => SlotGrant::Leased {
                slots: slots + bounded,
                own_slots: slots,
                until: clock::instant_at(until),
            },
            _ if slots > 0 => SlotGrant::Own { slots },
            // A handover takes less than a second; until then sub-queries wait, and their
            // entries may ask another replica.
            _ if standing == Standing::Assigned => SlotGrant::Own { slots: 0 },
            _ => SlotGrant::None,
        };
        Right { slots: right, connections, promise_ms: until }
    }
}

/// All searchers that this daemon knows, by address.
#[derive(Debug, Default)]
pub(crate) struct Hosts {
    by_address: Mutex<HashMap<SocketAddr, Arc<Host>>>,
}

impl Hosts {
    /// The host of a searcher, if it is in a document that is in force.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<Arc<Host>> {
        self.lock().get(&address).cloned()
    }

    /// The host of a searcher, by the key of its ownership.
    pub(crate) fn by_key(&self, key: SearcherKey) -> Option<Arc<Host>> {
        let hosts = self.lock();
        hosts.values().find(|host| host.key == key).cloned()
    }

    /// All hosts.
    pub(crate) fn all(&self) -> Vec<Arc<Host>> {
        self.lock().values().cloned().collect()
    }

    /// Takes in the searchers of the documents in force. Hosts of searchers that are in none
    /// of them drain.
    pub(crate) fn update<'a, I>(&self, searchers: I, policy: Policy)
    where
        I: Iterator<Item = &'a Searcher>,
    {
        let mut found: HashMap<SocketAddr, Arc<Host>> = HashMap::new();
        let mut hosts = self.lock();
        for searcher in searchers {
            let host = hosts
                .remove(&searcher.address)
                .or_else(|| found.get(&searcher.address).cloned())
                .filter(|host| host.fits(searcher))
                .unwrap_or_else(|| Host::start(searcher, policy));
            host.set_state(searcher.state);
            found.insert(searcher.address, host);
        }
        let gone = std::mem::replace(&mut *hosts, found);
        drop(hosts);
        for host in gone.into_values() {
            host.retire();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Host>>> {
        self.by_address.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
