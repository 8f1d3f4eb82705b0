//! Which news a heartbeat carries.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use super::Health;
use super::Members;
use super::Note;

/// Notes in one heartbeat. Eight notes of about 60 bytes in eight messages a second stay
/// below a third of the 13 KB/s that a daemon may spend on control.
pub const DIGEST_NOTES: usize = 8;
/// At least this many notes are random members, so that news missed by a daemon reaches it
/// later and the proposer learns which epochs all members have settled.
const RANDOM_NOTES: usize = 2;

impl Members {
    /// Marks a member's note as news.
    pub(super) fn spread(&mut self, address: SocketAddr) {
        self.rumors.insert(address, 0);
    }

    /// News that has been sent least often, then random members.
    pub(super) fn digest<R>(&mut self, to: SocketAddr, rng: &mut R) -> Vec<Note>
    where
        R: Rng,
    {
        let limit = self.transmissions();
        let guarded = self.is_partitioned();
        let mut notes = Vec::with_capacity(DIGEST_NOTES);
        // A member that is suspected must hear of it to refute it.
        if let Some(peer) = self.peers.get(&to).filter(|p| p.note.health != Health::Alive) {
            notes.push(peer.note.clone());
        }
        let mut news: Vec<(u32, SocketAddr)> =
            self.rumors.iter().map(|(address, sent)| (*sent, *address)).collect();
        let wanted = (DIGEST_NOTES - RANDOM_NOTES).min(news.len());
        if wanted > 0 && wanted < news.len() {
            news.select_nth_unstable(wanted - 1);
        }
        for &(sent, address) in &news[..wanted] {
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
            if note.is_none() || sent + 1 >= limit {
                self.rumors.remove(&address);
            } else {
                self.rumors.insert(address, sent + 1);
            }
        }
        let others = self.near.len() + self.far.len();
        for _ in 0..DIGEST_NOTES.saturating_sub(notes.len()).min(others) {
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
