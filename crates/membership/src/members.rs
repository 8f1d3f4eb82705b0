//! The member table of one daemon.
//!
//! With few members everyone hears everyone each second. With many, each daemon hears a
//! few, and news (a member is new, suspect, gone, leaving or stopped) travels in the
//! digests of heartbeats and their answers. News about a member is ordered by incarnation,
//! then by a counter that only the member itself raises, to refute a suspicion; at the
//! same counter the worse news wins.

mod digest;
mod heartbeat;
mod platform;
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
pub use platform::ListedState;
pub use platform::ListedVm;

/// Time between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A member is suspect when there has been no evidence of it for this long.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);
/// A member is gone when it has been suspect for this long.
pub const GONE_TIMEOUT: Duration = Duration::from_secs(10);
/// Losses within this time count as one event for the partition guard.
const LOSS_WINDOW: Duration = Duration::from_secs(10);
/// Failures in a row before a member is suspect. A single lost message must not do it.
const SUSPECT_FAILURES: u32 = 3;
/// On a network that loses many messages more failures are needed, so that a member that
/// is well becomes suspect in at most one of this many series of failures.
const FALSE_SUSPICIONS: f64 = 10_000.0;
/// Upper bound, so that a failure is noticed at any loss.
const MOST_FAILURES: u32 = 8;
/// Weight of one call in the failure rate. A member that fails adds so little that the
/// failures needed do not change.
const RATE_WEIGHT: f64 = 0.02;
/// Time between the first and the last of these failures, so that a burst of failed calls
/// within one short pause of the member does not make it suspect.
const FAILURE_SPAN: Duration = Duration::from_secs(2);
/// A member that was gone and came back joins the assignment again after this long, so
/// that a link that fails now and then does not cause an epoch each time.
const REJOIN_AFTER: Duration = Duration::from_secs(10);
/// Gone members are remembered for this long, so that late news does not revive them.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// A member's state in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// There is evidence of it, or nothing speaks against it.
    Live,
    /// No evidence of it for [`SUSPECT_TIMEOUT`].
    Suspect,
    /// It is stopping, or the platform lists its VM as leaving.
    Leaving,
    /// Suspect for [`GONE_TIMEOUT`], stopped, or its VM is gone.
    Gone,
}

/// What others say about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Nothing speaks against it.
    Alive,
    /// Someone has no evidence of it.
    Suspect,
    /// Someone has had no evidence of it for long.
    Gone,
}

/// What a member says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Intent {
    /// It serves.
    Running,
    /// It is stopping.
    Leaving,
    /// It has stopped.
    Stopped,
}

/// News about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: Member,
    /// Raised only by the member itself.
    pub beat: u64,
    /// What others say.
    pub health: Health,
    /// What the member says.
    pub intent: Intent,
    /// See [`crate::Halves::oldest_held_epoch`].
    pub settled: Epoch,
}

impl MemberStatus {
    /// The first note about a member.
    fn of(member: Member) -> MemberStatus {
        MemberStatus {
            member,
            beat: 0,
            health: Health::Alive,
            intent: Intent::Running,
            settled: Epoch(0),
        }
    }
}

/// A change of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A process is new in the table.
    Joined(MemberId),
    /// The state of a member has changed.
    Changed(MemberId, State),
    /// A process has certainly ended; see [`crate::Halves::member_ended`].
    Ended(MemberId),
    /// A process has stated that it stops and holds nothing; see
    /// [`crate::Halves::member_stopped`].
    Stopped(MemberId),
    /// A later process has announced itself at this daemon's address.
    Superseded,
}

/// One row of the table.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The member.
    pub member: &'a Member,
    /// Its state.
    pub state: State,
    /// The last time that it was heard directly.
    pub last_heard: Option<Instant>,
    /// The epoch that it last reported directly.
    pub epoch: Epoch,
    /// The catalog revision that it last reported directly.
    pub catalog: Revision,
}

