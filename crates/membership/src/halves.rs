//! How many slots and connections of a searcher this daemon may use.
//!
//! The limits of a searcher are split into two halves, each held by at most one process
//! at any time. [`Half::Upper`] (rounded up) is assigned to the owner of an epoch and
//! [`Half::Lower`] (rounded down) to the successor. Two rules move them.
//!
//! * Lending: the holder of the lower half promises the owner not to use its slots for a
//!   time. Connections are not lent, because sockets of a paused process stay open.
//! * Handover: the process to which a half is assigned takes it when every process to
//!   which it was assigned in an earlier epoch has released it or has ended. Until then
//!   the holder may go on using it. A process states a release only from an epoch that
//!   is at least as new as the question, so that it cannot take the half back under an
//!   epoch that the asking process does not know to ask about.
//!
//! The owner and the successor of an epoch may therefore disagree on members and epochs
//! without exceeding the limits; a process that is behind only holds up the handover.

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

/// The half of a searcher's slots and connections.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum Half {
    /// Rounded up; assigned to the owner.
    Upper,
    /// Rounded down; assigned to the successor.
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

/// Times of the protocol; the same at all daemons.
#[derive(Debug, Clone, Copy)]
pub struct HalvesSettings {
    /// Duration of a promise.
    pub lease_duration: Duration,
    /// Time between renewals.
    pub renewal_interval: Duration,
    /// Largest difference between the wall clocks of two machines, and more than two
    /// monotonic clocks drift apart during a promise.
    pub max_clock_error: Duration,
    /// Longest deadline of a sub-query. Work sent by a process that has ended may run at a
    /// searcher until its deadline.
    pub max_work_timeout: Duration,
    /// Time between questions for a release.
    pub release_interval: Duration,
}

impl Default for HalvesSettings {
    fn default() -> Self {
        HalvesSettings {
            lease_duration: Duration::from_secs(3),
            renewal_interval: Duration::from_secs(1),
            max_clock_error: Duration::from_millis(50),
            max_work_timeout: Duration::from_secs(5),
            // A handover waits for sub-queries in flight, which take milliseconds; sub-queries of
            // the new pair wait meanwhile.
            release_interval: Duration::from_millis(50),
        }
    }
}

impl HalvesSettings {
    /// How long after the end of a process its halves may still be in use: by its own work
    /// at the searcher, or by a process that holds a promise of it.
    pub fn hold_off(&self) -> Duration {
        self.lease_duration.max(self.max_work_timeout) + self.max_clock_error
    }
}

/// A point in time on both clocks of this machine.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// The monotonic clock.
    pub now: Instant,
    /// The wall clock, in milliseconds since 1970.
    pub unix_ms: u64,
}

/// What this daemon may use of a searcher. Check it and count the work in one step, under
/// the lock of the searcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Allowance {
    /// Sub-queries in flight with any deadline.
    pub slots: u32,
    /// Further sub-queries in flight, each with a deadline of at most [`Allowance::until_unix_ms`].
    pub leased: u32,
    /// The latest deadline of bounded sub-queries, in milliseconds since 1970, taken from
    /// the wall clock when the promise was requested. Send it as it is: a deadline computed
    /// from the monotonic clock at the time of sending would be late by the duration of a
    /// suspension of the VM, during which that clock stands still.
    pub until_unix_ms: Option<u64>,
    /// Open connections.
    pub connections: u32,
}

/// What this daemon uses of a searcher. Work counts until its reply has arrived or its
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

/// Counts of one daemon for operators and for the stop sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HalfCounts {
    /// Halves held.
    pub held_halves: usize,
    /// Halves that are assigned to this daemon, but not yet released by others.
    pub waiting_halves: usize,
    /// Searchers of which this daemon may use all slots now.
    pub full_searchers: usize,
}

/// The rights of one process.
#[derive(Debug)]
pub struct Halves {
    me: MemberId,
    settings: HalvesSettings,
    started: Instant,
    ownership: Ownership,
    assignment: Option<Assignment>,
    searchers: HashMap<SearcherKey, SearcherHalves>,
    /// When the halves of processes that have ended are free.
    free_at: HashMap<MemberId, Instant>,
    renewals: BTreeMap<u64, Request>,
    sequence: u64,
    renew_at: Option<Instant>,
    ask_at: Option<Instant>,
}

/// A renewal that waits for its answer.
#[derive(Debug)]
struct Request {
    to: MemberId,
    sent: Clock,
    searchers: Vec<SearcherKey>,
}

impl Halves {
    /// Holds nothing. `now` is the start of the process: an earlier process at the same
    /// address has ended by then.
    pub fn new(me: MemberId, settings: HalvesSettings, now: Instant) -> Halves {
        Halves {
            me,
            settings,
            started: now,
            ownership: Ownership::default(),
            assignment: None,
            searchers: HashMap::new(),
            free_at: HashMap::new(),
            renewals: BTreeMap::new(),
            sequence: 0,
            renew_at: None,
            ask_at: None,
        }
    }

