//! The member table of one daemon.
//!
//! A small tier sends heartbeats between all members every second. In a larger one each
//! daemon sends to a few members, and changes (a member is new, suspect, gone, leaving or
//! stopped) spread by gossip: heartbeats and their answers carry a digest of member
//! statuses. Statuses of one address are ordered by incarnation, then by a counter that
//! only the member itself raises to refute a suspicion; at the same counter the worse
//! health wins.

mod digest;
mod heartbeat;
mod list;
mod target;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ids::Member;
use crate::ids::MemberId;
use tt_model::Epoch;
use tt_model::Revision;

pub use digest::MAX_DIGEST_LEN;
pub use heartbeat::Action;
pub use heartbeat::Heartbeat;
pub use list::ListedDaemon;
pub use list::ListedState;

/// Time between two rounds of heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A member that doesn't answer calls becomes suspect once it has not been heard for this long.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// A member that has been suspect for this long is gone.
pub const GONE_TIMEOUT: Duration = Duration::from_secs(10);
/// Members lost within this time count together when a partition is looked for.
const LOSS_WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of failed calls in a row that make a member suspect. A single lost message
/// must not.
const MIN_SUSPECT_FAILURES: u32 = 3;
/// A healthy member becomes suspect in at most one of this many runs of failed calls. On a
/// network that loses many messages, more failures in a row are needed for that.
const RUNS_PER_FALSE_SUSPICION: f64 = 10_000.0;
/// Maximum number of failed calls in a row that are needed, so that a failure is detected at
/// any rate of lost messages.
const MAX_SUSPECT_FAILURES: u32 = 8;
/// Weight of one call in the moving average of the failure rate; so small that the calls to
/// one failing member don't change how many failures are needed.
const FAILURE_WEIGHT_RATIO: f64 = 0.02;
/// Minimum time between the first and the last failed call of a run, so that many calls that
/// fail during one short pause of a member don't make it suspect.
const MIN_FAILURE_SPAN: Duration = Duration::from_secs(2);
/// A member that was gone and is heard again rejoins the assignment after this delay, so that
/// an unreliable link doesn't cause an epoch each time it recovers.
const REJOIN_DELAY: Duration = Duration::from_secs(10);
/// Gone members stay in the table for this long, so that late gossip doesn't add them again.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// A member's state in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Heard, or not suspected by any daemon.
    Live,
    /// Calls to it have failed, and a daemon has not heard it for [`SUSPECT_TIMEOUT`].
    Suspect,
    /// The daemon is stopping, or the list of daemons names it as leaving.
    Leaving,
    /// Suspect for [`GONE_TIMEOUT`], stopped, or its VM is gone.
    Gone,
}

/// The health of a member as judged by the daemons that call it; the greater, the worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Not suspected.
    Alive,
    /// A daemon has not heard it for [`SUSPECT_TIMEOUT`].
    Suspect,
    /// A daemon has suspected it for [`GONE_TIMEOUT`].
    Gone,
}

/// What a member announces about itself; it only ever rises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Intent {
    /// The daemon takes queries.
    Running,
    /// The stop sequence has started.
    Leaving,
    /// The process is about to exit.
    Stopped,
}

/// What daemons gossip about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's description of itself.
    pub member: Member,
    /// Raised only by the member itself, to refute a suspicion: a higher count overrides the
    /// health that was gossiped with a lower one.
    #[serde(rename = "beat")]
    pub refutations: u64,
    /// The member's health as known to the sender.
    pub health: Health,
    /// The member's own announcement.
    pub intent: Intent,
    /// See [`crate::Halves::oldest_held_epoch`].
    #[serde(rename = "settled")]
    pub oldest_held_epoch: Epoch,
}

impl MemberStatus {
    /// The status of a member that nothing else is known about.
    fn of(member: Member) -> MemberStatus {
        MemberStatus {
            member,
            refutations: 0,
            health: Health::Alive,
            intent: Intent::Running,
            oldest_held_epoch: Epoch(0),
        }
    }
}

/// A change of the table that the daemon has to act on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A process was added to the table.
    Joined(MemberId),
    /// A member has entered this state.
    Changed(MemberId, State),
    /// A process has certainly ended; see [`crate::Halves::member_ended`].
    Ended(MemberId),
    /// A process has announced that it has stopped and holds no half; see
    /// [`crate::Halves::member_stopped`].
    Stopped(MemberId),
    /// A later process runs at this daemon's address.
    Superseded,
}

/// One row of the table.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The member's description of itself.
    pub member: &'a Member,
    /// Its state as seen by this daemon.
    pub state: State,
    /// When this daemon last had an answer or a heartbeat from it; `None` for this daemon itself
    /// and for members known only from gossip or the assignment.
    pub last_heard: Option<Instant>,
    /// The newest epoch in its own heartbeats.
    pub epoch: Epoch,
    /// The newest catalog revision in its own heartbeats.
    pub catalog: Revision,
}

