//! The daemons of the tier as one of them sees the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Time;

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

/// What is known of another daemon.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its VM.
    pub vm: Vm,
    /// Whether it takes new callers.
    pub open: bool,
    /// Version of its configuration; 0 if it has none.
    pub version: u64,
    /// When it was last heard.
    pub heard: Option<Time>,
    /// When it was last in the store's list.
    pub listed: Option<Time>,
    /// Until when it is not asked for shards.
    pub avoided: Time,
}

/// When a daemon counts as there.
#[derive(Debug, Clone, Copy)]
pub struct MemberSettings {
    /// Silence after which callers are no longer sent to a daemon.
    pub silence: Duration,
    /// Silence, also in the store's list, after which it no longer has a part of the limits.
    pub forget: Duration,
    /// Daemons that share the limits while fewer are known; a daemon that has just started
    /// doesn't know the others yet.
    pub least: usize,
    /// Time after the start in which `least` holds.
    pub settle: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        MemberSettings {
            silence: Duration::from_millis(1600),
            forget: Duration::from_secs(12),
            least: 4,
            settle: Duration::from_secs(5),
        }
    }
}

/// All other daemons.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    others: BTreeMap<String, Member>,
}

impl Members {
    /// Knows no other daemon.
    pub fn new(settings: MemberSettings) -> Members {
        Members { settings, others: BTreeMap::new() }
    }

    /// Notes a daemon in the store's list. Returns whether it is new.
    pub fn list(&mut self, vm: Vm, now: Time) -> bool {
        let new = !self.others.contains_key(&vm.name);
        let member = self.entry(vm);
        member.listed = Some(now);
        new
    }

    /// Notes a heartbeat. Returns whether the daemon is new.
    pub fn hear(&mut self, vm: Vm, open: bool, version: u64, now: Time) -> bool {
        let new = !self.others.contains_key(&vm.name);
        let member = self.entry(vm);
        member.open = open;
        member.version = version;
        member.heard = Some(now);
        new
    }

    fn entry(&mut self, vm: Vm) -> &mut Member {
        let member = self.others.entry(vm.name.clone()).or_insert_with(|| Member {
            vm: vm.clone(),
            open: true,
            version: 0,
            heard: None,
            listed: None,
            avoided: Time::ZERO,
        });
        member.vm = vm;
        member
    }

    /// Forgets daemons that have been away for long, and returns their names.
    pub fn expire(&mut self, now: Time) -> Vec<String> {
        let forget = self.settings.forget;
        let gone = self.others.extract_if(.., |_, member| {
            member.heard.max(member.listed).is_none_or(|last| now >= last + forget)
        });
        gone.map(|(name, _)| name).collect()
    }

    /// All other daemons that are known.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    /// Daemons, this one included, among which shared limits are divided.
    pub fn sharers(&self, now: Time) -> usize {
        let known = self.others.len() + 1;
        if now < self.settings.settle { known.max(self.settings.least) } else { known }
    }

    /// The other daemons that may be asked for shards of `version`.
    pub fn relays(&self, version: u64, now: Time) -> impl Iterator<Item = &Member> {
        self.open(now).filter(move |member| member.version == version && member.avoided <= now)
    }

    /// Asks a daemon for no shards for a while, since it has not answered.
    pub fn avoid(&mut self, name: &str, until: Time) {
        if let Some(member) = self.others.get_mut(name) {
            member.avoided = until;
        }
    }

    /// The other daemons that take callers.
    pub fn open(&self, now: Time) -> impl Iterator<Item = &Member> {
        let silence = self.settings.silence;
        self.others.values().filter(move |member| {
            member.open && member.heard.is_some_and(|last| now < last + silence)
        })
    }
}