    /// The pairs of the current epoch.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// The epoch that this daemon acts under.
    pub fn epoch(&self) -> Epoch {
        self.ownership.epoch()
    }

    /// The epoch since which this process holds only what was assigned to it then or
    /// later. Heartbeats carry it to the proposer, which forgets older epochs by it.
    pub fn oldest_held_epoch(&self) -> Epoch {
        self.searchers
            .values()
            .map(SearcherHalves::oldest_held_epoch)
            .min()
            .unwrap_or(Epoch(u64::MAX))
            .min(self.epoch())
    }

    /// Replaces the searchers of the document. A searcher that was removed is released when
    /// nothing of it is in use.
    ///
    /// Daemons that read different documents must agree on the domain and the limits of an
    /// address: a document that changes them for an address in use must name another one.
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

    /// A process has ended: a newer incarnation has announced itself at its address, or the
    /// platform no longer lists its VM. Its halves are free after the hold-off.
    pub fn member_ended(&mut self, id: MemberId, now: Instant) {
        let at = now + self.settings.hold_off();
        self.free_at.entry(id).or_insert(at);
    }

    /// A process has stated that it stops and has released everything.
    pub fn member_stopped(&mut self, id: MemberId, now: Instant) {
        self.free_at.insert(id, now);
    }

    /// What this daemon may use of a searcher now.
    pub fn allowance(&self, key: SearcherKey, now: Instant) -> Allowance {
        self.searchers.get(&key).map_or_else(Allowance::default, |entry| entry.allowance(now))
    }

    /// Counts of halves.
    pub fn counts(&self, now: Instant) -> HalfCounts {
        let mut counts = HalfCounts::default();
        for entry in self.searchers.values() {
            counts.held_halves += entry.halves();
            counts.waiting_halves += entry.waiting();
            let allowance = entry.allowance(now);
            counts.full_searchers +=
                usize::from(allowance.slots + allowance.leased >= entry.spec.slots);
        }
        counts
    }

    /// Messages that are due. Call it a few times a second.
    pub fn tick<U>(&mut self, usage: U, clock: Clock) -> Vec<Message>
    where
        U: Fn(SearcherKey) -> Usage,
    {
        let now = clock.now;
        self.take_free_halves(now);
        self.drop_unassigned(&usage, now);
        let mut messages = Vec::new();
        if self.ask_at.is_none_or(|at| now >= at) {
            self.ask_at = Some(now + self.settings.release_interval);
            messages.extend(self.questions().into_iter().map(Message::Release));
        }
        if self.renew_at.is_none_or(|at| now >= at) {
            self.renew_at = Some(now + self.settings.renewal_interval);
            messages.extend(self.renew(clock).into_iter().map(Message::Renew));
        }
        messages
    }

    /// Recomputes what is assigned to this daemon.
    fn reassign(&mut self, now: Instant) {
        let epoch = self.epoch();
        let history = self.assignment.as_ref().map(Assignment::history).unwrap_or_default();
        let me = self.me;
        let mut assigned: HashMap<SearcherKey, (SearcherSpec, Option<crate::Pair>)> =
            HashMap::new();
        for (spec, pair) in self.ownership.iter() {
            let mine = pair.is_some_and(|p| p.owner == me || p.successor == me);
            if mine || self.searchers.contains_key(&spec.key) {
                assigned.insert(spec.key, (spec, pair));
            }
        }
        for (key, entry) in &mut self.searchers {
            if !assigned.contains_key(key) {
                entry.assign(None, epoch, me, &[]);
            }
        }
        for (key, (spec, pair)) in assigned {
            let entry = self.searchers.entry(key).or_insert_with(|| SearcherHalves::new(spec));
            entry.spec = spec;
            entry.assign(pair, epoch, me, &history);
        }
        self.ask_at = None;
        self.take_free_halves(now);
    }

    fn take_free_halves(&mut self, now: Instant) {
        let me = self.me;
        let epoch = self.epoch();
        let own_free = self.started + self.settings.hold_off();
        let free_at = &self.free_at;
        let free = |id: &MemberId| {
            (me.supersedes(id) && now >= own_free) || free_at.get(id).is_some_and(|&at| now >= at)
        };
        for entry in self.searchers.values_mut() {
            entry.take_free(epoch, free);
        }
    }

    fn drop_unassigned<U>(&mut self, usage: &U, now: Instant)
    where
        U: Fn(SearcherKey) -> Usage,
    {
        let ownership = &self.ownership;
        self.searchers.retain(|&key, entry| {
            if ownership.pair(key).is_none() {
                entry.release_all(usage(key), now);
            }
            entry.halves() + entry.waiting() > 0
        });
    }
}
