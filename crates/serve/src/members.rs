//! The daemons of the tier as one of them sees the others.
//!
//! Daemons of one failure domain tell one another everything. Two delegates of each domain
//! exchange with those of other domains, since bytes between domains are dear.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;
use crate::gossip::LastRound;

/// Delegates of a failure domain. The second one keeps the exchange going when the first fails.
const DELEGATES: usize = 2;

/// A VM that runs a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other daemons reach it.
    pub peer: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// Whether a daemon takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It does not know enough yet.
    Starting,
    /// It does.
    Open,
    /// It will end.
    Stopping,
}

/// What a daemon says of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberStatus {
    /// Whether it takes callers.
    pub state: MemberState,
    /// Version of its configuration; 0 if it has none.
    pub version: u64,
    /// Identifies the searchers that it knows and their states.
    pub digest: u64,
    /// Revision of the store at which they were read; 0 if they were not. Unlike times it also
    /// orders what was read by a machine that has stood still since.
    pub revision: u64,
    /// When its listing of searchers was read at the store, on the clock of this daemon.
    pub listing_read_at: Option<Time>,
}

/// What is known of another daemon.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its VM.
    pub vm: Vm,
    /// What it last said.
    pub status: MemberStatus,
    /// When it said so.
    pub heard_at: Option<Time>,
    /// When it was last in the store's list.
    pub stored_at: Option<Time>,
    /// Until when it is not asked for shards.
    pub avoid_until: Time,
}

/// When a daemon counts as there.
#[derive(Debug, Clone, Copy)]
pub struct MemberSettings {
    /// Silence after which callers are no longer sent to a daemon.
    pub silence_timeout: Duration,
    /// Silence, also in the store's list, after which it no longer has a part of the limits.
    pub removal_timeout: Duration,
    /// Daemons that share the limits while fewer are known; a daemon that has just started
    /// doesn't know the others yet.
    pub min_daemons: usize,
    /// Time after the start in which `min_daemons` holds; it holds longer if the store's list can't be
    /// read.
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

/// Among whom shared limits are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TierSize {
    /// All daemons.
    pub daemons: usize,
    /// Their failure domains.
    pub domains: usize,
}

/// All other daemons.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    me: Vm,
    others: BTreeMap<String, Member>,
    /// Whether the store's list has been read.
    listed: bool,
    last_round: LastRound,
}

/// How a read of the store's list has changed what is known, by names of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListChange {
    /// Daemons that were not known before.
    pub added: Vec<String>,
    /// Daemons that have been away for long and are forgotten.
    pub removed: Vec<String>,
}

impl Members {
    /// Knows no other daemon than `me`.
    pub fn new(settings: MemberSettings, me: Vm) -> Members {
        Members {
            settings,
            me,
            others: BTreeMap::new(),
            listed: false,
            last_round: LastRound::default(),
        }
    }

    /// Takes a read of the store's list.
    pub fn update_from_store(&mut self, listed: Vec<Vm>, now: Time) -> ListChange {
        self.listed = true;
        let mut added = Vec::new();
        for vm in listed {
            if vm.name == self.me.name {
                continue;
            }
            if !self.others.contains_key(&vm.name) {
                added.push(vm.name.clone());
            }
            self.entry(vm).stored_at = Some(now);
        }
        ListChange { added, removed: self.expire(now) }
    }

    /// Notes what a daemon said at the time `heard`. Returns whether the daemon is new.
    pub fn update_status(&mut self, vm: Vm, status: MemberStatus, heard: Time) -> bool {
        let new = !self.others.contains_key(&vm.name);
        let member = self.entry(vm);
        if member.heard_at.is_none_or(|before| before <= heard) {
            member.status = status;
            member.heard_at = Some(heard);
        }
        new
    }

    fn entry(&mut self, vm: Vm) -> &mut Member {
        let member = self.others.entry(vm.name.clone()).or_insert_with(|| Member {
            vm: vm.clone(),
            status: MemberStatus {
                state: MemberState::Starting,
                version: 0,
                digest: 0,
                revision: 0,
                listing_read_at: None,
            },
            heard_at: None,
            stored_at: None,
            avoid_until: Time::ZERO,
        });
        member.vm = vm;
        member
    }

