//! The owner side: runs sub-queries at the searchers that this daemon may use.
//!
//! [`Workers`] holds one [`worker::Worker`] for each searcher address, each under its own lock. A
//! worker queues sub-queries, starts them when it has a slot and a connection for them, and
//! reports each outcome exactly once.

mod client;
mod reply;
mod worker;

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
use tt_front::AnswerMemory;
use tt_limits::SlotGrant;
use tt_limits::SlotPolicy;
use tt_limits::Ticket;
use tt_membership::Allowance;
use tt_membership::SearcherKey;
use tt_model::Searcher;
use tt_model::ServiceId;
use tt_rpc::SubReply;

pub(crate) use worker::Worker;

/// A sub-query to run at a searcher, with the channel for its reply.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) key: u64,
    pub(crate) shard: String,
    pub(crate) gather: Arc<GatherContext>,
    pub(crate) reply: UnboundedSender<SubReply>,
}

/// What all sub-queries of one `Gather` have in common.
#[derive(Debug)]
pub(crate) struct GatherContext {
    pub(crate) service: ServiceId,
    pub(crate) share: f64,
    pub(crate) urgency: u8,
    pub(crate) snapshot: u64,
    pub(crate) deadline: Instant,
    pub(crate) mode: tt_rpc::RunMode,
    pub(crate) request_id: String,
    pub(crate) query: Bytes,
}

/// Identifies a queued or running sub-query, so that it can be cancelled.
#[derive(Debug, Clone)]
pub(crate) struct SubQueryHandle {
    pub(crate) worker: Arc<Worker>,
    pub(crate) ticket: Ticket,
    pub(crate) key: u64,
}

/// Whether a searcher is assigned to this daemon in the current epoch, whether or not the daemon
/// holds a half of it yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AssignmentStatus {
    /// This daemon is its owner or its successor.
    Assigned,
    /// It has another owner and another successor, or none.
    Unassigned,
}

/// The slots and connections of one searcher that this daemon may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SearcherGrant {
    pub(crate) slots: SlotGrant,
    pub(crate) connections: u32,
    /// When the lease in `slots` expires, in Unix milliseconds.
    pub(crate) lease_end_ms: Option<u64>,
}

impl SearcherGrant {
    /// Whether both allow the same. The ends of leases are compared as wall-clock times, because
    /// the `Instant` is computed anew for each grant and differs slightly each time.
    pub(crate) fn allows_the_same(&self, other: &SearcherGrant) -> bool {
        let slots = match (self.slots, other.slots) {
            (
                SlotGrant::Leased { slots, own_slots, .. },
                SlotGrant::Leased { slots: other_slots, own_slots: other_own, .. },
            ) => (slots, own_slots) == (other_slots, other_own),
            (grant, other) => grant == other,
        };
        slots && (self.connections, self.lease_end_ms) == (other.connections, other.lease_end_ms)
    }

    /// The grant of each of `daemons` daemons that share a searcher statically.
    pub(crate) fn static_share(slots: u32, connections: u32, daemons: u32) -> SearcherGrant {
        let shares = SlotPolicy::StaticShare { daemons };
        SearcherGrant {
            slots: shares.grant(SlotGrant::None, slots),
            connections: (connections / daemons.max(1)).max(1),
            lease_end_ms: None,
        }
    }

    /// The grant for an allowance.
    pub(crate) fn of(allowance: Allowance, assignment: AssignmentStatus) -> SearcherGrant {
        let Allowance { slots, leased, until_unix_ms: until, connections } = allowance;
        let slots = match until {
            Some(until) if leased > 0 => SlotGrant::Leased {
                slots: slots + leased,
                own_slots: slots,
                until: clock::instant_at(until),
            },
            _ if slots > 0 => SlotGrant::Own { slots },
            // The halves are being handed over, which takes less than a second. Meanwhile
            // sub-queries wait in the queue, and their entries may ask another replica.
            _ if assignment == AssignmentStatus::Assigned => SlotGrant::Own { slots: 0 },
            _ => SlotGrant::None,
        };
        SearcherGrant { slots, connections, lease_end_ms: until }
    }
}

/// Memory for the replies that are being received from all searchers, a quarter of that of a daemon
/// at the size to design for.
const REPLY_MEMORY_BYTES: usize = 32 * 1024 * 1024;

/// The workers of all searchers that the documents in force name, by address.
#[derive(Debug)]
pub(crate) struct Workers {
    by_address: Mutex<HashMap<SocketAddr, Arc<Worker>>>,
    replies: Arc<AnswerMemory>,
}

impl Default for Workers {
    fn default() -> Self {
        Workers {
            by_address: Mutex::default(),
            replies: Arc::new(AnswerMemory::new(REPLY_MEMORY_BYTES)),
        }
    }
}

impl Workers {
    /// The worker of a searcher; `None` if no document in force names the searcher.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<Arc<Worker>> {
        self.lock().get(&address).cloned()
    }

    /// The worker of a searcher, by the key that ownership uses.
    pub(crate) fn by_key(&self, key: SearcherKey) -> Option<Arc<Worker>> {
        let workers = self.lock();
        workers.values().find(|worker| worker.key == key).cloned()
    }

    /// All workers.
    pub(crate) fn all(&self) -> Vec<Arc<Worker>> {
        self.lock().values().cloned().collect()
    }

    /// Sets the searchers of the documents in force. Workers of searchers that are in none of
    /// them are retired.
    pub(crate) fn update<'a, I>(&self, searchers: I, policy: Policy)
    where
        I: Iterator<Item = &'a Searcher>,
    {
        let mut found: HashMap<SocketAddr, Arc<Worker>> = HashMap::new();
        let mut workers = self.lock();
        for searcher in searchers {
            let worker = workers
                .remove(&searcher.address)
                .or_else(|| found.get(&searcher.address).cloned())
                .filter(|worker| worker.has_limits_of(searcher))
                .unwrap_or_else(|| Worker::start(searcher, policy, self.replies.clone()));
            worker.set_document_state(searcher.state);
            found.insert(searcher.address, worker);
        }
        let gone = std::mem::replace(&mut *workers, found);
        drop(workers);
        for worker in gone.into_values() {
            worker.retire();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Worker>>> {
        self.by_address.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
