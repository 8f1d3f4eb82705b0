//! What lies in the store: keys with revisions, leases, and the history that watches read.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::wire::Condition;
use super::wire::Transaction;

/// One key.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) value: Bytes,
    /// Revision of its last change.
    pub(super) revision: u64,
    /// Revision of its creation.
    pub(super) created: u64,
    /// 0 without a lease.
    pub(super) lease: u64,
}

/// A change of one key; without an entry it was removed.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) entry: Option<Entry>,
}

/// The outcome of a transaction.
#[derive(Debug)]
pub(super) enum Outcome {
    Done(u64),
    /// A condition did not hold; these keys are in the way.
    Conflict(Vec<(String, Entry)>),
    /// There is no such lease.
    NoLease,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// The contents of the store.
#[derive(Debug)]
pub(super) struct State {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    history: VecDeque<Change>,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
    revision: u64,
    next_lease: u64,
}

impl State {
    pub(super) fn new() -> State {
        State {
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: VecDeque::new(),
            compacted: 0,
            // The counter of the store starts above 0.
            revision: 1,
            next_lease: 0,
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// The keys with a prefix that come after a key, in order.
    pub(super) fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        self.entries.iter().filter(move |(key, _)| key.starts_with(prefix) && key.as_str() > after)
    }

    /// The changes below a prefix after a revision; `None` if they are no longer known.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.compacted {
            return None;
        }
        let fits = |it: &&Change| it.revision > after && it.key.starts_with(prefix);
        Some(self.history.iter().filter(fits).cloned().collect())
    }

    /// Forgets the history.
    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    pub(super) fn put(&mut self, key: &str, value: Bytes, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.entries.get(key).map_or(revision, |entry| entry.created);
        let entry = Entry { value, revision, created, lease };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history.push_back(Change { key: key.to_owned(), revision, entry: Some(entry) });
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push_back(Change { key: key.to_owned(), revision, entry: None });
        }
    }

    /// Carries out a transaction, all of it or nothing.
    pub(super) fn transact(&mut self, transaction: Transaction) -> Outcome {
        let holds = |it: &Condition| {
            self.entries.get(&it.key).map_or(0, |entry| entry.revision) == it.revision
        };
        if !transaction.conditions.iter().all(holds) {
            let found = |it: &Condition| {
                self.entries.get(&it.key).map(|entry| (it.key.clone(), entry.clone()))
            };
            return Outcome::Conflict(transaction.conditions.iter().filter_map(found).collect());
        }
        let lacks = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if transaction.puts.iter().any(|put| lacks(put.lease)) {
            return Outcome::NoLease;
        }
        for put in transaction.puts {
            self.put(&put.key, put.value, put.lease);
        }
        for key in &transaction.removes {
            self.remove(key);
        }
        Outcome::Done(self.revision)
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { ttl, ends: now + ttl });
        self.next_lease
    }

    /// Renews a lease and returns its lifetime, if it has not ended.
    pub(super) fn keep(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&lease)?;
        lease.ends = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and removes its keys.
    pub(super) fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.sweep();
    }

    /// Ends the leases whose time has come. Returns whether any has.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.ends > now);
        let ended = self.leases.len() < before;
        if ended {
            self.sweep();
        }
        ended
    }

    /// Ends all leases.
    pub(super) fn lapse(&mut self) {
        self.leases.clear();
        self.sweep();
    }

    fn sweep(&mut self) {
        let orphaned = |entry: &Entry| entry.lease != 0 && !self.leases.contains_key(&entry.lease);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, it)| orphaned(it))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
