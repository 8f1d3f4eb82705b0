//! How many slots and connections of a searcher this daemon may use.
//!
//! The limits of a searcher are split into two halves, each held by at most one process at any
//! time. [`Half::Upper`] (rounded up) is assigned to the owner of an epoch and [`Half::Lower`]
//! (rounded down) to the successor. Slots move in two ways.
//!
//! * Lease: the holder of the lower half leases its slots to the owner for a short time and
//!   doesn't use them meanwhile. The owner renews the lease. Connections are not leased,
//!   because the sockets of a paused process stay open.
//! * Handover: the process to which a half is assigned takes it when every process to which
//!   it was assigned in an earlier epoch has released it or has ended. Until then the holder
//!   may go on using it. A process answers that it has released a half only when its epoch is
//!   at least as new as that of the request. Otherwise the process could later learn an epoch
//!   between the two, take the half under that epoch, and would not be asked again.
//!
//! The owner and the successor may therefore disagree on members and epochs without exceeding
//! the limits; a process with an old epoch only delays the handover.

mod messages;
mod searcher;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use searcher::SearcherHalves;
use tokio::time::Instant;

use crate::assignment::Assignment;
use crate::ids::MemberId;
use crate::ids::SearcherKey;
use crate::ownership::Ownership;
use crate::ownership::SearcherSpec;
use tt_model::Epoch;

pub use messages::Message;
pub use messages::Release;
pub use messages::ReleaseAnswer;
pub use messages::Renew;
pub use messages::RenewAnswer;

/// One of the two halves of a searcher's slots and connections.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Half {
    /// Assigned to the owner; odd limits are rounded up.
    Upper,
    /// Assigned to the successor; odd limits are rounded down.
    Lower,
}

impl Half {
    /// This half of `limit`.
    pub fn of(self, limit: u32) -> u32 {
        match self {
            Half::Upper => limit.div_ceil(2),
            Half::Lower => limit / 2,
        }
    }
}

/// Times of the protocol, which must be the same at all daemons.
#[derive(Debug, Clone, Copy)]
pub struct HalvesSettings {
    /// How long a lease lasts at the process that grants it.
    pub lease_duration: Duration,
    /// Time between two renewals of a lease.
    pub renewal_interval: Duration,
    /// Maximum difference between the wall clocks of two machines. It must also exceed the drift
    /// between two monotonic clocks during a lease.
    pub max_clock_error: Duration,
    /// Maximum timeout of a sub-query. One sent by a process that has ended may run at a searcher
    /// for this long.
    pub max_sub_query_timeout: Duration,
    /// Time between two requests to release a half.
    pub release_interval: Duration,
}

impl Default for HalvesSettings {
    fn default() -> Self {
        HalvesSettings {
            lease_duration: Duration::from_secs(3),
            renewal_interval: Duration::from_secs(1),
            max_clock_error: Duration::from_millis(50),
            max_sub_query_timeout: Duration::from_secs(5),
            // Short, because a handover waits only for sub-queries in flight, which take
            // milliseconds, and sub-queries of the new pair wait for the handover.
            release_interval: Duration::from_millis(50),
        }
    }
}

impl HalvesSettings {
    /// How long after the end of a process its halves may still be in use: by its own sub-queries
    /// at the searcher, or by a process to which it granted a lease.
    pub fn hold_off(&self) -> Duration {
        self.lease_duration.max(self.max_sub_query_timeout) + self.max_clock_error
    }
}

/// One point in time, read from both clocks of this machine.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Monotonic time.
    pub now: Instant,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// How much of a searcher this daemon may use. The daemon has to check it and count the new work
/// in one step, under the lock of the searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Allowance {
    /// Maximum number of sub-queries in flight, with any deadline.
    pub slots: u32,
    /// Maximum number of further sub-queries in flight under a lease, each with a deadline of at
    /// most [`Allowance::until_unix_ms`].
    pub leased: u32,
    /// The latest deadline of sub-queries under the lease, in milliseconds since the Unix epoch. It
    /// is computed from the wall clock at the time of the request for the lease, and has to be
    /// sent unchanged: the monotonic clock stands still while the VM is suspended, so a deadline
    /// computed from it at the time of sending would be too late by the length of the
    /// suspension.
    pub until_unix_ms: Option<u64>,
    /// Maximum number of open connections.
    pub connections: u32,
}