#[derive(Debug)]
struct Peer {
    status: MemberStatus,
    epoch: Epoch,
    catalog: Revision,
    /// When the last answer or heartbeat came from it.
    last_heard: Option<Instant>,
    /// When this process was added to the table.
    known_since: Instant,
    /// When it last changed from gone to another health.
    recovered_at: Option<Instant>,
    /// Failed calls in a row.
    failures: u32,
    first_failure: Option<Instant>,
    suspect_since: Option<Instant>,
    gone_since: Option<Instant>,
    presence: list::Presence,
}

/// The member table: this daemon, its peers, and the gossip to be sent about them.
#[derive(Debug)]
pub struct Members {
    me: MemberStatus,
    epoch: Epoch,
    catalog: Revision,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Peers with a failed call since they were last heard, or that are suspect or gone.
    unhealthy: BTreeSet<SocketAddr>,
    /// The share of calls to healthy members that fail, as a moving average.
    failure_rate: f64,
    /// Peers of this daemon's failure domain that are not gone; heartbeat targets are drawn by
    /// index.
    local: Vec<SocketAddr>,
    /// The same for the other failure domains.
    remote: Vec<SocketAddr>,
    /// Addresses that are probed until a member is known there: from the settings and from the
    /// list of daemons.
    seeds: Vec<SocketAddr>,
    /// Whether the list of daemons has contained this daemon.
    own_listed: bool,
    /// Members whose status has changed and is still to be gossiped.
    pending_updates: BTreeMap<SocketAddr, digest::PendingUpdate>,
    update_sequence: u64,
    /// Processes that have certainly ended, and when this daemon learned it.
    ended: HashMap<MemberId, Instant>,
    /// Members of the current epoch.
    assigned: HashSet<MemberId>,
    /// Processes in the assignment that may still hold halves.
    unreleased: HashSet<MemberId>,
    events: Vec<Event>,
    partitioned_since: Option<Instant>,
    next_heartbeat: Option<Instant>,
    last_pull: Option<Instant>,
}

