//! The other daemons of the tier, as this daemon knows them from heartbeats and the store.
//!
//! Each daemon sends heartbeats to all daemons of its own failure domain. Only the delegates of a
//! domain exchange them with other domains, since traffic between domains is expensive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;
use crate::fleet::ListState;
use crate::fleet::Tier;
use crate::gossip::LastRound;
use crate::store_revision::StoreRevision;
use crate::versions::KnownVersions;

/// Number of delegates of a failure domain: its daemons with the lowest ranks. The second one keeps
/// the exchange going if the first fails.
const DELEGATES_PER_DOMAIN: usize = 2;

/// Time without a heartbeat of a daemon in the own domain after which it may be out of reach: two
/// or three in a row must be lost.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(1000);

/// A VM that runs a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Set by the platform; identifies the daemon among the members.
    pub name: String,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other daemons reach it.
    pub peer: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// Whether a daemon accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MemberState {
    /// Not yet: it has no configuration or no listing.
    #[default]
    Starting,
    /// It accepts callers.
    Open,
    /// No longer: it is draining.
    Stopping,
}

/// The status of a daemon as it reports it in heartbeats.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MemberStatus {
    /// Whether it accepts callers.
    pub state: MemberState,
    /// Version of its configuration; 0 if it has none.
    pub version: u64,
    /// Digest of the sets of shards in its configuration; 0 if it has none.
    pub shards: u64,
    /// Digest of its listing of searchers.
    pub digest: u64,
    /// Store revision at which its listing was read; unknown if it has none. Unlike times, it also
    /// orders what was read by a VM that has been suspended since.
    pub revision: StoreRevision,
    /// When its listing was read at the store, on the clock of the daemon that holds this status.
    pub listing_read_at: Option<Time>,
    /// Store revision of the newest change of the evacuated failure domains that it knows, if any.
    pub evacuation_revision: StoreRevision,
    /// Whether it refuses requests with API keys, since a key may have been withdrawn without its
    /// knowledge.
    pub keys_expired: bool,
    /// Processor share of its VM, in thousandths of a core; 0 if it is not known.
    pub millicores: u32,
}

impl MemberStatus {
    /// The versions of what operators have written.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions { config: self.version, evacuations: self.evacuation_revision }
    }
}

/// Another daemon.
#[derive(Debug, Clone)]
pub struct Member {
    /// The VM that it runs on, with its addresses and failure domain.
    pub vm: Vm,
    /// Its last known status.
    pub status: MemberStatus,
    /// When it was last heard, directly or through another daemon; `None` if it is known from the
    /// store only.
    pub heard_at: Option<Time>,
    /// When its record was last read at the store.
    pub stored_at: Option<Time>,
    /// Until then it is not used as a relay.
    pub avoid_until: Time,
}

/// Timeouts of the other daemons, and the assumed size of the tier after a start.
#[derive(Debug, Clone, Copy)]
pub struct MemberSettings {
    /// Time without a heartbeat after which a daemon no longer counts as live, so that no callers
    /// are sent to it.
    pub silence_timeout: Duration,
    /// Time without a heartbeat and without a record at the store after which a daemon is removed
    /// and no longer has a part of the shared limits.
    pub removal_timeout: Duration,
    /// Minimum number of daemons among which shared limits are divided during `startup_period`: a
    /// daemon that has just started doesn't know the others yet.
    pub min_daemons: usize,
    /// Time after the start in which `min_daemons` applies. It applies longer if the members can't
    /// be read at the store.
    pub startup_period: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            silence_timeout: Duration::from_millis(1700),
            removal_timeout: Duration::from_secs(15),
            min_daemons: 4,
            startup_period: Duration::from_secs(5),
        }
    }
}

/// The size of the tier by which shared limits are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TierSize {
    /// Number of daemons, this one included.
    pub daemons: usize,
    /// Number of their failure domains.
    pub domains: usize,
}

/// How much of the tier a daemon hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeardDaemons {
    /// Number of live daemons, this one included.
    pub heard: usize,
    /// Number of known daemons, this one included.
    pub known: usize,
    /// When the list of daemons was last read at the store.
    pub listed_at: Option<Time>,
}

/// The other daemons, by name of the VM.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    me: Vm,
    others: BTreeMap<String, Member>,
    /// When the members were last read at the store.
    read_at: Option<Time>,
    last_round: LastRound,
}

/// Changes to the members after a read of the store, by names of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListChange {
    /// Daemons that were not known before.
    pub added: Vec<String>,
    /// Daemons that were removed, since they were neither heard nor listed for long.
    pub removed: Vec<String>,
}

