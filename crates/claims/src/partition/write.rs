//! One write to the store, with its outcome resolved by reading back.

use tt_model::Revision;
use tt_model::StoreCall;
use tt_model::StoreReply;

/// A compare-and-swap, or a removal, that is tried until its outcome is certain.
#[derive(Debug)]
pub(crate) struct Write {
    key: String,
    expect: Revision,
    change: Change,
    stage: Stage,
    effect: Effect,
}

#[derive(Debug)]
enum Change {
    Put(Vec<u8>),
    Remove,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Writing,
    ReadingBack,
}

/// Whether an earlier try of the same write may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    None,
    Possible,
}

/// What follows from a reply of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Next {
    /// The write took effect.
    Durable(Revision),
    /// The write certainly had no effect.
    NoEffect,
    /// Another writer changed the value.
    Conflict,
    /// Make the call of [`Write::call`] at once.
    Continue,
    /// Make the call of [`Write::call`] after a pause: the store does not answer.
    Pause,
}

impl Write {
    /// A change of the value from revision `expect`.
    pub(crate) fn put(key: String, expect: Revision, value: Vec<u8>) -> Write {
        let change = Change::Put(value);
        Write { key, expect, change, stage: Stage::Writing, effect: Effect::None }
    }

    /// A removal of the value at revision `expect`.
    pub(crate) fn remove(key: String, expect: Revision) -> Write {
        let change = Change::Remove;
        Write { key, expect, change, stage: Stage::Writing, effect: Effect::None }
    }

    /// The call to make now.
    pub(crate) fn call(&self) -> StoreCall {
        let key = self.key.clone();
        match (self.stage, &self.change) {
            (Stage::ReadingBack, _) => StoreCall::Get { key },
            (Stage::Writing, Change::Put(value)) => {
                StoreCall::Put { key, expect: self.expect, value: value.clone() }
            }
            (Stage::Writing, Change::Remove) => StoreCall::Delete { key, expect: self.expect },
        }
    }

    /// Whether the next call changes the store.
    pub(crate) fn is_writing(&self) -> bool {
        self.stage == Stage::Writing
    }

    /// Takes the reply to the call.
    pub(crate) fn on_reply(&mut self, reply: &StoreReply) -> Next {
        match (self.stage, &self.change) {
            (Stage::Writing, Change::Put(_)) => self.on_put(reply),
            (Stage::Writing, Change::Remove) => match reply {
                StoreReply::Lost | StoreReply::Unavailable | StoreReply::Value { .. } => {
                    Next::Pause
                }
                StoreReply::Written { revision } | StoreReply::Conflict { revision } => {
                    Next::Durable(*revision)
                }
                StoreReply::Missing => Next::Durable(self.expect),
            },
            (Stage::ReadingBack, _) => self.on_read_back(reply),
        }
    }

    fn on_put(&mut self, reply: &StoreReply) -> Next {
        match reply {
            StoreReply::Written { revision } => Next::Durable(*revision),
            StoreReply::Unavailable if self.effect == Effect::None => Next::NoEffect,
            StoreReply::Unavailable => {
                self.stage = Stage::ReadingBack;
                Next::Pause
            }
            // A conflict can be the trace of an earlier try of this same write.
            StoreReply::Conflict { .. }
            | StoreReply::Lost
            | StoreReply::Value { .. }
            | StoreReply::Missing => {
                self.effect = Effect::Possible;
                self.stage = Stage::ReadingBack;
                Next::Continue
            }
        }
    }

    fn on_read_back(&mut self, reply: &StoreReply) -> Next {
        match (reply, &self.change) {
            // The token and the batch number make the bytes of each write unique.
            (StoreReply::Value { revision, value }, Change::Put(own))
                if value == own && *revision != self.expect =>
            {
                Next::Durable(*revision)
            }
            (StoreReply::Value { revision, .. }, _) if *revision != self.expect => Next::Conflict,
            (StoreReply::Missing, _) if self.expect != Revision(0) => Next::Conflict,
            // Not there, but the lost call may still arrive. The same bytes are written
            // again from the same revision, so at most one of the calls takes effect.
            (StoreReply::Value { .. } | StoreReply::Missing, _) => {
                self.stage = Stage::Writing;
                Next::Continue
            }
            (
                StoreReply::Unavailable
                | StoreReply::Lost
                | StoreReply::Written { .. }
                | StoreReply::Conflict { .. },
                _,
            ) => Next::Pause,
        }
    }
}
