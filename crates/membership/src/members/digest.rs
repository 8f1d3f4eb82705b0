//! Which news a heartbeat carries.

use std::cmp::Reverse;
use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use super::Health;
use super::MemberStatus;
use super::Members;

/// Notes in one heartbeat. Eight notes of about 60 bytes in eight messages a second stay
/// below a third of the 13 KB/s that a daemon may spend on control.
pub const MAX_DIGEST_LEN: usize = 8;
/// At least this many notes are random members, so that news missed by a daemon reaches it
/// later and the proposer learns which epochs all members have settled.
const RANDOM_NOTES: usize = 2;

/// The most pieces of news kept. A daemon that hears of many members at once must not
/// delay the news of a failure.
const MOST_NEWS: usize = 256;

/// A piece of news; the ones sent least often go first, and of these the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rumor {
    sent: u32,
    age: Reverse<u64>,
}

impl Members {
    /// Marks a member's note as news.
    pub(super) fn spread(&mut self, address: SocketAddr) {
        self.rumored += 1;
        self.rumors.insert(address, Rumor { sent: 0, age: Reverse(self.rumored) });
        if self.rumors.len() > MOST_NEWS {
            let oldest = self.rumors.iter().max_by_key(|(_, rumor)| **rumor).map(|(a, _)| *a);
            oldest.map(|address| self.rumors.remove(&address));
        }
    }

    /// News that has been sent least often, then random members.
    pub(super) fn digest<R>(&mut self, to: SocketAddr, rng: &mut R) -> Vec<MemberStatus>
    where
        R: Rng,
    {
        let limit = self.transmissions();
        let guarded = self.is_partitioned();
        let mut notes = Vec::with_capacity(MAX_DIGEST_LEN);
        // A member that is suspected must hear of it to refute it.
        if let Some(peer) = self.peers.get(&to).filter(|p| p.note.health != Health::Alive) {
            notes.push(peer.note.clone());
        }
        let mut news: Vec<(Rumor, SocketAddr)> =
            self.rumors.iter().map(|(address, rumor)| (*rumor, *address)).collect();
        let wanted = (MAX_DIGEST_LEN - RANDOM_NOTES).min(news.len());
        if wanted > 0 && wanted < news.len() {
            news.select_nth_unstable(wanted - 1);
        }
        for &(rumor, address) in &news[..wanted] {
            let note = if address == self.me.member.id.address {
                Some(&self.me)
            } else {
                self.peers.get(&address).map(|peer| &peer.note)
            };
            // A daemon that seems to be cut off does not spread its own suspicions.
            let held_back = note.is_some_and(|n| guarded && n.health != Health::Alive);
            if let Some(note) = note.filter(|_| !held_back && address != to) {
                notes.push(note.clone());
            }
            if note.is_none() || rumor.sent + 1 >= limit {
                self.rumors.remove(&address);
            } else {
                self.rumors.insert(address, Rumor { sent: rumor.sent + 1, ..rumor });
            }
        }
        let others = self.near.len() + self.far.len();
        for _ in 0..MAX_DIGEST_LEN.saturating_sub(notes.len()).min(others) {
            let address = self.pick(rng.random_range(0..others));
            let Some(peer) = self.peers.get(&address) else { continue };
            let known = notes.iter().any(|n| n.member.id.address == address);
            if !known && address != to && peer.note.health == Health::Alive {
                notes.push(peer.note.clone());
            }
        }
        notes
    }

    /// How often a daemon repeats a piece of news: with a few times the logarithm of the
    /// number of members, all hear of it even if one message in ten is lost.
    fn transmissions(&self) -> u32 {
        4 * (usize::BITS - self.len().leading_zeros())
    }

    /// The address at a position in both lists.
    pub(super) fn pick(&self, index: usize) -> SocketAddr {
        match self.near.get(index) {
            Some(address) => *address,
            None => self.far[index - self.near.len()],
        }
    }
}