impl Members {
    /// Creates the members for the daemon on `me`, which knows no other yet.
    pub fn new(settings: MemberSettings, me: Vm) -> Members {
        Members {
            settings,
            me,
            others: BTreeMap::new(),
            read_at: None,
            last_round: LastRound::default(),
        }
    }

    /// Applies the list of daemons that was read at the store.
    pub fn update_from_store(&mut self, listed: Vec<Vm>, now: Time) -> ListChange {
        self.read_at = Some(now);
        let mut added = Vec::new();
        for vm in listed {
            if vm.name == self.me.name {
                continue;
            }
            if !self.others.contains_key(&vm.name) {
                added.push(vm.name.clone());
            }
            self.get_or_insert(vm).stored_at = Some(now);
        }
        ListChange { added, removed: self.remove_expired(now) }
    }

    /// Applies the status that a daemon sent at the time `heard_at`, unless a later one is known.
    /// Returns whether the daemon is new.
    pub fn update_status(&mut self, vm: Vm, status: MemberStatus, heard_at: Time) -> bool {
        let new = !self.others.contains_key(&vm.name);
        let member = self.get_or_insert(vm);
        if member.heard_at.is_none_or(|before| before <= heard_at) {
            member.status = status;
            member.heard_at = Some(heard_at);
        }
        new
    }

    fn get_or_insert(&mut self, vm: Vm) -> &mut Member {
        let member = self.others.entry(vm.name.clone()).or_insert_with(|| Member {
            vm: vm.clone(),
            status: MemberStatus::default(),
            heard_at: None,
            stored_at: None,
            avoid_until: Time::ZERO,
        });
        member.vm = vm;
        member
    }

    /// Removes daemons that have been neither heard nor listed for long, and returns their names.
    fn remove_expired(&mut self, now: Time) -> Vec<String> {
        let timeout = self.settings.removal_timeout;
        let removed = self.others.extract_if(.., |_, member| {
            member.heard_at.max(member.stored_at).is_none_or(|last| now >= last + timeout)
        });
        removed.map(|(name, _)| name).collect()
    }

    /// Name of the VM of this daemon.
    pub(crate) fn name(&self) -> &str {
        &self.me.name
    }

    /// Failure domain of this daemon.
    pub(crate) fn domain(&self) -> &str {
        &self.me.domain
    }

    /// Whether the daemon on the VM `name` is known.
    pub fn knows(&self, name: &str) -> bool {
        self.others.contains_key(name)
    }

    /// Whether no other daemon is live.
    pub fn is_alone(&self, now: Time) -> bool {
        !self.others.values().any(|member| self.is_live(member, now))
    }

    /// The size of the tier by which shared limits are divided. It is not below `min_daemons` until
    /// the startup period is over and the members have been read at the store.
    pub fn tier_size(&self, now: Time) -> TierSize {
        let known = self.others.len() + 1;
        let min_daemons = if self.is_settled(now) { 1 } else { self.settings.min_daemons };
        let mut domains: Vec<&str> = self.others.values().map(|it| it.vm.domain.as_str()).collect();
        domains.push(&self.me.domain);
        domains.sort_unstable();
        domains.dedup();
        TierSize { daemons: known.max(min_daemons), domains: domains.len().max(min_daemons) }
    }

    /// Whether the known daemons are likely to be all: some time has passed since the start, and the
    /// members have been read at the store.
    fn is_settled(&self, now: Time) -> bool {
        self.read_at.is_some() && now >= self.settings.startup_period
    }

    /// How far the known daemons can be relied on to be all that have parts of shared limits.
    fn list_state(&self, now: Time) -> ListState {
        match self.read_at {
            None => ListState::Unread,
            Some(_) if !self.is_settled(now) => ListState::Incomplete,
            // Others may have removed this daemon and taken over its parts.
            Some(read_at) if read_at + self.settings.removal_timeout <= now => ListState::Outdated,
            Some(_) => ListState::Current,
        }
    }

    /// How much of the tier this daemon hears. News of other domains comes late, so that a partition
    /// is noticed first by the silence of daemons of this domain: if a third of them falls silent at
    /// once, the same part of the others is taken to be out of reach.
    pub fn heard(&self, now: Time) -> HeardDaemons {
        let mut heard = self.live(now).count() + 1;
        let neighbours = self.live(now).filter(|it| it.vm.domain == self.me.domain).count() + 1;
        let is_fresh = |member: &&Member| {
            let is_neighbour = member.vm.domain == self.me.domain;
            is_neighbour && member.heard_at.is_some_and(|at| now < at + NEIGHBOUR_TIMEOUT)
        };
        let fresh = self.live(now).filter(is_fresh).count() + 1;
        if 3 * fresh <= 2 * neighbours {
            heard = (heard * fresh).div_ceil(neighbours);
        }
        HeardDaemons { heard, known: self.tier_size(now).daemons, listed_at: self.read_at }
    }

