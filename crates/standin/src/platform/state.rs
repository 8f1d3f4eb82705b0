//! The contents of the store: keys with revisions, leases, and the change history that watches
//! read.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::wire::Condition;
use super::wire::Transaction;

/// The value and the revisions of one key.
#[derive(Debug, Clone)]
pub(super) struct StoredItem {
    pub(super) value: Bytes,
    /// Revision of its last change.
    pub(super) revision: u64,
    /// Revision of its creation.
    pub(super) created: u64,
    /// Id of the lease that the key is bound to; 0 for none.
    pub(super) lease: u64,
}

/// A change of one key; `item` is `None` if the key was removed.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) item: Option<StoredItem>,
}

/// The outcome of a transaction.
#[derive(Debug)]
pub(super) enum Outcome {
    /// Applied; the revision of the store afterwards.
    Committed(u64),
    /// A condition did not hold; the present values of the keys in the conditions.
    Conflict(Vec<(String, StoredItem)>),
    /// A put names a lease that does not exist.
    NoLease,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The contents of the store.
#[derive(Debug, Clone)]
pub(super) struct State {
    items: BTreeMap<String, StoredItem>,
    leases: BTreeMap<u64, Lease>,
    history: VecDeque<Change>,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
    revision: u64,
    /// Id of the lease granted last; 0 before the first.
    last_lease: u64,
}

impl State {
    pub(super) fn new() -> State {
        State {
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: VecDeque::new(),
            compacted: 0,
            // The platform's revision counter starts above 0.
            revision: 1,
            last_lease: 0,
        }
    }

    /// Renews all leases, whose ends have passed in a copy.
    pub(super) fn renew_all_leases(&mut self, now: Instant) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<&StoredItem> {
        self.items.get(key)
    }

    /// The keys that start with `prefix` and sort after `after`, in order.
    pub(super) fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a StoredItem)> {
        self.items.iter().filter(move |(key, _)| key.starts_with(prefix) && key.as_str() > after)
    }

    /// The changes of keys with a prefix since a revision; `None` if the history no longer reaches
    /// back to it, or the store is not there yet.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.compacted || after > self.revision {
            return None;
        }
        let matches = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
        Some(self.history.iter().filter(matches).cloned().collect())
    }

    /// Discards the history.
    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    pub(super) fn put(&mut self, key: &str, value: Bytes, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = StoredItem { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push_back(Change { key: key.to_owned(), revision, item: Some(item) });
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push_back(Change { key: key.to_owned(), revision, item: None });
        }
    }

    /// Applies a transaction: all of it if every condition holds, otherwise nothing.
    pub(super) fn transact(&mut self, transaction: Transaction) -> Outcome {
        let holds = |condition: &Condition| {
            self.items.get(&condition.key).map_or(0, |item| item.revision) == condition.revision
        };
        if !transaction.conditions.iter().all(holds) {
            let found = |condition: &Condition| {
                self.items.get(&condition.key).map(|item| (condition.key.clone(), item.clone()))
            };
            return Outcome::Conflict(transaction.conditions.iter().filter_map(found).collect());
        }
        let is_missing = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if transaction.puts.iter().any(|put| is_missing(put.lease)) {
            return Outcome::NoLease;
        }
        for put in transaction.puts {
            self.put(&put.key, put.value, put.lease);
        }
        for key in &transaction.removes {
            self.remove(key);
        }
        Outcome::Committed(self.revision)
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
        self.last_lease
    }

    /// Extends a lease by its TTL and returns the TTL; `None` if the lease has ended.
    pub(super) fn renew_lease(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&lease)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and removes its keys.
    pub(super) fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.remove_orphans();
    }

    /// Ends the leases whose TTL has passed and removes their keys. Returns whether there were any.
    pub(super) fn expire_leases(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at > now);
        let ended = self.leases.len() < before;
        if ended {
            self.remove_orphans();
        }
        ended
    }

    /// Ends all leases and removes their keys.
    pub(super) fn end_all_leases(&mut self) {
        self.leases.clear();
        self.remove_orphans();
    }

    /// Removes the keys whose lease has ended.
    fn remove_orphans(&mut self) {
        let is_orphan =
            |item: &StoredItem| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| is_orphan(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