#[derive(Debug)]
struct Peer {
    note: MemberStatus,
    epoch: Epoch,
    catalog: Revision,
    /// The last time that it was heard directly.
    last_heard: Option<Instant>,
    /// When it was first known or last came back.
    since: Instant,
    came_back: Option<Instant>,
    failures: u32,
    first_failure: Option<Instant>,
    suspect_since: Option<Instant>,
    gone_since: Option<Instant>,
    listing: platform::Listing,
}

/// The member table.
#[derive(Debug)]
pub struct Members {
    me: MemberStatus,
    epoch: Epoch,
    catalog: Revision,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Peers that did not answer or whose health is in doubt.
    troubled: BTreeSet<SocketAddr>,
    /// The share of calls that fail although the member is well.
    failure_rate: f64,
    /// Addresses of peers that are not gone, for random choice.
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    /// Whether the platform's list has shown this daemon.
    own_listed: bool,
    rumors: BTreeMap<SocketAddr, digest::Rumor>,
    rumored: u64,
    /// Processes that have certainly ended.
    ended: HashMap<MemberId, Instant>,
    /// Members of the epoch.
    assigned: HashSet<MemberId>,
    /// Processes that may hold something.
    unreleased: HashSet<MemberId>,
    events: Vec<Event>,
    partitioned_since: Option<Instant>,
    beat_at: Option<Instant>,
    pulled_at: Option<Instant>,
}

