//! The assignment that this daemon would propose.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::Intent;
use super::Members;
use super::REJOIN_DELAY;
use super::State;
use crate::assignment::Assignment;
use crate::assignment::STABILITY_DELAY;
use crate::assignment::Target;
use crate::ids::DomainKey;
use crate::ids::Member;
use crate::ids::MemberId;
use crate::ownership::Candidate;
use tt_model::Epoch;

impl Members {
    /// The members that the next epoch should have, and this daemon's rank among the
    /// proposers. A member of the current epoch stays unless it is known to be leaving or gone,
    /// so a daemon that has just started removes nobody. `hold_off` is
    /// [`crate::halves::HalvesSettings::hold_off`].
    pub fn target(&self, current: Option<&Assignment>, hold_off: Duration, now: Instant) -> Target {
        if self.is_partitioned() {
            return Target::default();
        }
        let mut members: Vec<Member> = Vec::new();
        let mut assigned: HashSet<MemberId> = HashSet::new();
        for record in current.into_iter().flat_map(Assignment::current) {
            assigned.insert(record.id);
            let stays = match self.get(record.id.address) {
                Some(view) if view.member.id == record.id => {
                    matches!(view.state, State::Live | State::Suspect)
                }
                Some(view) => !view.member.id.supersedes(&record.id),
                None => !self.ended.contains_key(&record.id),
            };
            if stays {
                members.extend(current.map(|a| a.member(record)));
            }
        }
        for view in self.iter() {
            let id = view.member.id;
            if view.state == State::Live && !assigned.contains(&id) && self.is_stable(id, now) {
                members.push(view.member.clone());
            }
        }
        members.sort_by_key(|m| m.id);
        let listed_peers = self.peers.values().filter(|p| p.presence.was_listed());
        let listed =
            listed_peers.map(|p| p.status.member.id).chain(self.own_listed.then(|| self.me().id));
        Target {
            members,
            rank: self.rank(),
            oldest_held_epochs: self.oldest_held_epochs(hold_off, now),
            listed: listed.collect(),
        }
    }

    /// The number of live members before this daemon in rendezvous order; `None` if this daemon
    /// is stopping.
    fn rank(&self) -> Option<u32> {
        let key = xxh3_64(b"assignment");
        let score = |m: &Member| Candidate::new(m.id, DomainKey(0), m.weight).score(key);
        let own = score(self.me());
        if self.me.intent != Intent::Running {
            return None;
        }
        let before = self.iter().filter(|v| v.state == State::Live && score(v.member) < own);
        Some(before.count() as u32)
    }

    /// Whether a member has been known and heard for long enough to join the assignment.
    fn is_stable(&self, id: MemberId, now: Instant) -> bool {
        let Some(peer) = self.peer(id.address) else { return true };
        now >= peer.known_since + STABILITY_DELAY
            && peer.recovered_at.is_none_or(|at| now >= at + REJOIN_DELAY)
    }

    /// The oldest held epoch of each process; `Epoch(u64::MAX)` for a process that ended at
    /// least `hold_off` ago.
    fn oldest_held_epochs(&self, hold_off: Duration, now: Instant) -> HashMap<MemberId, Epoch> {
        let mut oldest_held_epochs: HashMap<MemberId, Epoch> =
            self.peers.values().map(|p| (p.status.member.id, p.status.oldest_held_epoch)).collect();
        oldest_held_epochs.insert(self.me.member.id, self.me.oldest_held_epoch);
        for (&id, &at) in &self.ended {
            if now >= at + hold_off {
                oldest_held_epochs.insert(id, Epoch(u64::MAX));
            }
        }
        oldest_held_epochs
    }

    fn peer(&self, address: SocketAddr) -> Option<&super::Peer> {
        self.peers.get(&address)
    }
}