/// How much of a searcher this daemon uses. A sub-query counts until its reply has arrived or its
/// connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Sub-queries in flight that were sent under [`Allowance::slots`].
    pub slots: u32,
    /// Sub-queries in flight that were sent under [`Allowance::leased`].
    pub leased: u32,
    /// Open connections, including those being opened.
    pub connections: u32,
}

/// Numbers of halves at this daemon, for operators and for the stop sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HalfCounts {
    /// Halves that this daemon holds.
    pub held_halves: usize,
    /// Halves that are assigned to this daemon, but that other processes may still hold.
    pub waiting_halves: usize,
    /// Searchers whose slots this daemon may all use now.
    pub full_searchers: usize,
}

/// The halves of all searchers as seen by one process: held, waited for, and leased.
#[derive(Debug)]
pub struct Halves {
    me: MemberId,
    settings: HalvesSettings,
    started: Instant,
    ownership: Ownership,
    assignment: Option<Assignment>,
    searchers: HashMap<SearcherKey, SearcherHalves>,
    /// For processes that have ended: from when on their halves are free.
    free_at: HashMap<MemberId, Instant>,
    /// Requests for leases that could still be in force, by sequence.
    sent_renewals: BTreeMap<u64, SentRenewal>,
    last_sequence: u64,
    next_renewal: Option<Instant>,
    next_release: Option<Instant>,
}

#[derive(Debug)]
struct SentRenewal {
    to: MemberId,
    sent: Clock,
    searchers: Vec<SearcherKey>,
}

impl Halves {
    /// A process that holds no half. `now` is the start of the process: an earlier process at the
    /// same address has ended by then.
    pub fn new(me: MemberId, settings: HalvesSettings, now: Instant) -> Halves {
        Halves {
            me,
            settings,
            started: now,
            ownership: Ownership::default(),
            assignment: None,
            searchers: HashMap::new(),
            free_at: HashMap::new(),
            sent_renewals: BTreeMap::new(),
            last_sequence: 0,
            next_renewal: None,
            next_release: None,
        }
    }

    /// The pairs of the current epoch.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// The epoch in force for the halves; 0 before the first assignment.
    pub fn epoch(&self) -> Epoch {
        self.ownership.epoch()
    }

    /// The oldest epoch in which a half that this process still holds was last assigned to it; the
    /// current epoch if it holds none. Heartbeats carry it to the proposer, which removes
    /// memberships from the assignment that no process needs any more.
    pub fn oldest_held_epoch(&self) -> Epoch {
        self.searchers
            .values()
            .map(SearcherHalves::oldest_held_epoch)
            .min()
            .unwrap_or(Epoch(u64::MAX))
            .min(self.epoch())
    }

    /// Replaces the searchers of the documents. The halves of a searcher that was removed are
    /// released when it is no longer in use.
    ///
    /// Daemons with different versions of a document must agree on the domain and the limits of an
    /// address, so a document must not change them for an address that is in use: a searcher with
    /// another domain or other limits needs another address.
    pub fn set_searchers(&mut self, specs: &[SearcherSpec], now: Instant) {
        self.ownership.set_searchers(specs);
        self.reassign(now);
    }

    /// Moves to a newer epoch; an older one is ignored.
    pub fn set_assignment(&mut self, assignment: &Assignment, now: Instant) {
        if assignment.epoch <= self.epoch() {
            return;
        }
        self.ownership.set_epoch(assignment);
        for ended in assignment.members.iter().filter(|r| r.left.is_some()) {
            if assignment.current().any(|r| r.id.supersedes(&ended.id)) {
                self.member_ended(ended.id, now);
            }
        }
        self.free_at.retain(|id, _| assignment.members.iter().any(|r| r.id == *id));
        self.assignment = Some(assignment.clone());
        self.reassign(now);
    }