    /// The tier among which the limits of searchers are divided.
    pub fn tier(&self, now: Time) -> Tier {
        let domains = self.others.values().map(|it| it.vm.domain.clone());
        let same_domain = self.others.values().filter(|it| it.vm.domain == self.me.domain);
        Tier {
            me: self.me.name.clone(),
            size: self.tier_size(now),
            domains: domains.chain([self.me.domain.clone()]).collect(),
            neighbours: same_domain.map(|it| it.vm.name.clone()).collect(),
            list: self.list_state(now),
        }
    }

    /// The live daemons that accept callers.
    pub fn open_members(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.others.values().filter(move |member| {
            member.status.state == MemberState::Open && self.is_live(member, now)
        })
    }

    /// The daemons that may relay shards of a configuration with this digest of its sets of shards.
    /// Their versions may differ: while configurations follow one another quickly, hardly two
    /// daemons have the same.
    pub fn relay_candidates(&self, shards: u64, now: Time) -> impl Iterator<Item = &Member> {
        self.open_members(now)
            .filter(move |member| member.status.shards == shards && member.avoid_until <= now)
    }

    /// Excludes a daemon from the relays for a while, since it has not answered.
    pub fn avoid_relay(&mut self, name: &str, until: Time) {
        if let Some(member) = self.others.get_mut(name) {
            member.avoid_until = until;
        }
    }

    /// Rank of this daemon in its failure domain: the number of open daemons there whose names come
    /// before its own. The daemon with rank 0 reads the store for the whole domain.
    pub fn rank_in_domain(&self, now: Time) -> usize {
        let me = &self.me;
        self.open_members(now)
            .filter(|it| it.vm.domain == me.domain && it.vm.name < me.name)
            .count()
    }

    /// As [`Members::rank_in_domain`], among all live daemons of the domain, open or not.
    pub fn live_rank_in_domain(&self, now: Time) -> usize {
        let me = &self.me;
        let is_before = |it: &&Member| it.vm.domain == me.domain && it.vm.name < me.name;
        self.others.values().filter(|it| is_before(it) && self.is_live(it, now)).count()
    }

    /// Whether this daemon exchanges heartbeats with other domains.
    pub fn is_delegate(&self, now: Time) -> bool {
        self.rank_in_domain(now) < DELEGATES_PER_DOMAIN
    }

    /// The daemons to send heartbeats to: all of this domain, and if this one is a delegate, one of
    /// each other domain.
    pub fn heartbeat_targets(&self, now: Time) -> Vec<&Member> {
        let same_domain = self.others.values().filter(|it| it.vm.domain == self.me.domain);
        let mut targets: Vec<&Member> = same_domain.collect();
        let rank = self.rank_in_domain(now);
        if rank >= DELEGATES_PER_DOMAIN {
            return targets;
        }
        let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in self.others.values().filter(|it| it.vm.domain != self.me.domain) {
            domains.entry(&member.vm.domain).or_default().push(member);
        }
        for members in domains.values_mut() {
            // Live ones first: one that is not live is chosen only if there is no other.
            members.sort_by_key(|member| !self.is_live(member, now));
            let live = members.iter().filter(|member| self.is_live(member, now)).count();
            let choice = if live > 0 { rank % live } else { rank % members.len() };
            targets.push(members[choice]);
        }
        targets
    }

    /// The daemons that messages to a daemon in `domain` describe.
    pub(crate) fn gossip_members(&self, domain: &str, now: Time) -> Vec<&Member> {
        let same_domain = domain == self.me.domain;
        if same_domain && self.rank_in_domain(now) >= DELEGATES_PER_DOMAIN {
            return Vec::new();
        }
        let is_described = |member: &&Member| {
            self.is_live(member, now) && (member.vm.domain == self.me.domain) != same_domain
        };
        self.others.values().filter(is_described).collect()
    }

    pub(crate) fn last_round(&self) -> &LastRound {
        &self.last_round
    }

    pub(crate) fn set_last_round(&mut self, round: LastRound) {
        self.last_round = round;
    }

    /// Records that known daemons were heard at the time `heard_at`.
    pub(crate) fn mark_heard(&mut self, names: &[String], heard_at: Time) {
        for name in names {
            if let Some(member) = self.others.get_mut(name) {
                member.heard_at = member.heard_at.max(Some(heard_at));
            }
        }
    }

    /// The daemons that were heard within `silence_timeout`.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.others.values().filter(move |member| self.is_live(member, now))
    }

    /// All daemons that are known, live or not.
    pub(crate) fn known(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    fn is_live(&self, member: &Member, now: Time) -> bool {
        member.heard_at.is_some_and(|last| now < last + self.settings.silence_timeout)
    }
}
