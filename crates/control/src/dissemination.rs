//! Which daemons watch the store, the push tree of a domain, and watches of store keys.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backoff::Backoff;
use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// The number of daemons in each failure domain that watch the store. Two, so that the loss of
/// one does not delay a change.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// The number of daemons to which one daemon pushes updates.
pub const FAN_OUT: usize = 8;
/// The initial and the maximum delay before a failed watch is repeated.
const WATCH_RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(5)];
/// A watch that ends without a change in less than this time counts as failed. Repeating it at
/// once would be a busy loop against the store.
const MIN_WATCH_DURATION: Duration = Duration::from_millis(500);

/// A live daemon, as reported by the membership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The address at which it receives messages of peers.
    pub address: SocketAddr,
    /// The name of its failure domain.
    pub domain: String,
}

/// Sorts the members by a hash of `purpose` and their address. Every daemon with the same members
/// computes the same order.
pub fn rank_members<'a, I>(purpose: &str, members: I) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = &'a Member>,
{
    let seed = xxh3_64_with_seed(purpose.as_bytes(), 0);
    let mut ranks: Vec<(u64, SocketAddr)> = members
        .into_iter()
        .map(|member| {
            let address = member.address.to_string();
            (xxh3_64_with_seed(address.as_bytes(), seed), member.address)
        })
        .collect();
    ranks.sort();
    ranks.dedup();
    ranks.into_iter().map(|(_, address)| address).collect()
}

/// The members of a domain in the order of its push tree. The first [`WATCHERS_PER_DOMAIN`]
/// watch the store.
pub fn push_order(domain: &str, members: &[Member]) -> Vec<SocketAddr> {
    let purpose = format!("push/{domain}");
    rank_members(&purpose, members.iter().filter(|member| member.domain == domain))
}

/// The member that runs the [`crate::Collector`]; `None` if there are no members.
pub fn collector(members: &[Member]) -> Option<SocketAddr> {
    rank_members("collect", members).first().copied()
}

/// The positions in the push order to which the member at `position` of `count` pushes.
pub fn children(position: usize, count: usize) -> std::ops::Range<usize> {
    let first = position * FAN_OUT + 1;
    first.min(count)..(first + FAN_OUT).min(count)
}

/// Watches one key of the store by repeated calls that wait for a change.
#[derive(Debug)]
pub struct Watch {
    key: &'static str,
    after: Revision,
    backoff: Backoff,
    state: WatchState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchState {
    Disabled,
    Due { at: Option<Instant> },
    Waiting { since: Instant },
}

impl Watch {
    /// Creates a watch that is disabled.
    pub fn new(key: &'static str, seed: u64) -> Watch {
        let seed = xxh3_64_with_seed(key.as_bytes(), seed);
        Watch {
            key,
            after: Revision(0),
            backoff: Backoff::new(seed, WATCH_RETRY_DELAYS[0], WATCH_RETRY_DELAYS[1]),
            state: WatchState::Disabled,
        }
    }

    /// Enables the watch; no effect if it is enabled already.
    pub fn enable(&mut self) {
        if self.state == WatchState::Disabled {
            self.state = WatchState::Due { at: None };
        }
    }

    /// Disables the watch. The reply to a call that is still waiting must be dropped.
    pub fn disable(&mut self) {
        self.state = WatchState::Disabled;
    }

    /// Makes the next call return the current value even if it was returned before.
    pub fn reset_revision(&mut self) {
        self.after = Revision(0);
    }

    /// Whether the watch is enabled.
    pub fn is_enabled(&self) -> bool {
        self.state != WatchState::Disabled
    }

    /// The call to make, if one is due.
    pub fn poll(&mut self, now: Instant) -> Option<StoreCall> {
        match self.state {
            WatchState::Due { at } if at.is_none_or(|at| now >= at) => {
                self.state = WatchState::Waiting { since: now };
                Some(StoreCall::Watch { key: self.key.to_owned(), after: self.after })
            }
            _ => None,
        }
    }

    /// When the next call is due; `None` if it is due at once or in flight, or if the watch is
    /// disabled.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.state {
            WatchState::Due { at } => at,
            WatchState::Disabled | WatchState::Waiting { .. } => None,
        }
    }

    /// Handles the reply to the call and returns the value if it is new.
    pub fn on_reply(&mut self, reply: StoreReply, now: Instant) -> Option<Vec<u8>> {
        let WatchState::Waiting { since } = self.state else {
            return None;
        };
        match reply {
            StoreReply::Value { revision, value } if revision > self.after => {
                self.after = revision;
                self.backoff.reset();
                self.state = WatchState::Due { at: None };
                Some(value)
            }
            StoreReply::Missing if now.duration_since(since) >= MIN_WATCH_DURATION => {
                self.backoff.reset();
                self.state = WatchState::Due { at: None };
                None
            }
            _ => {
                self.state = WatchState::Due { at: Some(now + self.backoff.next_delay()) };
                None
            }
        }
    }
}
