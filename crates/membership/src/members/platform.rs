//! The platform's list of VMs. It lags, and two reads may come from copies of different
//! age, so that the second is older than the first.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::Members;

/// A VM counts as gone when the list has not shown it for this long. A single read without
/// it may come from a copy that is older than the VM.
pub const ABSENT_FOR: Duration = Duration::from_secs(30);
/// The same for a VM that no daemon is known to have seen in the list, and that this daemon
/// has not heard either. This happens after all daemons that saw it have been replaced. The
/// list would have shown it by now if it existed.
pub const UNSEEN_FOR: Duration = Duration::from_secs(300);
/// The number of reads without the VM in that time.
const ABSENT_READS: u32 = 3;

/// A VM's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It runs.
    Live,
    /// It will be removed soon.
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedVm {
    /// Address of the daemon on the VM.
    pub address: SocketAddr,
    /// Its state.
    pub state: ListedState,
}

/// What the list has said about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Listing {
    #[default]
    NeverShown,
    Unseen {
        since: Instant,
        reads: u32,
    },
    Shown(ListedState),
    Absent {
        since: Instant,
        reads: u32,
    },
    Gone,
}

impl Listing {
    pub(super) fn is_leaving(self) -> bool {
        self == Listing::Shown(ListedState::Leaving)
    }

    pub(super) fn is_gone(self) -> bool {
        self == Listing::Gone
    }

    pub(super) fn was_shown(self) -> bool {
        match self {
            Listing::NeverShown | Listing::Unseen { .. } => false,
            Listing::Shown(_) | Listing::Absent { .. } | Listing::Gone => true,
        }
    }

    /// Another daemon has seen the VM in the list.
    pub(super) fn shown_to_others(&mut self) {
        match *self {
            Listing::NeverShown => *self = Listing::Shown(ListedState::Live),
            Listing::Unseen { since, reads } => *self = Listing::Absent { since, reads },
            Listing::Shown(_) | Listing::Absent { .. } | Listing::Gone => {}
        }
    }

    /// A member that was heard exists, whatever the list says.
    pub(super) fn heard(&mut self) {
        match self {
            Listing::Absent { .. } => *self = Listing::Shown(ListedState::Live),
            Listing::Unseen { .. } => *self = Listing::NeverShown,
            Listing::NeverShown | Listing::Shown(_) | Listing::Gone => {}
        }
    }

    fn absent(self, now: Instant) -> Listing {
        let long = |since: Instant, limit, reads| now >= since + limit && reads >= ABSENT_READS;
        match self {
            Listing::NeverShown => Listing::Unseen { since: now, reads: 1 },
            Listing::Unseen { since, reads } if long(since, UNSEEN_FOR, reads + 1) => Listing::Gone,
            Listing::Unseen { since, reads } => Listing::Unseen { since, reads: reads + 1 },
            Listing::Shown(_) => Listing::Absent { since: now, reads: 1 },
            Listing::Absent { since, reads } if long(since, ABSENT_FOR, reads + 1) => Listing::Gone,
            Listing::Absent { since, reads } => Listing::Absent { since, reads: reads + 1 },
            Listing::Gone => Listing::Gone,
        }
    }
}

impl Members {
    /// Takes a read of the list. Addresses not known yet are tried.
    pub fn on_platform_list(&mut self, list: &[ListedVm], now: Instant) {
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
            let was_gone = peer.listing.is_gone();
            let id = peer.note.member.id;
            peer.listing = match listed.get(&address) {
                // The list may lag behind the end of the VM.
                Some(_) if was_gone => Listing::Gone,
                Some(state) => Listing::Shown(*state),
                None => peer.listing.absent(now),
            };
            if peer.listing.is_gone() && !was_gone {
                self.set_health(address, super::Health::Gone, now);
                self.end(id, now);
                self.spread(address);
            }
            self.note_change(address, before);
        }
    }
}
