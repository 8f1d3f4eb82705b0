//! Who watches the store, who pushes to whom, and the state of a watch.

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

/// Daemons of a failure domain that watch the store. Two, so that the loss of one does not
/// delay a change.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Daemons to which one daemon pushes.
pub const FAN_OUT: usize = 8;
/// The first and the longest delay before a failed watch is repeated.
const WATCH_RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(5)];
/// A watch that ends earlier than this without a change did not wait; repeating it at once
/// would be a busy loop against the store.
const MIN_WATCH_DURATION: Duration = Duration::from_millis(500);

/// A live member, as seen by the membership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Where it takes messages of other daemons.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// The members in the order of their rank for `purpose`. Every daemon with the same view
/// computes the same order.
pub fn ranked<'a, I>(purpose: &str, members: I) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = &'a Member>,
{
    let seed = xxh3_64_with_seed(purpose.as_bytes(), 0);
    let mut ranks: Vec<(u64, SocketAddr)> = members
        .into_iter()
        .map(|member| {
            let name = member.address.to_string();
            (xxh3_64_with_seed(name.as_bytes(), seed), member.address)
        })
        .collect();
    ranks.sort();
    ranks.dedup();
    ranks.into_iter().map(|(_, address)| address).collect()
}

/// The members of a domain in the order of the push tree. The first [`WATCHERS_PER_DOMAIN`] watch.
pub fn push_order(domain: &str, members: &[Member]) -> Vec<SocketAddr> {
    let purpose = format!("push/{domain}");
    ranked(&purpose, members.iter().filter(|member| member.domain == domain))
}

/// The member that removes unreferenced parts.
pub fn collector(members: &[Member]) -> Option<SocketAddr> {
    ranked("collect", members).first().copied()
}

/// The positions to which the member at `position` of `count` pushes.
pub fn children(position: usize, count: usize) -> std::ops::Range<usize> {
    let first = position * FAN_OUT + 1;
    first.min(count)..(first + FAN_OUT).min(count)
}

/// A repeated waiting read of one key.
#[derive(Debug)]
pub struct Watch {
    key: &'static str,
    after: Revision,
    backoff: Backoff,
    state: WatchState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchState {
    Off,
    Due { at: Option<Instant> },
    Waiting { since: Instant },
}

impl Watch {
    /// A watch that is off.
    pub fn new(key: &'static str, seed: u64) -> Watch {
        let seed = xxh3_64_with_seed(key.as_bytes(), seed);
        Watch {
            key,
            after: Revision(0),
            backoff: Backoff::new(seed, WATCH_RETRY_DELAYS[0], WATCH_RETRY_DELAYS[1]),
            state: WatchState::Off,
        }
    }

    /// Turns the watch on if it is off.
    pub fn enable(&mut self) {
        if self.state == WatchState::Off {
            self.state = WatchState::Due { at: None };
        }
    }

    /// Turns the watch off; the reply to a call that is still waiting has to be dropped.
    pub fn disable(&mut self) {
        self.state = WatchState::Off;
    }

    /// Makes the next call return the value whether or not it was seen before.
    pub fn reset_revision(&mut self) {
        self.after = Revision(0);
    }

    /// Whether it is on.
    pub fn is_enabled(&self) -> bool {
        self.state != WatchState::Off
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

    /// When the next call is due.
    pub fn wake_at(&self) -> Option<Instant> {
        match self.state {
            WatchState::Due { at } => at,
            WatchState::Off | WatchState::Waiting { .. } => None,
        }
    }

    /// Takes the outcome of the call; returns the value if it is new.
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