impl Members {
    /// Knows only itself and addresses to try first.
    pub fn new(me: Member, seeds: Vec<SocketAddr>) -> Members {
        let own = me.id.address;
        let me = MemberStatus::of(me);
        Members {
            me,
            epoch: Epoch(0),
            catalog: Revision(0),
            peers: BTreeMap::new(),
            troubled: BTreeSet::new(),
            failure_rate: 0.0,
            near: Vec::new(),
            far: Vec::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != own).collect(),
            own_listed: false,
            rumors: BTreeMap::new(),
            rumored: 0,
            ended: HashMap::new(),
            assigned: HashSet::new(),
            unreleased: HashSet::new(),
            events: Vec::new(),
            partitioned_since: None,
            beat_at: None,
            pulled_at: None,
        }
    }

    /// This daemon.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// All members with this daemon first.
    pub fn iter(&self) -> impl Iterator<Item = View<'_>> {
        let me = View {
            member: &self.me.member,
            state: state_of(&self.me, platform::Listing::default()),
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

    /// The number of members that are not gone, with this daemon.
    pub fn len(&self) -> usize {
        1 + self.near.len() + self.far.len()
    }

    /// Whether there is no member; never, because this daemon is one.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Whether this daemon assumes that it is cut off and therefore changes nothing.
    pub fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Sets what this daemon reports about itself in heartbeats.
    pub fn set_report(&mut self, epoch: Epoch, catalog: Revision, settled: Epoch) {
        self.epoch = epoch;
        self.catalog = catalog;
        self.me.settled = self.me.settled.max(settled);
    }

    /// Announces that this daemon is stopping or has stopped. With [`Intent::Stopped`],
    /// first report a settled epoch of `Epoch(u64::MAX)` if everything is released.
    pub fn set_intent(&mut self, intent: Intent) {
        if intent > self.me.intent {
            self.me.intent = intent;
            self.spread(self.me.member.id.address);
        }
    }

    /// The whole table for a daemon that has just started.
    pub fn table(&self) -> Vec<MemberStatus> {
        let peers = self.peers.values().map(|peer| &peer.note);
        peers.filter(|note| note.health != Health::Gone).chain([&self.me]).cloned().collect()
    }

    /// Takes the table of another daemon.
    pub fn on_table(&mut self, notes: Vec<MemberStatus>, now: Instant) {
        // Nothing in it is news to the other daemons.
        let news = self.rumors.clone();
        for note in notes {
            self.merge(note, now);
        }
        self.rumors = news;
    }

    /// Takes the members of an epoch, so that a daemon that has just started knows them
    /// and does not propose an assignment without them.
    pub fn on_assignment(&mut self, assignment: &crate::Assignment, now: Instant) {
        self.assigned = assignment.current().map(|record| record.id).collect();
        let unreleased = assignment.members.iter().filter(|record| !record.released);
        self.unreleased = unreleased.map(|record| record.id).collect();
        for record in assignment.members.iter().filter(|r| r.left.is_some() && !r.released) {
            // Nobody is searched for that has left, but its VM may still vanish from the list.
            let known = if record.id.address == self.me.member.id.address {
                Some(self.me.member.id)
            } else {
                self.peers.get(&record.id.address).map(|peer| peer.note.member.id)
            };
            if known.is_some_and(|id| id.supersedes(&record.id)) {
                self.end(record.id, now);
                continue;
            }
            match self.peers.get(&record.id.address) {
                None => self.insert_gone(assignment.member(record), now),
                Some(peer) if peer.note.member.id == record.id && peer.last_heard.is_none() => {
                    self.set_health(record.id.address, Health::Gone, now);
                }
                Some(_) => {}
            }
        }
        let news = self.rumors.clone();
        for record in assignment.current() {
            self.merge(MemberStatus::of(assignment.member(record)), now);
        }
        self.rumors = news;
        for record in assignment.members.iter().filter(|r| r.listed) {
            if let Some(peer) = self.peers.get_mut(&record.id.address)
                && peer.note.member.id == record.id
            {
                peer.listing.shown_to_others();
            }
        }
        let listed: HashSet<MemberId> = assignment.members.iter().map(|r| r.id).collect();
        self.ended.retain(|id, at| listed.contains(id) || now < *at + FORGET_AFTER);
    }

    /// Takes news from another member.
    fn merge(&mut self, note: MemberStatus, now: Instant) {
        let id = note.member.id;
        if id.address == self.me.member.id.address {
            self.merge_own(&note, now);
            return;
        }
        let Some(peer) = self.peers.get_mut(&id.address) else {
            if note.health != Health::Gone && !self.ended.contains_key(&id) {
                self.insert(note, now);
            }
            return;
        };
        let known = peer.note.member.id;
        if known.supersedes(&id) {
            self.end(id, now);
            return;
        }
        if id.supersedes(&known) {
            self.remove_from_lists(id.address);
            self.peers.remove(&id.address);
            self.troubled.remove(&id.address);
            self.end(known, now);
            self.insert(note, now);
            return;
        }
        let before = peer.state();
        peer.note.settled = peer.note.settled.max(note.settled);
        let stopped = note.intent == Intent::Stopped && peer.note.intent != Intent::Stopped;
        let intends = note.intent > peer.note.intent;
        peer.note.intent = peer.note.intent.max(note.intent);
        let news = (note.beat, note.health) > (peer.note.beat, peer.note.health);
        if news {
            peer.note.beat = note.beat;
            self.set_health(id.address, note.health, now);
        }
        if stopped {
            self.stop(id, now);
        }
        if news || intends {
            self.spread(id.address);
        }
        self.note_change(id.address, before);
    }

    fn merge_own(&mut self, note: &MemberStatus, now: Instant) {
        let own = self.me.member.id;
        if own.supersedes(&note.member.id) {
            self.end(note.member.id, now);
        }
        if note.member.id.supersedes(&own) {
            warn!("member: {} has taken over this address", note.member.id);
            self.events.push(Event::Superseded);
        }
        if note.member.id == own && note.health != Health::Alive && note.beat >= self.me.beat {
            self.me.beat = note.beat + 1;
            self.spread(own.address);
        }
    }

    fn insert_gone(&mut self, member: Member, now: Instant) {
        let id = member.id;
        if self.ended.contains_key(&id) || id.address == self.me.member.id.address {
            return;
        }
        self.insert(MemberStatus::of(member), now);
        self.set_health(id.address, Health::Gone, now);
        self.rumors.remove(&id.address);
    }

    fn insert(&mut self, note: MemberStatus, now: Instant) {
        let id = note.member.id;
        if note.member.domain == self.me.member.domain {
            self.near.push(id.address);
        } else {
            self.far.push(id.address);
        }
        let health = note.health;
        let stopped = note.intent == Intent::Stopped;
        let mut peer = Peer {
            note,
            epoch: Epoch(0),
            catalog: Revision(0),
            last_heard: None,
            since: now,
            came_back: None,
            failures: 0,
            first_failure: None,
            suspect_since: None,
            gone_since: None,
            listing: platform::Listing::default(),
        };
        peer.note.health = Health::Alive;
        self.peers.insert(id.address, peer);
        self.events.push(Event::Joined(id));
        if health == Health::Suspect {
            self.set_health(id.address, health, now);
        }
        if stopped {
            self.stop(id, now);
        }
        self.spread(id.address);
    }

    /// Records that a process has certainly ended.
    fn end(&mut self, id: MemberId, now: Instant) {
        if self.ended.contains_key(&id) {
            return;
        }
        self.ended.insert(id, now);
        info!("member: {id} has ended");
        self.events.push(Event::Ended(id));
    }

    fn stop(&mut self, id: MemberId, now: Instant) {
        let Some(peer) = self.peers.get(&id.address) else { return };
        if peer.note.settled == Epoch(u64::MAX) {
            self.events.push(Event::Stopped(id));
        }
        self.set_health(id.address, Health::Gone, now);
        self.end(id, now);
    }

    /// Changes a peer's health with the bookkeeping that goes with it.
    fn set_health(&mut self, address: SocketAddr, health: Health, now: Instant) {
        let guarded = self.is_partitioned();
        let Some(peer) = self.peers.get_mut(&address) else { return };
        let ended = peer.note.intent == Intent::Stopped || peer.listing.is_gone();
        let health = match health {
            _ if ended => Health::Gone,
            // While this daemon seems to be cut off, suspicion by others is no ground to
            // evict.
            Health::Gone if guarded => Health::Suspect,
            _ => health,
        };
        let old = peer.note.health;
        peer.note.health = health;
        if health == Health::Alive {
            self.troubled.remove(&address);
        } else {
            self.troubled.insert(address);
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
            peer.came_back = Some(now);
            let near = peer.note.member.domain == self.me.member.domain;
            if near { &mut self.near } else { &mut self.far }.push(address);
        }
        if old != Health::Gone && health == Health::Gone {
            self.remove_from_lists(address);
        }
    }

    fn note_change(&mut self, address: SocketAddr, before: State) {
        let Some(peer) = self.peers.get(&address) else { return };
        let after = peer.state();
        if before != after {
            info!("member: {} is {after:?}", peer.note.member.id);
            self.events.push(Event::Changed(peer.note.member.id, after));
        }
    }

    fn remove_from_lists(&mut self, address: SocketAddr) {
        for list in [&mut self.near, &mut self.far] {
            if let Some(index) = list.iter().position(|a| *a == address) {
                list.swap_remove(index);
            }
        }
    }
}

impl Peer {
    fn state(&self) -> State {
        state_of(&self.note, self.listing)
    }

    fn view(&self) -> View<'_> {
        View {
            member: &self.note.member,
            state: self.state(),
            last_heard: self.last_heard,
            epoch: self.epoch,
            catalog: self.catalog,
        }
    }
}

fn state_of(note: &MemberStatus, listing: platform::Listing) -> State {
    if note.health == Health::Gone || note.intent == Intent::Stopped || listing.is_gone() {
        State::Gone
    } else if note.intent == Intent::Leaving || listing.is_leaving() {
        State::Leaving
    } else if note.health == Health::Suspect {
        State::Suspect
    } else {
        State::Live
    }
}
