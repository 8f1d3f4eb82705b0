//! Catching up with a configuration that other daemons already have.
//!
//! A daemon hears in heartbeats which version its peers have. [`CatchUp`] tracks since when a later
//! one than its own is known, chooses the peer to fetch it from, and decides when to read the store
//! instead.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Time;
use crate::listing::ListingSettings;
use crate::listing::SyncAction;
use crate::listing::sync_action;
use crate::members::Member;
use crate::members::MemberStatus;
use crate::members::Members;
use crate::members::Vm;
use crate::store_revision::StoreRevision;
use crate::versions::KnownVersions;

/// When a daemon that lacks the newest configuration does more to get it.
#[derive(Debug, Clone, Copy)]
pub struct CatchUpSettings {
    /// Time behind from which the configuration is also fetched from other failure domains. Until
    /// then the own watch, or that of the first daemon of the domain, usually delivers it.
    pub remote_delay: Duration,
    /// Time behind from which the second daemon of a failure domain reads the store itself.
    pub store_delay: Duration,
    /// Added to `store_delay` for each further daemon of the domain, so that not all read at once.
    pub store_stagger: Duration,
    /// Time for which a peer from which a fetch has failed is asked only if no other one can be.
    pub failure_delay: Duration,
    /// As `failure_delay`, for a peer that sends to others. Longer than the transfer of a usual
    /// configuration.
    pub busy_delay: Duration,
    /// Time behind after which it is logged, and interval between two such lines. A version usually
    /// reaches all daemons in half a second.
    pub report_interval: Duration,
}

impl Default for CatchUpSettings {
    fn default() -> Self {
        CatchUpSettings {
            remote_delay: Duration::from_millis(400),
            store_delay: Duration::from_secs(1),
            store_stagger: Duration::from_millis(100),
            failure_delay: Duration::from_millis(1500),
            busy_delay: Duration::from_millis(300),
            report_interval: Duration::from_secs(1),
        }
    }
}

/// Since when a daemon knows that others have something newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lag {
    /// When the daemon heard of `awaited`, or had just got what it waited for before.
    pub since: Time,
    /// What was the newest then. A daemon that gets it is no longer late, even if there is something
    /// newer again: versions may follow one another faster than they spread.
    awaited: KnownVersions,
    /// The newest versions that it has heard of.
    pub newest: KnownVersions,
    /// Number of fetches from peers that have failed since.
    pub failures: u32,
    reported_at: Time,
}

/// What a daemon does about what its peers have.
#[derive(Debug, Default)]
pub struct Comparison {
    /// The latest revision and time of a read at the store that found the own listing still current.
    pub confirmed: Option<(StoreRevision, Time)>,
    /// The peer to fetch from, if one has something newer.
    pub source: Option<Vm>,
    /// The newest of what the peers have.
    pub newest: KnownVersions,
    /// How far this daemon is behind, whenever that is to be logged.
    pub report: Option<Lag>,
}

/// Whether this daemon has what its peers have, and what it has tried to get it.
#[derive(Debug)]
pub struct CatchUp {
    settings: CatchUpSettings,
    lag: Option<Lag>,
    /// Until when peers are asked only if no other one can be, by name of the VM.
    avoided: BTreeMap<String, Time>,
}

impl CatchUp {
    /// Creates the state of a daemon that has heard of nothing newer.
    pub fn new(settings: CatchUpSettings) -> CatchUp {
        CatchUp { settings, lag: None, avoided: BTreeMap::new() }
    }