impl Members {
    /// A table with this daemon only. `seeds` are addresses to probe for other members.
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Members {
        let own = me.id.address;
        let me = MemberStatus::of(me);
        Members {
            me,
            epoch: Epoch(0),
            catalog: Revision(0),
            peers: BTreeMap::new(),
            unhealthy: BTreeSet::new(),
            failure_rate: 0.0,
            local: Vec::new(),
            remote: Vec::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != own).collect(),
            own_listed: false,
            pending_updates: BTreeMap::new(),
            update_sequence: 0,
            ended: HashMap::new(),
            assigned: HashSet::new(),
            unreleased: HashSet::new(),
            events: Vec::new(),
            partitioned_since: None,
            next_heartbeat: None,
            last_pull: None,
        }
    }

    /// This daemon.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// All members, this daemon first.
    pub fn iter(&self) -> impl Iterator<Item = View<'_>> {
        let me = View {
            member: &self.me.member,
            state: state_of(&self.me, list::Presence::default()),
            last_heard: None,
            epoch: self.epoch,
            catalog: self.catalog,
        };
        std::iter::once(me).chain(self.peers.values().map(Peer::view))
    }

    /// The row of the member at `address`.
    pub fn get(&self, address: SocketAddr) -> Option<View<'_>> {
        if address == self.me.member.id.address {
            return self.iter().next();
        }
        self.peers.get(&address).map(Peer::view)
    }

    /// The number of members that are not gone, including this daemon.
    pub fn len(&self) -> usize {
        1 + self.local.len() + self.remote.len()
    }

    /// Always `false`, because this daemon is a member.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Whether this daemon assumes that a partition has cut it off. It then neither declares
    /// members gone nor proposes assignments.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Sets what this daemon reports about itself in heartbeats. `oldest_held_epoch` comes from
    /// [`crate::Halves::oldest_held_epoch`].
    pub fn set_report(&mut self, epoch: Epoch, catalog: Revision, oldest_held_epoch: Epoch) {
        self.epoch = epoch;
        self.catalog = catalog;
        self.me.oldest_held_epoch = self.me.oldest_held_epoch.max(oldest_held_epoch);
    }

    /// Announces that this daemon is stopping or has stopped. Before [`Intent::Stopped`], call
    /// [`Members::set_report`] with an `oldest_held_epoch` of `Epoch(u64::MAX)` if no half is
    /// held any more.
    pub fn set_intent(&mut self, intent: Intent) {
        if intent > self.me.intent {
            self.me.intent = intent;
            self.queue_update(self.me.member.id.address);
        }
    }

    /// The statuses of all members that are not gone, for a daemon that knows few.
    pub fn table(&self) -> Vec<MemberStatus> {
        let peers = self.peers.values().map(|peer| &peer.status);
        peers.filter(|status| status.health != Health::Gone).chain([&self.me]).cloned().collect()
    }

    /// Merges the table of another daemon.
    pub fn on_table(&mut self, statuses: Vec<MemberStatus>, now: Instant) {
        // The other daemons know what is in it, so it isn't gossiped on.
        let pending = self.pending_updates.clone();
        for status in statuses {
            self.merge(status, now);
        }
        self.pending_updates = pending;
    }

    /// Adds the members of an epoch to the table, so that a daemon that has just started
    /// doesn't propose an assignment without them.
    pub fn on_assignment(&mut self, assignment: &crate::Assignment, now: Instant) {
        self.assigned = assignment.current().map(|record| record.id).collect();
        let unreleased = assignment.members.iter().filter(|record| !record.released);
        self.unreleased = unreleased.map(|record| record.id).collect();
        for record in assignment.members.iter().filter(|r| r.left.is_some() && !r.released) {
            // A process that has left isn't looked for, but it is kept in the table, because
            // its VM may still disappear from the list of daemons.
            let known = if record.id.address == self.me.member.id.address {
                Some(self.me.member.id)
            } else {
                self.peers.get(&record.id.address).map(|peer| peer.status.member.id)
            };
            if known.is_some_and(|id| id.supersedes(&record.id)) {
                self.mark_ended(record.id, now);
                continue;
            }
            match self.peers.get(&record.id.address) {
                None => self.insert_gone(assignment.member(record), now),
                Some(peer) if peer.status.member.id == record.id && peer.last_heard.is_none() => {
                    self.set_health(record.id.address, Health::Gone, now);
                }
                Some(_) => {}
            }
        }
        let pending = self.pending_updates.clone();
        for record in assignment.current() {
            self.merge(MemberStatus::of(assignment.member(record)), now);
        }
        self.pending_updates = pending;
        for record in assignment.members.iter().filter(|r| r.listed) {
            if let Some(peer) = self.peers.get_mut(&record.id.address)
                && peer.status.member.id == record.id
            {
                peer.presence.listed_elsewhere();
            }
        }
        let listed: HashSet<MemberId> = assignment.members.iter().map(|r| r.id).collect();
        self.ended.retain(|id, at| listed.contains(id) || now < *at + GONE_RETENTION);
    }

    /// Merges a gossiped status, and gossips it on if it is newer than the known one.
    fn merge(&mut self, status: MemberStatus, now: Instant) {
        let id = status.member.id;
        if id.address == self.me.member.id.address {
            self.merge_own(&status, now);
            return;
        }
        let Some(peer) = self.peers.get_mut(&id.address) else {
            if status.health != Health::Gone && !self.ended.contains_key(&id) {
                self.insert(status, now);
            }
            return;
        };
        let known = peer.status.member.id;
        if known.supersedes(&id) {
            self.mark_ended(id, now);
            return;
        }
        if id.supersedes(&known) {
            self.remove_from_lists(id.address);
            self.peers.remove(&id.address);
            self.unhealthy.remove(&id.address);
            self.mark_ended(known, now);
            self.insert(status, now);
            return;
        }
        let before = peer.state();
        peer.status.oldest_held_epoch = peer.status.oldest_held_epoch.max(status.oldest_held_epoch);
        let stopped = status.intent == Intent::Stopped && peer.status.intent != Intent::Stopped;
        let intent_rose = status.intent > peer.status.intent;
        peer.status.intent = peer.status.intent.max(status.intent);
        let newer =
            (status.refutations, status.health) > (peer.status.refutations, peer.status.health);
        if newer {
            peer.status.refutations = status.refutations;
            self.set_health(id.address, status.health, now);
        }
        if stopped {
            self.mark_stopped(id, now);
        }
        if newer || intent_rose {
            self.queue_update(id.address);
        }
        self.report_change(id.address, before);
    }

    fn merge_own(&mut self, status: &MemberStatus, now: Instant) {
        let own = self.me.member.id;
        if own.supersedes(&status.member.id) {
            self.mark_ended(status.member.id, now);
        }
        if status.member.id.supersedes(&own) {
            warn!("member: {} has taken over this address", status.member.id);
            self.events.push(Event::Superseded);
        }
        if status.member.id == own
            && status.health != Health::Alive
            && status.refutations >= self.me.refutations
        {
            self.me.refutations = status.refutations + 1;
            self.queue_update(own.address);
        }
    }

    fn insert_gone(&mut self, member: Member, now: Instant) {
        let id = member.id;
        if self.ended.contains_key(&id) || id.address == self.me.member.id.address {
            return;
        }
        self.insert(MemberStatus::of(member), now);
        self.set_health(id.address, Health::Gone, now);
        self.pending_updates.remove(&id.address);
    }

    fn insert(&mut self, status: MemberStatus, now: Instant) {
        let id = status.member.id;
        if status.member.domain == self.me.member.domain {
            self.local.push(id.address);
        } else {
            self.remote.push(id.address);
        }
        let health = status.health;
        let stopped = status.intent == Intent::Stopped;
        let mut peer = Peer {
            status,
            epoch: Epoch(0),
            catalog: Revision(0),
            last_heard: None,
            known_since: now,
            recovered_at: None,
            failures: 0,
            first_failure: None,
            suspect_since: None,
            gone_since: None,
            presence: list::Presence::default(),
        };
        peer.status.health = Health::Alive;
        self.peers.insert(id.address, peer);
        self.events.push(Event::Joined(id));
        if health == Health::Suspect {
            self.set_health(id.address, health, now);
        }
        if stopped {
            self.mark_stopped(id, now);
        }
        self.queue_update(id.address);
    }

    /// Records that a process has certainly ended, and reports it once.
    fn mark_ended(&mut self, id: MemberId, now: Instant) {
        if self.ended.contains_key(&id) {
            return;
        }
        self.ended.insert(id, now);
        info!("member: {id} has ended");
        self.events.push(Event::Ended(id));
    }

    fn mark_stopped(&mut self, id: MemberId, now: Instant) {
        let Some(peer) = self.peers.get(&id.address) else { return };
        if peer.status.oldest_held_epoch == Epoch(u64::MAX) {
            self.events.push(Event::Stopped(id));
        }
        self.set_health(id.address, Health::Gone, now);
        self.mark_ended(id, now);
    }

    /// Changes a peer's health with its times and the lists that depend on it.
    fn set_health(&mut self, address: SocketAddr, health: Health, now: Instant) {
        let partitioned = self.is_partitioned();
        let Some(peer) = self.peers.get_mut(&address) else { return };
        let ended = peer.status.intent == Intent::Stopped || peer.presence.is_gone();
        let health = match health {
            _ if ended => Health::Gone,
            // During a partition, other daemons may be wrong about who is gone.
            Health::Gone if partitioned => Health::Suspect,
            _ => health,
        };
        let old = peer.status.health;
        peer.status.health = health;
        if health == Health::Alive {
            self.unhealthy.remove(&address);
        } else {
            self.unhealthy.insert(address);
        }
        match health {
            Health::Alive => {
                peer.failures = 0;
                peer.first_failure = None;
                peer.suspect_since = None;
                peer.gone_since = None;
            }
            Health::Suspect => {
                peer.suspect_since.get_or_insert(now);
                peer.gone_since = None;
            }
            Health::Gone => {
                peer.suspect_since.get_or_insert(now);
                peer.gone_since.get_or_insert(now);
            }
        }
        if old == Health::Gone && health != Health::Gone {
            peer.recovered_at = Some(now);
            let local = peer.status.member.domain == self.me.member.domain;
            if local { &mut self.local } else { &mut self.remote }.push(address);
        }
        if old != Health::Gone && health == Health::Gone {
            self.remove_from_lists(address);
        }
    }

    fn report_change(&mut self, address: SocketAddr, before: State) {
        let Some(peer) = self.peers.get(&address) else { return };
        let after = peer.state();
        if before != after {
            info!("member: {} is {after:?}", peer.status.member.id);
            self.events.push(Event::Changed(peer.status.member.id, after));
        }
    }

    fn remove_from_lists(&mut self, address: SocketAddr) {
        for list in [&mut self.local, &mut self.remote] {
            if let Some(index) = list.iter().position(|a| *a == address) {
                list.swap_remove(index);
            }
        }
    }
}

impl Peer {
    fn state(&self) -> State {
        state_of(&self.status, self.presence)
    }

    fn view(&self) -> View<'_> {
        View {
            member: &self.status.member,
            state: self.state(),
            last_heard: self.last_heard,
            epoch: self.epoch,
            catalog: self.catalog,
        }
    }
}

fn state_of(status: &MemberStatus, presence: list::Presence) -> State {
    if status.health == Health::Gone || status.intent == Intent::Stopped || presence.is_gone() {
        State::Gone
    } else if status.intent == Intent::Leaving || presence.is_leaving() {
        State::Leaving
    } else if status.health == Health::Suspect {
        State::Suspect
    } else {
        State::Live
    }
}