    /// Notes that a process has ended: a newer incarnation runs at its address, or its VM is gone
    /// from the list of daemons. Its halves are free after [`HalvesSettings::hold_off`].
    pub fn member_ended(&mut self, id: MemberId, now: Instant) {
        let at = now + self.settings.hold_off();
        self.free_at.entry(id).or_insert(at);
    }

    /// Notes that a process has announced that it has stopped and holds no half, so its halves are
    /// free at once.
    pub fn member_stopped(&mut self, id: MemberId, now: Instant) {
        self.free_at.insert(id, now);
    }

    /// How much of a searcher this daemon may use now.
    pub fn allowance(&self, key: SearcherKey, now: Instant) -> Allowance {
        self.searchers.get(&key).map_or_else(Allowance::default, |halves| halves.allowance(now))
    }

    /// Counts the halves held and waited for.
    pub fn counts(&self, now: Instant) -> HalfCounts {
        let mut counts = HalfCounts::default();
        for halves in self.searchers.values() {
            counts.held_halves += halves.held_count();
            counts.waiting_halves += halves.waiting_count();
            let allowance = halves.allowance(now);
            counts.full_searchers +=
                usize::from(allowance.slots + allowance.leased >= halves.spec.slots);
        }
        counts
    }

    /// Takes halves that have become free and returns the requests that are due. `usage` tells how
    /// much of a searcher is in use. Call it a few times a second.
    pub fn tick<U>(&mut self, usage: U, clock: Clock) -> Vec<Message>
    where
        U: Fn(SearcherKey) -> Usage,
    {
        let now = clock.now;
        self.take_free_halves(now);
        self.drop_unassigned(&usage, now);
        let mut messages = Vec::new();
        if self.next_release.is_none_or(|at| now >= at) {
            self.next_release = Some(now + self.settings.release_interval);
            messages.extend(self.release_requests().into_iter().map(Message::Release));
        }
        if self.next_renewal.is_none_or(|at| now >= at) {
            self.next_renewal = Some(now + self.settings.renewal_interval);
            messages.extend(self.renewals(clock).into_iter().map(Message::Renew));
        }
        messages
    }

    /// Recomputes which halves are assigned to this daemon, and lets release requests go out at
    /// once.
    fn reassign(&mut self, now: Instant) {
        let epoch = self.epoch();
        let history = self.assignment.as_ref().map(Assignment::history).unwrap_or_default();
        let me = self.me;
        let mut assigned: HashMap<SearcherKey, (SearcherSpec, Option<crate::Pair>)> =
            HashMap::new();
        for (spec, pair) in self.ownership.iter() {
            let in_pair = pair.is_some_and(|p| p.owner == me || p.successor == me);
            if in_pair || self.searchers.contains_key(&spec.key) {
                assigned.insert(spec.key, (spec, pair));
            }
        }
        for (key, halves) in &mut self.searchers {
            if !assigned.contains_key(key) {
                halves.assign(None, epoch, me, &[]);
            }
        }
        for (key, (spec, pair)) in assigned {
            let halves = self.searchers.entry(key).or_insert_with(|| SearcherHalves::new(spec));
            halves.spec = spec;
            halves.assign(pair, epoch, me, &history);
        }
        self.next_release = None;
        self.take_free_halves(now);
    }

    /// Takes the halves whose earlier holders have all released them or have ended.
    fn take_free_halves(&mut self, now: Instant) {
        let me = self.me;
        let epoch = self.epoch();
        let predecessors_free_at = self.started + self.settings.hold_off();
        let free_at = &self.free_at;
        let free = |id: &MemberId| {
            (me.supersedes(id) && now >= predecessors_free_at)
                || free_at.get(id).is_some_and(|&at| now >= at)
        };
        for halves in self.searchers.values_mut() {
            halves.take_free(epoch, free);
        }
    }

    /// Releases searchers that have left the documents, and drops those with no half held or
    /// waited for.
    fn drop_unassigned<U>(&mut self, usage: &U, now: Instant)
    where
        U: Fn(SearcherKey) -> Usage,
    {
        let ownership = &self.ownership;
        self.searchers.retain(|&key, halves| {
            if ownership.pair(key).is_none() {
                halves.release_if_idle(usage(key), now);
            }
            halves.held_count() + halves.waiting_count() > 0
        });
    }
}
