//! The digest of a heartbeat: which member statuses it carries.

use std::cmp::Reverse;
use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use super::Health;
use super::MemberStatus;
use super::Members;

/// Statuses in one heartbeat. Eight of about 60 bytes each, in eight messages a second, stay
/// below a third of the 13 KB/s that a daemon may spend on control traffic.
pub const MAX_DIGEST_LEN: usize = 8;
/// Pending updates leave room for this many statuses of random members, so that a daemon that
/// missed an update still gets it later, and the proposer learns the oldest held epoch of every
/// member.
const MIN_RANDOM_MEMBERS: usize = 2;

/// Maximum number of updates kept for sending. A daemon that learns of many members at once
/// must not delay the update about a failure.
const MAX_PENDING_UPDATES: usize = 256;

/// An update to be gossiped. In ascending order: the ones sent least often first, and of
/// these the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingUpdate {
    sent_count: u32,
    sequence: Reverse<u64>,
}

impl Members {
    /// Queues a member's status for the next digests. Above the maximum, the update that would
    /// be sent last is dropped.
    pub(super) fn queue_update(&mut self, address: SocketAddr) {
        self.update_sequence += 1;
        self.pending_updates.insert(
            address,
            PendingUpdate { sent_count: 0, sequence: Reverse(self.update_sequence) },
        );
        if self.pending_updates.len() > MAX_PENDING_UPDATES {
            let last =
                self.pending_updates.iter().max_by_key(|(_, update)| **update).map(|(a, _)| *a);
            last.map(|address| self.pending_updates.remove(&address));
        }
    }

    /// The statuses for a heartbeat to `to`: pending updates that have been sent least often, then
    /// random members.
    pub(super) fn digest<R>(&mut self, to: SocketAddr, rng: &mut R) -> Vec<MemberStatus>
    where
        R: Rng,
    {
        let limit = self.max_transmissions();
        let partitioned = self.is_partitioned();
        let mut statuses = Vec::with_capacity(MAX_DIGEST_LEN);
        // A suspected member must learn of the suspicion to refute it.
        if let Some(peer) = self.peers.get(&to).filter(|p| p.status.health != Health::Alive) {
            statuses.push(peer.status.clone());
        }
        let mut updates: Vec<(PendingUpdate, SocketAddr)> =
            self.pending_updates.iter().map(|(address, update)| (*update, *address)).collect();
        let wanted = (MAX_DIGEST_LEN - MIN_RANDOM_MEMBERS).min(updates.len());
        if wanted > 0 && wanted < updates.len() {
            updates.select_nth_unstable(wanted - 1);
        }
        for &(update, address) in &updates[..wanted] {
            let status = if address == self.me.member.id.address {
                Some(&self.me)
            } else {
                self.peers.get(&address).map(|peer| &peer.status)
            };
            // During a partition, this daemon doesn't gossip its own suspicions.
            let held_back = status.is_some_and(|s| partitioned && s.health != Health::Alive);
            if let Some(status) = status.filter(|_| !held_back && address != to) {
                statuses.push(status.clone());
            }
            if status.is_none() || update.sent_count + 1 >= limit {
                self.pending_updates.remove(&address);
            } else {
                self.pending_updates
                    .insert(address, PendingUpdate { sent_count: update.sent_count + 1, ..update });
            }
        }
        let others = self.local.len() + self.remote.len();
        for _ in 0..MAX_DIGEST_LEN.saturating_sub(statuses.len()).min(others) {
            let address = self.peer_at(rng.random_range(0..others));
            let Some(peer) = self.peers.get(&address) else { continue };
            let known = statuses.iter().any(|s| s.member.id.address == address);
            if !known && address != to && peer.status.health == Health::Alive {
                statuses.push(peer.status.clone());
            }
        }
        statuses
    }

    /// How often this daemon sends an update. A few times the logarithm of the number of members
    /// reaches all of them even if one message in ten is lost.
    fn max_transmissions(&self) -> u32 {
        4 * (usize::BITS - self.len().leading_zeros())
    }

    /// The address at `index` in the local peers followed by the remote ones.
    pub(super) fn peer_at(&self, index: usize) -> SocketAddr {
        match self.local.get(index) {
            Some(address) => *address,
            None => self.remote[index - self.local.len()],
        }
    }
}
