//! The list of daemons in the platform's store, in which each daemon keeps its own record. It lags
//! behind the daemons, and successive reads may come from replicas of different age, so that a
//! later read may be older than the one before.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Members;

/// A VM is gone when the list has not contained it for this long. A single read without it may
/// come from a replica that is older than the VM.
pub const ABSENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The same for a VM that no daemon is known to have seen in the list and that this daemon has
/// not heard. That happens when all daemons that had seen it were replaced. If the VM
/// existed, the list would contain it after this time.
pub const NEVER_LISTED_TIMEOUT: Duration = Duration::from_secs(300);
/// Minimum number of reads without the VM before it is gone.
const MIN_ABSENT_READS: u32 = 3;

/// The state of a daemon in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// The daemon runs.
    Live,
    /// The daemon is about to stop.
    Leaving,
}

/// A daemon in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedDaemon {
    /// Address at which the daemon receives messages of peers.
    pub address: SocketAddr,
    /// Whether the daemon is about to stop.
    pub state: ListedState,
}

/// Whether a member is in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Presence {
    /// Never seen in the list, which has not been read since the member was added or last heard.
    #[default]
    Unknown,
    /// Not listed in any read, and not heard since the first of `reads`.
    NeverListed {
        since: Instant,
        reads: u32,
    },
    Listed(ListedState),
    /// Was listed before, but not in the last `reads`.
    Absent {
        since: Instant,
        reads: u32,
    },
    /// Not listed for so long that the VM no longer exists; final.
    Gone,
}

impl Presence {
    pub(super) fn is_leaving(self) -> bool {
        self == Presence::Listed(ListedState::Leaving)
    }

    pub(super) fn is_gone(self) -> bool {
        self == Presence::Gone
    }

    pub(super) fn was_listed(self) -> bool {
        match self {
            Presence::Unknown | Presence::NeverListed { .. } => false,
            Presence::Listed(_) | Presence::Absent { .. } | Presence::Gone => true,
        }
    }

    /// Notes that another daemon has seen the member in the list.
    pub(super) fn listed_elsewhere(&mut self) {
        match *self {
            Presence::Unknown => *self = Presence::Listed(ListedState::Live),
            Presence::NeverListed { since, reads } => *self = Presence::Absent { since, reads },
            Presence::Listed(_) | Presence::Absent { .. } | Presence::Gone => {}
        }
    }

    /// Notes that the member was heard, so it exists whatever the list says.
    pub(super) fn on_contact(&mut self) {
        match self {
            Presence::Absent { .. } => *self = Presence::Listed(ListedState::Live),
            Presence::NeverListed { .. } => *self = Presence::Unknown,
            Presence::Unknown | Presence::Listed(_) | Presence::Gone => {}
        }
    }

    fn after_absent_read(self, now: Instant) -> Presence {
        let expired =
            |since: Instant, timeout, reads| now >= since + timeout && reads >= MIN_ABSENT_READS;
        match self {
            Presence::Unknown => Presence::NeverListed { since: now, reads: 1 },
            Presence::NeverListed { since, reads }
                if expired(since, NEVER_LISTED_TIMEOUT, reads + 1) =>
            {
                Presence::Gone
            }
            Presence::NeverListed { since, reads } => {
                Presence::NeverListed { since, reads: reads + 1 }
            }
            Presence::Listed(_) => Presence::Absent { since: now, reads: 1 },
            Presence::Absent { since, reads } if expired(since, ABSENT_TIMEOUT, reads + 1) => {
                Presence::Gone
            }
            Presence::Absent { since, reads } => Presence::Absent { since, reads: reads + 1 },
            Presence::Gone => Presence::Gone,
        }
    }
}

impl Members {
    /// Applies a read of the list of daemons. Unknown addresses in it become seeds.
    pub fn on_list_read(&mut self, list: &[ListedDaemon], now: Instant) {
        let own = self.me.member.id.address;
        let listed: HashMap<SocketAddr, ListedState> =
            list.iter().map(|vm| (vm.address, vm.state)).collect();
        self.own_listed |= listed.contains_key(&own);
        for address in list.iter().map(|vm| vm.address) {
            if address != own && !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
        self.seeds.retain(|seed| listed.contains_key(seed) || self.peers.contains_key(seed));
        let known: Vec<SocketAddr> = self.peers.keys().copied().collect();
        for address in known {
            let Some(peer) = self.peers.get_mut(&address) else { continue };
            let before = peer.state();
            let was_gone = peer.presence.is_gone();
            let id = peer.status.member.id;
            peer.presence = match listed.get(&address) {
                // The read may come from a replica that is older than the end of the VM.
                Some(_) if was_gone => Presence::Gone,
                Some(state) => Presence::Listed(*state),
                None => peer.presence.after_absent_read(now),
            };
            if peer.presence.is_gone() && !was_gone {
                self.set_health(address, super::Health::Gone, now);
                self.mark_ended(id, now);
                self.queue_update(address);
            }
            self.report_change(address, before);
        }
    }
}