    /// Forgets daemons that have been away for long, and returns their names.
    fn expire(&mut self, now: Time) -> Vec<String> {
        let timeout = self.settings.removal_timeout;
        let gone = self.others.extract_if(.., |_, member| {
            member.heard_at.max(member.stored_at).is_none_or(|last| now >= last + timeout)
        });
        gone.map(|(name, _)| name).collect()
    }

    /// Whether no other daemon has been heard.
    pub fn is_alone(&self, now: Time) -> bool {
        !self.others.values().any(|member| self.is_live(member, now))
    }

    /// Daemons, this one included, among which shared limits are divided.
    pub fn tier_size(&self, now: Time) -> TierSize {
        let known = self.others.len() + 1;
        let settled = self.listed && now >= self.settings.startup_period;
        let min_daemons = if settled { 1 } else { self.settings.min_daemons };
        let mut domains: Vec<&str> = self.others.values().map(|it| it.vm.domain.as_str()).collect();
        domains.push(&self.me.domain);
        domains.sort_unstable();
        domains.dedup();
        TierSize { daemons: known.max(min_daemons), domains: domains.len().max(min_daemons) }
    }

    /// The other daemons that take callers.
    pub fn open_members(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.others.values().filter(move |member| {
            member.status.state == MemberState::Open && self.is_live(member, now)
        })
    }

    /// The other daemons that may be asked for shards of `version`.
    pub fn relay_candidates(&self, version: u64, now: Time) -> impl Iterator<Item = &Member> {
        self.open_members(now)
            .filter(move |member| member.status.version == version && member.avoid_until <= now)
    }

    /// Asks a daemon for no shards for a while, since it has not answered.
    pub fn avoid(&mut self, name: &str, until: Time) {
        if let Some(member) = self.others.get_mut(name) {
            member.avoid_until = until;
        }
    }

    /// Daemons of this one's failure domain that come before it. The first one reads the store
    /// for all of them.
    pub fn rank(&self, now: Time) -> usize {
        let me = &self.me;
        self.open_members(now)
            .filter(|it| it.vm.domain == me.domain && it.vm.name < me.name)
            .count()
    }

    /// The daemons to speak to: all of this domain, and if this one is a delegate, one of each
    /// other domain.
    pub fn heartbeat_targets(&self, now: Time) -> Vec<&Member> {
        let here = self.others.values().filter(|it| it.vm.domain == self.me.domain);
        let mut targets: Vec<&Member> = here.collect();
        let rank = self.rank(now);
        if rank >= DELEGATES {
            return targets;
        }
        let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
        for member in self.others.values().filter(|it| it.vm.domain != self.me.domain) {
            domains.entry(&member.vm.domain).or_default().push(member);
        }
        for members in domains.values_mut() {
            // Those that were heard first: a silent one is spoken to if there is no other.
            members.sort_by_key(|member| !self.is_live(member, now));
            let heard = members.iter().filter(|member| self.is_live(member, now)).count();
            let choice = if heard > 0 { rank % heard } else { rank % members.len() };
            targets.push(members[choice]);
        }
        targets
    }

    /// The daemons that one in `domain` is told of.
    pub(crate) fn gossip_members(&self, domain: &str, now: Time) -> Vec<&Member> {
        let here = domain == self.me.domain;
        if here && self.rank(now) >= DELEGATES {
            return Vec::new();
        }
        let fits = |member: &&Member| {
            self.is_live(member, now) && (member.vm.domain == self.me.domain) != here
        };
        self.others.values().filter(fits).collect()
    }

    pub(crate) fn last_round(&self) -> &LastRound {
        &self.last_round
    }

    pub(crate) fn set_last_round(&mut self, round: LastRound) {
        self.last_round = round;
    }

    /// Notes that known daemons were heard.
    pub(crate) fn touch(&mut self, names: &[String], heard: Time) {
        for name in names {
            if let Some(member) = self.others.get_mut(name) {
                member.heard_at = member.heard_at.max(Some(heard));
            }
        }
    }

    /// All daemons that have been heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        self.others.values().filter(move |member| self.is_live(member, now))
    }

    fn is_live(&self, member: &Member, now: Time) -> bool {
        member.heard_at.is_some_and(|last| now < last + self.settings.silence_timeout)
    }
}
