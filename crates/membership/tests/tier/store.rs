//! A model of the store: one key with compare-and-swap, outages, lost replies and stale reads.

use rand::RngExt;
use rand::rngs::StdRng;

use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Calls fail without an effect.
    Down,
    /// Some reads are stale, some replies are lost, and some writes take effect late.
    Flaky,
}

#[derive(Debug)]
pub struct Store {
    pub mode: Mode,
    /// All values; the index is the revision less one.
    versions: Vec<Vec<u8>>,
    /// Calls that take effect late, with the time of that.
    delayed: Vec<(u64, StoreCall)>,
}

impl Store {
    pub fn new() -> Store {
        Store { mode: Mode::Up, versions: Vec::new(), delayed: Vec::new() }
    }

    pub fn advance(&mut self, now_ms: u64) {
        let due: Vec<StoreCall> =
            self.delayed.extract_if(.., |(at, _)| *at <= now_ms).map(|(_, call)| call).collect();
        for call in due {
            self.apply(&call);
        }
    }

    pub fn call(&mut self, call: &StoreCall, now_ms: u64, rng: &mut StdRng) -> StoreReply {
        if self.mode == Mode::Down {
            return match call {
                StoreCall::Get { .. } => StoreReply::Lost,
                _ if rng.random_bool(0.5) => StoreReply::Lost,
                _ => StoreReply::Unavailable,
            };
        }
        if self.mode == Mode::Up {
            return self.apply(call);
        }
        match (call, rng.random_range(0..4)) {
            (StoreCall::Get { .. }, 0) => {
                let back = rng.random_range(0..3);
                self.read(self.versions.len().saturating_sub(back))
            }
            (_, 1) => {
                self.apply(call);
                StoreReply::Lost
            }
            (_, 2) => {
                self.delayed.push((now_ms + rng.random_range(0..6_000), call.clone()));
                StoreReply::Lost
            }
            _ => self.apply(call),
        }
    }

    fn read(&self, revision: usize) -> StoreReply {
        match revision.checked_sub(1).and_then(|index| self.versions.get(index)) {
            Some(value) => {
                StoreReply::Value { revision: Revision(revision as u64), value: value.clone() }
            }
            None => StoreReply::Missing,
        }
    }

    fn apply(&mut self, call: &StoreCall) -> StoreReply {
        let revision = Revision(self.versions.len() as u64);
        match call {
            StoreCall::Put { expect, value, .. } if *expect == revision => {
                self.versions.push(value.clone());
                StoreReply::Written { revision: revision.next() }
            }
            StoreCall::Put { .. } => StoreReply::Conflict { revision },
            _ => self.read(self.versions.len()),
        }
    }
}