    /// Compares `own` with what the live peers have.
    pub fn compare(
        &mut self,
        members: &Members,
        own: &MemberStatus,
        settings: &ListingSettings,
        now: Time,
    ) -> Comparison {
        self.avoided.retain(|_, until| now < *until);
        let newest = members.live(now).map(|it| it.status.versions());
        let newest = newest.fold(KnownVersions::default(), KnownVersions::max);
        let report = self.observe(own.versions(), newest, now);
        let mut comparison = Comparison { newest, report, ..Comparison::default() };
        let mut source: Option<&Member> = None;
        let is_overdue = self.is_overdue(now);
        for member in members.live(now) {
            match sync_action(member, members.domain(), own, settings, is_overdue, now) {
                SyncAction::None => {}
                SyncAction::Confirm(revision, read_at) => {
                    comparison.confirmed = comparison.confirmed.max(Some((revision, read_at)));
                }
                SyncAction::Fetch => {
                    let preference = |it: &Member| self.preference(it, members, own);
                    if source.is_none_or(|best| preference(best) < preference(member)) {
                        source = Some(member);
                    }
                }
            }
        }
        comparison.source = source.map(|member| member.vm.clone());
        comparison
    }

    /// Orders the peers from which something newer than `own` can be fetched; the greatest is asked.
    ///
    /// Only a listing is fetched from the daemon that has read it last. A configuration comes from
    /// any that has it: all other daemons of the domain want it at the same time, and a small VM
    /// can't send it to all of them.
    fn preference(
        &self,
        member: &Member,
        members: &Members,
        own: &MemberStatus,
    ) -> (Reverse<Option<Time>>, bool, KnownVersions, StoreRevision, u64) {
        let Member { vm, status, .. } = member;
        let (revision, order) = match own.versions().is_behind(status.versions()) {
            true => {
                let seed = xxh3_64(members.name().as_bytes());
                (StoreRevision::default(), xxh3_64_with_seed(vm.name.as_bytes(), seed))
            }
            false => (status.revision, 0),
        };
        let avoided_until = self.avoided.get(&vm.name).copied();
        let is_near = vm.domain == members.domain();
        (Reverse(avoided_until), is_near, status.versions(), revision, order)
    }

    /// Records what this daemon has, and the newest of what its live peers have. Returns the lag
    /// whenever it is to be logged.
    pub fn observe(&mut self, own: KnownVersions, newest: KnownVersions, now: Time) -> Option<Lag> {
        if !own.is_behind(newest) {
            self.lag = None;
            return None;
        }
        self.lag = self.lag.filter(|lag| own.is_behind(lag.awaited));
        let start = Lag { since: now, awaited: newest, newest, failures: 0, reported_at: now };
        let lag = self.lag.get_or_insert(start);
        lag.newest = newest;
        if lag.reported_at + self.settings.report_interval > now {
            return None;
        }
        lag.reported_at = now;
        Some(*lag)
    }

    /// Time for which this daemon has been behind.
    pub fn behind_for(&self, now: Time) -> Duration {
        self.lag.map_or(Duration::ZERO, |lag| now.saturating_sub(lag.since))
    }

    /// Whether what is newer is also fetched from other failure domains.
    pub fn is_overdue(&self, now: Time) -> bool {
        self.behind_for(now) > self.settings.remote_delay
    }

    /// Whether a daemon with this rank in its failure domain, which leaves the reads to others, reads
    /// at the store itself: what is newer has not arrived from peers in time. The age of the listing
    /// says nothing about that, since others confirm it whatever configuration they have.
    pub fn reads_store(&self, rank: usize, now: Time) -> bool {
        // As with listings, the last ranks share a step.
        let steps = rank.clamp(1, 6) as u32 - 1;
        self.behind_for(now) > self.settings.store_delay + self.settings.store_stagger * steps
    }

    /// Records that a fetch from the peer on the VM `name` has failed.
    pub fn record_failure(&mut self, name: String, now: Time) {
        if let Some(lag) = &mut self.lag {
            lag.failures += 1;
        }
        self.avoided.insert(name, now + self.settings.failure_delay);
    }

    /// Records that the peer on the VM `name` is sending to others.
    pub fn record_busy(&mut self, name: String, now: Time) {
        self.avoided.insert(name, now + self.settings.busy_delay);
    }
}
